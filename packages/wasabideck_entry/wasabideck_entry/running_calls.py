"""Ends calls that outlast the shutdown of their entry, each with a response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["EntryStopped", "RunningCalls"]


class EntryStopped(WasabideckError):
    """The entry ends before a call that it runs."""

    status = 504


@define
class RunningCalls:
    """Calls of which the entry has not sent the outcome yet."""

    _timeouts: set[asyncio.Timeout] = field(factory=set)
    _ended: bool = False

    @asynccontextmanager
    async def track(self) -> AsyncIterator[None]:
        """Run a call in the block; raise ``EntryStopped`` if the entry ends first."""
        timeout = asyncio.timeout(0.0 if self._ended else None)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        except TimeoutError as exc:
            if not timeout.expired():
                raise
            raise EntryStopped("the entry is shutting down") from exc
        finally:
            self._timeouts.discard(timeout)

    def end_all(self) -> None:
        """End all calls, also those that begin later."""
        self._ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
