"""Stores verified chunks in memory, and tracks which manifests are complete."""

from __future__ import annotations

from attrs import define, field
from wasabideck_policy.manifests import Manifest, verify_chunk

__all__ = ["ChunkStore"]


@define
class ChunkStore:
    """Chunks by digest; only verified bytes are stored.

    The stored chunks of a manifest are an integer in which bit i stands for chunk i. It
    is updated as chunks arrive, since peers request it many times a second.
    """

    _chunks: dict[str, bytes] = field(factory=dict)
    _manifests: dict[str, Manifest] = field(factory=dict)
    _held: dict[str, int] = field(factory=dict)

    def manifest(self, digest: str) -> Manifest | None:
        """Return a known manifest, or None."""
        return self._manifests.get(digest)

    def add_manifest(self, manifest: Manifest) -> None:
        """Add a manifest; stored chunks that it shares with others count at once."""
        digest = manifest.digest
        if digest not in self._manifests:
            self._manifests[digest] = manifest
            self._held[digest] = self._held_mask(manifest)

    def add_chunk(self, digest: str, data: bytes, source: str) -> None:
        """Store a chunk; raise ``CorruptChunk`` unless its bytes have the digest."""
        verify_chunk(data, digest, source)
        if digest in self._chunks:
            return
        self._chunks[digest] = data
        for name, manifest in self._manifests.items():
            for index in manifest.chunk_indices.get(digest, ()):
                self._held[name] |= 1 << index

    def get(self, digest: str) -> bytes | None:
        """Return a chunk's bytes, or None."""
        return self._chunks.get(digest)

    def held_chunks(self, manifest: Manifest) -> int:
        """Return the bit mask of the manifest's chunks that are stored."""
        return self._held.get(manifest.digest) or self._held_mask(manifest)

    def is_complete(self, manifest: Manifest) -> bool:
        """Whether every chunk of the manifest is stored."""
        return self.held_chunks(manifest).bit_count() == len(manifest.chunks)

    def keep_manifests(self, digests: set[str]) -> None:
        """Drop all other manifests, and chunks that none of the remaining ones list."""
        self._manifests = {d: m for d, m in self._manifests.items() if d in digests}
        self._held = {d: mask for d, mask in self._held.items() if d in digests}
        listed = {chunk for m in self._manifests.values() for chunk in m.chunks}
        self._chunks = {d: data for d, data in self._chunks.items() if d in listed}

    def _held_mask(self, manifest: Manifest) -> int:
        held = (i for i, d in enumerate(manifest.chunks) if d in self._chunks)
        return sum(1 << i for i in held)
