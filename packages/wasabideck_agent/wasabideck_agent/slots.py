"""The server's slots, and the requests that wait for one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_policy.admission import AdmissionControl, admit, timeout_refusal
from wasabideck_policy.concurrency_limit import AdaptiveConcurrencyLimit
from wasabideck_policy.fair_queue import WaitingRequest
from wasabideck_policy.outcomes import NotRun

from .attempts import Attempt

__all__ = ["Slot", "Slots"]

# Other code changes whether requests are admitted, so this is polled at this interval
# while requests wait.
ADMISSION_POLL_INTERVAL_SECONDS = 0.25


@define
class Slots:
    """Assigns slots to waiting requests, in the order of the admission control.

    Attributes
    ----------
    limit : AdaptiveConcurrencyLimit or None
        Determines the capacity of a server that reports no load.
    """

    admission: AdmissionControl
    clock: Callable[[], float]
    limit: AdaptiveConcurrencyLimit | None = None
    _grants: dict[WaitingRequest, asyncio.Future] = field(factory=dict)
    _poll_task: asyncio.Task | None = None

    def refusal(self, attempt: Attempt) -> NotRun | None:
        """Return the refusal of a new attempt, or None if it may wait for a slot."""
        now = self.clock()
        return admit(self.admission, _waiting(attempt, now), now)

    async def acquire(self, attempt: Attempt) -> NotRun | None:
        """Wait for a slot; return a refusal, or None when the slot is acquired."""
        waiting = _waiting(attempt, self.clock())
        grant = asyncio.get_running_loop().create_future()
        self.admission.queue.add(waiting)
        self._grants[waiting] = grant
        self.assign()
        if self.admission.queue and (self._poll_task is None or self._poll_task.done()):
            self._poll_task = asyncio.create_task(self._poll_admission())
        try:
            return await asyncio.shield(grant)
        except asyncio.CancelledError:
            self._withdraw(waiting, grant)
            raise

    def release(self, seconds: float | None) -> None:
        """Release a slot and assign it to the next request.

        ``seconds`` is the time that the server took, or None if nothing ran.
        """
        if self.limit and seconds is not None:
            self.limit.observe(seconds, self.admission.running)
            self.admission.capacity = self.limit.slots
        self.admission.release_slot(seconds)
        self.assign()

    def assign(self) -> None:
        """Refuse requests that cannot end before their deadline; assign free slots."""
        now = self.clock()
        for waiting in self.admission.queue.expired(
            now, self.admission.service_seconds
        ):
            if self.admission.running or waiting.deadline <= now:
                self.admission.queue.remove(waiting)
                self._resolve(waiting, timeout_refusal(self.admission, waiting, now))
        while first := self.admission.start_next(now):
            self._resolve(first, None)
        self.admission.waiting = len(self.admission.queue)

    async def _poll_admission(self) -> None:
        """Assign slots periodically while requests wait.

        There may be no other trigger before the requests miss their deadlines.
        """
        while self.admission.queue:
            await asyncio.sleep(ADMISSION_POLL_INTERVAL_SECONDS)
            self.assign()

    def _resolve(self, waiting: WaitingRequest, refusal: NotRun | None) -> None:
        self._grants.pop(waiting).set_result(refusal)

    def _withdraw(self, waiting: WaitingRequest, grant: asyncio.Future) -> None:
        """Undo a cancelled wait; release its slot if it was already assigned."""
        if not grant.done():
            del self._grants[waiting]
            self.admission.queue.remove(waiting)
            self.admission.waiting = len(self.admission.queue)
        elif grant.result() is None:
            self.release(None)


@define
class Slot:
    """Context manager that holds one attempt's slot."""

    slots: Slots
    attempt: Attempt
    acquired_at: float | None = None

    async def __aenter__(self) -> NotRun | None:
        """Wait for the slot; return a refusal, or None when the slot is acquired."""
        refusal = await self.slots.acquire(self.attempt)
        if refusal is None:
            self.acquired_at = self.slots.clock()
        return refusal

    async def __aexit__(self, kind: type | None, *exc: object) -> None:
        """Release the slot if it was acquired."""
        if self.acquired_at is None:
            return
        ran = self.attempt.started and kind is None
        self.slots.release(self.slots.clock() - self.acquired_at if ran else None)


def _waiting(attempt: Attempt, now: float) -> WaitingRequest:
    req = attempt.req
    return WaitingRequest(req.organisation, req.priority, now, attempt.deadline)
