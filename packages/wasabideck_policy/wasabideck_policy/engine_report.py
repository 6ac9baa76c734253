"""Reports of agents on their engines, and when an engine can serve again."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

__all__ = [
    "MAX_REPORT_AGE_SECONDS",
    "EngineReport",
    "seconds_until_ready",
    "is_major_change",
]

# Maximum age of a report; older ones are ignored. An agent reports four times a second,
# and a datagram or two may be lost.
MAX_REPORT_AGE_SECONDS = 1.2
# A change by this many requests is reported immediately also to processes that get
# less frequent reports.
MAJOR_CHANGE_REQUESTS = 4


@frozen
class EngineReport:
    """One agent's report on its engine.

    Attributes
    ----------
    version : int
        Version of the weights on which it starts requests; 0 for none. During a swap
        it is the new version: waiting requests start after the swap.
    serving : bool
        Whether it accepts new requests: no swap is due or in progress.
    ready_in : float
        Seconds until it serves the newest version known to the agent; 0 if it does.
    newest_version : int
        The newest version of known age that the agent knows.
    slowdown : float
        Factor by which it is slower than usual.
    """

    address: str
    version: int
    serving: bool
    running: int
    waiting: int
    ready_in: float = 0.0
    newest_version: int = 0
    slowdown: float = 1.0

    @property
    def load(self) -> int:
        """Number of requests on it, running or waiting."""
        return self.running + self.waiting


def seconds_until_ready(
    reports: Iterable[tuple[EngineReport, float]], min_version: int
) -> float | None:
    """Return the seconds until the first engine may run a request; None if unknown.

    Parameters
    ----------
    reports : iterable of (EngineReport, float)
        Reports of agents and their ages, seconds.
    min_version : int
        Minimum version of the weights that the request needs.
    """
    delays = []
    for report, age in reports:
        if report.serving and report.version >= max(min_version, 1):
            return 0.0
        if report.newest_version >= min_version and report.ready_in > 0:
            delays.append(report.ready_in - age)
    return max(0.05, min(delays)) if delays else None


def is_major_change(last: EngineReport | None, report: EngineReport) -> bool:
    """Whether a report differs enough from the last one to be sent to all at once."""
    if last is None:
        return True
    if (last.serving, last.version, last.newest_version) != (
        report.serving,
        report.version,
        report.newest_version,
    ):
        return True
    return abs(last.load - report.load) >= MAJOR_CHANGE_REQUESTS
