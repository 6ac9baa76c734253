"""Order in which waiting requests get a server's slots.

Priority classes are strict, with aging. Within a class, slots are divided fairly by
what each organisation has used, so that none of them can starve the others.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

__all__ = ["AGING_SECONDS", "MOST_URGENT", "FairQueue", "WaitingRequest"]

MOST_URGENT = 0
# Each time a request has waited this long, it is raised by one class, but never into
# the most urgent one: otherwise greetings would delay a dispute.
AGING_SECONDS = 3.0
SMOOTHING_FACTOR = 0.02
MIN_ACTIVE_RATIO = 0.01


@frozen(eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes
    ----------
    arrived_at : float
        Arrival time, seconds.
    deadline : float
        When its response must be complete, seconds.
    """

    organisation: str
    priority: int
    arrived_at: float
    deadline: float

    def current_class(self, now: float) -> int:
        """Return its priority class now; the number decreases while it waits."""
        if self.priority == MOST_URGENT:
            return MOST_URGENT
        raised = int((now - self.arrived_at) / AGING_SECONDS)
        return max(MOST_URGENT + 1, self.priority - raised)


@define
class _FairClass:
    """Start-time fair queueing of one class; each request counts one unit.

    Attributes
    ----------
    ratios : dict of str to float
        Smoothed fraction of the latest starts that each organisation got.
    """

    virtual_time: float = 0.0
    finish_times: dict[str, float] = field(factory=dict)
    ratios: dict[str, float] = field(factory=dict)

    def start_time(self, organisation: str) -> float:
        """Return the virtual start time of an organisation's next request.

        An organisation that was idle starts at the present virtual time and not in the
        past: unused slots are not saved up.
        """
        return max(self.virtual_time, self.finish_times.get(organisation, 0.0))

    def count_start(self, organisation: str) -> None:
        """Record that a request of an organisation starts."""
        self.virtual_time = self.start_time(organisation)
        self.finish_times[organisation] = self.virtual_time + 1.0
        for known in {organisation, *self.ratios}:
            ratio = self.ratios.get(known, 0.0)
            self.ratios[known] = ratio + SMOOTHING_FACTOR * (
                (known == organisation) - ratio
            )

    def starts_per_own(self, organisation: str) -> float:
        """Return the starts in the class per start of an organisation that waits."""
        active = sum(ratio > MIN_ACTIVE_RATIO for ratio in self.ratios.values())
        ratio = self.ratios.get(organisation, 0.0)
        return max(1.0, min(float(active), 1 / max(ratio, MIN_ACTIVE_RATIO)))


@define
class FairQueue:
    """Requests that wait at one server."""

    _waiting: list[WaitingRequest] = field(factory=list)
    _classes: dict[int, _FairClass] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a waiting request."""
        self._waiting.append(waiting)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that was cancelled, or that got its slot."""
        self._waiting.remove(waiting)

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that is next, without removing it."""
        return min(self._waiting, key=self._sort_key(now), default=None)

    def dequeue(self, waiting: WaitingRequest, now: float) -> None:
        """Remove a request that starts, and count its start."""
        self.remove(waiting)
        fair_class = self._classes.setdefault(waiting.current_class(now), _FairClass())
        fair_class.count_start(waiting.organisation)

    def has_waiting(self, organisation: str) -> bool:
        """Whether an organisation has a waiting request."""
        return any(w.organisation == organisation for w in self._waiting)

    def count_ahead(self, waiting: WaitingRequest, now: float) -> int:
        """Return how many requests would get a slot before one that arrives now."""
        current_class = waiting.current_class(now)
        urgent = sum(w.current_class(now) < current_class for w in self._waiting)
        queues = Counter(
            w.organisation
            for w in self._waiting
            if w.current_class(now) == current_class
        )
        own = queues.pop(waiting.organisation, 0)
        # Slots are divided fairly between the organisations: of each other
        # organisation's queue, at most as many requests start first as this one has.
        same = own + sum(min(n, own + 1) for n in queues.values())
        # Small organisations rarely have waiting requests, but use slots all the same:
        # the queues hold fewer requests now than will start first in the end.
        fair_class = self._classes.setdefault(current_class, _FairClass())
        return urgent + max(
            same, int(own * fair_class.starts_per_own(waiting.organisation))
        )

    def expired(self, now: float, service_time: float) -> list[WaitingRequest]:
        """Return the requests that could not end in time even if they started now."""
        return [w for w in self._waiting if now + service_time > w.deadline]

    def _sort_key(
        self, now: float
    ) -> Callable[[WaitingRequest], tuple[int, float, float]]:
        def key(waiting: WaitingRequest) -> tuple[int, float, float]:
            current_class = waiting.current_class(now)
            fair_class = self._classes.setdefault(current_class, _FairClass())
            return (
                current_class,
                fair_class.start_time(waiting.organisation),
                waiting.arrived_at,
            )

        return key
