"""Checks of the store while a process's knowledge of the operators' table is old."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from .http_responses import PlatformRefused, PlatformUnavailable
from .table_watch import MAX_BACKOFF_SECONDS, TableWatch
from .vm_settings import DeploymentLimits

__all__ = ["CheckTimes", "StalenessChecks"]

# Fractions of the time for which a VM counts as disturbed after a disturbance: the
# staleness that leads to a check, the first and the longest interval between checks
# without a response, and the time without data after which a check has failed.
MAX_STALENESS_RATIO = 0.45
FIRST_INTERVAL_RATIO = 0.1
MAX_INTERVAL_RATIO = 0.3
TIMEOUT_RATIO = 0.5
# The same staleness as a fraction of the time within which a configuration has to be in
# effect: the rest is for the check.
MAX_STALENESS_DEADLINE_RATIO = 0.75
# Idle connections that the pool may offer to a check although they have become
# unresponsive: that of the last check, and that of another call.
MAX_IDLE_CONNECTIONS = 2
# Minimum fraction of an interval: entries that lose the store at the same moment do not
# check at the same moment.
MIN_JITTER = 0.75

# Minimum wait until knowledge is old: what is left may be less than a clock resolves.
MIN_WAIT_SECONDS = 0.001


@frozen
class CheckTimes:
    """When checks are made, in seconds.

    Attributes
    ----------
    max_staleness : float
        Staleness at which the store is checked.
    first_interval, max_interval : float
        Interval between checks without a response; it doubles with each one.
    timeout : float
        Time without data after which a check has failed.
    """

    max_staleness: float
    first_interval: float
    max_interval: float
    timeout: float

    @classmethod
    def from_limits(cls, limits: DeploymentLimits) -> CheckTimes:
        """Return the times for a deployment."""
        hold = limits.disturbance_hold_seconds
        deadline = limits.configuration_deadline_seconds
        return cls(
            min(MAX_STALENESS_RATIO * hold, MAX_STALENESS_DEADLINE_RATIO * deadline),
            FIRST_INTERVAL_RATIO * hold,
            MAX_INTERVAL_RATIO * hold,
            TIMEOUT_RATIO * hold,
        )

    def seconds_until_current(self, response_seconds: float) -> float:
        """Return how long after its path is back a process may still be behind.

        After a long disturbance a check follows within ``max_interval``; a table whose
        own calls fail waits up to ``MAX_BACKOFF_SECONDS`` more. After a short one the
        first check is due within ``max_staleness``, and each idle connection that
        became unresponsive costs one interval. The check's response brings the checked
        table, and those of the calls that are then made again bring the others.

        Parameters
        ----------
        response_seconds : float
            Time that a response of the store takes.
        """
        intervals = (
            min(self.first_interval * 2**n, self.max_interval)
            for n in range(MAX_IDLE_CONNECTIONS)
        )
        after_long = self.max_interval + MAX_BACKOFF_SECONDS
        after_short = self.max_staleness + sum(intervals)
        return max(after_long, after_short) + 2 * response_seconds


@define
class StalenessChecks:
    """Checks the store by short calls while a process's knowledge is old.

    A pending call looks the same while nothing changes and while its connection is
    unresponsive. A check is made on another connection, and is answered at once.

    Attributes
    ----------
    watch : TableWatch
        The table that is checked.
    others : iterable of TableWatch
        Tables whose pending calls are dropped as well when the store responds again.
    staleness : callable
        Maximum age in seconds of rows that are missing here, whoever reported them.
    """

    watch: TableWatch
    others: Iterable[TableWatch]
    times: CheckTimes
    staleness: Callable[[float], float]
    clock: Callable[[], float]
    rng: random.Random
    _failed: bool = False
    _responded: asyncio.Event = field(factory=asyncio.Event)
    _checks: dict[float, asyncio.Task] = field(factory=dict)

    async def run(self) -> None:
        """Check whenever knowledge is old, until cancelled."""
        while True:
            bound = self.times.max_staleness * self._jitter()
            await self._wait_until_stale(bound)
            try:
                await self._check_until_current(bound)
            finally:
                for task in self._checks.values():
                    task.cancel()
                self._checks.clear()
            # A response that took longer than the bound must not lead to the next
            # check at once.
            await asyncio.sleep(self.times.first_interval)

    async def _wait_until_stale(self, bound: float) -> None:
        while True:
            remaining = self.times.first_interval
            if self.watch.version >= 0:
                remaining = bound - self.staleness(self.clock())
            if remaining <= 0.0:
                return
            await asyncio.sleep(max(remaining, MIN_WAIT_SECONDS))

    async def _check_until_current(self, bound: float) -> None:
        """Make further checks beside those without a response, until there is one."""
        self._failed = False
        self._responded.clear()
        began_at = self.clock()
        interval = self.times.first_interval
        while not self._is_current(bound):
            if self.watch.is_retrying(self.clock(), self.times.first_interval):
                # The table's own calls show the same, as long as they fail at once.
                self._failed = True
                await self._wait_for_response(self.times.first_interval)
                continue
            started_at = self.clock()
            self._checks[started_at] = asyncio.create_task(self._check(started_at))
            await self._wait_for_response(interval * self._jitter())
            interval = min(2 * interval, self.times.max_interval)
        if self._failed or self._has_silent_check(self.clock()):
            # The table's own call was answered, a peer told more, or another entry now
            # follows it.
            for watch in (self.watch, *self.others):
                if watch.last_response_at < began_at:
                    watch.drop_call(self.clock())

    def _has_silent_check(self, now: float) -> bool:
        return any(
            now - started_at >= self.times.first_interval for started_at in self._checks
        )

    def _is_current(self, bound: float) -> bool:
        return self._responded.is_set() or (
            not self.watch.failing and self.staleness(self.clock()) <= bound
        )

    async def _wait_for_response(self, seconds: float) -> None:
        """Wait for a check's response, or until no data arrived for ``seconds``."""
        while True:
            received = self._received_bytes()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._responded.wait()
            if self._responded.is_set() or self._received_bytes() == received:
                return

    async def _check(self, started_at: float) -> None:
        try:
            newer = await self._call_while_data_arrives()
        except (PlatformUnavailable, PlatformRefused) as exc:
            self._failed = True
            self.watch.record_failed_check(exc)
            return
        finally:
            self._checks.pop(started_at, None)
        # An earlier check without a response was made on an unresponsive connection.
        outrun = any(earlier < started_at for earlier in self._checks)
        if self._failed or newer or outrun:
            for watch in (self.watch, *self.others):
                watch.drop_call(started_at)
        self._failed = False
        self._responded.set()

    async def _call_while_data_arrives(self) -> bool:
        """Return the response to a check, or cancel the call when no data arrives.

        Over a full link an empty response may wait behind a large one for the table.
        """
        call = asyncio.ensure_future(self.watch.check())
        try:
            while True:
                received = self._received_bytes()
                await asyncio.wait({call}, timeout=self.times.timeout)
                if call.done():
                    return call.result()
                if self._received_bytes() == received:
                    table = self.watch.table
                    raise PlatformUnavailable(table, "no data received", False)
        finally:
            call.cancel()

    def _received_bytes(self) -> int:
        return self.watch.store.received_bytes(self.watch.table)

    def _jitter(self) -> float:
        return self.rng.uniform(MIN_JITTER, 1.0)
