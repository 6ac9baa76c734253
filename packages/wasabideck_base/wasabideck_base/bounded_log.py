"""Lines on standard output: bounded under load, and never waited for."""

from __future__ import annotations

import os
from collections.abc import Callable

import orjson
from attrs import define

__all__ = ["BoundedLog"]

# Lines a second on average and at once. At the target size an entry ends 8 requests
# a second; beyond that, successes are left out first, and every other line counts.
LINES_PER_SECOND = 40.0
MOST_AT_ONCE = 120.0
# Lines kept back for what changes beliefs, when requests have used up the rest.
KEPT_BACK = 40.0
# Kinds that tell of a single request; all others tell of what a process believes.
_OF_REQUESTS = ("request.", "attempt.")


@define
class BoundedLog:
    """Writes one line an event, or counts it as dropped.

    Attributes
    ----------
    dropped : int
        Lines that were left out since the last one that was written.
    """

    descriptor: int
    clock: Callable[[], float]
    dropped: int = 0
    _tokens: float = MOST_AT_ONCE
    _at: float = 0.0
    _rest: bytes = b""

    def __call__(self, message: dict) -> None:
        """Write one event if the budget and the reader allow it."""
        if not self._allowed(str(message.get("message_type", ""))):
            self.dropped += 1
            return
        if self.dropped:
            message = {**message, "dropped_before": self.dropped}
        line = orjson.dumps(message, default=str, option=orjson.OPT_NON_STR_KEYS)
        self._write(line + b"\n")

    def _allowed(self, kind: str) -> bool:
        now = self.clock()
        earned = (now - self._at) * LINES_PER_SECOND
        self._tokens, self._at = min(MOST_AT_ONCE, self._tokens + earned), now
        needed = KEPT_BACK if kind.startswith(_OF_REQUESTS) else 1.0
        if self._tokens < needed:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, line: bytes) -> None:
        data = self._rest + line
        try:
            written = os.write(self.descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            # Whoever reads has stopped: a request must not wait for it.
            self.dropped += 1
            return
        # The rest of a line that was cut short goes first the next time.
        self._rest = data[written:]
        if not self._rest:
            self.dropped = 0
