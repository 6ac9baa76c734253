"""The agent process: all of its parts, put together."""

from __future__ import annotations

import asyncio
import random
import time
import uuid

import aiohttp
from aiohttp import web
from attrs import define, field
from wasabideck_platform.channels import LINK_FAILURES, Channels, observe_clock
from wasabideck_platform.clients import Platform, connect_platform
from wasabideck_platform.events import EventFile, Events, open_events
from wasabideck_platform.http import HttpClient, PlatformUnavailable
from wasabideck_platform.inner_limits import InnerServer
from wasabideck_platform.metrics import Metrics, render_metrics
from wasabideck_platform.process import (
    announce_ready,
    binding,
    first_of,
    repeating,
    reread_keys,
)
from wasabideck_platform.servers import Engine, PlainService
from wasabideck_platform.settings import PLAIN, AgentSettings, split_address
from wasabideck_platform.spread import PeersService, Spread
from wasabideck_platform.tls import Keys
from wasabideck_policy.admission import Gate
from wasabideck_policy.arrivals import Arrivals
from wasabideck_policy.concurrency import AdaptiveLimit
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, Member, Watch, watched
from wasabideck_policy.orders import OrderBook
from wasabideck_wire import inner_pb2 as pb

from .attempts import Attempts
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .claim_store import ClaimStore
from .delivery_rows import DeliveryRows
from .links import Link, Links, give_way_to_live
from .load import LOAD_SECONDS, LoadReader
from .manifest_reader import ManifestReader
from .once import Holder, Once
from .orders import Orders
from .reconcile import Reconciler
from .runs import Runner
from .runs_service import RunsService
from .swap_turns import SwapTurns, ask_status
from .transfer import Transfer

__all__ = ["serve_agent"]

SYNC_SECONDS = 1.0
ROWS_SECONDS = 1.0
FORGET_SECONDS = 5.0
DRAIN_SECONDS = 60.0
DRAIN_PAUSE = 0.02
# Entries ask each agent for its status four times a second.
LEAVING_SECONDS = 1.0
QUIET_SECONDS = 0.3


@define
class Agent:
    """State of one agent process."""

    cfg: AgentSettings
    events: Events
    channels: Channels
    platform: Platform
    spread: Spread
    runner: Runner
    store: ChunkStore
    chunks: ChunksService
    links: Links
    metrics: Metrics
    load: LoadReader
    rows: DeliveryRows
    members: list[Member] = field(factory=list)
    watch: Watch = field(factory=Watch)
    orders: Orders | None = None

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.cfg.process.vm

    def peers(self, manifest: str = "") -> list[Member]:
        """Agents of the same service, this one left out."""
        return [
            m
            for m in self.members
            if m.kind == AGENT
            and m.vm != self.vm
            and m.service == self.cfg.server.service
        ]

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """What this agent tells entries about its server."""
        gate = self.runner.gate
        prefixes, changes = self.load.prefixes(time.monotonic())
        # The set is some hundred bytes, and is only told to who lacks it.
        told = [] if req.cache_changes == changes else prefixes
        return pb.StatusReply(
            vm=self.vm,
            service=self.cfg.server.service,
            leaving=gate.leaving,
            serving=gate.open,
            ticket=self.runner.in_force.fence,
            version=self.runner.in_force.version,
            manifest=self.runner.in_force.manifest,
            in_progress=gate.running,
            waiting=gate.waiting,
            capacity=gate.capacity,
            load=self.load.value,
            load_at=self.load.at,
            service_time=gate.service_time,
            cached_prefixes=told,
            cache_changes=changes,
            incarnation=self.runner.attempts.arrivals.incarnation,
            clock_ms=int(self.runner.clock() * 1000),
        )

    def make_transfer(self, manifest: Manifest) -> Transfer:
        """A transfer of a manifest into this agent's store."""
        place = self.cfg.process
        return Transfer(
            Member(self.vm, AGENT, "", place.region, place.data_centre),
            manifest,
            self.store,
            self.chunks,
            self.platform.origin,
            self.channels,
            self.links,
            self.events,
            self.peers,
            self.cfg.weights,
            random.Random(f"{self.cfg.seed}/{self.vm}"),
        )

    def manifests(self) -> ManifestReader:
        """Reads manifests from peers or from the origin."""
        return ManifestReader(
            self.vm,
            self.platform.origin,
            self.channels,
            self.peers,
            random.Random(f"{self.cfg.seed}/{self.vm}/manifests"),
        )

    async def read_members(self) -> None:
        """Read the platform's list; keep the last one when it is down."""
        try:
            self.members = await self.platform.members.read(time.monotonic())
        except PlatformUnavailable as exc:
            self.events.emit("members.unavailable", why=str(exc))

    async def hear_state(self) -> None:
        """Compare ticket state with the watched entries, else with the table."""
        members = watched(self.vm, self.members, self.watch, time.monotonic())
        await asyncio.gather(*(self._sync(m, len(members)) for m in members))
        if not self.spread.heard:
            try:
                await self.spread.poll(self.platform.table)
            except PlatformUnavailable as exc:
                self.events.emit("table.unavailable", why=str(exc))
        if self.cfg.server.kind == PLAIN:
            self.runner.gate.open = self.spread.heard

    async def _sync(self, member: Member, listed: int) -> None:
        channel = self.channels.get(member.address)
        try:
            await self.spread.sync(member.vm, channel, listed)
        except LINK_FAILURES:
            self.channels.drop(member.address, channel)
            self.watch.failed(member.vm, time.monotonic())

    def count_links(self) -> None:
        """Bring the links' metrics up to date."""
        for name in ("up", "down", "region"):
            passed = getattr(self.links, name).passed
            self.metrics.link.set({"direction": name}, passed)

    async def forget_old(self) -> None:
        """Forget attempts that ended long ago."""
        self.runner.attempts.forget_old(time.monotonic())
        await self.runner.stop_orphans()


async def serve_agent(cfg: AgentSettings, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish what is in progress."""
    events, file = open_events(cfg.process.vm, cfg.process.events)
    keys = Keys(cfg.tls) if cfg.tls else None
    async with aiohttp.ClientSession() as session:
        agent = _assemble(cfg, events, session, keys)
        events.listeners.append(agent.metrics.count)
        server = InnerServer(_services(agent))
        observe_clock(server, events.clock)
        give_way_to_live(server, agent.links)
        host, port = split_address(cfg.process.inner)
        with binding(cfg.process.inner):
            await server.start(host, port, ssl=keys and keys.inner_server)
        http = await _serve_http(agent, file, keys)
        inner = server._server.sockets[0].getsockname()
        events.emit("process.ready", kind=AGENT)
        agent.runner.once.holder.address = f"{inner[0]}:{inner[1]}"
        announce_ready(vm=agent.vm, inner=f"{inner[0]}:{inner[1]}", http=http)
        loops = [*_loops(agent), *reread_keys(keys, events)]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await first_of(stop, tasks)
        await _drain(agent)
        for task in tasks:
            task.cancel()
        server.close()
        agent.channels.close()
        events.emit("process.stopped", kind=AGENT)


def _assemble(
    cfg: AgentSettings,
    events: Events,
    session: aiohttp.ClientSession,
    keys: Keys | None,
) -> Agent:
    platform = connect_platform(cfg.platform, session)
    http = HttpClient(cfg.server.url, cfg.platform.timeout_seconds, session)
    plain = cfg.server.kind == PLAIN
    channels = Channels(events.clock, keys and keys.inner_client)
    spread = Spread(cfg.process.vm, events)
    # Never drawn from the seed: a process that starts again with the same settings
    # must not pass for the one that died.
    incarnation = uuid.uuid4().hex
    holder = Holder(cfg.process.vm, "", incarnation)
    runner = Runner(
        vm=cfg.process.vm,
        gate=Gate(cfg.server.capacity),
        events=events,
        engine=None if plain else Engine(http),
        plain=PlainService(http) if plain else None,
        once=Once(holder, ClaimStore(platform.table, events), channels, events),
        attempts=Attempts(Arrivals(incarnation)),
        quarantine=spread.quarantine,
    )
    if not cfg.server.reports_load:
        most = cfg.server.capacity
        runner.slots.limit = AdaptiveLimit(limit=most, most=most)
    store = ChunkStore()
    rate = cfg.weights.link_rate
    links = Links(Link(rate), Link(rate), Link(cfg.weights.region_rate))
    return Agent(
        cfg,
        events,
        channels,
        platform,
        spread,
        runner,
        store,
        ChunksService(store, links, cfg.weights.uploads),
        links,
        Metrics(),
        LoadReader(runner.engine if cfg.server.reports_load else None),
        DeliveryRows(platform.table),
    )


def _services(agent: Agent) -> list:
    peers = PeersService(agent.spread, agent.status)
    return [RunsService(agent.runner), peers, agent.chunks]


def _loops(agent: Agent) -> list:
    every = repeating(agent.events)
    loops = [
        every(agent.cfg.platform.poll_seconds, agent.read_members),
        every(SYNC_SECONDS, agent.hear_state),
        every(LOAD_SECONDS, agent.load.read),
        every(FORGET_SECONDS, agent.forget_old),
    ]
    if agent.runner.engine:
        reconciler = _reconciler(agent)
        loops.append(reconciler.run())
        loops.append(every(ROWS_SECONDS, reconciler.rows.write))
    return loops


def _reconciler(agent: Agent) -> Reconciler:
    reconciler: Reconciler
    orders = Orders(
        agent.runner.engine,
        agent.runner,
        agent.events,
        OrderBook(agent.cfg.server.checks_fencing),
        lambda: reconciler.wanted(),
    )
    turns = SwapTurns(
        agent.vm,
        agent.peers,
        ask_status(agent.vm, agent.channels),
        random.Random(f"{agent.cfg.seed}/{agent.vm}/turns"),
    )
    reconciler = Reconciler(
        agent.vm,
        agent.cfg.server.service,
        agent.runner.engine,
        orders,
        agent.spread,
        agent.manifests().read,
        agent.rows,
        agent.store,
        agent.events,
        agent.metrics,
        agent.make_transfer,
        lambda ticket: turns.wait(ticket, orders.swap_seconds),
    )
    agent.orders = orders
    return reconciler


async def _drain(agent: Agent) -> None:
    """Refuse new work, and finish what is in progress.

    The socket listens on until every entry has heard that this server leaves, by
    asking for its status or by a refusal: a request that met a closing connection
    would be neither run nor certainly not run.
    """
    agent.runner.gate.leaving = True
    agent.events.emit("process.leaving", kind=AGENT)
    limit = time.monotonic() + DRAIN_SECONDS
    await asyncio.sleep(LEAVING_SECONDS)
    while not agent.runner.idle(QUIET_SECONDS) and time.monotonic() < limit:
        await asyncio.sleep(DRAIN_PAUSE)
    if agent.orders:
        # The next agent beside this engine could not know of an order in flight.
        await agent.orders.finish()
    await agent.rows.write()


async def _serve_http(agent: Agent, file: EventFile, keys: Keys | None) -> str:
    """Serve /metrics and /ready; the bound address."""

    async def metrics(req: web.Request) -> web.Response:
        agent.metrics.in_progress.set({}, len(agent.runner.attempts.in_progress()))
        agent.metrics.events_lost.set({}, file.lost)
        agent.count_links()
        body, headers = render_metrics(agent.metrics, req.headers.get("accept", ""))
        return web.Response(body=body, headers=headers)

    async def ready(req: web.Request) -> web.Response:
        return web.Response(status=200 if agent.runner.gate.open else 503)

    app = web.Application()
    app.add_routes([web.get("/metrics", metrics), web.get("/ready", ready)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = split_address(agent.cfg.process.http)
    site = web.TCPSite(runner, host, port, ssl_context=keys and keys.http)
    with binding(agent.cfg.process.http):
        await site.start()
    bound = runner.addresses[0]
    return f"{bound[0]}:{bound[1]}"
