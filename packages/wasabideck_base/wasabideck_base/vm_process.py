"""What all processes on a VM share: connections, log, inner protocol, signals."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from functools import partial

import eliot
from attrs import define, field
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError

from .bounded_log import BoundedLog
from .channels import Channels, exchange_clock
from .connection_budget import ConnectionBudget
from .deployment import DeploymentAdapter
from .events import Events, HybridClock
from .gossip import GossipService
from .http_pool import HttpPool
from .inner_limits import InnerServer
from .state_sync import StateSync
from .turned_away_log import TurnedAwayLog
from .vm_metrics import VMMetrics, serve_metrics
from .vm_settings import VMSettings

__all__ = ["VMProcess", "run_vm_process"]

# Flow-control window in bytes of one response of the inner protocol. Chunks are sent
# over the same link as the streams of the VM's server: bytes in flight wait in that
# link's queue, and the events of the streams wait behind them. With whole chunks of
# 24 KB in flight, 43 and 46 in 100 of the drafts that started during a rollout had an
# event over 120 ms late; with 4 KB, 1 to 5 in 100. The window also adapts the transfer
# to the link's real rate, whatever its nominal rate.
RESPONSE_WINDOW_BYTES = 4096
# Ports of the metrics endpoints; an entry and an agent on one VM need different ones.
METRICS_PORTS = {ENTRY: 9464, AGENT: 9465}
# Open streams of a peer's connection. A peer makes a few calls at a time.
MAX_PEER_STREAMS = 100
# Share of a process's sockets for the connections that each listener accepts. Those of
# callers include connections to backend servers. What remains is for connections to the
# store, to peers and to the engine.
SOCKET_SHARES = {
    ENTRY: {"callers": 0.6, "health-checks": 0.05, "inner": 0.2, "metrics": 0.05},
    AGENT: {"chunks": 0.4, "inner": 0.2, "metrics": 0.05},
}


@define
class VMProcess:
    """Resources that a running process uses.

    Attributes
    ----------
    stop : Event
        Set when the process must terminate.
    failed : bool
        Whether it terminates because one of its loops failed.
    """

    cfg: VMSettings
    events: Events
    pool: HttpPool
    channels: Channels
    state_sync: StateSync
    clock: Callable[[], float]
    rng: random.Random
    stop: asyncio.Event
    failed: bool = False
    budget: ConnectionBudget = field(factory=ConnectionBudget)
    reload_listeners: list[Callable[[VMSettings], None]] = field(factory=list)

    def start_loop(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a loop for the lifetime of the process.

        A loop that fails terminates the process, which is then restarted as a whole:
        otherwise the state that the loop maintains, such as which requests wait
        where, would silently become wrong.
        """
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_loop_done)
        return task

    def _on_loop_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.events.emit("loop.failed", why=repr(task.exception()))
            self.failed = True
            self.stop.set()


@asynccontextmanager
async def run_vm_process(
    cfg: VMSettings, kind: str, deployment: DeploymentAdapter, services: Callable
) -> AsyncIterator[VMProcess]:
    """Run everything that the processes on a VM share until the block ends.

    Parameters
    ----------
    services : callable
        Returns, for a process, the additional services of its inner protocol.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    # Handled from the start, because an unhandled SIGHUP terminates the process.
    reload_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    events = _open_log(cfg.vm)
    # Seeded with the VM's name, process id and time: no two processes draw alike.
    rng = random.Random(f"{cfg.vm}/{os.getpid()}/{time.monotonic_ns()}")
    channels = Channels(events.clock, window_bytes=RESPONSE_WINDOW_BYTES)
    own_member = Member(
        cfg.vm, kind, cfg.inner_address, cfg.region, cfg.data_centre, cfg.service
    )
    async with HttpPool() as pool:
        store = deployment.open_store(pool, cfg)
        state_sync = StateSync(
            cfg, own_member, deployment, store, channels, events, loop.time, rng
        )
        process = VMProcess(
            cfg, events, pool, channels, state_sync, loop.time, rng, stop
        )
        metrics = VMMetrics()
        events.listeners.append(metrics.count)
        budget = process.budget = ConnectionBudget(
            cfg.process_limits,
            SOCKET_SHARES[kind],
            TurnedAwayLog(events, metrics.registry),
        )
        process.reload_listeners.append(partial(_set_limits, budget))
        peers = [GossipService(state_sync.gossip), *services(process)]
        inner = InnerServer(peers, budget, MAX_PEER_STREAMS)
        exchange_clock(inner, events.clock)
        await inner.start(cfg.ip, cfg.inner_port)
        metrics_server = await serve_metrics(
            metrics, cfg.ip, METRICS_PORTS[kind], events, budget
        )
        loops = [
            *state_sync.loops(),
            _run_reloads(process, deployment, reload_requested),
        ]
        tasks = [process.start_loop(coroutine) for coroutine in loops]
        events.emit("process.ready", kind=kind, address=cfg.inner_address)
        try:
            yield process
        finally:
            for task in tasks:
                task.cancel()
            inner.close()
            if metrics_server is not None:
                metrics_server.close()
            channels.close()
            events.emit("process.stopped", kind=kind)


async def _run_reloads(
    process: VMProcess, deployment: DeploymentAdapter, reload_requested: asyncio.Event
) -> None:
    """Apply changed settings on request; settings that cannot be read are ignored."""
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        try:
            process.cfg = deployment.read_settings()
        except WasabideckError as exc:
            process.events.emit("settings.unusable", why=str(exc))
            continue
        process.state_sync.cfg = process.cfg
        process.events.emit("settings.reloaded")
        for listener in process.reload_listeners:
            listener(process.cfg)


def _set_limits(budget: ConnectionBudget, cfg: VMSettings) -> None:
    budget.limits = cfg.process_limits


def _open_log(vm: str) -> Events:
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    eliot.add_destinations(BoundedLog(descriptor, time.monotonic))
    return Events(vm, HybridClock(), time.time)
