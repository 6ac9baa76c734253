"""Handles a request from admission to its complete response or its refusal."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial

from attrs import define, field
from wasabideck_base.events import Events, round_finite
from wasabideck_policy.backends import Backend
from wasabideck_policy.cluster_state import ClusterState

from .attempts import Attempt, Attempts
from .caller_connection import CallerConnection
from .delivery import (
    ResponseMonitor,
    ServerFailed,
    deliver,
    usable_head,
    wait_for_start,
    write_response,
)
from .dispatcher import Dispatcher, max_caller_wait
from .drain import Drain
from .exchange import Exchange
from .hedging import Replaced, wait_or_hedge
from .http_heads import CallerRequest, HeadCodec, ResponseHead
from .recall import Recalled
from .refusals import (
    CallerLeft,
    NeverSent,
    OutcomeUnknown,
    Refusal,
    ServersRefused,
    ShuttingDown,
    TimeUp,
)
from .server_connection import AnswerBroken
from .server_pool import ServerPool, Unreachable

__all__ = ["Forwarder"]

# Failures that end an attempt; another server may be tried afterwards.
ATTEMPT_FAILURES = (Unreachable, AnswerBroken, ServerFailed, Recalled)

# How long a server that refused a request as full gets no requests: about one pass of
# an engine's batch, after which it may have free slots again.
FULL_BACKOFF_SECONDS = 0.12
# The same for a server that refused for another reason (restarted, reloading).
NOT_RUN_BACKOFF_SECONDS = 0.4
# Maximum wait of a starting process for its first configuration before it refuses
# requests, and the interval at which it checks for it.
STARTUP_WAIT_SECONDS = 0.5
STARTUP_POLL_INTERVAL_SECONDS = 0.02
# A started stream waits for this share of the maximum caller wait while most servers of
# its server's data centre are unresponsive: a congested link recovers within a second
# or two, and a stream from another server behind it would have to wait as long.
UNRESPONSIVE_LINK_WAIT_RATIO = 0.75
# Interval at which requests in flight are checked for a recall. Twenty checks a second
# cost nothing that could be measured, and a request that is 0.05 s late can still be
# recalled in time.
RECALL_INTERVAL_SECONDS = 0.05
# How long the data of a draining server is held back while a replacement is sought: the
# replacement resumes after the last event that the caller has.
DRAIN_HOLD_SECONDS = 0.5


@define
class Forwarder:
    """Serves requests by sending them directly to backend servers."""

    pool: ServerPool
    head_codec: HeadCodec
    events: Events
    dispatcher: Dispatcher
    in_progress: int = 0
    drain: Drain = field(factory=Drain)
    attempts: Attempts = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no attempts."""
        self.attempts = Attempts(self.pool, self.head_codec, self.dispatcher)

    @property
    def cluster_state(self) -> ClusterState:
        """The state of the cluster as known to this process."""
        return self.dispatcher.cluster_state

    @property
    def clock(self) -> Callable[[], float]:
        """The clock, which returns the present time in seconds."""
        return self.dispatcher.clock

    async def run_recalls(self) -> None:
        """Recall requests from servers that must not have them any longer, forever."""
        while True:
            await asyncio.sleep(RECALL_INTERVAL_SECONDS)
            now = self.clock()
            in_flight = self.attempts.in_flight
            in_flight.recall_expired(self.dispatcher.limits.max_start_age_seconds, now)
            in_flight.resume_draining_elsewhere(now)

    async def serve(self, req: CallerRequest, caller: CallerConnection) -> None:
        """Serve one request on its caller's connection."""
        self.in_progress += 1
        exchange = None
        try:
            await self._wait_until_ready()
            now = self.clock()
            exchange = self.dispatcher.admit(req, now)
            may_admit = self.drain.may_admit(exchange.expires_at, now)
            if caller.close_announced or not may_admit:
                raise ShuttingDown(exchange.service)
            # A pipelined request may have waited for longer than its time limit.
            if now >= exchange.expires_at:
                raise NeverSent(exchange.service)
            await self._serve_until_expiry(exchange, caller)
        except Refusal as exc:
            await self._refuse(req, exchange, exc, caller)
        except asyncio.CancelledError:
            # The end of the process cancels requests whose callers still wait.
            outcome = "left" if caller.has_disconnected() else "cut-off"
            self._log_end(req, exchange, outcome)
            raise
        finally:
            self.in_progress -= 1
            self.dispatcher.record_ended(exchange)

    async def _wait_until_ready(self) -> None:
        """Wait briefly for the first configuration and list of servers.

        They are received within a tenth of a second after the start. Most callers that
        connect by then were refused once already, and would not retry a second time.
        """
        started = self.clock()
        while not self.cluster_state.ready and self.clock() < min(
            started + STARTUP_WAIT_SECONDS, self.drain.ends_at
        ):
            await asyncio.sleep(STARTUP_POLL_INTERVAL_SECONDS)

    async def _serve_until_expiry(
        self, exchange: Exchange, caller: CallerConnection
    ) -> None:
        try:
            async with self.drain.time_limit(exchange.expires_at):
                await self._try_servers(exchange, caller)
        except TimeoutError:
            if exchange.expires_at > self.drain.ends_at:
                self._give_up(exchange, caller)
                return
            if caller.head_written:
                self._abort(exchange, caller, "TimeUp")
                return
            if exchange.outcome_uncertain:
                raise TimeUp(exchange.route.name) from None
            raise NeverSent(exchange.service) from None

    def _give_up(self, exchange: Exchange, caller: CallerConnection) -> None:
        """End a request at the end of the drain; raises ``Refusal`` if possible."""
        self.drain.given_up_count += 1
        if caller.head_written:
            self._abort(exchange, caller, "ShuttingDown", "cut-off")
            return
        if exchange.outcome_uncertain:
            raise OutcomeUnknown("shutting down")
        raise ShuttingDown(exchange.service)

    async def _try_servers(self, exchange: Exchange, caller: CallerConnection) -> None:
        while True:
            backend = await self.dispatcher.choose_server(exchange)
            if (
                exchange.tried_servers or exchange.waited
            ) and caller.has_disconnected():
                raise CallerLeft(exchange.service)
            try:
                with self._recording_failures(exchange, backend):
                    attempt = await self.attempts.start(exchange, backend)
                await self._deliver_with_failover(exchange, attempt, caller)
            except ATTEMPT_FAILURES:
                pass
            else:
                return
            # The caller has part of a long plain response, which nothing can continue.
            truncated = caller.head_written and not exchange.delivered.event_count
            if not truncated and self.dispatcher.may_retry(exchange, self.clock()):
                continue
            if caller.head_written:
                self._abort(exchange, caller, "OutcomeUnknown")
                return
            if exchange.outcome_uncertain:
                raise OutcomeUnknown(backend.server)
            raise ServersRefused(backend.server)

    async def _deliver_with_failover(
        self, exchange: Exchange, attempt: Attempt, caller: CallerConnection
    ) -> None:
        """Deliver a response, switching to the one of a replacement server if any."""
        while True:
            try:
                await self._deliver(exchange, attempt, caller)
            except Replaced as exc:
                attempt = exc.attempt
            else:
                return

    async def _deliver(
        self, exchange: Exchange, attempt: Attempt, caller: CallerConnection
    ) -> None:
        backend, response = attempt.backend, attempt.response
        answered = False
        try:
            with self._recording_failures(exchange, backend):
                monitor = self._response_monitor(exchange, attempt, caller)
                head = await usable_head(exchange, response, monitor)
                on_first_event = partial(
                    self.dispatcher.record_first_event, exchange, backend
                )
                await deliver(exchange, head, response, monitor, caller, on_first_event)
            answered = True
            self._log_end(exchange.req, exchange, "answered")
            now = self.clock()
            self.dispatcher.record_completed(exchange, now)
            self.dispatcher.crash_detector.record_answered(exchange, backend, head, now)
            self.dispatcher.outliers.record_success(backend.server)
        finally:
            self.attempts.end(attempt, answered)

    async def _find_replacement(
        self, exchange: Exchange, caller: CallerConnection
    ) -> Attempt | None:
        """Return a started attempt at another server; None if there is none.

        If a server fails, the next one is tried as long as the route allows it.
        """
        while self.dispatcher.may_hedge(exchange, self.clock()):
            try:
                backend = await self.dispatcher.choose_server(exchange)
            except Refusal:
                return None
            if caller.has_disconnected():
                return None
            # This is checked last: it counts a retry, and a late request may have got
            # no server.
            if not self.dispatcher.may_retry(exchange, self.clock()):
                return None
            with suppress(*ATTEMPT_FAILURES):
                return await self._start_replacement(exchange, backend, caller)
        return None

    async def _start_replacement(
        self, exchange: Exchange, backend: Backend, caller: CallerConnection
    ) -> Attempt:
        """Send a request to a server and wait until its response starts."""
        with self._recording_failures(exchange, backend):
            attempt = await self.attempts.start(exchange, backend)
            try:
                monitor = self._response_monitor(exchange, attempt, caller)
                await wait_for_start(exchange, attempt.response, monitor)
            except Replaced as exc:
                self.attempts.end(attempt)
                return exc.attempt
            except BaseException:
                self.attempts.end(attempt)
                raise
            return attempt

    def _response_monitor(
        self, exchange: Exchange, attempt: Attempt, caller: CallerConnection
    ) -> ResponseMonitor:
        backend = attempt.backend

        async def wait_with_hedge(
            wait: Callable[[], Awaitable], unresponsive: bool
        ) -> object:
            find_replacement = partial(self._find_replacement, exchange, caller)
            self._log_hedge(exchange, backend, unresponsive)
            try:
                hold_seconds = 0.0 if unresponsive else DRAIN_HOLD_SECONDS
                return await wait_or_hedge(
                    wait,
                    find_replacement,
                    self.attempts.end,
                    attempt.conn.close,
                    hold_seconds,
                )
            except Replaced as exc:
                self._record_replaced(exchange, backend, exc, unresponsive)
                raise

        return ResponseMonitor(
            backend,
            self.clock,
            partial(self._accept_head, exchange, backend),
            wait_with_hedge,
            partial(self._link_unresponsive, backend),
            UNRESPONSIVE_LINK_WAIT_RATIO * max_caller_wait(exchange.route),
        )

    def _accept_head(
        self, exchange: Exchange, backend: Backend, head: ResponseHead
    ) -> None:
        """Record a response's head; raises ``ServerFailed`` for a refusal."""
        self._record_head(exchange, backend, head)
        if head.refused or head.misdirected:
            exchange.possibly_executed_by.discard(backend.server)
            exchange.refusal_count += 1
            raise ServerFailed(head.status, refused=True)

    @contextmanager
    def _recording_failures(
        self, exchange: Exchange, backend: Backend
    ) -> Iterator[None]:
        """Record a failure of the attempt and raise it again."""
        try:
            yield
        except ATTEMPT_FAILURES as exc:
            self._record_failure(exchange, backend, exc)
            raise

    def _seconds_since_data(self, backend: Backend) -> float | None:
        """Return the seconds since a server last sent data; None if it never did."""
        if not backend.last_received_at:
            return None
        return round(self.clock() - backend.last_received_at, 3)

    def _link_unresponsive(self, backend: Backend) -> bool:
        data_centre = backend.listed.data_centre
        return self.cluster_state.backends.is_network_unresponsive(
            data_centre, self.clock()
        )

    def _record_head(
        self, exchange: Exchange, backend: Backend, head: ResponseHead
    ) -> None:
        now = self.clock()
        if head.load is not None:
            backend.apply_load(head.load.running + head.load.waiting, now)
        if head.version and exchange.engine is not None:
            backend.versions[exchange.engine.model] = head.version
        if head.misdirected:
            backend.full_until = now + NOT_RUN_BACKOFF_SECONDS
        elif head.refused:
            backend.full_until = now + FULL_BACKOFF_SECONDS

    def _record_failure(
        self, exchange: Exchange, backend: Backend, exc: BaseException
    ) -> None:
        refused = isinstance(exc, ServerFailed) and exc.refused
        if isinstance(exc, Unreachable):
            exchange.unreachable_count += 1
            self.dispatcher.outliers.eject(backend.server, self.clock())
        elif not refused and not isinstance(exc, Recalled):
            self.dispatcher.outliers.record_failure(backend.server, self.clock())
        if isinstance(exc, AnswerBroken):
            self.dispatcher.crash_detector.connection_failed(
                exchange, backend, self.clock()
            )
        self.events.emit(
            "attempt.failed",
            request=exchange.req.head.request_id,
            server=backend.server,
            why=f"{type(exc).__name__}: {exc}",
            uncertain=exchange.outcome_uncertain,
            pressed=backend.in_progress + backend.other_requests,
            delivered=exchange.delivered.event_count,
            unheard=self._seconds_since_data(backend),
            way_silent=self._link_unresponsive(backend),
        )

    def _log_hedge(
        self, exchange: Exchange, backend: Backend, unresponsive: bool
    ) -> None:
        """Log that another server is sought for a request that has one already."""
        self.events.emit(
            "replacement.sought",
            request=exchange.req.head.request_id,
            server=backend.server,
            silent=unresponsive,
            delivered=exchange.delivered.event_count,
            unheard=self._seconds_since_data(backend),
            way_silent=self._link_unresponsive(backend),
        )

    def _record_replaced(
        self, exchange: Exchange, backend: Backend, by: Replaced, unresponsive: bool
    ) -> None:
        """Record that another server has replaced the one of an attempt."""
        if by.failure is not None:
            self._record_failure(exchange, backend, by.failure)
        elif unresponsive:
            self.dispatcher.outliers.record_failure(backend.server, self.clock())
            self.dispatcher.crash_detector.left_unresponsive(
                exchange, backend, self.clock()
            )
        self.events.emit(
            "attempt.replaced",
            request=exchange.req.head.request_id,
            server=backend.server,
            by=by.attempt.backend.server,
            unheard=self._seconds_since_data(backend),
        )

    def _abort(
        self,
        exchange: Exchange,
        caller: CallerConnection,
        why: str,
        outcome: str = "broken-off",
    ) -> None:
        caller.abort_response()
        self._log_end(exchange.req, exchange, outcome, reason=why)

    async def _refuse(
        self,
        req: CallerRequest,
        exchange: Exchange | None,
        exc: Refusal,
        caller: CallerConnection,
    ) -> None:
        fallback = exchange.delivered.fallback if exchange else None
        if fallback and not caller.head_written and not isinstance(exc, CallerLeft):
            # A server's own failure tells the caller more than a refusal would.
            await write_response(caller, *fallback)
            self._log_end(req, exchange, "answered", reason=type(exc).__name__)
            return
        outcome = "left" if isinstance(exc, CallerLeft) else "refused"
        self._log_end(req, exchange, outcome, reason=type(exc).__name__, why=str(exc))
        if caller.head_written or isinstance(exc, CallerLeft):
            caller.abort_response()
            return
        body = b'{"error":"%s"}' % type(exc).__name__.encode()
        headers = [(b"Content-Type", b"application/json")]
        if exc.retry_after:
            # Jitter keeps callers that were refused together from retrying together.
            seconds = exc.retry_after * self.dispatcher.rng.uniform(0.7, 1.3)
            headers.append((b"Retry-After", b"%.2f" % seconds))
        caller.write_head(exc.status, headers, len(body))
        await caller.write_body(body)

    def _log_end(
        self, req: CallerRequest, exchange: Exchange | None, outcome: str, **fields: str
    ) -> None:
        """Log how a request ended."""
        cfg, now = self.cluster_state.configuration, self.clock()
        self.events.emit(
            "request.ended",
            request=req.head.request_id,
            outcome=outcome,
            seconds=round(now - req.arrived_at, 4),
            draining=_round_or_none(self.drain.seconds(now)),
            servers=exchange.tried_servers if exchange else [],
            route=exchange.route.name if exchange else "",
            first=_round_or_none(exchange.first_event_seconds) if exchange else None,
            urgency=exchange.urgency if exchange else None,
            weights=exchange.weights_version if exchange else 0,
            over_in=_round_or_none(exchange.weights_expire_in) if exchange else None,
            configuration=cfg.number if cfg else 0,
            staleness=round_finite(self.cluster_state.staleness(now)),
            delivered=exchange.delivered.event_count if exchange else 0,
            **fields,
        )


def _round_or_none(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 4)
