"""Policies that the burst model compares: the product's own and simple baselines."""

from __future__ import annotations

import random

from wasabideck_forward.dispatch import FIRST_EVENT_SECONDS, TURN_PART, TURN_SECONDS
from wasabideck_policy.backends import Backend
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.late_lane import LateLane
from wasabideck_policy.placement import Demand, Place, Urgency, choose

from .burst_model import MODEL, BurstModel, EntryPolicy
from .engine_model import Draft

__all__ = ["POLICIES", "LeastInProgress", "Product", "Random", "RoundRobin"]


class Product(EntryPolicy):
    """The decisions of a real entry."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self.in_time_share = FreshShare()
        self.late_limiter = LateLane()
        self._sent_ahead: dict[tuple[Draft, int], bool] = {}
        self._waiting_since: dict[tuple[Draft, int], float] = {}

    def record_arrival(self, draft: Draft, now: float) -> None:
        """Count an arrived request."""
        self.in_time_share.arrive(now)

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """Return the product's choice; a late request may have to wait at the entry."""
        attempt = draft, draft.attempts
        if attempt not in self._sent_ahead:
            self._sent_ahead[attempt] = self.in_time_share.draw(rng)
        since = self._waiting_since.setdefault(attempt, now)
        requirements = Demand(
            self.data_centre,
            MODEL,
            1,
            late=now > draft.arrived_at + draft.goal_seconds - FIRST_EVENT_SECONDS,
            begun=draft.first_at is not None,
            ahead=self._sent_ahead[attempt],
            entries=self.model.entries,
        )
        placement = choose(backends, requirements, now, rng)
        if placement.backend is None and not backends:
            # No server is available. The request waits for one as long as a late
            # request waits until it may be sent.
            waits = now - since < TURN_PART * self.model.caller_timeout_seconds
            return Place(None, back_in=TURN_SECONDS if waits else None)
        limits = len(backends), now
        if placement.backend is not None and self._may_send(draft, placement, *limits):
            return placement
        left = since + TURN_PART * self.model.caller_timeout_seconds - now
        if left > 0 and self.late_limiter.may_wait(attempt, left, now):
            return Place(None, back_in=TURN_SECONDS)
        self.late_limiter.ended(attempt)
        return Place(None, full=True)

    def record_first_event(self, draft: Draft, now: float) -> None:
        """Allow the next late request to be sent."""
        self.late_limiter.begun(draft)

    def record_cancellation(self, draft: Draft, now: float) -> None:
        """Allow the next late request to be sent."""
        self.late_limiter.begun(draft)

    def record_end(self, draft: Draft, now: float) -> None:
        """Count a completed request."""
        self.in_time_share.end(now)

    def _may_send(
        self, draft: Draft, placement: Place, engines: int, now: float
    ) -> bool:
        """Whether a request may be sent now; a late one is then counted as sent."""
        if placement.urgency != Urgency.LATE:
            return True
        if not placement.free or not self.late_limiter.has_room(
            engines, self.model.entries
        ):
            return False
        self.late_limiter.ended((draft, draft.attempts))
        self.late_limiter.sent(draft, now)
        return True


class Random(EntryPolicy):
    """Chooses a server at random; each server runs requests in order of arrival."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """Return a server drawn at random."""
        return Place(rng.choice(backends)) if backends else Place(None)


class RoundRobin(EntryPolicy):
    """Chooses servers round robin; each server runs requests in order of arrival."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self._next = 0

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """Return the next server."""
        if not backends:
            return Place(None)
        self._next += 1
        return Place(backends[self._next % len(backends)])


class LeastInProgress(EntryPolicy):
    """Chooses the server with the fewest requests of this entry in progress.

    Each server runs requests in order of arrival.
    """

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Place:
        """Return a server with the fewest requests; ties are broken at random."""
        if not backends:
            return Place(None)
        least = min(backend.in_progress for backend in backends)
        return Place(rng.choice([b for b in backends if b.in_progress == least]))


POLICIES: dict[str, type[EntryPolicy]] = {
    "product": Product,
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-progress": LeastInProgress,
}
