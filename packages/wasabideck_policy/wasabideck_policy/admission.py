"""Admission control at the agent, through which all traffic to a server passes."""

from __future__ import annotations

from attrs import define, field

from .fair_queue import MOST_URGENT, FairQueue, WaitingRequest
from .outcomes import Failure, NotRun

__all__ = ["OVERLOADED", "SHARE_USED", "AdmissionControl", "admit", "timeout_refusal"]

SMOOTHING_FACTOR = 0.1
RESERVED_SLOTS_DIVISOR = 4
RESERVE_SECONDS = 30.0
# Maximum fraction of the slots that more urgent classes are expected to take.
MAX_OVERTAKEN_RATIO = 0.9
MIN_RETRY_AFTER_SECONDS = 0.1
QUEUED_SLACK_RATIO = 0.5
OVERLOADED = "Overloaded"
SHARE_USED = "ShareUsed"


@define
class AdmissionControl:
    """State on which an agent bases the admission of a request.

    Attributes
    ----------
    capacity : int
        Number of requests that the server runs concurrently.
    service_seconds : float
        Smoothed duration of one request, seconds.
    reserve_until : float
        Until when slots are reserved for the most urgent class.
    """

    capacity: int
    service_seconds: float = 0.1
    running: int = 0
    waiting: int = 0
    accepting: bool = False
    draining: bool = False
    reserve_until: float = 0.0
    queue: FairQueue = field(factory=FairQueue)
    _start_ratios: dict[int, float] = field(factory=dict)

    def slots(self, priority: int, now: float) -> int:
        """Return the number of slots that a class may use.

        A burst of lower classes uses every slot that it may, and the next request of
        the most urgent class (a dispute) would wait for one of them to end. Therefore
        some slots are reserved for that class while any requests of it arrive.
        """
        reserved = (
            self.capacity // RESERVED_SLOTS_DIVISOR if now < self.reserve_until else 0
        )
        return self.capacity if priority == MOST_URGENT else self.capacity - reserved

    def start_next(self, now: float) -> WaitingRequest | None:
        """Return the request that may start now, if any, and assign it a slot."""
        first = self.queue.first(now)
        if first is None or not self._may_start(first, now):
            return None
        self.queue.dequeue(first, now)
        self.running += 1
        self._count_start(first.priority)
        return first

    def release_slot(self, seconds: float | None) -> None:
        """Release a slot; ``seconds`` is how long its request ran, if it did."""
        self.running -= 1
        if seconds is not None:
            self.service_seconds += SMOOTHING_FACTOR * (seconds - self.service_seconds)

    def expected_wait(self, waiting: WaitingRequest, now: float) -> float:
        """Return the seconds until a request that arrives now would get a slot."""
        slots = self.slots(waiting.priority, now)
        position = self.queue.count_ahead(waiting, now) + 1 - (slots - self.running)
        if position <= 0:
            return 0.0
        # More urgent requests that arrive while it waits start before it.
        usable = slots * (1 - self._overtaken_ratio(waiting.current_class(now)))
        return position * self.service_seconds / max(usable, 1e-9)

    def _may_start(self, first: WaitingRequest, now: float) -> bool:
        return self.accepting and self.running < self.slots(first.priority, now)

    def _count_start(self, priority: int) -> None:
        for known in {priority, *self._start_ratios}:
            ratio = self._start_ratios.get(known, 0.0)
            self._start_ratios[known] = ratio + SMOOTHING_FACTOR * (
                (known == priority) - ratio
            )

    def _overtaken_ratio(self, current_class: int) -> float:
        ratio = sum(
            r for priority, r in self._start_ratios.items() if priority < current_class
        )
        return min(MAX_OVERTAKEN_RATIO, ratio)


def admit(
    admission: AdmissionControl, waiting: WaitingRequest, now: float
) -> NotRun | None:
    """Return None if the request may wait or run, and otherwise its final refusal."""
    if admission.draining:
        return NotRun(Failure("Leaving", "the server is shutting down"))
    if not admission.accepting:
        return NotRun(Failure("NotServing", "no complete version in effect"), 1.0)
    if waiting.priority == MOST_URGENT:
        admission.reserve_until = now + RESERVE_SECONDS
    wait = admission.expected_wait(waiting, now)
    slack = waiting.deadline - now - admission.service_seconds
    # An organisation that already has waiting requests may use only half of the
    # remaining time, so that the queue always has room behind them for the first
    # request of another organisation.
    queued = admission.queue.has_waiting(waiting.organisation)
    excess = wait - (slack * QUEUED_SLACK_RATIO if queued else slack)
    if not wait or excess <= 0:
        return None
    # The organisation's share is used up at other servers too. A retry there would be
    # charged to the same retry budget as those of organisations that have room.
    kind = SHARE_USED if queued else OVERLOADED
    detail = f"expected wait {wait:.2f} s"
    return NotRun(Failure(kind, detail), max(MIN_RETRY_AFTER_SECONDS, excess))


def timeout_refusal(
    admission: AdmissionControl, waiting: WaitingRequest, now: float
) -> NotRun:
    """Return the final refusal of a waiting request that can no longer end in time."""
    wait = max(MIN_RETRY_AFTER_SECONDS, admission.expected_wait(waiting, now))
    return NotRun(Failure(OVERLOADED, "no slot became free in time"), wait)
