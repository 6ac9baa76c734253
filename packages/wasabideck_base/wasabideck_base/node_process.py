"""What the processes on a node share: connections, log, inner protocol, signals."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager

import eliot
from attrs import define, field
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError

from .believer import Believer
from .bounded_log import BoundedLog
from .channels import Channels, observe_clock
from .deployment import Deployment
from .events import Clock, Events
from .hearsay import HearsayService
from .http_pool import HttpPool
from .inner_limits import InnerServer
from .node import NodeSettings
from .node_metrics import NodeMetrics, listen_for_scrapes

__all__ = ["NodeProcess", "node_process"]

# Bytes of one answer of the inner protocol that may be under way. Chunks leave a VM
# over the link that carries its server's streams, and what is under way waits in that
# link's queue, with the streams' events behind it. With whole chunks of 24 KB under way
# 43 and 46 in 100 of the drafts begun during a rollout had an event over 120 ms late,
# with 4 KB 1 to 5 in 100. It also follows a link's real rate, whatever the nominal one.
ANSWER_WINDOW = 4096
# Ports of the metrics; two programs on one VM need two.
METRICS_PORTS = {ENTRY: 9464, AGENT: 9465}


@define
class NodeProcess:
    """What a process on a node has to work with.

    Attributes
    ----------
    stop : Event
        Set when the process has to end.
    failed : bool
        Whether it ends because one of its loops failed.
    """

    cfg: NodeSettings
    events: Events
    pool: HttpPool
    channels: Channels
    believer: Believer
    clock: Callable[[], float]
    rng: random.Random
    stop: asyncio.Event
    failed: bool = False
    on_reload: list[Callable[[NodeSettings], None]] = field(factory=list)

    def keep(self, step: Coroutine) -> asyncio.Task:
        """Run what has to run for as long as the process does.

        A loop that fails ends the process, which starts anew, whole: what it kept
        true, such as which requests wait where, would silently be so no more.
        """
        task = asyncio.create_task(step)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.events.emit("loop.failed", why=repr(task.exception()))
            self.failed = True
            self.stop.set()


@asynccontextmanager
async def node_process(
    cfg: NodeSettings, kind: str, deployment: Deployment, services: Callable
) -> AsyncIterator[NodeProcess]:
    """Everything that a process on a node shares, running until the block ends.

    Parameters
    ----------
    services : callable
        Given the process, the further services of its inner protocol.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    # From the first moment on: a signal that nothing handles ends the process.
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    events = _open_log(cfg.vm)
    # Seeded by the name, so that two processes never draw alike.
    rng = random.Random(f"{cfg.vm}/{os.getpid()}/{time.monotonic_ns()}")
    channels = Channels(events.clock, window=ANSWER_WINDOW)
    me = Member(
        cfg.vm, kind, cfg.inner_address, cfg.region, cfg.data_centre, cfg.service
    )
    async with HttpPool() as pool:
        store = deployment.open_store(pool, cfg)
        believer = Believer(
            cfg, me, deployment, store, channels, events, loop.time, rng
        )
        process = NodeProcess(
            cfg, events, pool, channels, believer, loop.time, rng, stop
        )
        inner = InnerServer([HearsayService(believer.hearsay), *services(process)])
        observe_clock(inner, events.clock)
        await inner.start(cfg.ip, cfg.inner_port)
        metrics = NodeMetrics()
        events.listeners.append(metrics.count)
        scrapes = await listen_for_scrapes(metrics, cfg.ip, METRICS_PORTS[kind], events)
        steps = [*believer.loops(), _keep_reloading(process, deployment, reload)]
        tasks = [process.keep(step) for step in steps]
        events.emit("process.ready", kind=kind, address=cfg.inner_address)
        try:
            yield process
        finally:
            for task in tasks:
                task.cancel()
            inner.close()
            if scrapes is not None:
                scrapes.close()
            channels.close()
            events.emit("process.stopped", kind=kind)


async def _keep_reloading(
    process: NodeProcess, deployment: Deployment, reload: asyncio.Event
) -> None:
    """Take changed settings in; settings that cannot be read change nothing."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            process.cfg = deployment.read_settings()
        except WasabideckError as exc:
            process.events.emit("settings.unusable", why=str(exc))
            continue
        process.believer.cfg = process.cfg
        process.events.emit("settings.reloaded")
        for listener in process.on_reload:
            listener(process.cfg)


def _open_log(vm: str) -> Events:
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    eliot.add_destinations(BoundedLog(descriptor, time.monotonic))
    return Events(vm, Clock(), time.time)
