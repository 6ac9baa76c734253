"""Attempts: sending a request to one server, and ending it there."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from attrs import define, field
from wasabideck_policy.backends import Backend
from wasabideck_policy.cluster_state import ClusterState

from .dispatcher import Dispatcher
from .exchange import Exchange
from .http_heads import HeadCodec, RequestParameters
from .recall import InFlightRequest, InFlightRequests
from .server_connection import ServerConnection, ServerResponse
from .server_pool import ServerPool, Unreachable

__all__ = ["Attempt", "Attempts"]

# Subtracted from the remaining time that is sent to a server, for the network delay.
TRANSIT_SECONDS = 0.002


@define(eq=False)
class Attempt:
    """A request at one server.

    Attributes
    ----------
    in_flight_request : InFlightRequest or None
        The record by which it can be recalled from an engine; None for plain services.
    """

    exchange: Exchange
    backend: Backend
    conn: ServerConnection
    response: ServerResponse
    in_flight_request: InFlightRequest | None


@define
class Attempts:
    """Starts attempts and ends them."""

    pool: ServerPool
    head_codec: HeadCodec
    dispatcher: Dispatcher
    in_flight: InFlightRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no requests in flight."""
        self.in_flight = InFlightRequests(self._cluster_state)

    @property
    def _cluster_state(self) -> ClusterState:
        return self.dispatcher.cluster_state

    @property
    def _clock(self) -> Callable[[], float]:
        return self.dispatcher.clock

    async def start(self, exchange: Exchange, backend: Backend) -> Attempt:
        """Send a request to a server; raises ``Unreachable``."""
        exchange.tried_servers.append(backend.server)
        exchange.req.usage.add_sockets(1)
        backend.add_request(self._clock())
        backend.unread_prompts.add(exchange)
        conn = None
        try:
            connect_timeout = self.dispatcher.connect_timeout(exchange, backend)
            conn = await self.pool.acquire(
                backend, exchange.route.idempotent, connect_timeout
            )
            # Connecting takes up to 0.3 s, and the server may start to drain or be
            # removed meanwhile: a request would reach it too late.
            if not self._cluster_state.backends.accepts_requests(
                backend.server, self._clock()
            ):
                raise Unreachable(backend.server, "draining or removed meanwhile")
            return self._send(exchange, backend, conn)
        except BaseException:
            self._release(exchange, backend)
            if conn is not None:
                conn.close()
            raise

    def end(self, attempt: Attempt, answered: bool = False) -> None:
        """End an attempt; the server stops its work unless it has responded."""
        self._release(attempt.exchange, attempt.backend)
        attempt.response.discard()
        self.in_flight.discard(attempt.in_flight_request)
        if answered:
            self.pool.release(attempt.backend, attempt.conn)
        else:
            attempt.conn.close()

    def _send(
        self, exchange: Exchange, backend: Backend, conn: ServerConnection
    ) -> Attempt:
        response = ServerResponse(
            exchange.req.head.request_id,
            exchange.req.method == b"HEAD",
            exchange.req.usage,
        )
        may_resume_elsewhere = partial(self.dispatcher.may_resume_elsewhere, exchange)
        in_flight_request = exchange.engine and InFlightRequest(
            response, backend, exchange.engine, may_resume_elsewhere
        )
        self._record_weights(exchange, backend)
        self.dispatcher.crash_detector.record_sent(exchange, backend)
        head = self._head(exchange, backend)
        exchange.possibly_executed_by.add(backend.server)
        conn.send(head, exchange.req.body, response)
        if in_flight_request:
            self.in_flight.add(in_flight_request)
        return Attempt(exchange, backend, conn, response, in_flight_request)

    def _release(self, exchange: Exchange, backend: Backend) -> None:
        exchange.req.usage.add_sockets(-1)
        backend.in_progress -= 1
        backend.unread_prompts.discard(exchange)

    def _head(self, exchange: Exchange, backend: Backend) -> bytes:
        now = self._clock()
        time_left = None
        if exchange.caller_deadline is not None:
            time_left = max(0.001, exchange.caller_deadline - now - TRANSIT_SECONDS)
        # Servers compare this version with the one they hold, which may be newer than
        # the lowest one allowed.
        min_version = self.dispatcher.min_version(exchange, now)
        version = max(min_version, exchange.weights_version) if min_version else 0
        parameters = RequestParameters(
            server=backend.server,
            seconds_left=time_left,
            organisation=exchange.organisation,
            last_event_id=exchange.delivered.last_event_id
            or exchange.req.head.last_event_id,
            version=version,
            priority=exchange.urgency,
        )
        return self.head_codec.format_request_head(exchange.req, parameters)

    def _record_weights(self, exchange: Exchange, backend: Backend) -> None:
        """Record for the log which weights the server was known to hold at sending."""
        if exchange.engine is None:
            return
        model, now = exchange.engine.model, self._clock()
        loaded_version = backend.loaded_version(model, exchange.engine.layers, now)
        max_age_seconds = self.dispatcher.limits.max_send_age_seconds
        expires_at = self._cluster_state.expires_at(
            model, loaded_version, max_age_seconds
        )
        exchange.weights_version = loaded_version
        exchange.weights_expire_in = None if expires_at is None else expires_at - now
