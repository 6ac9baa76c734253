"""Manifests: the list of chunks that make up one version of weights."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Mapping, Sequence
from functools import cached_property

from attrs import frozen

from .outcomes import WasabideckError

__all__ = [
    "CorruptChunk",
    "CorruptManifest",
    "Manifest",
    "ManifestReport",
    "confirmed_manifest",
    "chunk_digest",
    "most_reported",
    "manifest_from_json",
    "manifest_to_json",
    "numbered_manifest_from_json",
    "numbered_manifest_name",
    "verify_chunk",
]

MAX_CHUNKS = 100_000
# Characters of a SHA-256 digest in hexadecimal.
DIGEST_CHARACTERS = 64


class CorruptChunk(WasabideckError):
    """A chunk's bytes do not have the digest that the manifest lists."""

    def __init__(self, digest: str, source: str):
        super().__init__(f"chunk {digest[:12]} from {source or 'origin'} is corrupt")
        self.digest = digest
        self.source = source


class CorruptManifest(WasabideckError):
    """A manifest's bytes do not match its digest, or are not a valid manifest."""

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
        """Return the SHA-256 of the manifest's canonical JSON."""
        return hashlib.sha256(manifest_to_json(self)).hexdigest()

    @cached_property
    def chunk_indices(self) -> dict[str, list[int]]:
        """Return the indices of each chunk; equal chunks occur at several indices."""
        indices: dict[str, list[int]] = {}
        for index, digest in enumerate(self.chunks):
            indices.setdefault(digest, []).append(index)
        return indices


def manifest_to_json(manifest: Manifest) -> bytes:
    """Return the canonical JSON, from which the manifest's digest is computed."""
    table = {
        "model": manifest.model,
        "version": manifest.version,
        "chunk_bytes": manifest.chunk_bytes,
        "total_bytes": manifest.total_bytes,
        "chunks": list(manifest.chunks),
    }
    return json.dumps(table, sort_keys=True, separators=(",", ":")).encode()


def manifest_from_json(data: bytes, digest: str) -> Manifest:
    """Return the manifest encoded in the bytes, which must have the given digest.

    Raises
    ------
    CorruptManifest
        The bytes have another digest, or are not a manifest.
    """
    if hashlib.sha256(data).hexdigest() != digest:
        raise CorruptManifest(digest, "the bytes do not have this digest")
    try:
        table: Mapping = json.loads(data)
        chunks = tuple(table.pop("chunks"))
        manifest = Manifest(chunks=chunks, **table)
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise CorruptManifest(digest, str(exc)) from exc
    if not 0 < len(chunks) <= MAX_CHUNKS:
        raise CorruptManifest(digest, f"has an invalid number of chunks: {len(chunks)}")
    return manifest


def numbered_manifest_name(model: str, version: str | int) -> str:
    """Return the name by which a numbered version's manifest is requested.

    It never has the form of a digest.
    """
    return f"{model}/{version}"


def numbered_manifest_from_json(data: bytes, model: str, version: int) -> Manifest:
    """Return the manifest of a numbered version, whose digest is not known beforehand.

    Raises
    ------
    CorruptManifest
        The bytes are not a manifest, or are the manifest of another version.
    """
    digest = hashlib.sha256(data).hexdigest()
    manifest = manifest_from_json(data, digest)
    actual = numbered_manifest_name(manifest.model, manifest.version)
    if actual != numbered_manifest_name(model, version):
        raise CorruptManifest(digest, f"belongs to another version: {actual}")
    if not all(
        isinstance(c, str) and len(c) == DIGEST_CHARACTERS for c in manifest.chunks
    ):
        raise CorruptManifest(digest, "chunks must be digests")
    return manifest


@frozen
class ManifestReport:
    """A numbered version's manifest, as reported by one agent.

    Attributes
    ----------
    complete : bool
        Whether the agent holds all chunks, which shows that the manifest is valid.
    """

    manifest: Manifest
    complete: bool = False


def most_reported(reports: Sequence[ManifestReport]) -> Manifest | None:
    """Return the manifest that most agents report; None without reports.

    Each manifest may be corrupt since it was read, and the right digest is not known.
    A manifest of which an agent holds all chunks is valid: a corrupt one would list a
    chunk that nobody has. Among equally frequent manifests the earliest report wins.
    """
    complete = [report for report in reports if report.complete]
    counts = Counter(report.manifest.digest for report in complete or reports)
    if not counts:
        return None
    digest = max(counts, key=counts.__getitem__)
    return next(r.manifest for r in reports if r.manifest.digest == digest)


def confirmed_manifest(reports: Sequence[ManifestReport]) -> Manifest | None:
    """Return a manifest that two agents report, or one that holds all its chunks.

    None if there is no such manifest. A manifest that only one agent reports may be
    corrupt since it was read; a VM that used it would request a chunk that nobody has.
    """
    for report in reports:
        if report.complete:
            return report.manifest
    counts = Counter(report.manifest.digest for report in reports)
    return next((r.manifest for r in reports if counts[r.manifest.digest] > 1), None)


def chunk_digest(data: bytes) -> str:
    """Return the SHA-256 of a chunk's bytes, hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def verify_chunk(data: bytes, digest: str, source: str) -> None:
    """Raise ``CorruptChunk`` unless the bytes have the digest."""
    if chunk_digest(data) != digest:
        raise CorruptChunk(digest, source)
