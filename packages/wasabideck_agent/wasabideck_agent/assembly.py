"""Builds an agent from its settings."""

from __future__ import annotations

import random
import uuid

import aiohttp
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events
from wasabideck_base.http_client import HttpClient
from wasabideck_base.metrics import Metrics
from wasabideck_base.platform_clients import create_platform_clients
from wasabideck_base.process import periodic_with_events
from wasabideck_base.server_clients import ModelEngineClient, PlainServiceClient
from wasabideck_base.settings import PLAIN_KIND, AgentSettings
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_base.tls import TlsContexts
from wasabideck_policy.admission import AdmissionControl
from wasabideck_policy.attempt_registry import AttemptRegistry
from wasabideck_policy.concurrency_limit import AdaptiveConcurrencyLimit
from wasabideck_policy.orders import OrderState

from .agent import Agent
from .at_most_once import AtMostOnce, Holder
from .attempts import Attempts
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .claim_store import ClaimStore
from .delivery_rows import DeliveryRows
from .engine_orders import Orders
from .links import Link, Links
from .load_reader import LOAD_POLL_INTERVAL_SECONDS, LoadReader
from .reconciler import Reconciler
from .runner import Runner
from .runs_service import RunsService
from .swap_scheduler import SwapScheduler, make_status_query

__all__ = ["assemble_agent", "background_loops", "inner_services"]

SYNC_INTERVAL_SECONDS = 1.0
ROW_WRITE_INTERVAL_SECONDS = 1.0
CLEAN_UP_INTERVAL_SECONDS = 5.0


def assemble_agent(
    cfg: AgentSettings,
    events: Events,
    session: aiohttp.ClientSession,
    keys: TlsContexts | None,
) -> Agent:
    """Return a new agent; this sends no request and starts no task."""
    platform = create_platform_clients(cfg.platform, session)
    http = HttpClient(cfg.server.url, cfg.platform.timeout_seconds, session)
    plain = cfg.server.kind == PLAIN_KIND
    channels = Channels(events.clock, keys and keys.inner_client)
    ticket_replication = TicketReplication(cfg.process.vm, events)
    # Not derived from the seed: a process that restarts with the same settings must be
    # distinguishable from its predecessor that died.
    incarnation = uuid.uuid4().hex
    holder = Holder(cfg.process.vm, "", incarnation)
    runner = Runner(
        vm=cfg.process.vm,
        admission=AdmissionControl(cfg.server.capacity),
        events=events,
        engine=None if plain else ModelEngineClient(http),
        plain=PlainServiceClient(http) if plain else None,
        at_most_once=AtMostOnce(
            holder, ClaimStore(platform.table, events), channels, events
        ),
        attempts=Attempts(AttemptRegistry(incarnation)),
        quarantine=ticket_replication.quarantine,
    )
    if not cfg.server.reports_load:
        capacity = cfg.server.capacity
        runner.slots.limit = AdaptiveConcurrencyLimit(
            limit=capacity, max_limit=capacity
        )
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
    """Set the agent's peers service; return all its services of the inner protocol."""
    agent.peers_service = PeersService(agent.ticket_replication, agent.status)
    return [RunsService(agent.runner), agent.peers_service, agent.chunks_service]


def background_loops(agent: Agent) -> list:
    """Return coroutines that run an agent's background work and never end."""
    every = periodic_with_events(agent.events)
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
    """Return an agent's reconciler, and set the orders that both use."""
    reconciler: Reconciler
    orders = Orders(
        agent.runner.engine,
        agent.runner,
        agent.events,
        OrderState(agent.cfg.server.checks_fencing),
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
