"""Chooses the server of each request, and decides which requests wait or are refused.

The other modules of this package send the request and pass the response on.
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

__all__ = ["Bounds", "Dispatch", "max_caller_wait"]

# Maximum time for which a request waits here for a server that is reported to be
# available soon. A refused caller would retry after the same time, and might be refused
# again. Callers disconnect from a stream that shows nothing for 2 to 2.5 s, so longer
# waits are useless.
MAX_SERVER_WAIT_SECONDS = 1.2
# Maximum number of unreachable servers to pass over for one request. They were sent
# nothing and don't count as attempts: behind a congested link the next server is often
# unreachable too, and a started stream would end if they counted.
MAX_UNREACHABLE_SERVERS = 3
# Interval at which a waiting late request checks whether it may be sent.
TURN_SECONDS = 0.05
# Share of the maximum caller wait that a late request spends waiting to be sent; the
# rest is left to the server.
TURN_PART = 0.6
# Callers wait for a stream's next event for a multiple of the stream's longest pause or
# of its goal, whichever is longer, and for no less than the minimum.
CALLER_WAIT_PAUSES = 8
CALLER_WAIT_GOALS = 4
MIN_CALLER_WAIT_SECONDS = 2.0
# A request whose remaining time is below this share of the longest one seen on its
# route is taken for a retry. Those of first tries differ by up to a seventh.
FIRST_TRY_MIN_RATIO = 0.8
# Part of the time limit of a waiting request that is reserved for the server's work.
RESERVED_WORK_SECONDS = 1.0
# A request that has not been sent this long before its goal can't meet the goal: the
# first event takes one pass of the engine's batch and the reading of the prompt.
FIRST_EVENT_SECONDS = 0.12
# Connect timeout for a request that may have to be recalled before the server starts
# it. The close that recalls it takes the same path, and has 0.2 s to arrive.
RECALLABLE_CONNECT_SECONDS = 0.15


@define
class Bounds:
    """Limits of the deployment that the choice of servers depends on.

    The ages are those of the newest version of the weights: seconds since it was
    declared.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Retry budget: retries that each request adds, retries that all entries together
        may make beyond these, and the length of the sliding window in seconds.
    version_seconds : float
        Age until which requests are sent to servers with older weights.
    begin_seconds : float
        Age until which such a server may start requests.
    queue_seconds : float
        Age until which requests may have to wait in the queue of such a server.
    full_seconds : float
        Age until which requests are sent to such a server if they have to wait there.
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
    """Admits requests and chooses their servers.

    Attributes
    ----------
    outliers : Outliers
        Failing servers, which are left out for a while.
    kept : callable
        Returns the names of the servers with an idle connection.
    """

    beliefs: Beliefs
    bounds: Bounds
    data_centre: str
    clock: Callable[[], float]
    rng: random.Random
    crashes: CrashWatch
    outliers: Outliers = field(factory=Outliers)
    kept: Callable[[], Container[str]] = frozenset
    _retry_shares: dict[str, RetryShare] = field(factory=dict)
    _fresh_shares: dict[str, FreshShare] = field(factory=dict)
    _change_event: asyncio.Event = field(factory=asyncio.Event)
    _waiter_count: int = 0
    _late_limiter: LateLane = field(factory=LateLane)
    _longest_deadlines: dict[str, float] = field(factory=dict)

    def wake(self) -> None:
        """Wake the requests that wait for a server, after new data was received."""
        if self._waiter_count:
            self._change_event.set()
            self._change_event = asyncio.Event()

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the limits, and reset the retry budgets."""
        self.bounds = bounds
        self._retry_shares.clear()

    def admit(self, req: CallerRequest, now: float) -> Exchange:
        """Return the state of a new request; raises ``Refusal``."""
        cfg = self.beliefs.configuration
        if cfg is None or not self.beliefs.listed:
            raise ConfigurationUnknown("no configuration received yet")
        route = cfg.route(req.head.host, req.path)
        # A route or key that this process doesn't know may have been added since it
        # last received the configuration.
        stale = self.beliefs.stale(now)
        if route is None:
            raise ConfigurationUnknown("route") if stale else NoRoute(req.path[:80])
        organisation, priority = "", route.priority
        if cfg.keys is not None and not route.public:
            owner = cfg.keys.get(req.head.key)
            if owner is None:
                raise ConfigurationUnknown("key") if stale else KeyUnknown("no holder")
            organisation = owner.name
            priority = route.priority if owner.priority is None else owner.priority
        service = route.draw_service(self.rng)
        deadline = req.arrived + req.head.deadline if req.head.deadline else None
        expires_at = min(req.arrived + route.timeout, deadline or float("inf"))
        self._retry_share(service).request(now)
        engine = cfg.services[service].engine if service in cfg.services else None
        exchange = Exchange(
            req, route, service, expires_at, deadline, organisation, priority, engine
        )
        if self.crashes.is_quarantined(exchange):
            raise Quarantined(service)
        if engine is not None:
            share = self._fresh_share(service)
            share.arrive(now)
            exchange.prioritised = share.draw(self.rng)
            exchange.is_caller_retry = self._is_caller_retry(exchange)
        return exchange

    def record_first_event(
        self, exchange: Exchange, backend: Backend, now: float
    ) -> None:
        """Record that a server sent the first event of a stream."""
        if exchange.first_event_seconds is None:
            exchange.first_event_seconds = now - exchange.req.arrived
        backend.unread.discard(exchange)
        self._late_limiter.begun(exchange)

    def record_completed(self, exchange: Exchange, now: float) -> None:
        """Record that a request got a complete response."""
        if exchange.engine is not None:
            self._fresh_share(exchange.service).end(now)

    def record_ended(self, exchange: Exchange | None) -> None:
        """Record that a request has ended, with any outcome."""
        self._late_limiter.ended(exchange)

    async def choose_server(self, exchange: Exchange) -> Backend:
        """Return the next server, waiting for one if need be; raises ``Refusal``."""
        started = self.clock()
        while True:
            now = self.clock()
            place = self._choose(exchange, now)
            if place.backend is not None and self._may_send_now(exchange, place, now):
                exchange.urgency = place.urgency if exchange.engine else None
                return place.backend
            if place.backend is not None:
                time_left = started + TURN_PART * max_caller_wait(exchange.route) - now
                if time_left <= 0 or not self._late_limiter.may_wait(
                    exchange, time_left, now
                ):
                    raise self._refusal(exchange, Place(None, full=True))
                exchange.waited = True
                await asyncio.sleep(TURN_SECONDS)
                continue
            available_in = place.back_in
            limit = min(
                started + MAX_SERVER_WAIT_SECONDS,
                exchange.expires_at - RESERVED_WORK_SECONDS,
            )
            available_soon = available_in is not None and now + available_in <= limit
            if place.full or not available_soon:
                raise self._refusal(exchange, place)
            exchange.waited = True
            await self._wait_for_change(available_in)

    async def _wait_for_change(self, seconds: float) -> None:
        self._waiter_count += 1
        try:
            async with asyncio.timeout(seconds):
                await self._change_event.wait()
        except TimeoutError:
            return
        finally:
            self._waiter_count -= 1

    def _may_send_now(self, exchange: Exchange, place: Place, now: float) -> bool:
        """Whether a request may be sent now; the number of late ones is limited."""
        if exchange.engine is None or place.urgency != Urgency.LATE:
            return True
        servers = self.beliefs.backends.of_service(exchange.service, now)
        entries = self.beliefs.entries
        if not place.free or not self._late_limiter.has_room(len(servers), entries):
            return False
        self._late_limiter.sent(exchange, now)
        return True

    def _refusal(self, exchange: Exchange, place: Place) -> Refusal:
        if exchange.outcome_uncertain:
            return OutcomeUnknown("no other server")
        if place.full:
            return AllFull(exchange.service)
        return NoServer(exchange.service, place.back_in)

    def _choose(self, exchange: Exchange, now: float) -> Place:
        demand = self._demand(exchange, now)
        # Servers that were tried or that are left out can only be excluded from the
        # full list, so the choice among local servers is skipped for them.
        unrestricted = not exchange.tried_servers and not self.outliers.any_out(now)
        if unrestricted and demand.model:
            place = self._choose_local(exchange.service, demand, now)
            if place is not None:
                return place
        candidates = self.beliefs.backends.of_service(exchange.service, now)
        if not unrestricted:
            healthy = self.outliers.sound((b.server for b in candidates), now)
            candidates = [
                b
                for b in candidates
                if b.server in healthy and b.server not in exchange.tried_servers
            ]
        return choose(candidates, demand, now, self.rng)

    def _choose_local(self, service: str, demand: Demand, now: float) -> Place | None:
        local = self.beliefs.backends.near(service, self.data_centre, now)
        if not local:
            return None
        idle = self.kept()
        connected = [b for b in local if b.server in idle] if idle else []
        return choose_near(local, connected, demand, now, self.rng)

    def _demand(self, exchange: Exchange, now: float) -> Demand:
        if exchange.engine is None:
            return Demand(self.data_centre)
        model = exchange.engine.model
        beliefs, bounds = self.beliefs, self.bounds
        goal = exchange.route.goal
        latest_send = exchange.req.arrived + goal - min(FIRST_EVENT_SECONDS, goal / 2)
        # A caller with part of a stream disconnects when it pauses for 2 s or more, and
        # everything written for it is lost. At a loaded engine, the rest of the stream
        # would wait longer if it were queued behind late requests.
        has_started = exchange.delivered.event_count > 0
        return Demand(
            self.data_centre,
            model,
            exchange.engine.layers,
            beliefs.least_version(model, bounds.version_seconds, now),
            beliefs.least_version(model, bounds.full_seconds, now),
            beliefs.least_version(model, bounds.queue_seconds, now),
            late=exchange.is_caller_retry or now > latest_send,
            begun=has_started,
            ahead=exchange.prioritised,
            entries=max(1, beliefs.entries),
            near_entries=max(1, beliefs.near_entries),
        )

    def may_retry(self, exchange: Exchange, now: float) -> bool:
        """Whether one more server may be tried; counts a retry if so."""
        if exchange.outcome_uncertain and not exchange.route.idempotent:
            return False
        if not self._has_attempts_left(exchange):
            return False
        share = self._retry_share(exchange.service)
        return share.may_repeat(now, self.beliefs.entries)

    def _has_attempts_left(self, exchange: Exchange) -> bool:
        if exchange.sent_count >= exchange.route.attempts:
            return False
        if exchange.unreachable_count > MAX_UNREACHABLE_SERVERS:
            return False
        return not self.crashes.is_quarantined(exchange)

    def may_resume_elsewhere(self, exchange: Exchange, now: float) -> bool:
        """Whether another server can resume a started stream immediately."""
        return exchange.delivered.event_count > 0 and self.may_hedge(exchange, now)

    def may_hedge(self, exchange: Exchange, now: float) -> bool:
        """Whether a hedged request can be sent to another server immediately."""
        if not exchange.may_use_another_server or not self._has_attempts_left(exchange):
            return False
        share = self._retry_share(exchange.service)
        if not share.has_room(now, self.beliefs.entries):
            return False
        return self._choose(exchange, now).backend is not None

    def connect_timeout(self, exchange: Exchange, backend: Backend) -> float | None:
        """Return the connect timeout for a server; None for the default.

        It is only set for servers whose weights expire soon.
        """
        if exchange.engine is None:
            return None
        model, now = exchange.engine.model, self.clock()
        held_version = backend.holds(model, exchange.engine.layers, now)
        required = self.beliefs.least_version(model, self.bounds.queue_seconds, now)
        return RECALLABLE_CONNECT_SECONDS if held_version < required else None

    def min_version(self, exchange: Exchange, now: float) -> int:
        """Return the lowest version of the weights that may start it; 0 for any."""
        return self._demand(exchange, now).least_version

    def _is_caller_retry(self, exchange: Exchange) -> bool:
        """Whether the request is a caller's retry, by the time that it has left.

        Its goal has passed already, although the request has only just arrived.
        """
        time_left = exchange.req.head.deadline
        if not time_left:
            return False
        route = exchange.route.name
        longest = self._longest_deadlines[route] = max(
            time_left, self._longest_deadlines.get(route, 0.0)
        )
        return time_left < FIRST_TRY_MIN_RATIO * longest

    def _fresh_share(self, service: str) -> FreshShare:
        return self._fresh_shares.setdefault(service, FreshShare())

    def _retry_share(self, service: str) -> RetryShare:
        if service not in self._retry_shares:
            bounds = self.bounds
            self._retry_shares[service] = RetryShare(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
            )
        return self._retry_shares[service]


def max_caller_wait(route: Route) -> float:
    """Return the seconds after which callers disconnect from a stream without data."""
    wait = max(CALLER_WAIT_PAUSES * route.pause, CALLER_WAIT_GOALS * route.goal)
    return max(wait, MIN_CALLER_WAIT_SECONDS)
