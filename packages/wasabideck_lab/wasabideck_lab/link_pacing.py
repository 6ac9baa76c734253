"""A simulated network link of a fixed rate, shared by all its users."""

from __future__ import annotations

import asyncio
import time

from attrs import define

__all__ = ["Pacer"]


@define
class Pacer:
    """Limits the throughput of all transmissions together; a rate of 0 is no limit.

    Attributes
    ----------
    bytes_per_second : float
        Throughput of the link; 0 is unlimited.
    """

    bytes_per_second: float = 0.0
    _free_at: float = 0.0

    async def transmit(self, size: int) -> None:
        """Wait until this many bytes have been transmitted."""
        if not self.bytes_per_second:
            return
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self.bytes_per_second
        await asyncio.sleep(self._free_at - now)
