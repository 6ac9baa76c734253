"""An entry's share of the tries that all entries may add to a service together."""

from __future__ import annotations

from collections import deque

from attrs import define, field

__all__ = ["RetryShare"]

BUCKET_SECONDS = 0.5
# Part of the fleet's allowance that is used: entries count on their own clocks, and
# arrivals that were lost on the way still count at the server.
USED_PART = 0.7


@define
class RetryShare:
    """Counts one service's requests and repeats in a sliding window.

    Every entry spends at most what it earned by its own requests, and its part of
    the fixed allowance. So the sum over all entries stays within the fleet's limit
    whatever the others do, without a word between them.

    Attributes
    ----------
    ratio : float
        Repeats that one request earns.
    slack : float
        Repeats that all entries together may make beside that, in a window.
    window : float
        Length of the window, seconds.
    """

    ratio: float
    slack: float
    window: float
    _buckets: deque[list[float]] = field(factory=deque)
    _requests: int = 0
    _repeats: int = 0

    def request(self, now: float) -> None:
        """Count a caller's request."""
        self._bucket(now)[1] += 1
        self._requests += 1

    def may_repeat(self, now: float, entries: int) -> bool:
        """Whether one more repeat fits; counts it if so."""
        bucket = self._bucket(now)
        if not self.has_room(now, entries):
            return False
        bucket[2] += 1
        self._repeats += 1
        return True

    def has_room(self, now: float, entries: int) -> bool:
        """Whether one more repeat would fit."""
        self._bucket(now)
        allowed = self.ratio * self._requests + self.slack / max(entries, 1)
        return self._repeats + 1 <= USED_PART * allowed

    def _bucket(self, now: float) -> list[float]:
        while self._buckets and self._buckets[0][0] < now - self.window:
            _, requests, repeats = self._buckets.popleft()
            self._requests -= requests
            self._repeats -= repeats
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_SECONDS:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]
