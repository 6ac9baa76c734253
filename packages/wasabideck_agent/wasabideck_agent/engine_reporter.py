"""Sends reports on the engine beside an agent to the entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.engine_datagrams import EngineReportSender
from wasabideck_base.vm_process import VMProcess
from wasabideck_policy.engine_report import EngineReport, is_major_change
from wasabideck_policy.engine_state import EngineState
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.report_targets import ReportTargets, report_targets

from .staging import Engine

__all__ = ["EngineReporter"]

# Interval between reports. The state read from the engine on the same VM is current and
# costs a millisecond of processor time. Entries select servers by these reports, and a
# slot is freed or taken every 0.1 s.
REPORT_INTERVAL_SECONDS = 0.1
# Entries in other regions receive every sixth report, and each significant change. A
# report takes 70 bytes with its headers, the links between regions are narrow, and a
# local server is selected as long as one has a free slot. Two reports fit into the time
# for which one counts as recent.
REMOTE_REPORT_EVERY = 6
# Interval between updates of the list of members, which changes rarely.
MEMBERS_INTERVAL_SECONDS = 1.0


@define
class EngineReporter:
    """Polls the engine and sends reports to entries, ten times a second.

    Attributes
    ----------
    describe : callable
        Given an engine's state, returns the version on which waiting requests start,
        whether new requests are accepted, the seconds until the newest version is
        served, and the newest version whose age is known; or None to send no report.
    """

    process: VMProcess
    engine: Engine
    describe: Callable[[EngineState], tuple[int, bool, float, int] | None]
    sender: EngineReportSender = field(factory=EngineReportSender)
    targets: ReportTargets = field(factory=ReportTargets)
    _targets_updated_at: float = float("-inf")
    _last_report: EngineReport | None = None
    _periodic_reports: int = 0

    async def run(self) -> None:
        """Send reports until cancelled; none while the engine does not respond."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self.sender, local_addr=(self.process.cfg.ip, 0)
        )
        while True:
            try:
                self.send_report(await self.engine.read_state())
            except WasabideckError:
                # The agent's main loop logs the engine's failure.
                self._last_report = None
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)

    def send_report(self, state: EngineState) -> None:
        """Report a state: always to local entries, and periodically to remote ones."""
        described = self.describe(state)
        if described is None:
            return
        version, serving, ready_in, newest = described
        report = EngineReport(
            self.process.cfg.server_address,
            version,
            serving,
            state.running,
            state.waiting,
            ready_in,
            newest,
            state.slowdown,
        )
        self._update_targets(self.process.clock())
        if is_major_change(self._last_report, report):
            self._last_report = report
            self.sender.send(report, self.targets.for_urgent_report())
            return
        include_remote = self._periodic_reports % REMOTE_REPORT_EVERY == 0
        self._periodic_reports += 1
        if include_remote:
            self._last_report = report
        self.sender.send(report, self.targets.for_report(include_remote))

    def _update_targets(self, now: float) -> None:
        if now - self._targets_updated_at < MEMBERS_INTERVAL_SECONDS:
            return
        self._targets_updated_at = now
        cfg, members = self.process.cfg, self.process.state_sync.gossip.members
        self.targets.set_entries(*report_targets(cfg.vm, cfg.region, members.values()))
