"""The entry's HTTP server; checks limits and credentials before any route handler."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable

from attrs import field, frozen
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.models.server_types import ConnInfo
from sanic.server import AsyncioServer
from wasabideck_base.addresses import split_address
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.kernel_buffers import open_listener
from wasabideck_base.metrics import Metrics, render_metrics
from wasabideck_base.process import convert_bind_errors
from wasabideck_base.settings import EntrySettings
from wasabideck_base.tls import TlsContexts
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES

from .accounted_http import MAX_HEADER_BYTES, protocol_factory
from .authentication import authenticate
from .caller_endpoint import problem_response
from .connection_limits import ConnectionLimiter
from .http_connection import EntryRequest
from .idle_connections import close_idle_connections

__all__ = ["HttpOptions", "close_http", "make_app", "serve_http"]

# sanic cancels a handler after this time, even during a streamed response. It is longer
# than an hour, the maximum deadline that a caller may set.
RESPONSE_TIMEOUT_SECONDS = 3700
REQUEST_TIMEOUT_SECONDS = 30
IDLE_TIMEOUT_SECONDS = 75
TICKETS_PATH = "/v1/tickets"
CLOSE_POLL_INTERVAL_SECONDS = 0.02
# Time after which a shutdown refuses requests that are still being received.
READ_DRAIN_SECONDS = 10.0
# Time in which the last responses of cancelled requests are written.
FINAL_WRITE_SECONDS = 0.5


@frozen
class HttpOptions:
    """Settings of the HTTP server, and callables that return the entry's state.

    Attributes
    ----------
    ready : callable
        Returns whether the platform's load balancer may send requests here.
    current_metrics : callable
        Returns the current metrics.
    budget : ConnectionBudget
        Memory and sockets of all connections of the process.
    """

    cfg: EntrySettings
    ready: Callable[[], bool]
    current_metrics: Callable[[], Metrics]
    keys: TlsContexts | None = None
    budget: ConnectionBudget = field(factory=ConnectionBudget)


def make_app(options: HttpOptions) -> Sanic:
    """Return an application with the request checks and the process's own routes."""
    # sanic allows fewer characters in a name than a VM's name may have.
    vm = re.sub(r"[^A-Za-z0-9]", "_", options.cfg.process.vm)
    app = Sanic(f"wasabideck_{vm}", configure_logging=False, request_class=EntryRequest)
    app.config.update(
        {
            "MOTD": False,
            "REQUEST_MAX_SIZE": options.cfg.body_bytes,
            "REQUEST_MAX_HEADER_SIZE": MAX_HEADER_BYTES,
            "REQUEST_TIMEOUT": REQUEST_TIMEOUT_SECONDS,
            "RESPONSE_TIMEOUT": RESPONSE_TIMEOUT_SECONDS,
            "KEEP_ALIVE_TIMEOUT": IDLE_TIMEOUT_SECONDS,
        }
    )
    _add_request_checks(app, options)
    _add_process_routes(app, options)
    return app


async def serve_http(app: Sanic, options: HttpOptions) -> tuple[AsyncioServer, str]:
    """Start the server; return it and its bound address.

    sanic runs on the current event loop: its worker manager would start processes.
    """
    address = options.cfg.process.http
    with convert_bind_errors(address):
        sock = open_listener(*split_address(address))
    context = options.keys.caller_server if options.keys else None
    server = await app.create_server(
        sock=sock,
        protocol=protocol_factory(options.budget, context),
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    await server.before_start()
    await server.after_start()
    host, port = sock.getsockname()[:2]
    return server, f"{host}:{port}"


async def close_http(server: AsyncioServer, seconds: float) -> None:
    """Stop listening, and close each open connection once its request has ended.

    Requests that stop short of their end are refused, and so are those that are not
    whole after ``READ_DRAIN_SECONDS``. Connections that are left after the given time
    are aborted.
    """
    server.close()
    started_at = now = time.monotonic()
    while server.connections and now < started_at + seconds:
        close_idle_connections(server)
        for conn in list(server.connections):
            conn.end_if_stalled(now, started_at + READ_DRAIN_SECONDS)
        await asyncio.sleep(CLOSE_POLL_INTERVAL_SECONDS)
        now = time.monotonic()
    await _abort_connections(server)


async def _abort_connections(server: AsyncioServer) -> None:
    """Cancel what is still in progress, and abort its connections.

    A task that was cancelled sends its last response, and its caller may not read.
    """
    tasks = [conn.task for conn in server.connections if conn.task is not None]
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks, timeout=FINAL_WRITE_SECONDS)
    for conn in list(server.connections):
        if conn.transport is not None:
            conn.transport.abort()


def _add_request_checks(app: Sanic, options: HttpOptions) -> None:
    callers = options.cfg.callers
    connections = ConnectionLimiter(
        {c.organisation: c.most_connections for c in callers}
    )

    # A request is checked once its head has been read, so that a wrong credential is
    # refused before the body is received.
    @app.signal("http.routing.after")
    async def admit(request: Request, **_: object) -> None:
        request.ctx.principal = authenticate(options.cfg, request.path, request.headers)
        connections.acquire(request.conn_info.ctx, request.ctx.principal)
        request.stream.request_max_size = max_bytes = _max_body_bytes(
            options, request.path
        )
        # A body that is too long is refused by its Content-Length, or, if its transfer
        # encoding is chunked, as soon as the received bytes exceed the limit.
        if int(request.headers.get("content-length", 0)) > max_bytes:
            request.stream.keep_alive = False
            raise PayloadTooLarge(f"body: at most {max_bytes} bytes are allowed")

    @app.signal("http.lifecycle.complete")
    async def release_connection(conn_info: ConnInfo, **_: object) -> None:
        connections.release(conn_info.ctx)

    @app.exception(WasabideckError)
    async def refuse(req: Request, exc: WasabideckError) -> HTTPResponse:
        return _refusal_response(
            req, type(exc).__name__, exc.status, str(exc), exc.retry_after
        )

    @app.exception(SanicException)
    async def refuse_malformed(req: Request, exc: SanicException) -> HTTPResponse:
        return _refusal_response(
            req, type(exc).__name__, exc.status_code, str(exc), 0.0
        )


def _max_body_bytes(options: HttpOptions, path: str) -> int:
    # sanic routes a path with a trailing slash to the same route.
    is_ticket = path.rstrip("/") == TICKETS_PATH
    return MAX_TICKET_BYTES if is_ticket else options.cfg.body_bytes


def _refusal_response(
    req: Request, title: str, status: int, detail: str, retry_after: float
) -> HTTPResponse:
    body = {"title": title, "status": status, "detail": detail}
    if req.path.startswith("/v1/services"):
        body["outcome"] = "not-run"
    return problem_response(status, body, retry_after)


def _add_process_routes(app: Sanic, options: HttpOptions) -> None:
    @app.get("/ready")
    async def ready(req: Request) -> HTTPResponse:
        return HTTPResponse(status=200 if options.ready() else 503)

    @app.get("/metrics")
    async def metrics(req: Request) -> HTTPResponse:
        accept = req.headers.get("accept", "")
        body, headers = render_metrics(options.current_metrics(), accept)
        return HTTPResponse(body, headers=headers)
