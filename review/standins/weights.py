"""Weights of numbered versions, and the origin that hands them out."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from functools import cache

from . import http

CHUNKS = 96
CHUNK_BYTES = 24_576
LAYERS = 16


@cache
def piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece of a version."""
    return random.Random(f"{version}/{index}").randbytes(CHUNK_BYTES)


@cache
def digest(version: int, index: int) -> str:
    """Return the digest of a piece of a version."""
    return hashlib.sha256(piece(version, index)).hexdigest()


class Origin:
    """Sends manifests and pieces over one link of a limited rate."""

    def __init__(self, model: str, bytes_per_second: float):
        self.model, self.rate = model, bytes_per_second
        self.down_until = 0.0
        self._link = asyncio.Lock()

    async def handle(self, req: http.Request) -> http.Response | None:
        """Answer one call; cut it off while the origin is down."""
        if time.monotonic() < self.down_until:
            req.writer.transport.abort()
            return None
        version = int(req.query.get("version", 1))
        if req.path == f"/-/manifest/{self.model}":
            hashes = [digest(version, index) for index in range(CHUNKS)]
            body = {"model": self.model, "version": version, "hashes": hashes}
            return http.json_response(
                body | {"chunk-bytes": CHUNK_BYTES, "layers": LAYERS}
            )
        if req.path != f"/-/piece/{self.model}":
            return http.Response(404)
        data = piece(version, int(req.query["num"]))
        async with self._link:
            await asyncio.sleep(len(data) / self.rate)
        return http.Response(200, data)
