"""Verified chunks held in memory, and which manifests they make whole."""

from __future__ import annotations

from attrs import define, field
from wasabideck_policy.manifests import Manifest, verify_chunk

__all__ = ["ChunkStore"]


@define
class ChunkStore:
    """Chunks by digest; only verified bytes ever enter."""

    _chunks: dict[str, bytes] = field(factory=dict)
    _manifests: dict[str, Manifest] = field(factory=dict)

    def manifest(self, digest: str) -> Manifest | None:
        """A known manifest, or None."""
        return self._manifests.get(digest)

    def know(self, manifest: Manifest) -> None:
        """Remember a manifest."""
        self._manifests[manifest.digest] = manifest

    def add(self, digest: str, data: bytes, source: str) -> None:
        """Keep a chunk; raises ``CorruptChunk`` unless its bytes have the digest."""
        verify_chunk(data, digest, source)
        self._chunks[digest] = data

    def get(self, digest: str) -> bytes | None:
        """A chunk's bytes, or None."""
        return self._chunks.get(digest)

    def held(self, manifest: Manifest) -> set[int]:
        """Indices of the manifest's chunks that are here."""
        return {i for i, d in enumerate(manifest.chunks) if d in self._chunks}

    def missing(self, manifest: Manifest) -> set[int]:
        """Indices of the manifest's chunks that are not here."""
        return {i for i, d in enumerate(manifest.chunks) if d not in self._chunks}

    def keep_only(self, digests: set[str]) -> None:
        """Drop every manifest but these, and chunks that none of them names."""
        self._manifests = {d: m for d, m in self._manifests.items() if d in digests}
        named = {chunk for m in self._manifests.values() for chunk in m.chunks}
        self._chunks = {d: data for d, data in self._chunks.items() if d in named}
