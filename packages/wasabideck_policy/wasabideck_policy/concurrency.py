"""How many requests a server takes at once, where it reports no load."""

from __future__ import annotations

from attrs import define

__all__ = ["AdaptiveLimit"]

SMOOTHING = 0.1
QUEUE_LOW = 0.5
QUEUE_HIGH = 1.5
DECREASE = 0.25
# After so many requests the limit is halved for a moment and the least time measured
# anew. A server that became slower for good would else be held at one request, and
# a least time that only fades lets the limit creep up for as long as it is used up.
PROBE_EVERY = 200


@define
class AdaptiveLimit:
    """Limit that follows how long requests take.

    Requests that queue inside the server make it answer later than it can: from
    the least and the present time follows how many of them queue there. The limit
    falls while too many do, and grows while it is used up and hardly any does.

    Attributes
    ----------
    least_seconds : float
        Time of a request that met no queue.
    """

    limit: float
    most: float
    least: float = 1.0
    least_seconds: float = 0.0
    seconds: float = 0.0
    _seen: int = 0

    def observe(self, seconds: float, running: int) -> None:
        """Note how long a request took, and how many ran when it ended."""
        if not self.seconds:
            self.least_seconds = self.seconds = seconds
        self._seen += 1
        if self._seen % PROBE_EVERY == 0:
            self.limit = max(self.least, self.limit / 2)
            self.least_seconds = self.seconds = seconds
        self.least_seconds = min(self.least_seconds, seconds)
        self.seconds += SMOOTHING * (seconds - self.seconds)
        queued = self.limit * (1 - self.least_seconds / max(self.seconds, 1e-9))
        if queued > QUEUE_HIGH:
            self.limit = max(self.least, self.limit - DECREASE)
        elif queued < QUEUE_LOW and running >= int(self.limit):
            self.limit = min(self.most, self.limit + 1 / self.limit)

    @property
    def slots(self) -> int:
        """Whole requests at once."""
        return max(1, int(self.limit))
