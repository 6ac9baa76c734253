"""Builds an agent from its settings."""

from __future__ import annotations

import random
import uuid

import aiohttp
from wasabideck_base.channels import Channels
from wasabideck_base.clients import connect_platform
from wasabideck_base.events import Events
from wasabideck_base.http import HttpClient
from wasabideck_base.metrics import Metrics
from wasabideck_base.process import repeating
from wasabideck_base.servers import Engine, PlainService
from wasabideck_base.settings import PLAIN, AgentSettings
from wasabideck_base.spread import PeersService, Spread
from wasabideck_base.tls import Keys
from wasabideck_policy.admission import Gate
from wasabideck_policy.arrivals import Arrivals
from wasabideck_policy.concurrency import AdaptiveLimit
from wasabideck_policy.orders import OrderBook

from .agent import Agent
from .attempts import Attempts
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .claim_store import ClaimStore
from .delivery_rows import DeliveryRows
from .links import Link, Links
from .load import LOAD_POLL_INTERVAL_SECONDS, LoadReader
from .once import Holder, Once
from .orders import Orders
from .reconcile import Reconciler
from .runs import Runner
from .runs_service import RunsService
from .swap_turns import SwapScheduler, make_status_query

__all__ = ["assemble_agent", "background_loops", "inner_services"]

SYNC_INTERVAL_SECONDS = 1.0
ROW_WRITE_INTERVAL_SECONDS = 1.0
CLEAN_UP_INTERVAL_SECONDS = 5.0


def assemble_agent(
    cfg: AgentSettings,
    events: Events,
    session: aiohttp.ClientSession,
    keys: Keys | None,
) -> Agent:
    """Return an agent with its settings; nothing is sent or started yet."""
    platform = connect_platform(cfg.platform, session)
    http = HttpClient(cfg.server.url, cfg.platform.timeout_seconds, session)
    plain = cfg.server.kind == PLAIN
    channels = Channels(events.clock, keys and keys.inner_client)
    ticket_replication = Spread(cfg.process.vm, events)
    # Never derived from the seed: a process that restarts with the same settings must
    # be distinguishable from the one that died.
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
        quarantine=ticket_replication.quarantine,
    )
    if not cfg.server.reports_load:
        capacity = cfg.server.capacity
        runner.slots.limit = AdaptiveLimit(limit=capacity, most=capacity)
    store = ChunkStore()
    rate = cfg.weights.link_rate
    links = Links(Link(rate), Link(rate), Link(cfg.weights.region_rate))
    return Agent(
        cfg,
        events,
        channels,
        platform,
        ticket_replication,
        runner,
        store,
        ChunksService(store, links, cfg.weights.uploads),
        links,
        Metrics(),
        LoadReader(runner.engine if cfg.server.reports_load else None),
        DeliveryRows(platform.table),
    )


def inner_services(agent: Agent) -> list:
    """Return the services of the inner protocol that an agent provides."""
    agent.peers_service = PeersService(agent.ticket_replication, agent.status)
    return [RunsService(agent.runner), agent.peers_service, agent.chunks_service]


def background_loops(agent: Agent) -> list:
    """Return an agent's endless loops, as coroutines to run concurrently."""
    every = repeating(agent.events)
    loops = [
        every(agent.cfg.platform.poll_seconds, agent.read_members),
        every(SYNC_INTERVAL_SECONDS, agent.sync_tickets),
        every(LOAD_POLL_INTERVAL_SECONDS, agent.load_reader.read),
        every(CLEAN_UP_INTERVAL_SECONDS, agent.clean_up_attempts),
    ]
    if agent.runner.engine:
        reconciler = _make_reconciler(agent)
        loops.append(reconciler.run())
        loops.append(every(ROW_WRITE_INTERVAL_SECONDS, reconciler.rows.write))
    return loops


def _make_reconciler(agent: Agent) -> Reconciler:
    reconciler: Reconciler
    orders = Orders(
        agent.runner.engine,
        agent.runner,
        agent.events,
        OrderBook(agent.cfg.server.checks_fencing),
        lambda: reconciler.desired_weights(),
    )
    scheduler = SwapScheduler(
        agent.vm,
        agent.peers,
        make_status_query(agent.vm, agent.channels),
        random.Random(f"{agent.cfg.seed}/{agent.vm}/turns"),
    )
    reconciler = Reconciler(
        agent.vm,
        agent.cfg.server.service,
        agent.runner.engine,
        orders,
        agent.ticket_replication,
        agent.manifest_reader().read,
        agent.delivery_rows,
        agent.store,
        agent.events,
        agent.metrics,
        agent.make_transfer,
        lambda ticket: scheduler.wait(ticket, orders.last_swap_seconds),
    )
    agent.orders = orders
    return reconciler
