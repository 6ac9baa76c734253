"""Random weights for the stand-ins, generated from a seed."""

from __future__ import annotations

import random

from wasabideck_policy.manifests import Manifest, chunk_digest

__all__ = ["generate_weights"]


def generate_weights(
    model: str, version: str, chunks: int, chunk_bytes: int, seed: int
) -> tuple[Manifest, list[bytes]]:
    """Return a manifest and its chunks; equal arguments give equal weights."""
    rng = random.Random(f"{seed}/{model}/{version}")
    chunk_data = [rng.randbytes(chunk_bytes) for _ in range(chunks)]
    digests = tuple(chunk_digest(chunk) for chunk in chunk_data)
    manifest = Manifest(model, version, chunk_bytes, chunks * chunk_bytes, digests)
    return manifest, chunk_data
