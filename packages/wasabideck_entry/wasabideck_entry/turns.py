"""Shares processor time between connections that have much input to parse."""

from __future__ import annotations

import asyncio

from attrs import define, field

__all__ = ["TurnQueue"]


@define(eq=False)
class TurnQueue:
    """Lets the tasks of connections go on with their input one after the other.

    One of them goes on in each iteration of the event loop. So an iteration takes no
    longer if many wait, and those that have little input, and do not wait, are served
    between two turns.
    """

    # In the order of arrival; a dict, as those that are cancelled leave it.
    _waiting: dict[asyncio.Future, None] = field(factory=dict)
    _is_scheduled: bool = False

    async def wait(self) -> None:
        """Wait for a turn."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[fut] = None
        self._schedule()
        try:
            await fut
        finally:
            self._waiting.pop(fut, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._wake_next)

    def _wake_next(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        fut = next(iter(self._waiting))
        del self._waiting[fut]
        # It may have been cancelled in this iteration.
        if not fut.done():
            fut.set_result(None)
        self._schedule()
