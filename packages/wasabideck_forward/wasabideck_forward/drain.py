"""The time in which an entry that shuts down finishes the requests that it has."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field

__all__ = ["Drain"]


@define
class Drain:
    """Progress of an entry's graceful shutdown.

    Attributes
    ----------
    started_at : float or None
        When it started, in seconds; None while the entry is not shutting down.
    admits_all_until : float
        Until when requests are admitted that could outlast the drain, in seconds.
    ends_at : float
        When the requests that are still open are given up, in seconds.
    given_up_count : int
        Number of requests that were given up at the end.
    """

    started_at: float | None = None
    admits_all_until: float = math.inf
    ends_at: float = math.inf
    given_up_count: int = 0
    _timeouts: set[asyncio.Timeout] = field(factory=set)

    def start(self, now: float, admission_seconds: float, seconds: float) -> None:
        """Begin to shut down.

        Parameters
        ----------
        admission_seconds : float
            For how long requests are admitted that could outlast the drain.
        seconds : float
            Duration of the drain.
        """
        self.started_at = now
        self.admits_all_until = now + min(admission_seconds, seconds)
        self.ends_at = now + seconds
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), self.ends_at))

    def may_admit(self, expires_at: float, now: float) -> bool:
        """Whether a request that expires at this time may still be served."""
        return now < self.admits_all_until or expires_at <= self.ends_at

    @asynccontextmanager
    async def time_limit(self, expires_at: float) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at this time, or at the end of the drain if earlier.

        The drain may start meanwhile.
        """
        async with asyncio.timeout_at(min(expires_at, self.ends_at)) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def seconds(self, now: float) -> float | None:
        """Return for how long the entry has been shutting down; None if it isn't."""
        return None if self.started_at is None else now - self.started_at
