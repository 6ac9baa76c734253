"""Adapts an origin that numbers its chunks to reads by digest."""

from __future__ import annotations

from typing import Protocol

from attrs import define
from wasabideck_policy.manifests import Manifest, verify_chunk

__all__ = ["NumberedOrigin", "OriginChunks"]


class NumberedOrigin(Protocol):
    """An origin that identifies a version's chunks by their indices."""

    async def read_manifest(self, model: str, version: int) -> Manifest:
        """Return the manifest with the digests of a version's chunks."""

    async def chunk(self, model: str, version: int, index: int) -> bytes:
        """Return a chunk's bytes, unverified."""


@define
class OriginChunks:
    """Reads the chunks of one manifest from the origin."""

    origin: NumberedOrigin
    manifest: Manifest

    async def read_chunk(self, digest: str, vm: str) -> bytes:
        """Return the chunk of that digest; raise ``CorruptChunk`` on other bytes."""
        index = self.manifest.chunk_indices[digest][0]
        version = int(self.manifest.version)
        data = await self.origin.chunk(self.manifest.model, version, index)
        verify_chunk(data, digest, "")
        return data
