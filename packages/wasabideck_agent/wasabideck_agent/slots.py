"""The server's slots, and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_policy.admission import Gate, admit, late_refusal
from wasabideck_policy.concurrency import AdaptiveLimit
from wasabideck_policy.fair_queue import Waiting
from wasabideck_policy.outcomes import NotRun

from .attempts import Attempt

__all__ = ["Slot", "Slots"]

# The gate is opened elsewhere; it is looked at this often while requests wait.
LOOK_SECONDS = 0.25


@define
class Slots:
    """Gives the slots to the requests that wait, in the order of the gate.

    Attributes
    ----------
    limit : AdaptiveLimit or None
        What the capacity follows where the server reports no load.
    """

    gate: Gate
    clock: Callable[[], float]
    limit: AdaptiveLimit | None = None
    _woken: dict[Waiting, asyncio.Future] = field(factory=dict)
    _looking: asyncio.Task | None = None

    def refusal(self, attempt: Attempt) -> NotRun | None:
        """Final refusal of an attempt that just came; None when it may wait."""
        now = self.clock()
        return admit(self.gate, _waiting(attempt, now), now)

    async def take(self, attempt: Attempt) -> NotRun | None:
        """Wait for a slot; the refusal, or None when it was taken."""
        waiting = _waiting(attempt, self.clock())
        woken = asyncio.get_running_loop().create_future()
        self.gate.queue.add(waiting)
        self._woken[waiting] = woken
        self.give()
        if self.gate.queue and (self._looking is None or self._looking.done()):
            self._looking = asyncio.create_task(self._look())
        try:
            return await asyncio.shield(woken)
        except asyncio.CancelledError:
            self._forget(waiting, woken)
            raise

    def release(self, seconds: float | None) -> None:
        """Give a slot back, and pass it on."""
        if self.limit and seconds is not None:
            self.limit.observe(seconds, self.gate.running)
            self.gate.capacity = self.limit.slots
        self.gate.end(seconds)
        self.give()

    def give(self) -> None:
        """Refuse who can no longer end in time; give free slots to the next."""
        now = self.clock()
        for waiting in self.gate.queue.late(now, self.gate.service_time):
            if self.gate.running or waiting.deadline <= now:
                self.gate.queue.remove(waiting)
                self._wake(waiting, late_refusal(self.gate, waiting, now))
        while first := self.gate.next(now):
            self._wake(first, None)
        self.gate.waiting = len(self.gate.queue)

    async def _look(self) -> None:
        """Look after those who wait: nothing else may happen until they are late."""
        while self.gate.queue:
            await asyncio.sleep(LOOK_SECONDS)
            self.give()

    def _wake(self, waiting: Waiting, refusal: NotRun | None) -> None:
        self._woken.pop(waiting).set_result(refusal)

    def _forget(self, waiting: Waiting, woken: asyncio.Future) -> None:
        """Undo a wait that was cancelled, also one that had got its slot."""
        if not woken.done():
            del self._woken[waiting]
            self.gate.queue.remove(waiting)
            self.gate.waiting = len(self.gate.queue)
        elif woken.result() is None:
            self.release(None)


@define
class Slot:
    """One attempt's slot: taken on entering, given back on leaving."""

    slots: Slots
    attempt: Attempt
    began: float | None = None

    async def __aenter__(self) -> NotRun | None:
        """Wait for the slot; the refusal, or None when it was taken."""
        refusal = await self.slots.take(self.attempt)
        if refusal is None:
            self.began = self.slots.clock()
        return refusal

    async def __aexit__(self, kind: type | None, *exc: object) -> None:
        """Give the slot back."""
        if self.began is None:
            return
        ran = self.attempt.started and kind is None
        self.slots.release(self.slots.clock() - self.began if ran else None)


def _waiting(attempt: Attempt, now: float) -> Waiting:
    req = attempt.req
    return Waiting(req.organisation, req.priority, now, attempt.deadline)
