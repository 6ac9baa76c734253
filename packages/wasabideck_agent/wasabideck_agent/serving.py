"""Runs an agent from its start to its graceful shutdown."""

from __future__ import annotations

import asyncio
import time

import aiohttp
from wasabideck_base.addresses import split_address
from wasabideck_base.channels import exchange_clock
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.events import EventFile, open_events
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.metrics import render_metrics
from wasabideck_base.monitoring_http import MonitoringResponse, serve_monitoring
from wasabideck_base.process import (
    announce_ready,
    cancel_and_wait,
    convert_bind_errors,
    key_reload_loops,
    wait_until_stopped,
)
from wasabideck_base.settings import AgentSettings
from wasabideck_base.tls import TlsContexts
from wasabideck_base.turned_away_log import TurnedAwayLog
from wasabideck_policy.membership import AGENT

from .agent import Agent
from .assembly import assemble_agent, background_loops, inner_services
from .links import count_live_traffic

__all__ = ["serve_agent"]

# Share of the process's sockets for the connections that each listener accepts.
SOCKET_SHARES = {"inner": 0.7, "metrics": 0.1}
MAX_DRAIN_SECONDS = 60.0
DRAIN_POLL_INTERVAL_SECONDS = 0.02
# Entries with an open status stream are notified at once. The minimum is for entries
# that are just replacing their stream.
MIN_DRAIN_SECONDS = 1.0
MIN_IDLE_SECONDS = 0.3


async def serve_agent(cfg: AgentSettings, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set, then finish the requests in progress."""
    events, file = open_events(cfg.process.vm, cfg.process.events)
    keys = TlsContexts(cfg.tls) if cfg.tls else None
    async with aiohttp.ClientSession() as session:
        agent = assemble_agent(cfg, events, session, keys)
        events.listeners.append(agent.metrics.count)
        budget = ConnectionBudget(
            cfg.process.limits,
            SOCKET_SHARES,
            TurnedAwayLog(events, agent.metrics.registry),
        )
        server = InnerServer(inner_services(agent), budget)
        exchange_clock(server, events.clock)
        count_live_traffic(server, agent.links)
        host, port = split_address(cfg.process.inner)
        with convert_bind_errors(cfg.process.inner):
            await server.start(host, port, ssl=keys and keys.inner_server)
        http = await _serve_http(agent, file, keys, budget)
        inner = server._server.sockets[0].getsockname()
        events.emit("process.ready", kind=AGENT)
        agent.runner.at_most_once.holder.address = f"{inner[0]}:{inner[1]}"
        announce_ready(vm=agent.vm, inner=f"{inner[0]}:{inner[1]}", http=http)
        loops = [*background_loops(agent), *key_reload_loops(keys, events)]
        tasks = [asyncio.create_task(loop) for loop in loops]
        await wait_until_stopped(stop, tasks)
        await _drain(agent)
        await cancel_and_wait(tasks)
        server.close()
        agent.channels.close()
        events.emit("process.stopped", kind=AGENT)


async def _drain(agent: Agent) -> None:
    """Refuse new requests and finish those in progress.

    Entries with an open status stream are notified at once. The socket keeps listening
    until every entry has learned of the shutdown, from a notification or from a
    refusal: the outcome of a request on a closing connection would be unknown.
    """
    agent.runner.admission.draining = True
    agent.peers_service.notify_watchers()
    agent.events.emit("process.leaving", kind=AGENT)
    limit = time.monotonic() + MAX_DRAIN_SECONDS
    await asyncio.sleep(MIN_DRAIN_SECONDS)
    while not agent.runner.idle(MIN_IDLE_SECONDS) and time.monotonic() < limit:
        await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)
    if agent.orders:
        # The next agent of this engine would not know of an order in flight.
        await agent.orders.wait_until_idle()
    await agent.delivery_rows.write()


async def _serve_http(
    agent: Agent, file: EventFile, keys: TlsContexts | None, budget: ConnectionBudget
) -> str:
    """Serve /metrics and /ready; return the bound address."""

    def metrics(accept: str) -> MonitoringResponse:
        agent.metrics.in_progress.set({}, len(agent.runner.attempts.in_progress()))
        agent.metrics.events_lost.set({}, file.lost_events)
        agent.update_link_metrics()
        body, headers = render_metrics(agent.metrics, accept)
        return MonitoringResponse(body, headers=headers)

    def respond(path: str, accept: str) -> MonitoringResponse:
        if path == "/metrics":
            return metrics(accept)
        if path != "/ready":
            return MonitoringResponse(status=404)
        return MonitoringResponse(
            status=200 if agent.runner.admission.accepting else 503
        )

    host, port = split_address(agent.cfg.process.http)
    ssl_context = keys and keys.caller_server
    with convert_bind_errors(agent.cfg.process.http):
        server = await serve_monitoring(respond, host, port, budget, ssl_context)
    bound = server.sockets[0].getsockname()
    return f"{bound[0]}:{bound[1]}"
