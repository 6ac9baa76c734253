"""Adaptive concurrency limit for a server that reports no load."""

from __future__ import annotations

from attrs import define

__all__ = ["AdaptiveConcurrencyLimit"]

SMOOTHING_FACTOR = 0.1
MIN_QUEUED_REQUESTS = 0.5
MAX_QUEUED_REQUESTS = 1.5
LIMIT_DECREASE = 0.25
# Number of requests after which the limit is halved for a moment and the minimum
# duration is measured again. Without that, a server that became permanently slower
# would be limited to one request. If the minimum duration merely decayed, the limit
# would keep growing while it is fully used.
PROBE_INTERVAL_REQUESTS = 200


@define
class AdaptiveConcurrencyLimit:
    """Concurrency limit that depends on the duration of requests.

    Requests that queue inside the server increase the duration of its responses. The
    number of queued requests is derived from the minimum and the current duration. The
    limit decreases while too many requests queue there, and increases while it is fully
    used and hardly any request queues.

    Attributes
    ----------
    min_seconds : float
        Duration of a request that did not queue.
    """

    limit: float
    max_limit: float
    min_limit: float = 1.0
    min_seconds: float = 0.0
    seconds: float = 0.0
    _observed: int = 0

    def observe(self, seconds: float, running: int) -> None:
        """Record a request's duration and the number of running requests at its end."""
        if not self.seconds:
            self.min_seconds = self.seconds = seconds
        self._observed += 1
        if self._observed % PROBE_INTERVAL_REQUESTS == 0:
            self.limit = max(self.min_limit, self.limit / 2)
            self.min_seconds = self.seconds = seconds
        self.min_seconds = min(self.min_seconds, seconds)
        self.seconds += SMOOTHING_FACTOR * (seconds - self.seconds)
        queued = self.limit * (1 - self.min_seconds / max(self.seconds, 1e-9))
        if queued > MAX_QUEUED_REQUESTS:
            self.limit = max(self.min_limit, self.limit - LIMIT_DECREASE)
        elif queued < MIN_QUEUED_REQUESTS and running >= int(self.limit):
            self.limit = min(self.max_limit, self.limit + 1 / self.limit)

    @property
    def slots(self) -> int:
        """Number of requests that may run concurrently, at least 1."""
        return max(1, int(self.limit))
