"""Policies that the burst model compares: the product's, and plain baselines."""

from __future__ import annotations

import random

from wasabideck_forward.dispatch import FIRST_EVENT_SECONDS, TURN_PART, TURN_SECONDS
from wasabideck_policy.backends import Backend
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.late_lane import LateLane
from wasabideck_policy.placement import Demand, Place, Urgency, choose

from .burst_model import MODEL, BurstModel, Chooser
from .engine_model import Draft

__all__ = ["POLICIES", "LeastInProgress", "Product", "Random", "RoundRobin"]


class Product(Chooser):
    """The entry's own decisions."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self.fresh = FreshShare()
        self.late = LateLane()
        self._ahead: dict[tuple[Draft, int], bool] = {}
        self._waits_since: dict[tuple[Draft, int], float] = {}

    def arrive(self, draft: Draft, now: float) -> None:
        """Count it."""
        self.fresh.arrive(now)

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """The product's choice; late ones wait for their turn."""
        attempt = draft, draft.tries
        if attempt not in self._ahead:
            self._ahead[attempt] = self.fresh.draw(rng)
        since = self._waits_since.setdefault(attempt, now)
        demand = Demand(
            self.data_centre,
            MODEL,
            1,
            late=now > draft.arrived + draft.goal - FIRST_EVENT_SECONDS,
            begun=draft.first_at is not None,
            ahead=self._ahead[attempt],
            entries=self.model.entries,
        )
        place = choose(backends, demand, now, rng)
        if place.backend is None and not backends:
            # Servers are away; they are waited for as long as for a turn.
            waits = now - since < TURN_PART * self.model.patience
            return Place(None, back_in=TURN_SECONDS if waits else None)
        turn = len(backends), now
        if place.backend is not None and self._has_turn(draft, place, *turn):
            return place
        left = since + TURN_PART * self.model.patience - now
        if left > 0 and self.late.may_wait(attempt, left, now):
            return Place(None, back_in=TURN_SECONDS)
        self.late.ended(attempt)
        return Place(None, full=True)

    def first_event(self, draft: Draft, now: float) -> None:
        """Let the next late one go."""
        self.late.begun(draft)

    def gave_up(self, draft: Draft, now: float) -> None:
        """Let the next late one go."""
        self.late.begun(draft)

    def end(self, draft: Draft, now: float) -> None:
        """Count it."""
        self.fresh.end(now)

    def _has_turn(self, draft: Draft, place: Place, engines: int, now: float) -> bool:
        if place.urgency != Urgency.LATE:
            return True
        if not place.free or not self.late.has_room(engines, self.model.entries):
            return False
        self.late.ended((draft, draft.tries))
        self.late.sent(draft, now)
        return True


class Random(Chooser):
    """Any server, first come, first served."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """One drawn from all."""
        return Place(rng.choice(backends)) if backends else Place(None)


class RoundRobin(Chooser):
    """Each server in its turn, first come, first served."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self._next = 0

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """The next one."""
        if not backends:
            return Place(None)
        self._next += 1
        return Place(backends[self._next % len(backends)])


class LeastInProgress(Chooser):
    """The server with the fewest requests of this entry, first come, first served."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """The least pressed by what this entry sent itself, ties at random."""
        if not backends:
            return Place(None)
        least = min(backend.in_progress for backend in backends)
        return Place(rng.choice([b for b in backends if b.in_progress == least]))


POLICIES: dict[str, type[Chooser]] = {
    "product": Product,
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-progress": LeastInProgress,
}
