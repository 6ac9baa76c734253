"""The entry process: all of its parts, put together."""

from __future__ import annotations

import asyncio
import random
import socket
import time

import aiohttp
from attrs import define, field
from grpclib.server import Server
from sanic import HTTPResponse, Request, Sanic
from sanic.server import AsyncioServer
from wasabideck_platform.channels import LINK_FAILURES, Channels, observe_clock
from wasabideck_platform.clients import Platform, connect_platform
from wasabideck_platform.events import Events, open_events
from wasabideck_platform.http import PlatformUnavailable
from wasabideck_platform.metrics import Metrics, render_metrics
from wasabideck_platform.process import announce_ready, every, first_of
from wasabideck_platform.settings import EntrySettings, split_address
from wasabideck_platform.spread import PeersService, Spread
from wasabideck_policy.membership import ENTRY, Member, polls
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.routing import POLICIES
from wasabideck_wire import inner_pb2 as pb

from .calls import Caller
from .fleet import Fleet
from .front import Front, add_caller_routes, problem
from .operators import Operators, add_operator_routes
from .pushes import Pusher

__all__ = ["serve_entry"]

HEAD_SECONDS = 0.5
HEAD_PATIENCE = 2.0
COMPARE_SECONDS = 1.0
DRAIN_SECONDS = 60.0


@define
class Entry:
    """State of one entry process."""

    cfg: EntrySettings
    events: Events
    channels: Channels
    platform: Platform
    spread: Spread
    peers: PeersService
    pusher: Pusher
    fleet: Fleet
    caller: Caller
    metrics: Metrics
    leaving: bool = False
    poll_at: float = 0.0
    in_progress: int = field(default=0)

    async def read_members(self) -> None:
        """Read the platform's list; keep the last one when it is down."""
        try:
            self.fleet.take_members(await self.platform.members.read(time.monotonic()))
        except PlatformUnavailable as exc:
            self.events.emit("members.unavailable", why=str(exc))

    async def poll_head(self) -> None:
        """Read the table's head, where this entry has to.

        A few entries of each data centre do, and tell the others. One that heard
        nothing of the head for a while reads for itself, at jittered times, so that
        all together stay far below the table's limit on reads.
        """
        now = time.monotonic()
        ranked = polls(self.cfg.process.vm, self._data_centre, self.fleet.members)
        if all(member.vm != self.cfg.process.vm for member in ranked):
            if self.spread.head_age() < HEAD_PATIENCE or now < self.poll_at:
                return
        self.poll_at = now + HEAD_PATIENCE * (1 + self.caller.rng.random())
        try:
            await self.spread.poll(self.platform.table)
        except PlatformUnavailable as exc:
            self.events.emit("table.unavailable", why=str(exc))

    async def compare(self) -> None:
        """Compare state with one entry that reads the head, and with any other."""
        rng = self.caller.rng
        me = self.cfg.process.vm
        others = self.fleet.entries()
        ranked = polls(me, self._data_centre, self.fleet.members)
        near = [m for m in ranked if m.vm != me and m.address]
        asked = {m.vm: m for m in (*rng.sample(near, min(1, len(near))),)}
        asked |= {m.vm: m for m in rng.sample(others, min(1, len(others)))}
        await asyncio.gather(*(self._sync(m, len(others)) for m in asked.values()))

    async def _sync(self, member: Member, listed: int) -> None:
        channel = self.channels.get(member.address)
        try:
            await self.spread.sync(member.vm, channel, listed)
        except LINK_FAILURES:
            self.channels.drop(member.address)

    @property
    def _data_centre(self) -> str:
        return self.cfg.process.data_centre

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """What this entry tells other processes of itself."""
        return pb.StatusReply(
            vm=self.cfg.process.vm,
            leaving=self.leaving,
            in_progress=self.in_progress,
        )


async def serve_entry(cfg: EntrySettings, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish what is in progress."""
    events, _ = open_events(cfg.process.vm, cfg.process.events)
    async with aiohttp.ClientSession() as session:
        entry = _assemble(cfg, events, session)
        server = Server([entry.peers])
        observe_clock(server, events.clock)
        host, port = split_address(cfg.process.inner)
        await server.start(host, port)
        inner = server._server.sockets[0].getsockname()
        await entry.read_members()
        http, address = await _serve_http(entry)
        events.emit("process.ready", kind=ENTRY)
        announce_ready(vm=cfg.process.vm, inner=f"{inner[0]}:{inner[1]}", http=address)
        tasks = [asyncio.create_task(loop) for loop in _loops(entry)]
        await first_of(stop, tasks)
        await _drain(entry)
        for task in tasks:
            task.cancel()
        await http.close()
        server.close()
        entry.channels.close()
        events.emit("process.stopped", kind=ENTRY)


def _assemble(
    cfg: EntrySettings, events: Events, session: aiohttp.ClientSession
) -> Entry:
    channels = Channels(events.clock)
    fleet = Fleet(cfg.process.vm, channels, cfg.process.region)
    rng = random.Random(f"{cfg.seed}/{cfg.process.vm}/{time.time_ns()}")
    spread = Spread(cfg.process.vm, events)
    entry: Entry
    peers = PeersService(spread, lambda req: entry.status(req))
    pusher = Pusher(cfg.process.data_centre, spread, peers, fleet, channels, rng)
    spread.listen(pusher.note)
    entry = Entry(
        cfg,
        events,
        channels,
        connect_platform(cfg.platform, session),
        spread,
        peers,
        pusher,
        fleet,
        Caller(fleet, channels, events, POLICIES[cfg.routing](), rng),
        Metrics(),
    )
    return entry


def _loops(entry: Entry) -> list:
    return [
        every(entry.cfg.platform.poll_seconds, entry.read_members),
        every(HEAD_SECONDS, entry.poll_head),
        every(COMPARE_SECONDS, entry.compare),
        entry.pusher.run(),
        entry.fleet.keep_asking(),
    ]


async def _drain(entry: Entry) -> None:
    """Turn readiness off, and finish what is in progress."""
    entry.leaving = True
    entry.events.emit("process.leaving", kind=ENTRY)
    limit = time.monotonic() + DRAIN_SECONDS
    while entry.in_progress and time.monotonic() < limit:
        await asyncio.sleep(0.05)


async def _serve_http(entry: Entry) -> tuple[AsyncioServer, str]:
    """Serve callers and operators; the server and its bound address.

    sanic runs inside this loop: its worker manager would start processes.
    """
    sock = socket.create_server(split_address(entry.cfg.process.http))
    server = await _app(entry).create_server(
        sock=sock, return_asyncio_server=True, access_log=False
    )
    await server.startup()
    await server.before_start()
    await server.after_start()
    host, port = sock.getsockname()[:2]
    return server, f"{host}:{port}"


def _app(entry: Entry) -> Sanic:
    app = Sanic(f"wasabideck-{entry.cfg.process.vm}", configure_logging=False)
    app.config.REQUEST_MAX_SIZE = entry.cfg.body_bytes
    app.config.MOTD = False
    front = Front(entry.cfg, entry.caller, entry.metrics)
    add_caller_routes(app, front)
    add_operator_routes(
        app,
        Operators(
            entry.cfg,
            entry.platform.table,
            entry.spread,
            entry.fleet,
            entry.pusher,
            entry.events,
        ),
    )
    _add_process_routes(app, entry)
    return app


def _add_process_routes(app: Sanic, entry: Entry) -> None:
    @app.on_request
    async def count(req: Request) -> None:
        entry.in_progress += 1

    @app.on_response
    async def uncount(req: Request, res: HTTPResponse) -> None:
        entry.in_progress -= 1

    @app.exception(WasabideckError)
    async def refuse(req: Request, exc: WasabideckError) -> HTTPResponse:
        body = {"title": type(exc).__name__, "status": exc.status, "detail": str(exc)}
        if req.path.startswith("/v1/services"):
            body["outcome"] = "not-run"
        return problem(exc.status, body, exc.retry_after)

    @app.get("/ready")
    async def ready(req: Request) -> HTTPResponse:
        usable = entry.spread.heard and not entry.leaving
        return HTTPResponse(status=200 if usable else 503)

    @app.get("/metrics")
    async def metrics(req: Request) -> HTTPResponse:
        accept = req.headers.get("accept", "")
        body, headers = render_metrics(entry.metrics, accept)
        return HTTPResponse(body, headers=headers)
