"""The order in which waiting requests are given a server's slots.

Classes are strict, with aging; inside a class the organisations take turns by what
they have used, so that none of them can crowd out the others.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, field, frozen

__all__ = ["AGE_SECONDS", "MOST_URGENT", "FairQueue", "Waiting"]

MOST_URGENT = 0
# A request climbs one class each time it has waited this long, though never into
# the most urgent one: that would let greetings delay a dispute.
AGE_SECONDS = 3.0
SMOOTHING = 0.02
LEAST_SHARE = 0.01


@frozen(eq=False)
class Waiting:
    """A request that waits for a slot.

    Attributes
    ----------
    since : float
        When it came, seconds.
    deadline : float
        When its answer has to be whole, seconds.
    """

    organisation: str
    priority: int
    since: float
    deadline: float

    def level(self, now: float) -> int:
        """Present class, which falls as it waits."""
        if self.priority == MOST_URGENT:
            return MOST_URGENT
        climbed = int((now - self.since) / AGE_SECONDS)
        return max(MOST_URGENT + 1, self.priority - climbed)


@define
class _Turns:
    """Start-time fair queueing of one class, in requests.

    Attributes
    ----------
    shares : dict of str to float
        Smoothed share of the latest turns that each organisation was given.
    """

    reached: float = 0.0
    used: dict[str, float] = field(factory=dict)
    shares: dict[str, float] = field(factory=dict)

    def start(self, organisation: str) -> float:
        """When an organisation's next request starts, in the class's own time.

        Whoever comes back after a pause starts at the present and not in the past:
        unused turns are not saved up.
        """
        return max(self.reached, self.used.get(organisation, 0.0))

    def take(self, organisation: str) -> None:
        """Give an organisation its turn."""
        self.reached = self.start(organisation)
        self.used[organisation] = self.reached + 1.0
        for known in {organisation, *self.shares}:
            share = self.shares.get(known, 0.0)
            self.shares[known] = share + SMOOTHING * ((known == organisation) - share)

    def turns_per_own(self, organisation: str) -> float:
        """Turns of the class for each of an organisation's own, when it waits."""
        active = sum(share > LEAST_SHARE for share in self.shares.values())
        share = self.shares.get(organisation, 0.0)
        return max(1.0, min(float(active), 1 / max(share, LEAST_SHARE)))


@define
class FairQueue:
    """Requests that wait at one server."""

    _waiting: list[Waiting] = field(factory=list)
    _turns: dict[int, _Turns] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        self._waiting.append(waiting)

    def remove(self, waiting: Waiting) -> None:
        """Take a request out that was given up, or given its slot."""
        self._waiting.remove(waiting)

    def first(self, now: float) -> Waiting | None:
        """The request whose turn is next; it goes on waiting."""
        return min(self._waiting, key=self._turn(now), default=None)

    def take(self, waiting: Waiting, now: float) -> None:
        """Give a request its turn."""
        self.remove(waiting)
        turns = self._turns.setdefault(waiting.level(now), _Turns())
        turns.take(waiting.organisation)

    def waits(self, organisation: str) -> bool:
        """Whether an organisation has a request that waits."""
        return any(w.organisation == organisation for w in self._waiting)

    def ahead_of(self, waiting: Waiting, now: float) -> int:
        """How many requests would be given a slot before one that comes now."""
        level = waiting.level(now)
        urgent = sum(w.level(now) < level for w in self._waiting)
        queues = Counter(w.organisation for w in self._waiting if w.level(now) == level)
        own = queues.pop(waiting.organisation, 0)
        # The organisations take turns, so of each other queue no more than as many
        # as this organisation's own turns come first.
        same = own + sum(min(n, own + 1) for n in queues.values())
        # Small organisations rarely wait, and take their turns all the same: what is
        # in the queues now is less than what comes first in the end.
        turns = self._turns.setdefault(level, _Turns())
        return urgent + max(same, int(own * turns.turns_per_own(waiting.organisation)))

    def late(self, now: float, service_time: float) -> list[Waiting]:
        """Requests that could no longer end in time if they began now."""
        return [w for w in self._waiting if now + service_time > w.deadline]

    def _turn(self, now: float) -> Callable[[Waiting], tuple[int, float, float]]:
        def key(waiting: Waiting) -> tuple[int, float, float]:
            level = waiting.level(now)
            turns = self._turns.setdefault(level, _Turns())
            return level, turns.start(waiting.organisation), waiting.since

        return key
