"""An entry's share of the retries that all entries together may send to a service."""

from __future__ import annotations

from collections import deque

from attrs import define, field

__all__ = ["RetryLimit"]

BUCKET_SECONDS = 0.5
# Fraction of the deployment's allowance that is used. The margin covers that entries
# count by their own clocks, and that attempts that an entry takes for lost on the way
# still count at the server.
USED_ALLOWANCE_RATIO = 0.7


@define
class RetryLimit:
    """Count of one service's requests and retries in a sliding window.

    Every entry spends at most what its own requests earned, and its part of the fixed
    allowance. Therefore the sum over all entries stays within the deployment's limit
    whatever each of them does, without any communication between them.

    Attributes
    ----------
    ratio : float
        Number of retries that one request earns.
    shared_allowance : float
        Additional retries that all entries together may make in a window.
    window_seconds : float
        Length of the window, seconds.
    """

    ratio: float
    shared_allowance: float
    window_seconds: float
    _buckets: deque[list[float]] = field(factory=deque)
    _requests: int = 0
    _retries: int = 0

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._bucket(now)[1] += 1
        self._requests += 1

    def try_spend(self, now: float, entries: int) -> bool:
        """Whether one more retry is within the limit; counts it if so."""
        bucket = self._bucket(now)
        if not self.allows_retry(now, entries):
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def allows_retry(self, now: float, entries: int) -> bool:
        """Whether one more retry would be within the limit."""
        self._bucket(now)
        allowed = self.ratio * self._requests + self.shared_allowance / max(entries, 1)
        return self._retries + 1 <= USED_ALLOWANCE_RATIO * allowed

    def _bucket(self, now: float) -> list[float]:
        while self._buckets and self._buckets[0][0] < now - self.window_seconds:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_SECONDS:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]
