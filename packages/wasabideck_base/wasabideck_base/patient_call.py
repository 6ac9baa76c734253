"""A call of a slow service that outlasts those who wait for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define

__all__ = ["PatientCall"]


@define
class PatientCall:
    """Makes one call at a time, which goes on when its caller stops waiting.

    Attributes
    ----------
    call : callable
        Makes the call and applies its result; handles its failures.
    """

    call: Callable[[], Awaitable[None]]
    _pending: asyncio.Task | None = None

    async def wait(self, seconds: float) -> None:
        """Wait for the pending call, or a new one, for some seconds at most."""
        if self._pending is None or self._pending.done():
            self._pending = asyncio.ensure_future(self.call())
        await asyncio.wait({self._pending}, timeout=seconds)
        if self._pending.done():
            self._pending.result()
