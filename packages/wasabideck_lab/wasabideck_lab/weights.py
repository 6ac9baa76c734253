"""Weights made up from a seed, for the stand-ins."""

from __future__ import annotations

import random

from wasabideck_policy.manifests import Manifest, chunk_digest

__all__ = ["make_weights"]


def make_weights(
    model: str, version: str, chunks: int, chunk_bytes: int, seed: int
) -> tuple[Manifest, list[bytes]]:
    """A manifest and its chunks; the same for the same arguments."""
    rng = random.Random(f"{seed}/{model}/{version}")
    data = [rng.randbytes(chunk_bytes) for _ in range(chunks)]
    digests = tuple(chunk_digest(chunk) for chunk in data)
    manifest = Manifest(model, version, chunk_bytes, chunks * chunk_bytes, digests)
    return manifest, data
