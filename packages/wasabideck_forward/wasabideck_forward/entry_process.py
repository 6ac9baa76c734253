"""The entry process of a VM: forwards callers' requests directly to backend servers."""

from __future__ import annotations

import asyncio
from functools import partial

from attrs import define
from wasabideck_base.deployment import DeploymentAdapter
from wasabideck_base.early_listener import LISTEN_BACKLOG, EarlyListener
from wasabideck_base.engine_datagrams import EngineReportListener
from wasabideck_base.vm_process import VMProcess, run_vm_process
from wasabideck_base.vm_settings import VMSettings
from wasabideck_policy.configuration import CallerLimits
from wasabideck_policy.engine_report import EngineReport
from wasabideck_policy.membership import ENTRY

from .caller_connection import CallerConnection, CallerEndpoint
from .crash_detector import CrashDetector
from .dispatcher import Dispatcher, DispatchLimits
from .early_callers import EarlyCallers
from .forwarder import Forwarder
from .http_heads import CallerRequest
from .server_pool import ServerPool

__all__ = ["run_entry"]

SWEEP_INTERVAL_SECONDS = 0.5

# The margins below are subtracted from the time after which servers may no longer start
# requests on weights older than a newly declared version.

# Requests go only to newer weights from this margin on. If no other request is queued
# before it, a request starts 0.1 to 0.3 s after it was sent: the batch finishes its
# current pass and the server reads the prompt. START_MARGIN_SECONDS is added to that.
SEND_MARGIN_SECONDS = 0.45
# Requests that have not started are recalled from this margin on. The check for them
# runs every 0.05 s, up to 0.1 s late on a busy VM, and the server has to notice that
# the connection was closed.
START_MARGIN_SECONDS = 0.2
# A request that is sent to older weights may wait in the server's queue until the time
# expires. From this margin on, an entry sends one only if it can be recalled. Callers
# disconnect after 2.4 s, and their queued requests end with them.
QUEUE_MARGIN_SECONDS = 3.1
# From this margin on, only servers with a free slot get requests for older weights. A
# request that has to be recalled has waited in vain and has one attempt less.
FULL_SERVER_MARGIN_SECONDS = 1.6

# After the stop signal, the load balancer needs two checks, one second apart, to notice
# that the entry is shutting down. New connections are accepted until then.
BALANCER_NOTICE_SECONDS = 3.0
# Until this time before the end of that notice, requests are admitted that could
# outlast the drain: their servers usually respond in time. Later ones must not be cut
# off, and the process may handle the signal late.
LATE_SIGNAL_MARGIN_SECONDS = 0.5
# Part of the time for shutting down that remains after the end of the drain. On a slow
# VM, stopping all loops took over 0.5 s, and the process was killed.
SHUTDOWN_RESERVE_SECONDS = 1.3
# Maximum part of that time in which the last responses are sent.
FLUSH_SECONDS = 0.2


async def run_entry(
    cfg: VMSettings,
    deployment: DeploymentAdapter,
    listener: EarlyListener | None = None,
) -> None:
    """Run an entry until it is stopped and has answered all requests it had read.

    Parameters
    ----------
    listener : EarlyListener or None
        Socket that already listens for callers; None to listen at the address in the
        settings.
    """
    async with run_vm_process(cfg, ENTRY, deployment, lambda process: ()) as process:
        entry = _assemble(process, deployment)
        await entry.serve(listener or EarlyListener(cfg.caller_address))


@define
class _Entry:
    """The endpoints of one entry, and its forwarder."""

    process: VMProcess
    callers: CallerEndpoint
    readiness: CallerEndpoint
    forwarder: Forwarder

    async def serve(self, listener: EarlyListener) -> None:
        """Accept callers on a listener until the stop signal, then drain."""
        loop = asyncio.get_running_loop()
        cfg = self.process.cfg
        self.callers.early_callers = EarlyCallers(
            listener.listening_since, self.process.clock()
        )
        servers = [
            await _create_server(self.callers, listener),
            await _create_server(
                self.readiness, EarlyListener(cfg.health_check_address)
            ),
        ]
        report_transport, _ = await loop.create_datagram_endpoint(
            lambda: EngineReportListener(self._apply_report),
            local_addr=(cfg.ip, cfg.inner_port),
        )
        loops = (self._run_sweeps(), self.forwarder.run_recalls())
        tasks = [self.process.start_loop(coro) for coro in loops]
        await self.process.stop.wait()
        await self._drain(servers[0])
        for task in tasks:
            task.cancel()
        report_transport.close()
        for server in servers:
            server.close()

    def _apply_report(self, report: EngineReport) -> None:
        backends = self.process.state_sync.cluster_state.backends
        backend = backends.find_by_address(report.address)
        if backend is not None:
            backend.apply_report(report, self.process.clock())
            self.forwarder.dispatcher.wake()

    async def _run_sweeps(self) -> None:
        pool, backends = (
            self.forwarder.pool,
            self.process.state_sync.cluster_state.backends,
        )
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.callers.sweep()
            self.readiness.sweep()
            pool.sweep(backends.names())

    async def _drain(self, server: asyncio.Server) -> None:
        """Answer all requests that were read, within the time for shutting down."""
        clock, drain = self.process.clock, self.forwarder.drain
        grace = self.process.cfg.limits.shutdown_grace_seconds
        started_at = clock()
        drain.start(
            started_at,
            BALANCER_NOTICE_SECONDS - LATE_SIGNAL_MARGIN_SECONDS,
            grace - SHUTDOWN_RESERVE_SECONDS,
        )
        self.callers.draining = True
        self.process.events.emit("process.leaving", open=len(self.callers.connections))
        while clock() < drain.ends_at:
            await asyncio.sleep(0.05)
            if clock() - started_at < BALANCER_NOTICE_SECONDS:
                continue
            if server.is_serving():
                # The connections accepted last have not been read yet.
                server.close()
                continue
            if not self.callers.is_busy():
                break
        server.close()
        await self._close_callers()
        if drain.given_up_count:
            self.process.events.emit("drain.expired", open=drain.given_up_count)

    async def _close_callers(self) -> None:
        """Close all connections of callers, after the last responses are written."""
        clock, drain = self.process.clock, self.forwarder.drain
        self.callers.close()
        flushed_by = max(clock(), drain.ends_at) + FLUSH_SECONDS
        while self.callers.is_answering() and clock() < flushed_by:
            await asyncio.sleep(0.01)
        # Callers that were refused while they sent may still read the response.
        lingering_until = min(clock() + FLUSH_SECONDS, flushed_by)
        while self.callers.connections and clock() < lingering_until:
            await asyncio.sleep(0.01)


def _assemble(process: VMProcess, deployment: DeploymentAdapter) -> _Entry:
    cfg, cluster_state = process.cfg, process.state_sync.cluster_state
    gossip = process.state_sync.gossip
    dispatcher = Dispatcher(
        cluster_state,
        _dispatch_limits(cfg),
        cfg.data_centre,
        process.clock,
        process.rng,
        CrashDetector(
            gossip.quarantine,
            process.events,
            process.events.wall,
            gossip.part_gossip.parts,
            partial(gossip.part_gossip.note_evidence, source="own"),
        ),
    )
    pool = ServerPool(deployment.head_codec, process.clock)
    dispatcher.idle_servers = pool.idle_servers
    forwarder = Forwarder(pool, deployment.head_codec, process.events, dispatcher)
    process.reload_listeners.append(
        lambda cfg: dispatcher.set_limits(_dispatch_limits(cfg))
    )

    def current_limits() -> CallerLimits:
        configuration = cluster_state.configuration
        return configuration.limits if configuration else CallerLimits()

    callers = CallerEndpoint(
        deployment.head_codec,
        process.clock,
        current_limits,
        forwarder.serve,
        set(),
        budget=process.budget,
    )

    async def answer_check(req: CallerRequest, caller: CallerConnection) -> None:
        is_ready = cluster_state.ready and not callers.draining
        caller.write_head(200 if is_ready else 503, (), 0)

    readiness = CallerEndpoint(
        deployment.head_codec,
        process.clock,
        current_limits,
        answer_check,
        set(),
        budget=process.budget,
        listener="health-checks",
    )
    return _Entry(process, callers, readiness, forwarder)


def _dispatch_limits(cfg: VMSettings) -> DispatchLimits:
    return DispatchLimits(
        cfg.limits.retry_ratio,
        cfg.limits.shared_retry_allowance,
        cfg.limits.retry_window_seconds,
        cfg.limits.version_deadline_seconds - SEND_MARGIN_SECONDS,
        cfg.limits.version_deadline_seconds - START_MARGIN_SECONDS,
        cfg.limits.version_deadline_seconds - QUEUE_MARGIN_SECONDS,
        cfg.limits.version_deadline_seconds - FULL_SERVER_MARGIN_SECONDS,
    )


async def _create_server(
    endpoint: CallerEndpoint, listener: EarlyListener
) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: CallerConnection(endpoint), sock=listener.sock, backlog=LISTEN_BACKLOG
    )
