"""The server's slots, and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define
from wasabideck_policy.admission import Gate
from wasabideck_policy.outcomes import Failure, NotRun

from .attempts import Attempt

__all__ = ["Slot"]


@define
class Slot:
    """Waits for one of the server's slots; yields a refusal at the deadline."""

    gate: Gate
    free: asyncio.Condition
    attempt: Attempt
    clock: Callable[[], float]
    taken: bool = False

    async def __aenter__(self) -> NotRun | None:
        """Wait for a slot; the refusal, or None when it was taken."""
        self.gate.waiting += 1
        try:
            timeout = self.attempt.deadline - self.clock()
            async with self.free:
                await asyncio.wait_for(self.free.wait_for(self._may_run), timeout)
                self.gate.running += 1
                self.taken = True
        except TimeoutError:
            return NotRun(Failure("DeadlinePassed", "no slot before the deadline"))
        finally:
            self.gate.waiting -= 1
        return None

    async def __aexit__(self, *exc: object) -> None:
        """Give the slot back."""
        if self.taken:
            self.gate.running -= 1
            async with self.free:
                self.free.notify_all()

    def _may_run(self) -> bool:
        return self.gate.open and self.gate.running < self.gate.capacity
