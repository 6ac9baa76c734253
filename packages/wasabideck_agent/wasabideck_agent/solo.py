"""Runs suspects of crashing the server beside nothing else."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field

__all__ = ["Solo"]


@define
class Solo:
    """Requests share the server, but for a suspect, which has it alone.

    A suspect that waits goes before others that wait, or a busy server would never
    be free for it.
    """

    _shared: int = 0
    _alone: int = 0
    _waiting: int = 0
    _changed: asyncio.Condition = field(factory=asyncio.Condition)

    @asynccontextmanager
    async def running(self, alone: bool) -> AsyncIterator[None]:
        """Wait for the server, alone or shared, and hold it."""
        await (self._enter_alone() if alone else self._enter_shared())
        try:
            yield
        finally:
            self._alone -= alone
            self._shared -= not alone
            async with self._changed:
                self._changed.notify_all()

    async def _enter_alone(self) -> None:
        self._waiting += 1
        try:
            async with self._changed:
                await self._changed.wait_for(lambda: not self._shared + self._alone)
                self._alone += 1
        finally:
            self._waiting -= 1

    async def _enter_shared(self) -> None:
        if not self._alone + self._waiting:
            self._shared += 1
            return
        async with self._changed:
            await self._changed.wait_for(lambda: not self._alone + self._waiting)
            self._shared += 1
