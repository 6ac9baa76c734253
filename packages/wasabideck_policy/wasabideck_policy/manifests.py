"""Manifests: which chunks make one whole version of weights."""

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
    "Word",
    "agreed",
    "chunk_digest",
    "likeliest",
    "manifest_from_json",
    "manifest_to_json",
    "numbered_from_json",
    "numbered_name",
    "verify_chunk",
]

MAX_CHUNKS = 100_000
# Characters of a SHA-256 digest in hexadecimal.
DIGEST_LENGTH = 64


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
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise CorruptManifest(digest, str(exc)) from exc
    if not 0 < len(chunks) <= MAX_CHUNKS:
        raise CorruptManifest(digest, f"{len(chunks)} chunks")
    return manifest


def numbered_name(model: str, version: str | int) -> str:
    """What a numbered version's manifest is asked for by; never a digest's form."""
    return f"{model}/{version}"


def numbered_from_json(data: bytes, model: str, version: int) -> Manifest:
    """Manifest of a numbered version, whose digest nobody has named beforehand.

    Raises
    ------
    CorruptManifest
        The bytes are no manifest, or one of another version.
    """
    digest = hashlib.sha256(data).hexdigest()
    manifest = manifest_from_json(data, digest)
    named = numbered_name(manifest.model, manifest.version)
    if named != numbered_name(model, version):
        raise CorruptManifest(digest, f"is of {named}")
    if not all(isinstance(c, str) and len(c) == DIGEST_LENGTH for c in manifest.chunks):
        raise CorruptManifest(digest, "chunks must be digests")
    return manifest


@frozen
class Word:
    """What one agent says a numbered version's manifest is.

    Attributes
    ----------
    whole : bool
        Whether it holds all chunks of it, which shows that the manifest is good.
    """

    manifest: Manifest
    whole: bool = False


def likeliest(words: Sequence[Word]) -> Manifest | None:
    """The manifest that most say; none when nobody says anything.

    Any of them may have been read spoilt, and nothing names the right digest. One
    that somebody holds whole is right: a spoilt one names a chunk that nobody has.
    The earlier word wins among as many.
    """
    shown = [word for word in words if word.whole]
    counted = Counter(word.manifest.digest for word in shown or words)
    if not counted:
        return None
    digest = max(counted, key=counted.__getitem__)
    return next(w.manifest for w in words if w.manifest.digest == digest)


def agreed(words: Sequence[Word]) -> Manifest | None:
    """A manifest that one agent holds whole, or that two say; none if there is none.

    A single word may have been read spoilt, and whoever takes it fetches a chunk that
    nobody has.
    """
    for word in words:
        if word.whole:
            return word.manifest
    counted = Counter(word.manifest.digest for word in words)
    return next((w.manifest for w in words if counted[w.manifest.digest] > 1), None)


def chunk_digest(data: bytes) -> str:
    """SHA-256 of a chunk's bytes, hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def verify_chunk(data: bytes, digest: str, source: str) -> None:
    """Raise ``CorruptChunk`` unless the bytes have the digest."""
    if chunk_digest(data) != digest:
        raise CorruptChunk(digest, source)
