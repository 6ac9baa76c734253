"""Client of the weight origin."""

from __future__ import annotations

from attrs import define
from wasabideck_policy.manifests import Manifest, manifest_from_json, verify_chunk

from .http import HttpClient

__all__ = ["Origin"]

CHUNK_TIMEOUT = 60.0


@define
class Origin:
    """Reads manifests and chunks, verified against their digests."""

    http: HttpClient

    async def manifest(self, digest: str) -> Manifest:
        """Manifest of that digest; raises ``CorruptManifest`` on any other bytes."""
        _, data = await self.http.call("GET", f"/v1/manifests/{digest}")
        return manifest_from_json(data, digest)

    async def chunk(self, digest: str, vm: str) -> bytes:
        """Chunk of that digest; raises ``CorruptChunk`` on any other bytes."""
        _, data = await self.http.call(
            "GET", f"/v1/chunks/{digest}", params={"vm": vm}, timeout=CHUNK_TIMEOUT
        )
        verify_chunk(data, digest, "")
        return data
