"""Limit on the late requests that an entry sends to engines, and that it queues.

A late request earns a fraction of one in time. At an engine it takes a slot for
seconds, and reading its prompt delays all other requests there. After an outage, all
requests that it made late arrive at once: sent on as they arrive, they take all slots,
and the requests that follow are late too, for eight seconds instead of two. Therefore
each entry sends only a few late requests that wait for their first event, and only to
free slots. The others wait in a queue that holds as many as will probably be sent in
time; the rest are refused immediately, so that their callers can retry later.
"""

from __future__ import annotations

from collections.abc import Hashable
from math import exp

from attrs import define, field

__all__ = ["LateRequestLimiter"]

# Time constant over which the rate of sent late requests is measured.
RATE_WINDOW_SECONDS = 1.5
# Queue capacity while no late request has been sent yet.
MIN_QUEUE_LENGTH = 1


@define
class LateRequestLimiter:
    """Late requests of one entry: sent but not started by an engine, and queued."""

    _unstarted: set[Hashable] = field(factory=set)
    _queue: set[Hashable] = field(factory=set)
    _sent: float = 0.0
    _counted_at: float = 0.0

    def may_send(self, engines: int, entries: int) -> bool:
        """Whether one more late request may be sent.

        Parameters
        ----------
        engines, entries : int
            Number of engines that may serve it, and of entries that send to them.
        """
        return len(self._unstarted) < max(1, engines // max(entries, 1))

    def try_enqueue(self, request: Hashable, seconds: float, now: float) -> bool:
        """Whether a request may wait in the queue; adds it to the queue if so.

        Parameters
        ----------
        seconds : float
            How long it can wait before it is sent.
        """
        if request in self._queue:
            return True
        self._decay(now)
        expected = int(self._sent / RATE_WINDOW_SECONDS * seconds)
        if len(self._queue) >= MIN_QUEUE_LENGTH + expected:
            return False
        self._queue.add(request)
        return True

    def record_sent(self, request: Hashable, now: float) -> None:
        """Record that a late request is sent."""
        self._queue.discard(request)
        self._unstarted.add(request)
        self._decay(now)
        self._sent += 1

    def record_started(self, request: Hashable) -> None:
        """Record that the first event was received, even if the request is queued."""
        self._queue.discard(request)
        self._unstarted.discard(request)

    def record_ended(self, request: Hashable) -> None:
        """Record that a request has ended, whether it was queued or sent."""
        self._queue.discard(request)
        self._unstarted.discard(request)

    def _decay(self, now: float) -> None:
        self._sent *= exp((self._counted_at - now) / RATE_WINDOW_SECONDS)
        self._counted_at = now
