"""The entry's HTTP server: limits and credentials before any route."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import Callable

from attrs import frozen
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.models.server_types import ConnInfo
from sanic.server import AsyncioServer
from wasabideck_base.addresses import split_address
from wasabideck_base.metrics import Metrics, render_metrics
from wasabideck_base.process import binding
from wasabideck_base.settings import EntrySettings
from wasabideck_base.tls import Keys
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import MAX_TICKET_BYTES

from .caller_limits import HeldConnections
from .connections import close_idle
from .front import problem
from .identity import check

__all__ = ["Listener", "close_http", "make_app", "serve_http"]

# sanic ends a handler after its response timeout, also in the middle of a stream;
# the longest deadline that a caller may ask for is an hour.
RESPONSE_SECONDS = 3700
REQUEST_SECONDS = 30
IDLE_SECONDS = 75
HEADER_BYTES = 8192
TICKETS_PATH = "/v1/tickets"
CLOSE_STEP_SECONDS = 0.02


@frozen
class Listener:
    """What the HTTP server needs to know of the entry.

    Attributes
    ----------
    ready : callable
        Whether the platform's balancer may send requests here.
    observe : callable
        The metrics, as they are now.
    """

    cfg: EntrySettings
    ready: Callable[[], bool]
    observe: Callable[[], Metrics]
    keys: Keys | None = None


def make_app(listener: Listener) -> Sanic:
    """Application without routes, but for those of the process itself."""
    # sanic takes fewer characters for a name than a VM's may have.
    vm = re.sub(r"[^A-Za-z0-9]", "_", listener.cfg.process.vm)
    app = Sanic(f"wasabideck_{vm}", configure_logging=False)
    app.config.update(
        {
            "MOTD": False,
            "REQUEST_MAX_SIZE": listener.cfg.body_bytes,
            "REQUEST_MAX_HEADER_SIZE": HEADER_BYTES,
            "REQUEST_TIMEOUT": REQUEST_SECONDS,
            "RESPONSE_TIMEOUT": RESPONSE_SECONDS,
            "KEEP_ALIVE_TIMEOUT": IDLE_SECONDS,
        }
    )
    _add_guards(app, listener)
    _add_process_routes(app, listener)
    return app


async def serve_http(app: Sanic, listener: Listener) -> tuple[AsyncioServer, str]:
    """Serve; the server and its bound address.

    sanic runs inside this loop: its worker manager would start processes.
    """
    address = listener.cfg.process.http
    with binding(address):
        sock = socket.create_server(split_address(address))
    server = await app.create_server(
        sock=sock,
        ssl=listener.keys.http if listener.keys else None,
        return_asyncio_server=True,
        access_log=False,
    )
    await server.startup()
    await server.before_start()
    await server.after_start()
    host, port = sock.getsockname()[:2]
    return server, f"{host}:{port}"


async def close_http(server: AsyncioServer, seconds: float) -> None:
    """Take no new connection, and close each one when its request has ended."""
    server.close()
    limit = time.monotonic() + seconds
    while server.connections and time.monotonic() < limit:
        close_idle(server)
        await asyncio.sleep(CLOSE_STEP_SECONDS)


def _add_guards(app: Sanic, listener: Listener) -> None:
    callers = listener.cfg.callers
    held = HeldConnections({c.organisation: c.most_connections for c in callers})

    # Requests are checked when their head has been read: a wrong credential is
    # refused before its body is taken in.
    @app.signal("http.routing.after")
    async def admit(request: Request, **routed: object) -> None:
        request.ctx.who = check(listener.cfg, request.path, request.headers)
        held.enter(request.conn_info.ctx, request.ctx.who)
        request.stream.request_max_size = most = _most_bytes(listener, request.path)
        # A longer body is refused from its announced length; one that comes in
        # pieces is refused as soon as they are too many.
        if int(request.headers.get("content-length", 0)) > most:
            raise PayloadTooLarge(f"body: {most} bytes at most")

    @app.signal("http.lifecycle.complete")
    async def leave(conn_info: ConnInfo, **_: object) -> None:
        held.leave(conn_info.ctx)

    @app.exception(WasabideckError)
    async def refuse(req: Request, exc: WasabideckError) -> HTTPResponse:
        return _refusal(req, type(exc).__name__, exc.status, str(exc), exc.retry_after)

    @app.exception(SanicException)
    async def refuse_malformed(req: Request, exc: SanicException) -> HTTPResponse:
        return _refusal(req, type(exc).__name__, exc.status_code, str(exc), 0.0)


def _most_bytes(listener: Listener, path: str) -> int:
    # sanic takes a path with a slash at its end for the same route.
    tickets = path.rstrip("/") == TICKETS_PATH
    return MAX_TICKET_BYTES if tickets else listener.cfg.body_bytes


def _refusal(
    req: Request, title: str, status: int, detail: str, retry_after: float
) -> HTTPResponse:
    body = {"title": title, "status": status, "detail": detail}
    if req.path.startswith("/v1/services"):
        body["outcome"] = "not-run"
    return problem(status, body, retry_after)


def _add_process_routes(app: Sanic, listener: Listener) -> None:
    @app.get("/ready")
    async def ready(req: Request) -> HTTPResponse:
        return HTTPResponse(status=200 if listener.ready() else 503)

    @app.get("/metrics")
    async def metrics(req: Request) -> HTTPResponse:
        accept = req.headers.get("accept", "")
        body, headers = render_metrics(listener.observe(), accept)
        return HTTPResponse(body, headers=headers)
