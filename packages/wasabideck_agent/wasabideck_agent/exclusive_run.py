"""Runs requests suspected of crashing servers while no other request runs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field

__all__ = ["ExclusiveRun"]


@define
class ExclusiveRun:
    """A lock that most requests share and a suspected request holds exclusively.

    A suspected request that waits goes ahead of other waiting requests. Otherwise a
    busy server would never become free for it.
    """

    _shared: int = 0
    _exclusive: int = 0
    _exclusive_waiting: int = 0
    _changed: asyncio.Condition = field(factory=asyncio.Condition)

    @asynccontextmanager
    async def hold(self, exclusive: bool) -> AsyncIterator[None]:
        """Acquire the server, exclusively or shared, and hold it."""
        await (self._acquire_exclusive() if exclusive else self._acquire_shared())
        try:
            yield
        finally:
            self._exclusive -= exclusive
            self._shared -= not exclusive
            async with self._changed:
                self._changed.notify_all()

    async def _acquire_exclusive(self) -> None:
        self._exclusive_waiting += 1
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: not self._shared + self._exclusive)
                self._exclusive += 1
        finally:
            self._exclusive_waiting -= 1

    async def _acquire_shared(self) -> None:
        if not self._exclusive + self._exclusive_waiting:
            self._shared += 1
            return
        async with self._changed:
            await self._changed.wait_for(
                lambda: not self._exclusive + self._exclusive_waiting
            )
            self._shared += 1
