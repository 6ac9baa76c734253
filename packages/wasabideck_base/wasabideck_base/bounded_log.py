"""Rate-limited, non-blocking event log on standard output."""

from __future__ import annotations

import os
from collections.abc import Callable

import orjson
from attrs import define

__all__ = ["BoundedLog"]

# Sustained rate and burst of lines. At the target size an entry completes 8 requests a
# second. Beyond the limit, lines of single requests are dropped before all others.
MAX_LINES_PER_SECOND = 40.0
MAX_BURST_LINES = 120.0
# Lines reserved for changes of cluster state when requests have used up the rest.
RESERVED_LINES = 40.0
# Kinds of events about a single request; all others report changes of cluster state.
_REQUEST_KIND_PREFIXES = ("request.", "attempt.")
# Bytes of lines that a slow reader of the pipe has not taken yet.
MAX_UNWRITTEN_BYTES = 64 * 1024
# Characters of a text that are written. Clients choose some texts, such as the id of a
# request.
MAX_TEXT_CHARACTERS = 300


@define
class BoundedLog:
    """Token bucket log that writes one line per event or counts it as dropped.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the last line that was written.
    """

    descriptor: int
    clock: Callable[[], float]
    dropped: int = 0
    _tokens: float = MAX_BURST_LINES
    _refilled_at: float = 0.0
    _unwritten: bytes = b""

    def __call__(self, message: dict) -> None:
        """Write one event unless the rate limit or a blocked pipe prevents it."""
        if not self._take_token(str(message.get("message_type", ""))):
            self.dropped += 1
            return
        message = {name: _shortened(value) for name, value in message.items()}
        if self.dropped:
            message["dropped_before"] = self.dropped
        line = orjson.dumps(message, default=str, option=orjson.OPT_NON_STR_KEYS)
        self._write(line + b"\n")

    def _take_token(self, kind: str) -> bool:
        now = self.clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens, self._refilled_at = (
            min(MAX_BURST_LINES, self._tokens + refill),
            now,
        )
        needed = RESERVED_LINES if kind.startswith(_REQUEST_KIND_PREFIXES) else 1.0
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        data = self._unwritten + line
        if len(data) > MAX_UNWRITTEN_BYTES:
            self.dropped += 1
            data = self._unwritten
        try:
            written = os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # The reader of the pipe has stopped: a request must not wait for it.
            self.dropped += 1
            return
        # The rest of a partly written line is written before the next line.
        self._unwritten = data[written:]
        if not self._unwritten:
            self.dropped = 0


def _shortened(value: object) -> object:
    if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
        return value[:MAX_TEXT_CHARACTERS]
    return value
