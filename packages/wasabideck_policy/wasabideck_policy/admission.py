"""Admission at the agent, where all entries' traffic to a server meets."""

from __future__ import annotations

from attrs import define, field

from .fair_queue import MOST_URGENT, FairQueue, Waiting
from .outcomes import Failure, NotRun

__all__ = ["OVERLOADED", "SHARE_USED", "Gate", "admit", "late_refusal"]

SMOOTHING = 0.1
RESERVED_SHARE = 4
RESERVE_SECONDS = 30.0
# At most this share of the slots is taken to be passed over to more urgent classes.
MOST_OVERTAKEN = 0.9
LEAST_RETRY_AFTER = 0.1
QUEUED_SHARE = 0.5
OVERLOADED = "Overloaded"
SHARE_USED = "ShareUsed"


@define
class Gate:
    """What an agent weighs before it takes a request.

    Attributes
    ----------
    capacity : int
        Requests that the server runs at once.
    service_time : float
        Smoothed seconds that one request takes.
    urgent_until : float
        While now is before it, slots are kept free for the most urgent class.
    """

    capacity: int
    service_time: float = 0.1
    running: int = 0
    waiting: int = 0
    open: bool = False
    leaving: bool = False
    urgent_until: float = 0.0
    queue: FairQueue = field(factory=FairQueue)
    _starts: dict[int, float] = field(factory=dict)

    def slots(self, priority: int, now: float) -> int:
        """Slots that a class may fill.

        A burst of lower classes fills every slot that it may, and the next dispute
        would wait for one of them to end. So some slots are kept for the most
        urgent class, as long as any of it comes.
        """
        reserved = self.capacity // RESERVED_SHARE if now < self.urgent_until else 0
        return self.capacity if priority == MOST_URGENT else self.capacity - reserved

    def next(self, now: float) -> Waiting | None:
        """The request that may begin now, if any; it is given its slot."""
        first = self.queue.first(now)
        if first is None or not self._may_begin(first, now):
            return None
        self.queue.take(first, now)
        self.running += 1
        self._count_start(first.priority)
        return first

    def end(self, seconds: float | None) -> None:
        """Give a slot back; ``seconds`` is what the server took, if it ran."""
        self.running -= 1
        if seconds is not None:
            self.service_time += SMOOTHING * (seconds - self.service_time)

    def expected_wait(self, waiting: Waiting, now: float) -> float:
        """Seconds until a request that comes now would be given a slot."""
        slots = self.slots(waiting.priority, now)
        place = self.queue.ahead_of(waiting, now) + 1 - (slots - self.running)
        if place <= 0:
            return 0.0
        # More urgent requests that come while it waits begin before it.
        pace = slots * (1 - self._overtaken(waiting.level(now)))
        return place * self.service_time / max(pace, 1e-9)

    def _may_begin(self, first: Waiting, now: float) -> bool:
        return self.open and self.running < self.slots(first.priority, now)

    def _count_start(self, priority: int) -> None:
        for known in {priority, *self._starts}:
            share = self._starts.get(known, 0.0)
            self._starts[known] = share + SMOOTHING * ((known == priority) - share)

    def _overtaken(self, level: int) -> float:
        share = sum(s for priority, s in self._starts.items() if priority < level)
        return min(MOST_OVERTAKEN, share)


def admit(gate: Gate, waiting: Waiting, now: float) -> NotRun | None:
    """None when the request may wait or run; else its final refusal, at once."""
    if gate.leaving:
        return NotRun(Failure("Leaving", "the server is leaving"))
    if not gate.open:
        return NotRun(Failure("NotServing", "no whole version in force"), 1.0)
    if waiting.priority == MOST_URGENT:
        gate.urgent_until = now + RESERVE_SECONDS
    wait = gate.expected_wait(waiting, now)
    slack = waiting.deadline - now - gate.service_time
    # Whoever has requests waiting already may fill half of the time that is left, so
    # that the first request of another organisation always finds room behind them.
    queued = gate.queue.waits(waiting.organisation)
    missing = wait - (slack * QUEUED_SHARE if queued else slack)
    if not wait or missing <= 0:
        return None
    # Its organisation's share is used up at other servers too, and a retry there
    # would be paid from the same budget as those of organisations that find room.
    kind = SHARE_USED if queued else OVERLOADED
    detail = f"expected wait {wait:.2f} s"
    return NotRun(Failure(kind, detail), max(LEAST_RETRY_AFTER, missing))


def late_refusal(gate: Gate, waiting: Waiting, now: float) -> NotRun:
    """Final refusal of a request that waited, and can no longer end in time."""
    wait = max(LEAST_RETRY_AFTER, gate.expected_wait(waiting, now))
    return NotRun(Failure(OVERLOADED, "no slot in time"), wait)
