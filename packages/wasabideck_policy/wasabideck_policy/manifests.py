"""Manifests: which chunks make one whole version of weights."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from functools import cached_property

from attrs import frozen

from .outcomes import WasabideckError

__all__ = [
    "CorruptChunk",
    "CorruptManifest",
    "Manifest",
    "chunk_digest",
    "manifest_from_json",
    "manifest_to_json",
    "verify_chunk",
]

MAX_CHUNKS = 100_000


class CorruptChunk(WasabideckError):
    """A chunk's bytes do not have the digest that the manifest names."""

    def __init__(self, digest: str, source: str):
        super().__init__(f"chunk {digest[:12]} from {source or 'origin'} is corrupt")
        self.digest = digest
        self.source = source


class CorruptManifest(WasabideckError):
    """A manifest is not what its digest names."""

    def __init__(self, digest: str, why: str):
        super().__init__(f"manifest {digest[:12]}: {why}")
        self.digest = digest


@frozen
class Manifest:
    """Ordered chunk digests (SHA-256, hexadecimal) of one version of weights."""

    model: str
    version: str
    chunk_bytes: int
    total_bytes: int
    chunks: tuple[str, ...]

    @cached_property
    def digest(self) -> str:
        """SHA-256 of the manifest's canonical JSON."""
        return hashlib.sha256(manifest_to_json(self)).hexdigest()

    @cached_property
    def places(self) -> dict[str, list[int]]:
        """Indices at which each chunk stands; equal chunks stand at several."""
        places: dict[str, list[int]] = {}
        for index, digest in enumerate(self.chunks):
            places.setdefault(digest, []).append(index)
        return places


def manifest_to_json(manifest: Manifest) -> bytes:
    """Canonical JSON, which the manifest's digest is taken over."""
    table = {
        "model": manifest.model,
        "version": manifest.version,
        "chunk_bytes": manifest.chunk_bytes,
        "total_bytes": manifest.total_bytes,
        "chunks": list(manifest.chunks),
    }
    return json.dumps(table, sort_keys=True, separators=(",", ":")).encode()


def manifest_from_json(data: bytes, digest: str) -> Manifest:
    """Manifest whose bytes have the given digest.

    Raises
    ------
    CorruptManifest
        The bytes have another digest, or are no manifest.
    """
    if hashlib.sha256(data).hexdigest() != digest:
        raise CorruptManifest(digest, "the bytes have another digest")
    try:
        table: Mapping = json.loads(data)
        chunks = tuple(table.pop("chunks"))
        manifest = Manifest(chunks=chunks, **table)
    except (ValueError, KeyError, TypeError) as exc:
        raise CorruptManifest(digest, str(exc)) from exc
    if not 0 < len(chunks) <= MAX_CHUNKS:
        raise CorruptManifest(digest, f"{len(chunks)} chunks")
    return manifest


def chunk_digest(data: bytes) -> str:
    """SHA-256 of a chunk's bytes, hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def verify_chunk(data: bytes, digest: str, source: str) -> None:
    """Raise ``CorruptChunk`` unless the bytes have the digest."""
    if chunk_digest(data) != digest:
        raise CorruptChunk(digest, source)
