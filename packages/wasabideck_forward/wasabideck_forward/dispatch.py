"""Where requests go, which of them wait for it, and which are refused.

An entry decides here; how a request is sent and its answer passed on is elsewhere.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Container

from attrs import define, field
from wasabideck_policy.backends import Backend
from wasabideck_policy.beliefs import Beliefs
from wasabideck_policy.configuration import Route
from wasabideck_policy.fresh_share import FreshShare
from wasabideck_policy.late_lane import LateLane
from wasabideck_policy.outliers import Outliers
from wasabideck_policy.placement import (
    Demand,
    Place,
    Urgency,
    choose,
    choose_near,
)
from wasabideck_policy.retry_share import RetryShare

from .crash_watch import CrashWatch
from .exchange import Exchange
from .messages import CallerRequest
from .refusals import (
    AllFull,
    ConfigurationUnknown,
    KeyUnknown,
    NoRoute,
    NoServer,
    OutcomeUnknown,
    Quarantined,
    Refusal,
)

__all__ = ["Bounds", "Dispatch", "patience_of"]

# A request waits here for a server that is said to be back within so long: refused, it
# would come back after the same time, and might be refused once more. Callers leave a
# stream that shows nothing for 2 to 2.5 s; longer waits are for nobody (seconds).
LONGEST_WAIT = 1.2
# Servers that cannot be reached at all, and were sent nothing, do not count among those
# that a request may be sent to: behind a full link the next one is often as far away,
# and a stream that has begun would end there. So many are passed over at the most.
MOST_UNREACHABLE = 3
# A late request looks so often whether it has a turn (seconds).
TURN_SECONDS = 0.05
# It waits for one for this part of the time after which its caller leaves a stream that
# shows nothing; the rest is for the server.
TURN_PART = 0.6
# Callers wait for a stream's next event for so many of its longest pauses and of its
# goal, and so long at the least (seconds).
PATIENT_PAUSES = 8
PATIENT_GOALS = 4
PATIENT_SECONDS = 2.0
# Whoever has less than this part of the time that callers of a route have at most has
# asked before. Their patience differs by up to a seventh.
FIRST_TRY_PART = 0.8
# What is kept of the deadline for the server's own work on a request that waited.
WORK_SECONDS = 1.0
# A little before its goal a request that has not been sent cannot be in time any more:
# the first event takes a pass of the batch and the prompt (seconds).
FIRST_EVENT_SECONDS = 0.12
# What may be begun too late is sent only where a new connection is there so soon: a
# close that takes it back has the same way, and a fifth of a second for it (seconds).
WAY_SECONDS = 0.15


@define
class Bounds:
    """Figures of the deployment that decisions need.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Repeats that one request earns, and that all entries may make beside that
        in a window of so many seconds.
    version_seconds : float
        How long after a version's name requests are sent to older weights.
    begin_seconds : float
        How long after it a server may begin them there.
    queue_seconds : float
        How long after it they may have to wait in a server's queue.
    full_seconds : float
        How long after it they are sent to servers where they wait.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    version_seconds: float
    begin_seconds: float
    queue_seconds: float
    full_seconds: float


@define
class Dispatch:
    """Decisions on requests, and what they are taken by.

    Attributes
    ----------
    outliers : Outliers
        Servers that fail, which get nothing for a while.
    kept : callable
        Names of the servers with an idle connection.
    """

    beliefs: Beliefs
    bounds: Bounds
    data_centre: str
    clock: Callable[[], float]
    rng: random.Random
    crashes: CrashWatch
    outliers: Outliers = field(factory=Outliers)
    kept: Callable[[], Container[str]] = frozenset
    _shares: dict[str, RetryShare] = field(factory=dict)
    _fresh: dict[str, FreshShare] = field(factory=dict)
    _news: asyncio.Event = field(factory=asyncio.Event)
    _waiting: int = 0
    _late: LateLane = field(factory=LateLane)
    _patience: dict[str, float] = field(factory=dict)

    def wake(self) -> None:
        """Wake requests that wait for a server: something is known anew."""
        if self._waiting:
            self._news.set()
            self._news = asyncio.Event()

    def set_bounds(self, bounds: Bounds) -> None:
        """Take changed figures in."""
        self.bounds = bounds
        self._shares.clear()

    def admit(self, req: CallerRequest, now: float) -> Exchange:
        """What is known of a request before it is sent; raises ``Refusal``."""
        cfg = self.beliefs.configuration
        if cfg is None or not self.beliefs.listed:
            raise ConfigurationUnknown("no configuration heard yet")
        route = cfg.route(req.head.host, req.path)
        # What a stale process does not know may have been added meanwhile.
        stale = self.beliefs.stale(now)
        if route is None:
            raise ConfigurationUnknown("route") if stale else NoRoute(req.path[:80])
        organisation, priority = "", route.priority
        if cfg.keys is not None and not route.public:
            holder = cfg.keys.get(req.head.key)
            if holder is None:
                raise ConfigurationUnknown("key") if stale else KeyUnknown("no holder")
            organisation = holder.name
            priority = route.priority if holder.priority is None else holder.priority
        service = route.draw_service(self.rng)
        deadline = req.arrived + req.head.deadline if req.head.deadline else None
        until = min(req.arrived + route.timeout, deadline or float("inf"))
        self._share(service).request(now)
        engine = cfg.services[service].engine if service in cfg.services else None
        exchange = Exchange(
            req, route, service, until, deadline, organisation, priority, engine
        )
        if self.crashes.refuses(exchange):
            raise Quarantined(service)
        if engine is not None:
            fresh = self._ahead(service)
            fresh.arrive(now)
            exchange.ahead = fresh.draw(self.rng)
            exchange.tried_before = self._has_tried_before(exchange)
        return exchange

    def first_event(self, exchange: Exchange, backend: Backend, now: float) -> None:
        """Take in when the first event of a stream came from a server."""
        if exchange.first_seconds is None:
            exchange.first_seconds = now - exchange.req.arrived
        backend.unread.discard(exchange)
        self._late.begun(exchange)

    def answered(self, exchange: Exchange, now: float) -> None:
        """Take in that a request was answered whole."""
        if exchange.engine is not None:
            self._ahead(exchange.service).end(now)

    def ended(self, exchange: Exchange | None) -> None:
        """Take in that a request has ended, in whatever way."""
        self._late.ended(exchange)

    async def place(self, exchange: Exchange) -> Backend:
        """The next server, also one that is soon back; raises ``Refusal``."""
        began = self.clock()
        while True:
            now = self.clock()
            place = self._choose(exchange, now)
            if place.backend is not None and self._has_turn(exchange, place, now):
                exchange.urgency = place.urgency if exchange.engine else None
                return place.backend
            if place.backend is not None:
                left = began + TURN_PART * patience_of(exchange.route) - now
                if left <= 0 or not self._late.may_wait(exchange, left, now):
                    raise self._no_place(exchange, Place(None, full=True))
                exchange.waited = True
                await asyncio.sleep(TURN_SECONDS)
                continue
            back_in = place.back_in
            limit = min(began + LONGEST_WAIT, exchange.until - WORK_SECONDS)
            soon = back_in is not None and now + back_in <= limit
            if place.full or not soon:
                raise self._no_place(exchange, place)
            exchange.waited = True
            await self._wait_for_news(back_in)

    async def _wait_for_news(self, seconds: float) -> None:
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds):
                await self._news.wait()
        except TimeoutError:
            return
        finally:
            self._waiting -= 1

    def _has_turn(self, exchange: Exchange, place: Place, now: float) -> bool:
        """Whether a request may be sent now; late ones wait for each other."""
        if exchange.engine is None or place.urgency != Urgency.LATE:
            return True
        servers = self.beliefs.backends.of_service(exchange.service, now)
        entries = self.beliefs.entries
        if not place.free or not self._late.has_room(len(servers), entries):
            return False
        self._late.sent(exchange, now)
        return True

    def _no_place(self, exchange: Exchange, place: Place) -> Refusal:
        if exchange.uncertain:
            return OutcomeUnknown("no other server")
        if place.full:
            return AllFull(exchange.service)
        return NoServer(exchange.service, place.back_in)

    def _choose(self, exchange: Exchange, now: float) -> Place:
        demand = self._demand(exchange, now)
        # What has been tried, or is left out, has to be looked for among all.
        whole = not exchange.tried and not self.outliers.any_out(now)
        if whole and demand.model:
            place = self._choose_near(exchange.service, demand, now)
            if place is not None:
                return place
        known = self.beliefs.backends.of_service(exchange.service, now)
        if not whole:
            sound = self.outliers.sound((b.server for b in known), now)
            known = [
                b for b in known if b.server in sound and b.server not in exchange.tried
            ]
        return choose(known, demand, now, self.rng)

    def _choose_near(self, service: str, demand: Demand, now: float) -> Place | None:
        near = self.beliefs.backends.near(service, self.data_centre, now)
        if not near:
            return None
        names = self.kept()
        kept = [b for b in near if b.server in names] if names else []
        return choose_near(near, kept, demand, now, self.rng)

    def _demand(self, exchange: Exchange, now: float) -> Demand:
        if exchange.engine is None:
            return Demand(self.data_centre)
        model = exchange.engine.model
        beliefs, bounds = self.beliefs, self.bounds
        goal = exchange.route.goal
        in_time_until = exchange.req.arrived + goal - min(FIRST_EVENT_SECONDS, goal / 2)
        # A caller that has half of a stream leaves when it pauses for 2 s or more, and
        # all that was written for it is lost: behind what is late the rest of it would
        # wait longer at a loaded engine.
        begun = exchange.delivered.events > 0
        return Demand(
            self.data_centre,
            model,
            exchange.engine.layers,
            beliefs.least_version(model, bounds.version_seconds, now),
            beliefs.least_version(model, bounds.full_seconds, now),
            beliefs.least_version(model, bounds.queue_seconds, now),
            late=exchange.tried_before or now > in_time_until,
            begun=begun,
            ahead=exchange.ahead,
            entries=max(1, beliefs.entries),
            near_entries=max(1, beliefs.near_entries),
        )

    def may_try_again(self, exchange: Exchange, now: float) -> bool:
        """Whether one more server may be tried; spends a repeat if so."""
        if exchange.uncertain and not exchange.route.idempotent:
            return False
        if not self._has_tries_left(exchange):
            return False
        share = self._share(exchange.service)
        return share.may_repeat(now, self.beliefs.entries)

    def _has_tries_left(self, exchange: Exchange) -> bool:
        if exchange.sent_to >= exchange.route.attempts:
            return False
        if exchange.unreachable > MOST_UNREACHABLE:
            return False
        return not self.crashes.refuses(exchange)

    def may_move(self, exchange: Exchange, now: float) -> bool:
        """Whether another server can go on with a begun stream right away."""
        return exchange.delivered.events > 0 and self.may_replace(exchange, now)

    def may_replace(self, exchange: Exchange, now: float) -> bool:
        """Whether another server can take a request over right away."""
        if not exchange.replaceable or not self._has_tries_left(exchange):
            return False
        share = self._share(exchange.service)
        if not share.has_room(now, self.beliefs.entries):
            return False
        return self._choose(exchange, now).backend is not None

    def way(self, exchange: Exchange, backend: Backend) -> float | None:
        """How long the way to a server may take; None where it doesn't matter."""
        if exchange.engine is None:
            return None
        model, now = exchange.engine.model, self.clock()
        held = backend.holds(model, exchange.engine.layers, now)
        due = self.beliefs.least_version(model, self.bounds.queue_seconds, now)
        return WAY_SECONDS if held < due else None

    def least_version(self, exchange: Exchange, now: float) -> int:
        """Version of the weights that it may be begun on at least; 0 for any."""
        return self._demand(exchange, now).least_version

    def _has_tried_before(self, exchange: Exchange) -> bool:
        """Whether a caller comes back, and its goal is over although it came now."""
        left = exchange.req.head.deadline
        if not left:
            return False
        route = exchange.route.name
        most = self._patience[route] = max(left, self._patience.get(route, 0.0))
        return left < FIRST_TRY_PART * most

    def _ahead(self, service: str) -> FreshShare:
        return self._fresh.setdefault(service, FreshShare())

    def _share(self, service: str) -> RetryShare:
        if service not in self._shares:
            bounds = self.bounds
            self._shares[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self._shares[service]


def patience_of(route: Route) -> float:
    """Seconds after which callers leave a stream that shows nothing."""
    patience = max(PATIENT_PAUSES * route.pause, PATIENT_GOALS * route.goal)
    return max(patience, PATIENT_SECONDS)
