"""The entry process: creates, connects and runs its components."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
from attrs import define, field
from sanic import Request, Sanic
from sanic.server import AsyncioServer
from wasabideck_base.addresses import split_address
from wasabideck_base.channels import CALL_FAILURES, Channels, exchange_clock
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.events import Events, open_events
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.metrics import Metrics
from wasabideck_base.platform_clients import PlatformClients, create_platform_clients
from wasabideck_base.process import (
    announce_ready,
    cancel_and_wait,
    convert_bind_errors,
    key_reload_loops,
    periodic_with_events,
    wait_until_stopped,
)
from wasabideck_base.settings import EntrySettings
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_base.tls import TlsContexts
from wasabideck_base.turned_away_log import TurnedAwayLog
from wasabideck_policy.load_balancing import POLICIES
from wasabideck_policy.membership import ENTRY, Member, head_pollers
from wasabideck_wire import inner_pb2 as pb

from .attempt_resolver import AttemptResolver
from .call_runner import CallRunner
from .caller_endpoint import CallerEndpoint, add_caller_routes
from .change_pusher import ChangePusher
from .crash_suspects import CrashSuspects
from .fleet import Fleet
from .http_server import HttpOptions, close_http, make_app, serve_http
from .idle_connections import count_requests_in_progress
from .operator_endpoint import OperatorEndpoint, add_operator_routes
from .running_calls import RunningCalls
from .status_watcher import StatusWatcher

__all__ = ["serve_entry"]

# Share of the process's sockets for the connections that each listener accepts.
SOCKET_SHARES = {"http": 0.6, "inner": 0.2}
HEAD_POLL_INTERVAL_SECONDS = 0.5
MAX_HEAD_AGE_SECONDS = 2.0
SYNC_INTERVAL_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 60.0
READINESS_DELAY_SECONDS = 1.0
CANCEL_WAIT_SECONDS = 2.0
# Time before the end of the drain at which calls that still run get their response.
FINAL_RESPONSE_SECONDS = 2.0


@define
class Entry:
    """Components and state of one entry process."""

    cfg: EntrySettings
    events: Events
    channels: Channels
    platform: PlatformClients
    ticket_replication: TicketReplication
    peers: PeersService
    pusher: ChangePusher
    fleet: Fleet
    caller: CallRunner
    metrics: Metrics
    shutting_down: bool = False
    events_lost: Callable[[], int] = int
    next_head_poll_at: float = 0.0
    http: AsyncioServer | None = None
    running_calls: RunningCalls = field(factory=RunningCalls)

    async def read_members(self) -> None:
        """Read the platform's list; keep the last one while it is unavailable."""
        try:
            self.fleet.update_members(
                await self.platform.members.read(time.monotonic())
            )
        except PlatformUnavailable as exc:
            self.events.emit("members.unavailable", why=str(exc))

    async def poll_head(self) -> None:
        """Read the table's head, if this entry is one that must.

        A few entries of each data centre read it and send it to the others. An entry
        that has not received a recent head reads it itself, at jittered times, so that
        all entries together stay far below the table's limit on reads.
        """
        now = time.monotonic()
        ranked = head_pollers(
            self.cfg.process.vm, self._data_centre, self.fleet.members
        )
        if all(member.vm != self.cfg.process.vm for member in ranked):
            if (
                self.ticket_replication.head_age() < MAX_HEAD_AGE_SECONDS
                or now < self.next_head_poll_at
            ):
                return
        self.next_head_poll_at = now + MAX_HEAD_AGE_SECONDS * (
            1 + self.caller.rng.random()
        )
        try:
            await self.ticket_replication.poll(self.platform.table)
        except PlatformUnavailable as exc:
            self.events.emit("table.unavailable", why=str(exc))

    async def sync_with_peers(self) -> None:
        """Exchange state with one entry that reads the head and one random entry."""
        rng = self.caller.rng
        own_vm = self.cfg.process.vm
        others = self.fleet.other_entries()
        ranked = head_pollers(own_vm, self._data_centre, self.fleet.members)
        pollers = [m for m in ranked if m.vm != own_vm and m.address]
        peers_to_sync = {m.vm: m for m in (*rng.sample(pollers, min(1, len(pollers))),)}
        peers_to_sync |= {m.vm: m for m in rng.sample(others, min(1, len(others)))}
        await asyncio.gather(
            *(self._sync_with(m, len(others)) for m in peers_to_sync.values())
        )

    async def _sync_with(self, member: Member, other_entry_count: int) -> None:
        channel = self.channels.get(member.address)
        try:
            await self.ticket_replication.sync(member.vm, channel, other_entry_count)
        except CALL_FAILURES:
            self.channels.close_channel(member.address, channel)

    async def sync_with_all_entries(self) -> None:
        """Exchange state with all other entries now, so that they learn of a crash."""
        others = self.fleet.other_entries()
        await asyncio.gather(*(self._sync_with(m, len(others)) for m in others))

    @property
    def _data_centre(self) -> str:
        return self.cfg.process.data_centre

    def ready(self) -> bool:
        """Whether this entry accepts new requests."""
        return self.ticket_replication.ready and not self.shutting_down

    def current_metrics(self) -> Metrics:
        """Update the metrics that are read on demand, and return all metrics."""
        self.metrics.in_progress.set({}, self.in_progress)
        self.metrics.events_lost.set({}, self.events_lost())
        return self.metrics

    @property
    def in_progress(self) -> int:
        """Callers' requests in progress, including responses being streamed."""
        return count_requests_in_progress(self.http) if self.http else 0

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """Return the status that this entry reports to other processes."""
        return pb.StatusReply(
            vm=self.cfg.process.vm,
            leaving=self.shutting_down,
            in_progress=self.in_progress,
        )


async def serve_entry(cfg: EntrySettings, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress."""
    events, event_file = open_events(cfg.process.vm, cfg.process.events)
    keys = TlsContexts(cfg.tls) if cfg.tls else None
    async with aiohttp.ClientSession() as session:
        entry = _assemble(cfg, events, session, keys)
        entry.events_lost = lambda: event_file.lost_events
        events.listeners.append(entry.metrics.count)
        budget = ConnectionBudget(
            cfg.process.limits,
            SOCKET_SHARES,
            TurnedAwayLog(events, entry.metrics.registry),
        )
        server = InnerServer([entry.peers], budget)
        exchange_clock(server, events.clock)
        host, port = split_address(cfg.process.inner)
        with convert_bind_errors(cfg.process.inner):
            await server.start(host, port, ssl=keys and keys.inner_server)
        inner_address = server._server.sockets[0].getsockname()
        await entry.read_members()
        options = HttpOptions(cfg, entry.ready, entry.current_metrics, keys, budget)
        # A load balancer may send requests as soon as HTTP is served, so the servers'
        # status must be known before.
        await entry.fleet.query_all()
        app = _make_entry_app(entry, options)
        entry.http, address = await serve_http(app, options)
        events.emit("process.ready", kind=ENTRY)
        announce_ready(
            vm=cfg.process.vm,
            inner=f"{inner_address[0]}:{inner_address[1]}",
            http=address,
        )
        loops = [*_background_loops(entry), *key_reload_loops(keys, events)]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await wait_until_stopped(stop, tasks)
        await _drain(entry)
        await cancel_and_wait(tasks)
        server.close()
        entry.channels.close()
        events.emit("process.stopped", kind=ENTRY)


def _assemble(
    cfg: EntrySettings,
    events: Events,
    session: aiohttp.ClientSession,
    keys: TlsContexts | None,
) -> Entry:
    channels = Channels(events.clock, keys and keys.inner_client)
    fleet = Fleet(cfg.process.vm, channels, cfg.process.region)
    rng = random.Random(f"{cfg.seed}/{cfg.process.vm}/{time.time_ns()}")
    ticket_replication = TicketReplication(cfg.process.vm, events)
    platform = create_platform_clients(cfg.platform, session)
    suspects = CrashSuspects(ticket_replication.quarantine, wall_clock=events.wall)
    resolver = AttemptResolver(platform.table)
    entry: Entry
    peers = PeersService(ticket_replication, lambda req: entry.status(req))
    pusher = ChangePusher(
        cfg.process.data_centre, ticket_replication, peers, fleet, channels, rng
    )
    ticket_replication.add_listener(pusher.enqueue)
    entry = Entry(
        cfg,
        events,
        channels,
        platform,
        ticket_replication,
        peers,
        pusher,
        fleet,
        CallRunner(
            fleet, channels, events, POLICIES[cfg.routing](), rng, suspects, resolver
        ),
        Metrics(),
    )
    suspects.notify_entries = entry.sync_with_all_entries
    return entry


def _background_loops(entry: Entry) -> list:
    run_every = periodic_with_events(entry.events)
    return [
        run_every(entry.cfg.platform.poll_seconds, entry.read_members),
        run_every(HEAD_POLL_INTERVAL_SECONDS, entry.poll_head),
        run_every(SYNC_INTERVAL_SECONDS, entry.sync_with_peers),
        entry.pusher.run(),
        StatusWatcher(entry.fleet, entry.caller.rng).run(),
    ]


async def _drain(entry: Entry) -> None:
    """Report unready, stop accepting connections, and finish requests in progress.

    The socket continues to listen until the load balancer has seen that this entry is
    not ready. Otherwise the connections that the balancer still sends here would be
    refused.
    """
    entry.shutting_down = True
    entry.events.emit("process.leaving", kind=ENTRY)
    await asyncio.sleep(READINESS_DELAY_SECONDS)
    drain = asyncio.get_running_loop().call_later(
        max(0.0, DRAIN_TIMEOUT_SECONDS - FINAL_RESPONSE_SECONDS),
        entry.running_calls.end_all,
    )
    await close_http(entry.http, DRAIN_TIMEOUT_SECONDS)
    drain.cancel()
    await entry.caller.wait_for_cancels(CANCEL_WAIT_SECONDS)


def _make_entry_app(entry: Entry, options: HttpOptions) -> Sanic:
    app = make_app(options)
    endpoint = CallerEndpoint(
        entry.cfg, entry.caller, entry.metrics, entry.running_calls
    )
    add_caller_routes(app, endpoint)
    add_operator_routes(
        app,
        OperatorEndpoint(
            entry.platform.table,
            entry.ticket_replication,
            entry.fleet,
            entry.pusher,
            entry.events,
        ),
    )
    _add_connection_close(app, entry)
    return app


def _add_connection_close(app: Sanic, entry: Entry) -> None:
    @app.on_response
    async def close_after(req: Request, _: object) -> None:
        # The response announces that the connection is closed, so that the caller does
        # not send its next request on it. One that has been read already is answered.
        if entry.shutting_down and not req.stream.recv_buffer:
            req.stream.keep_alive = False
