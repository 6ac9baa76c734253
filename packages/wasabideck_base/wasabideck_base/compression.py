"""Compression of declaration contents that the system's own processes exchange."""

from __future__ import annotations

import zlib
from functools import lru_cache

from wasabideck_policy.outcomes import WasabideckError

__all__ = ["MAX_CONTENT_BYTES", "MalformedContent", "compress", "decompress"]

# The fastest level: entries compress a new configuration while callers wait.
COMPRESSION_LEVEL = 1
# Equal to the maximum size of one message of the inner protocol.
MAX_CONTENT_BYTES = 8 << 20
# Several compressed contents are cached: the newest configuration is sent to many
# peers, and an earlier one may still be sent meanwhile.
MAX_CACHED_CONTENTS = 4


class MalformedContent(WasabideckError):
    """The bytes are not a compressed content, or the content is too large."""

    def __init__(self, key: str, why: str):
        super().__init__(f"{key}: {why}")
        self.key = key


@lru_cache(MAX_CACHED_CONTENTS)
def compress(content: bytes) -> bytes:
    """Return the content compressed."""
    return zlib.compress(content, COMPRESSION_LEVEL)


def decompress(key: str, data: bytes) -> bytes:
    """Return the decompressed content; raises ``MalformedContent``."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as exc:
        raise MalformedContent(key, str(exc)) from exc
    if not decompressor.eof:
        why = "too large" if decompressor.unconsumed_tail else "data is truncated"
        raise MalformedContent(key, why)
    return content
