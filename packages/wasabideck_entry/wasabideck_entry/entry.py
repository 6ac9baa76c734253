"""The entry process: all of its parts, put together."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
from attrs import define
from sanic import Request, Sanic
from sanic.server import AsyncioServer
from wasabideck_base.addresses import split_address
from wasabideck_base.channels import LINK_FAILURES, Channels, observe_clock
from wasabideck_base.clients import Platform, connect_platform
from wasabideck_base.events import Events, open_events
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.metrics import Metrics
from wasabideck_base.process import (
    announce_ready,
    binding,
    cancel_all,
    first_of,
    repeating,
    reread_keys,
)
from wasabideck_base.settings import EntrySettings
from wasabideck_base.spread import PeersService, Spread
from wasabideck_base.tls import Keys
from wasabideck_policy.membership import ENTRY, Member, polls
from wasabideck_policy.routing import POLICIES
from wasabideck_wire import inner_pb2 as pb

from .calls import Caller
from .connections import in_progress
from .fleet import Fleet
from .front import Front, add_caller_routes
from .listener import Listener, close_http, make_app, serve_http
from .operators import Operators, add_operator_routes
from .pushes import Pusher
from .resolve import Resolver
from .suspects import Suspects
from .watching import Watching

__all__ = ["serve_entry"]

HEAD_SECONDS = 0.5
HEAD_PATIENCE = 2.0
COMPARE_SECONDS = 1.0
DRAIN_SECONDS = 60.0
READINESS_SECONDS = 1.0
CANCELS_SECONDS = 2.0


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
    events_lost: Callable[[], int] = int
    poll_at: float = 0.0
    http: AsyncioServer | None = None

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
            self.channels.drop(member.address, channel)

    async def tell_entries(self) -> None:
        """Compare with the other entries at once, so that they hear of a crash."""
        others = self.fleet.entries()
        await asyncio.gather(*(self._sync(m, len(others)) for m in others))

    @property
    def _data_centre(self) -> str:
        return self.cfg.process.data_centre

    def ready(self) -> bool:
        """Whether new requests may come here."""
        return self.spread.heard and not self.leaving

    def observe(self) -> Metrics:
        """Metrics as they are now."""
        self.metrics.in_progress.set({}, self.in_progress)
        self.metrics.events_lost.set({}, self.events_lost())
        return self.metrics

    @property
    def in_progress(self) -> int:
        """Requests that callers have here, streamed answers to their last byte."""
        return in_progress(self.http) if self.http else 0

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """What this entry tells other processes of itself."""
        return pb.StatusReply(
            vm=self.cfg.process.vm,
            leaving=self.leaving,
            in_progress=self.in_progress,
        )


async def serve_entry(cfg: EntrySettings, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish what is in progress."""
    events, file = open_events(cfg.process.vm, cfg.process.events)
    keys = Keys(cfg.tls) if cfg.tls else None
    async with aiohttp.ClientSession() as session:
        entry = _assemble(cfg, events, session, keys)
        entry.events_lost = lambda: file.lost
        events.listeners.append(entry.metrics.count)
        server = InnerServer([entry.peers])
        observe_clock(server, events.clock)
        host, port = split_address(cfg.process.inner)
        with binding(cfg.process.inner):
            await server.start(host, port, ssl=keys and keys.inner_server)
        inner = server._server.sockets[0].getsockname()
        await entry.read_members()
        listener = Listener(cfg, entry.ready, entry.observe, keys)
        # A balancer may send requests from now on: they need servers to go to.
        await entry.fleet.ask_all()
        app = _app(entry, listener)
        entry.http, address = await serve_http(app, listener)
        events.emit("process.ready", kind=ENTRY)
        announce_ready(vm=cfg.process.vm, inner=f"{inner[0]}:{inner[1]}", http=address)
        loops = [*_loops(entry), *reread_keys(keys, events)]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await first_of(stop, tasks)
        await _drain(entry)
        await cancel_all(tasks)
        server.close()
        entry.channels.close()
        events.emit("process.stopped", kind=ENTRY)


def _assemble(
    cfg: EntrySettings,
    events: Events,
    session: aiohttp.ClientSession,
    keys: Keys | None,
) -> Entry:
    channels = Channels(events.clock, keys and keys.inner_client)
    fleet = Fleet(cfg.process.vm, channels, cfg.process.region)
    rng = random.Random(f"{cfg.seed}/{cfg.process.vm}/{time.time_ns()}")
    spread = Spread(cfg.process.vm, events)
    platform = connect_platform(cfg.platform, session)
    suspects = Suspects(spread.quarantine, wall=events.wall)
    resolver = Resolver(platform.table)
    entry: Entry
    peers = PeersService(spread, lambda req: entry.status(req))
    pusher = Pusher(cfg.process.data_centre, spread, peers, fleet, channels, rng)
    spread.listen(pusher.note)
    entry = Entry(
        cfg,
        events,
        channels,
        platform,
        spread,
        peers,
        pusher,
        fleet,
        Caller(
            fleet, channels, events, POLICIES[cfg.routing](), rng, suspects, resolver
        ),
        Metrics(),
    )
    suspects.tell = entry.tell_entries
    return entry


def _loops(entry: Entry) -> list:
    every = repeating(entry.events)
    return [
        every(entry.cfg.platform.poll_seconds, entry.read_members),
        every(HEAD_SECONDS, entry.poll_head),
        every(COMPARE_SECONDS, entry.compare),
        entry.pusher.run(),
        Watching(entry.fleet, entry.caller.rng).run(),
    ]


async def _drain(entry: Entry) -> None:
    """Turn readiness off, take no more callers, and finish what is in progress.

    The socket listens on until the balancer has seen that this entry is not ready:
    a caller that it still sends here would otherwise meet a refused connection.
    """
    entry.leaving = True
    entry.events.emit("process.leaving", kind=ENTRY)
    await asyncio.sleep(READINESS_SECONDS)
    await close_http(entry.http, DRAIN_SECONDS)
    await entry.caller.settled(CANCELS_SECONDS)


def _app(entry: Entry, listener: Listener) -> Sanic:
    app = make_app(listener)
    front = Front(entry.cfg, entry.caller, entry.metrics)
    add_caller_routes(app, front)
    add_operator_routes(
        app,
        Operators(
            entry.platform.table,
            entry.spread,
            entry.fleet,
            entry.pusher,
            entry.events,
        ),
    )
    _close_connections(app, entry)
    return app


def _close_connections(app: Sanic, entry: Entry) -> None:
    @app.on_request
    async def close_after(req: Request) -> None:
        # The answer says so, and the caller sends its next request elsewhere rather
        # than on a connection that is about to be closed.
        if entry.leaving:
            req.stream.keep_alive = False
