"""A link of a fixed rate, shared by all who use it."""

from __future__ import annotations

import asyncio
import time

from attrs import define

__all__ = ["Pacer"]


@define
class Pacer:
    """Lets bytes through one after the other at a rate; 0 is no limit.

    Attributes
    ----------
    rate : float
        Bytes per second.
    """

    rate: float = 0.0
    _free_at: float = 0.0

    async def take(self, size: int) -> None:
        """Wait until this many bytes have gone through."""
        if not self.rate:
            return
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)
