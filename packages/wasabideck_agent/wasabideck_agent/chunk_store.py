"""Verified chunks held in memory, and which manifests they make whole."""

from __future__ import annotations

from attrs import define, field
from wasabideck_policy.manifests import Manifest, verify_chunk

__all__ = ["ChunkStore"]


@define
class ChunkStore:
    """Chunks by digest; only verified bytes ever enter.

    A manifest's held chunks are an integer in which bit i stands for chunk i. It is
    kept up to date as chunks come, since peers ask for it many times a second.
    """

    _chunks: dict[str, bytes] = field(factory=dict)
    _manifests: dict[str, Manifest] = field(factory=dict)
    _held: dict[str, int] = field(factory=dict)

    def manifest(self, digest: str) -> Manifest | None:
        """A known manifest, or None."""
        return self._manifests.get(digest)

    def know(self, manifest: Manifest) -> None:
        """Remember a manifest; chunks of others that it shares count at once."""
        digest = manifest.digest
        if digest not in self._manifests:
            self._manifests[digest] = manifest
            self._held[digest] = self._count(manifest)

    def add(self, digest: str, data: bytes, source: str) -> None:
        """Keep a chunk; raises ``CorruptChunk`` unless its bytes have the digest."""
        verify_chunk(data, digest, source)
        if digest in self._chunks:
            return
        self._chunks[digest] = data
        for name, manifest in self._manifests.items():
            for index in manifest.places.get(digest, ()):
                self._held[name] |= 1 << index

    def get(self, digest: str) -> bytes | None:
        """A chunk's bytes, or None."""
        return self._chunks.get(digest)

    def held(self, manifest: Manifest) -> int:
        """The manifest's chunks that are here."""
        return self._held.get(manifest.digest) or self._count(manifest)

    def whole(self, manifest: Manifest) -> bool:
        """Whether every chunk of the manifest is here."""
        return self.held(manifest).bit_count() == len(manifest.chunks)

    def keep_only(self, digests: set[str]) -> None:
        """Drop every manifest but these, and chunks that none of them names."""
        self._manifests = {d: m for d, m in self._manifests.items() if d in digests}
        self._held = {d: mask for d, mask in self._held.items() if d in digests}
        named = {chunk for m in self._manifests.values() for chunk in m.chunks}
        self._chunks = {d: data for d, data in self._chunks.items() if d in named}

    def _count(self, manifest: Manifest) -> int:
        held = (i for i, d in enumerate(manifest.chunks) if d in self._chunks)
        return sum(1 << i for i in held)
