"""Client of the origin of weights."""

from __future__ import annotations

from attrs import define
from wasabideck_policy.manifests import Manifest, manifest_from_json, verify_chunk

from .http_client import HttpClient

__all__ = ["WeightOriginClient"]

CHUNK_TIMEOUT_SECONDS = 60.0


@define
class WeightOriginClient:
    """Reads manifests and chunks and verifies them against their digests."""

    http: HttpClient

    async def read_manifest(self, digest: str) -> Manifest:
        """Return a manifest; raise ``CorruptManifest`` if its digest does not match."""
        _, data = await self.http.call("GET", f"/v1/manifests/{digest}")
        return manifest_from_json(data, digest)

    async def read_chunk(self, digest: str, vm: str) -> bytes:
        """Return a chunk; raise ``CorruptChunk`` if its digest does not match."""
        _, data = await self.http.call(
            "GET",
            f"/v1/chunks/{digest}",
            params={"vm": vm},
            timeout=CHUNK_TIMEOUT_SECONDS,
        )
        verify_chunk(data, digest, "")
        return data
