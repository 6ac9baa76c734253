"""The origin's pieces by number, given as chunks by digest."""

from __future__ import annotations

from typing import Protocol

from attrs import define
from wasabideck_policy.manifests import Manifest, verify_chunk

__all__ = ["NumberedOrigin", "OriginChunks"]


class NumberedOrigin(Protocol):
    """An origin that knows a version's pieces by their numbers."""

    async def manifest(self, model: str, version: int) -> Manifest:
        """Digests of a version's pieces."""

    async def piece(self, model: str, version: int, index: int) -> bytes:
        """A piece's bytes, unchecked."""


@define
class OriginChunks:
    """What a transfer reads from the origin."""

    origin: NumberedOrigin
    manifest: Manifest

    async def chunk(self, digest: str, vm: str) -> bytes:
        """Chunk of that digest; raises ``CorruptChunk`` on any other bytes."""
        index = self.manifest.places[digest][0]
        version = int(self.manifest.version)
        data = await self.origin.piece(self.manifest.model, version, index)
        verify_chunk(data, digest, "")
        return data
