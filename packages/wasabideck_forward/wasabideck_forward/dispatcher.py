"""Chooses the server of each request, and decides which requests wait or are refused.

The other modules of this package send the request and pass the response on.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Container

from attrs import define, field
from wasabideck_policy.backends import Backend
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.configuration import Route
from wasabideck_policy.in_time_share import InTimeShare
from wasabideck_policy.late_requests import LateRequestLimiter
from wasabideck_policy.outliers import OutlierEjection
from wasabideck_policy.placement import (
    Placement,
    Requirements,
    Urgency,
    choose_local_server,
    choose_server,
)
from wasabideck_policy.retry_limit import RetryLimit

from .crash_detector import CrashDetector
from .exchange import Exchange
from .http_heads import CallerRequest
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

__all__ = ["DispatchLimits", "Dispatcher", "max_caller_wait"]

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
LATE_POLL_INTERVAL_SECONDS = 0.05
# Share of the maximum caller wait that a late request spends waiting to be sent; the
# rest is left to the server.
LATE_WAIT_RATIO = 0.6
# Callers wait for a stream's next event for a multiple of the maximum interval between
# its events or of its target time, whichever is longer, and for no less than the
# minimum.
CALLER_WAIT_INTERVALS = 8
CALLER_WAIT_TARGETS = 4
MIN_CALLER_WAIT_SECONDS = 2.0
# A request whose remaining time is below this share of the longest one seen on its
# route is taken for a retry. Those of first tries differ by up to a seventh.
FIRST_TRY_MIN_RATIO = 0.8
# A remaining time beyond this multiple of the route's timeout says nothing about other
# callers, who wait for about that timeout.
MAX_WAIT_RATIO = 1.1
# Part of the time limit of a waiting request that is reserved for the server's work.
RESERVED_WORK_SECONDS = 1.0
# A request that has not been sent this long before its target time can't meet it: the
# first event takes one pass of the engine's batch and the reading of the prompt.
MIN_FIRST_EVENT_SECONDS = 0.12
# Connect timeout for a request that may have to be recalled before the server starts
# it. The close that recalls it takes the same path, and has 0.2 s to arrive.
RECALLABLE_CONNECT_SECONDS = 0.15


@define
class DispatchLimits:
    """Limits of the deployment that the choice of servers depends on.

    The ages are those of the newest version of the weights: seconds since it was
    declared.

    Attributes
    ----------
    retry_ratio, retry_slack, retry_window : float
        Retry budget: retries that each request adds, retries that all entries together
        may make beyond these, and the length of the sliding window in seconds.
    max_send_age_seconds : float
        Age until which requests are sent to servers with older weights.
    max_start_age_seconds : float
        Age until which such a server may start requests.
    max_queue_age_seconds : float
        Age until which requests may have to wait in the queue of such a server.
    max_full_age_seconds : float
        Age until which requests are sent to such a server if they have to wait there.
    """

    retry_ratio: float
    retry_slack: float
    retry_window: float
    max_send_age_seconds: float
    max_start_age_seconds: float
    max_queue_age_seconds: float
    max_full_age_seconds: float


@define
class Dispatcher:
    """Admits requests and chooses their servers.

    Attributes
    ----------
    outliers : OutlierEjection
        Failing servers, which are left out for a while.
    idle_servers : callable
        Returns the names of the servers with an idle connection.
    """

    cluster_state: ClusterState
    limits: DispatchLimits
    data_centre: str
    clock: Callable[[], float]
    rng: random.Random
    crash_detector: CrashDetector
    outliers: OutlierEjection = field(factory=OutlierEjection)
    idle_servers: Callable[[], Container[str]] = frozenset
    _retry_limits: dict[str, RetryLimit] = field(factory=dict)
    _in_time_shares: dict[str, InTimeShare] = field(factory=dict)
    _change_event: asyncio.Event = field(factory=asyncio.Event)
    _waiter_count: int = 0
    _late_limiter: LateRequestLimiter = field(factory=LateRequestLimiter)
    _longest_deadlines: dict[str, float] = field(factory=dict)

    def wake(self) -> None:
        """Wake the requests that wait for a server, after new data was received."""
        if self._waiter_count:
            self._change_event.set()
            self._change_event = asyncio.Event()

    def set_limits(self, limits: DispatchLimits) -> None:
        """Replace the limits, and reset the retry budgets."""
        self.limits = limits
        self._retry_limits.clear()

    def admit(self, req: CallerRequest, now: float) -> Exchange:
        """Return the state of a new request; raises ``Refusal``."""
        cfg = self.cluster_state.configuration
        if cfg is None or not self.cluster_state.servers_known:
            raise ConfigurationUnknown("no configuration received yet")
        route = cfg.route(req.head.host, req.path)
        # A route or key that this process doesn't know may have been added since it
        # last received the configuration.
        stale = self.cluster_state.stale(now)
        if route is None:
            raise ConfigurationUnknown("route") if stale else NoRoute(req.path[:80])
        organisation, priority = "", route.priority
        if cfg.keys is not None and not route.public:
            owner = cfg.keys.get(req.head.api_key)
            if owner is None:
                raise ConfigurationUnknown("key") if stale else KeyUnknown("no holder")
            organisation = owner.name
            priority = route.priority if owner.priority is None else owner.priority
        service = route.draw_service(self.rng)
        deadline = (
            req.arrived_at + req.head.wait_seconds if req.head.wait_seconds else None
        )
        expires_at = min(
            req.arrived_at + route.timeout_seconds, deadline or float("inf")
        )
        self._retry_limit(service).record_request(now)
        engine = cfg.services[service].engine if service in cfg.services else None
        exchange = Exchange(
            req, route, service, expires_at, deadline, organisation, priority, engine
        )
        if self.crash_detector.is_quarantined(exchange) and not self._may_probe(
            exchange, now
        ):
            raise Quarantined(service)
        if engine is not None:
            share = self._in_time_share(service)
            share.record_arrival(now)
            exchange.prioritised = share.draw_sent_ahead(self.rng)
            exchange.is_caller_retry = self._is_caller_retry(exchange)
        return exchange

    def record_first_event(
        self, exchange: Exchange, backend: Backend, now: float
    ) -> None:
        """Record that a server sent the first event of a stream."""
        if exchange.first_event_seconds is None:
            exchange.first_event_seconds = now - exchange.req.arrived_at
        exchange.first_event_at[backend.server] = now
        backend.unread_prompts.discard(exchange)
        self._late_limiter.record_started(exchange)

    def record_completed(self, exchange: Exchange, now: float) -> None:
        """Record that a request got a complete response."""
        if exchange.engine is not None:
            self._in_time_share(exchange.service).record_completion(now)

    def record_ended(self, exchange: Exchange | None) -> None:
        """Record that a request has ended, with any outcome."""
        self._late_limiter.record_ended(exchange)

    async def choose_server(self, exchange: Exchange) -> Backend:
        """Return the next server, waiting for one if need be; raises ``Refusal``."""
        started = self.clock()
        while True:
            now = self.clock()
            placement = self._choose(exchange, now)
            if placement.backend is not None and self._may_send_now(
                exchange, placement, now
            ):
                exchange.urgency = placement.urgency if exchange.engine else None
                return placement.backend
            if placement.backend is not None:
                time_left = (
                    started + LATE_WAIT_RATIO * max_caller_wait(exchange.route) - now
                )
                if time_left <= 0 or not self._late_limiter.try_enqueue(
                    exchange, time_left, now
                ):
                    raise self._refusal(exchange, Placement(None, all_full=True))
                exchange.waited = True
                await asyncio.sleep(LATE_POLL_INTERVAL_SECONDS)
                continue
            available_in = placement.ready_in
            limit = min(
                started + MAX_SERVER_WAIT_SECONDS,
                exchange.expires_at - RESERVED_WORK_SECONDS,
            )
            available_soon = available_in is not None and now + available_in <= limit
            if placement.all_full or not available_soon:
                raise self._refusal(exchange, placement)
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

    def _may_send_now(
        self, exchange: Exchange, placement: Placement, now: float
    ) -> bool:
        """Whether a request may be sent now; the number of late ones is limited."""
        if exchange.engine is None or placement.urgency != Urgency.LATE:
            return True
        servers = self.cluster_state.backends.in_service(exchange.service, now)
        entries = self.cluster_state.entries
        if not placement.has_free_slot or not self._late_limiter.may_send(
            len(servers), entries
        ):
            return False
        self._late_limiter.record_sent(exchange, now)
        return True

    def _refusal(self, exchange: Exchange, placement: Placement) -> Refusal:
        if exchange.outcome_uncertain:
            return OutcomeUnknown("no other server")
        if placement.all_full:
            return AllFull(exchange.service)
        return NoServer(exchange.service, placement.ready_in)

    def _choose(self, exchange: Exchange, now: float) -> Placement:
        requirements = self._requirements(exchange, now)
        # Servers that were tried or that are left out can only be excluded from the
        # full list, so the choice among local servers is skipped for them.
        unrestricted = not exchange.tried_servers and not self.outliers.any_ejected(now)
        if unrestricted and requirements.model:
            placement = self._choose_local(exchange.service, requirements, now)
            if placement is not None:
                return placement
        candidates = self.cluster_state.backends.in_service(exchange.service, now)
        if not unrestricted:
            healthy = self.outliers.healthy((b.server for b in candidates), now)
            candidates = [
                b
                for b in candidates
                if b.server in healthy and b.server not in exchange.tried_servers
            ]
        return choose_server(candidates, requirements, now, self.rng)

    def _choose_local(
        self, service: str, requirements: Requirements, now: float
    ) -> Placement | None:
        local = self.cluster_state.backends.in_data_centre(
            service, self.data_centre, now
        )
        if not local:
            return None
        idle = self.idle_servers()
        connected = [b for b in local if b.server in idle] if idle else []
        return choose_local_server(local, connected, requirements, now, self.rng)

    def _requirements(self, exchange: Exchange, now: float) -> Requirements:
        if exchange.engine is None:
            return Requirements(self.data_centre)
        model = exchange.engine.model
        cluster_state, limits = self.cluster_state, self.limits
        target_seconds = exchange.route.target_seconds
        latest_send = (
            exchange.req.arrived_at
            + target_seconds
            - min(MIN_FIRST_EVENT_SECONDS, target_seconds / 2)
        )
        # A caller with part of a stream disconnects when it pauses for 2 s or more, and
        # everything written for it is lost. At a loaded engine, the rest of the stream
        # would wait longer if it were queued behind late requests.
        has_started = exchange.delivered.event_count > 0
        return Requirements(
            self.data_centre,
            model,
            exchange.engine.layers,
            cluster_state.min_version(model, limits.max_send_age_seconds, now),
            cluster_state.min_version(model, limits.max_full_age_seconds, now),
            cluster_state.min_version(model, limits.max_queue_age_seconds, now),
            late=exchange.is_caller_retry or now > latest_send,
            started=has_started,
            sent_ahead=exchange.prioritised,
            entries=max(1, cluster_state.entries),
            local_entries=max(1, cluster_state.local_entries),
        )

    def may_retry(self, exchange: Exchange, now: float) -> bool:
        """Whether one more server may be tried; counts a retry if so."""
        if exchange.outcome_uncertain and not exchange.route.idempotent:
            return False
        if not self._has_attempts_left(exchange):
            return False
        share = self._retry_limit(exchange.service)
        return share.try_spend(now, self.cluster_state.entries)

    def _has_attempts_left(self, exchange: Exchange) -> bool:
        if exchange.sent_count >= exchange.route.max_attempts:
            return False
        if exchange.unreachable_count > MAX_UNREACHABLE_SERVERS:
            return False
        return not self.crash_detector.is_quarantined(exchange)

    def may_resume_elsewhere(self, exchange: Exchange, now: float) -> bool:
        """Whether another server can resume a started stream immediately."""
        return exchange.delivered.event_count > 0 and self.may_hedge(exchange, now)

    def may_hedge(self, exchange: Exchange, now: float) -> bool:
        """Whether a hedged request can be sent to another server immediately."""
        if not exchange.may_use_another_server or not self._has_attempts_left(exchange):
            return False
        share = self._retry_limit(exchange.service)
        if not share.allows_retry(now, self.cluster_state.entries):
            return False
        return self._choose(exchange, now).backend is not None

    def connect_timeout(self, exchange: Exchange, backend: Backend) -> float | None:
        """Return the connect timeout for a server; None for the default.

        It is only set for servers whose weights expire soon.
        """
        if exchange.engine is None:
            return None
        model, now = exchange.engine.model, self.clock()
        loaded_version = backend.loaded_version(model, exchange.engine.layers, now)
        required = self.cluster_state.min_version(
            model, self.limits.max_queue_age_seconds, now
        )
        return RECALLABLE_CONNECT_SECONDS if loaded_version < required else None

    def min_version(self, exchange: Exchange, now: float) -> int:
        """Return the lowest version of the weights that may start it; 0 for any."""
        return self._requirements(exchange, now).min_version

    def _is_caller_retry(self, exchange: Exchange) -> bool:
        """Whether the request is a caller's retry, by the time that it has left.

        Its target time has passed already, although the request has only just arrived.
        """
        time_left = exchange.req.head.wait_seconds
        if not time_left:
            return False
        route = exchange.route
        longest = self._longest_deadlines[route.name] = min(
            max(time_left, self._longest_deadlines.get(route.name, 0.0)),
            MAX_WAIT_RATIO * route.timeout_seconds,
        )
        return time_left < FIRST_TRY_MIN_RATIO * longest

    def _in_time_share(self, service: str) -> InTimeShare:
        return self._in_time_shares.setdefault(service, InTimeShare())

    def _may_probe(self, exchange: Exchange, now: float) -> bool:
        """Whether a quarantined request is sent, to find out whether it still crashes.

        It gets a single attempt.
        """
        is_sent_now = self._choose(exchange, now).backend is not None
        return is_sent_now and self.crash_detector.claim_probe(exchange)

    def _retry_limit(self, service: str) -> RetryLimit:
        if service not in self._retry_limits:
            limits = self.limits
            self._retry_limits[service] = RetryLimit(
                limits.retry_ratio, limits.retry_slack, limits.retry_window
            )
        return self._retry_limits[service]


def max_caller_wait(route: Route) -> float:
    """Return the seconds after which callers disconnect from a stream without data."""
    wait = max(
        CALLER_WAIT_INTERVALS * route.max_event_interval_seconds,
        CALLER_WAIT_TARGETS * route.target_seconds,
    )
    return max(wait, MIN_CALLER_WAIT_SECONDS)
