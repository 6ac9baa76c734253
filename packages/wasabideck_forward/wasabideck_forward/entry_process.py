"""The entry on a node: callers' requests straight to backend servers."""

from __future__ import annotations

import asyncio

from attrs import define
from wasabideck_base.deployment import Deployment
from wasabideck_base.early_listener import BACKLOG, EarlyListener
from wasabideck_base.engine_datagrams import EngineNewsListener
from wasabideck_base.node import NodeSettings
from wasabideck_base.node_process import NodeProcess, node_process
from wasabideck_policy.configuration import CallerLimits
from wasabideck_policy.engine_news import EngineNews
from wasabideck_policy.membership import ENTRY

from .caller_connection import CallerConnection, Front
from .crash_watch import CrashWatch
from .dispatch import Bounds, Dispatch
from .early_callers import EarlyCallers
from .forwarder import Forwarder
from .messages import CallerRequest
from .server_pool import ServerPool

__all__ = ["run_entry"]

SWEEP_SECONDS = 0.5
# A request begins 0.1 to 0.3 s after it was sent where nothing waits before it: the
# batch's present pass, and reading its prompt. From so much before the time of older
# weights is over, with what follows, requests go to newer ones only (seconds).
VERSION_MARGIN = 0.45
# So much before that time what has not begun is taken back: the look for it comes every
# 0.05 s, up to 0.1 s late on a busy VM, and the server has to see the close (seconds).
BEGIN_MARGIN = 0.2
# What is sent to older weights may wait in the server's queue until that moment: from
# so much before it on it is made sure that it can be taken back. Callers leave after
# 2.4 s, and what waits for them goes with them (seconds).
QUEUE_MARGIN = 3.1
# What would be taken back has waited in vain, with one try less: from so much before it
# on only servers with a free place get any (seconds).
FULL_MARGIN = 1.6
# After the signal to stop the balancer needs two checks, a second apart, to notice;
# until then new connections are still taken (seconds).
NOTICED_SECONDS = 3.0
# What is left of the time for stopping when the last connections are closed: on a slow
# VM the end of all loops took over half a second, and the process was killed (seconds).
CLOSING_SECONDS = 1.3


async def run_entry(
    cfg: NodeSettings, deployment: Deployment, listener: EarlyListener | None = None
) -> None:
    """Run an entry until it is told to stop, and has answered what it had read.

    Parameters
    ----------
    listener : EarlyListener or None
        Listens for callers already; None to listen at the address of the settings.
    """
    async with node_process(cfg, ENTRY, deployment, lambda process: ()) as process:
        entry = _assemble(process, deployment)
        await entry.serve(listener or EarlyListener(cfg.front))


@define
class _Entry:
    """The listeners of one entry, and its forwarder."""

    process: NodeProcess
    front: Front
    ready: Front
    forwarder: Forwarder

    async def serve(self, listener: EarlyListener) -> None:
        """Take callers from a listener until the signal to stop, then finish."""
        loop = asyncio.get_running_loop()
        cfg = self.process.cfg
        self.front.early = EarlyCallers(listener.since, self.process.clock())
        listeners = [
            await _listen(self.front, listener),
            await _listen(self.ready, EarlyListener(cfg.ready)),
        ]
        news, _ = await loop.create_datagram_endpoint(
            lambda: EngineNewsListener(self._hear), local_addr=(cfg.ip, cfg.inner_port)
        )
        steps = (self._keep_sweeping(), self.forwarder.keep_taking_back())
        sweeping = [self.process.keep(step) for step in steps]
        await self.process.stop.wait()
        await self._finish(listeners[0])
        for task in sweeping:
            task.cancel()
        news.close()
        for listener in listeners:
            listener.close()

    def _hear(self, news: EngineNews) -> None:
        backends = self.process.believer.beliefs.backends
        backend = backends.at(news.address)
        if backend is not None:
            backend.hear(news, self.process.clock())
            self.forwarder.dispatch.wake()

    async def _keep_sweeping(self) -> None:
        pool, backends = self.forwarder.pool, self.process.believer.beliefs.backends
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.front.sweep()
            self.ready.sweep()
            pool.sweep(backends.names())

    async def _finish(self, listener: asyncio.Server) -> None:
        """Answer everything that is read before the end."""
        clock, grace = self.process.clock, self.process.cfg.bounds.grace
        began = clock()
        self.front.closing = True
        self.process.events.emit("process.leaving", open=len(self.front.connections))
        end = began + grace - CLOSING_SECONDS
        while clock() < end:
            await asyncio.sleep(0.05)
            if clock() - began < NOTICED_SECONDS:
                continue
            listener.close()
            if not any(conn.busy for conn in self.front.connections):
                return


def _assemble(process: NodeProcess, deployment: Deployment) -> _Entry:
    cfg, beliefs = process.cfg, process.believer.beliefs
    quarantine = process.believer.hearsay.quarantine
    dispatch = Dispatch(
        beliefs,
        _bounds(cfg),
        cfg.data_centre,
        process.clock,
        process.rng,
        CrashWatch(quarantine, process.events, process.events.wall),
    )
    pool = ServerPool(deployment.wire, process.clock)
    dispatch.kept = pool.kept
    forwarder = Forwarder(pool, deployment.wire, process.events, dispatch)
    process.on_reload.append(lambda cfg: dispatch.set_bounds(_bounds(cfg)))

    def limits() -> CallerLimits:
        known = beliefs.configuration
        return known.limits if known else CallerLimits()

    front = Front(deployment.wire, process.clock, limits, forwarder.serve, set())

    async def answer_check(req: CallerRequest, caller: CallerConnection) -> None:
        good = beliefs.ready and not front.closing
        caller.write_head(200 if good else 503, (), 0)

    ready = Front(deployment.wire, process.clock, limits, answer_check, set())
    return _Entry(process, front, ready, forwarder)


def _bounds(cfg: NodeSettings) -> Bounds:
    return Bounds(
        cfg.bounds.retry_ratio,
        cfg.bounds.retry_slack,
        cfg.bounds.retry_window,
        cfg.bounds.version - VERSION_MARGIN,
        cfg.bounds.version - BEGIN_MARGIN,
        cfg.bounds.version - QUEUE_MARGIN,
        cfg.bounds.version - FULL_MARGIN,
    )


async def _listen(front: Front, listener: EarlyListener) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(front), sock=listener.sock, backlog=BACKLOG
    )
