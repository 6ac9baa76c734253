"""Policies that the burst model compares: the product's own and simple baselines."""

from __future__ import annotations

import random

from wasabideck_forward.dispatcher import (
    LATE_POLL_INTERVAL_SECONDS,
    LATE_WAIT_RATIO,
    MIN_FIRST_EVENT_SECONDS,
)
from wasabideck_policy.backends import Backend
from wasabideck_policy.in_time_share import InTimeShare
from wasabideck_policy.late_requests import LateRequestLimiter
from wasabideck_policy.placement import Placement, Requirements, Urgency, choose_server

from .burst_model import MODEL, BurstModel, EntryPolicy
from .engine_model import Draft

__all__ = [
    "POLICIES",
    "LeastInProgressPolicy",
    "ProductPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
]


class ProductPolicy(EntryPolicy):
    """The decisions of a real entry."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self.in_time_share = InTimeShare()
        self.late_limiter = LateRequestLimiter()
        self._sent_ahead: dict[tuple[Draft, int], bool] = {}
        self._waiting_since: dict[tuple[Draft, int], float] = {}

    def record_arrival(self, draft: Draft, now: float) -> None:
        """Count an arrived request."""
        self.in_time_share.record_arrival(now)

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Placement:
        """Return the product's choice; a late request may have to wait at the entry."""
        attempt = draft, draft.attempts
        if attempt not in self._sent_ahead:
            self._sent_ahead[attempt] = self.in_time_share.draw_sent_ahead(rng)
        since = self._waiting_since.setdefault(attempt, now)
        requirements = Requirements(
            self.data_centre,
            MODEL,
            1,
            late=now
            > draft.arrived_at + draft.target_seconds - MIN_FIRST_EVENT_SECONDS,
            started=draft.first_at is not None,
            sent_ahead=self._sent_ahead[attempt],
            entries=self.model.entries,
        )
        placement = choose_server(backends, requirements, now, rng)
        if placement.backend is None and not backends:
            # No server is available. The request waits for one as long as a late
            # request waits until it may be sent.
            waits = now - since < LATE_WAIT_RATIO * self.model.caller_timeout_seconds
            return Placement(
                None, ready_in=LATE_POLL_INTERVAL_SECONDS if waits else None
            )
        limits = len(backends), now
        if placement.backend is not None and self._may_send(draft, placement, *limits):
            return placement
        left = since + LATE_WAIT_RATIO * self.model.caller_timeout_seconds - now
        if left > 0 and self.late_limiter.try_enqueue(attempt, left, now):
            return Placement(None, ready_in=LATE_POLL_INTERVAL_SECONDS)
        self.late_limiter.record_ended(attempt)
        return Placement(None, all_full=True)

    def record_first_event(self, draft: Draft, now: float) -> None:
        """Allow the next late request to be sent."""
        self.late_limiter.record_started(draft)

    def record_cancellation(self, draft: Draft, now: float) -> None:
        """Allow the next late request to be sent."""
        self.late_limiter.record_started(draft)

    def record_end(self, draft: Draft, now: float) -> None:
        """Count a completed request."""
        self.in_time_share.record_completion(now)

    def _may_send(
        self, draft: Draft, placement: Placement, engines: int, now: float
    ) -> bool:
        """Whether a request may be sent now; a late one is then counted as sent."""
        if placement.urgency != Urgency.LATE:
            return True
        if not placement.has_free_slot or not self.late_limiter.may_send(
            engines, self.model.entries
        ):
            return False
        self.late_limiter.record_ended((draft, draft.attempts))
        self.late_limiter.record_sent(draft, now)
        return True


class RandomPolicy(EntryPolicy):
    """Chooses a server at random; each server runs requests in order of arrival."""

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Placement:
        """Return a server drawn at random."""
        return Placement(rng.choice(backends)) if backends else Placement(None)


class RoundRobinPolicy(EntryPolicy):
    """Chooses servers round robin; each server runs requests in order of arrival."""

    def __init__(self, model: BurstModel, data_centre: str):
        super().__init__(model, data_centre)
        self._next = 0

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Placement:
        """Return the next server."""
        if not backends:
            return Placement(None)
        self._next += 1
        return Placement(backends[self._next % len(backends)])


class LeastInProgressPolicy(EntryPolicy):
    """Chooses the server with the fewest requests of this entry in progress.

    Each server runs requests in order of arrival.
    """

    def choose(
        self, draft: Draft, backends: list[Backend], now: float, rng: random.Random
    ) -> Placement:
        """Return a server with the fewest requests; ties are broken at random."""
        if not backends:
            return Placement(None)
        least = min(backend.in_progress for backend in backends)
        return Placement(rng.choice([b for b in backends if b.in_progress == least]))


POLICIES: dict[str, type[EntryPolicy]] = {
    "product": ProductPolicy,
    "random": RandomPolicy,
    "round-robin": RoundRobinPolicy,
    "least-in-progress": LeastInProgressPolicy,
}
