"""Checks of the store while a process's copy of a table is old."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from attrs import define, field, frozen

from .http_responses import PlatformRefused, PlatformUnavailable
from .table_watch import MAX_BACKOFF_SECONDS, TableWatch
from .vm_settings import DeploymentLimits

__all__ = ["CheckTimes", "StalenessChecks"]

# Fractions of the time for which a VM counts as disturbed after a disturbance: the
# staleness that leads to a check, the first and the longest interval between checks
# without a response, and the time without data after which the store does not respond.
MAX_STALENESS_RATIO = 0.45
FIRST_INTERVAL_RATIO = 0.1
MAX_INTERVAL_RATIO = 0.3
TIMEOUT_RATIO = 0.5
# The same staleness, the store's response included, as a fraction of the time within
# which a change has to be in effect.
MAX_STALENESS_DEADLINE_RATIO = 0.75
# Checks that wait for a slow store at the same time, as long as the interval between
# them stays below the longest one.
MAX_PENDING_CHECKS = 8
# Bytes of rows that pending checks may transfer at the same time: each brings the same
# rows, over a link that other processes use.
MAX_PENDING_BYTES = 128 * 1024
# A check that takes this many times as long as the last ones may have been made on an
# unresponsive connection.
LATE_RATIO = 1.5
# Idle connections that the pool may offer to a check although they have become
# unresponsive: that of the last check, and that of another call.
MAX_IDLE_CONNECTIONS = 2
# Minimum fraction of an interval: entries that lose the store at the same moment do not
# check at the same moment.
MIN_JITTER = 0.75
# Minimum wait until a check is due: what is left may be less than a clock resolves.
MIN_WAIT_SECONDS = 0.001


@frozen
class CheckTimes:
    """When checks are made, in seconds.

    Attributes
    ----------
    deadline : float
        Time within which a change has to be in effect.
    max_staleness : float
        Staleness at which a store that responds at once is checked.
    first_interval, max_interval : float
        Interval between checks without a response; it doubles with each one.
    timeout : float
        Time without data after which the store counts as unresponsive.
    """

    deadline: float
    max_staleness: float
    first_interval: float
    max_interval: float
    timeout: float

    @classmethod
    def from_limits(cls, limits: DeploymentLimits, deadline: float) -> CheckTimes:
        """Return the times for a table whose changes have a deadline."""
        hold = limits.disturbance_hold_seconds
        return cls(
            deadline,
            min(MAX_STALENESS_RATIO * hold, MAX_STALENESS_DEADLINE_RATIO * deadline),
            FIRST_INTERVAL_RATIO * hold,
            MAX_INTERVAL_RATIO * hold,
            TIMEOUT_RATIO * hold,
        )

    def interval(self, response_seconds: float) -> float:
        """Return the interval between checks of a store that responds this slowly.

        A change is known one interval and one response after it was written, however
        long a response takes: checks do not wait for each other.
        """
        spare = MAX_STALENESS_DEADLINE_RATIO * self.deadline - response_seconds
        shortest = min(response_seconds / MAX_PENDING_CHECKS, self.max_interval)
        return max(self.first_interval, shortest, min(self.max_staleness, spare))

    def seconds_until_current(self, response_seconds: float) -> float:
        """Return how long after its path is back a process may still be behind.

        After a long disturbance a check follows within ``max_interval``; a table whose
        own calls fail waits up to ``MAX_BACKOFF_SECONDS`` more. After a short one the
        first check is due within ``max_staleness``, and each idle connection that
        became unresponsive costs one interval.

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
    """Checks the store by short calls while a process's copy of a table is old.

    A pending call looks the same while nothing changes and while its connection is
    unresponsive, and a change that it just misses waits for the next one. A check is
    made beside it, and beside earlier checks, on another connection. It is given up
    only when a later one has been answered.

    A table with large rows is checked for its version: the rows come by the pending
    call, which is made again if nothing of them has arrived meanwhile.

    Attributes
    ----------
    watch : TableWatch
        The table that is checked.
    staleness : callable
        Maximum age in seconds of rows that are missing here, whoever reported them.
    """

    watch: TableWatch
    times: CheckTimes
    staleness: Callable[[float], float]
    clock: Callable[[], float]
    rng: random.Random
    _pending: dict[float, asyncio.Task] = field(factory=dict)
    _started_at: float = float("-inf")
    _backoff: float = field(init=False)
    _jitter: float = 1.0
    _failed: bool = False
    _behind: bool = False
    _due_changed: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Have the watch ask for a check when a peer knows more."""
        self._backoff = self.times.first_interval
        self.watch.on_behind = self._note_behind

    async def run(self) -> None:
        """Check whenever the copy is old, until cancelled."""
        try:
            while True:
                now = self.clock()
                self._note_silence(now)
                self._drop_silent_call(now)
                remaining = self._seconds_until_due(now)
                if remaining <= 0.0:
                    self._start(now)
                else:
                    await self._wait(remaining)
        finally:
            for check in self._pending.values():
                check.cancel()

    async def _wait(self, seconds: float) -> None:
        """Wait until a check may be due, or a pending one may be late."""
        if self._pending or self.watch.version < 0:
            seconds = min(seconds, self.times.first_interval)
        self._due_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(seconds, MIN_WAIT_SECONDS)):
                await self._due_changed.wait()

    def _seconds_until_due(self, now: float) -> float:
        """Return the time until the next check; none is left if it is due."""
        first_interval = self.times.first_interval
        if not self.watch.is_checkable or self.watch.is_retrying(now, first_interval):
            # The table's own calls show the same, as long as they fail at once.
            return first_interval
        return max(self._seconds_until_stale(now), self._seconds_until_next(now))

    def _seconds_until_stale(self, now: float) -> float:
        """Return the time until the copy is too old."""
        if self._behind or self.watch.failing:
            return 0.0
        return self._interval - self.staleness(now)

    def _seconds_until_next(self, now: float) -> float:
        """Return the time left of the interval between two checks."""
        interval, since = self._interval, self._started_at
        if self._backs_off(now):
            interval = self._backoff * self._jitter
        elif self._behind and not self._pending:
            interval = self.times.first_interval
        if self._pending:
            since = max(since, self.watch.arrivals.last_at(now))
        return since + interval - now

    @property
    def _interval(self) -> float:
        return self.times.interval(self.watch.response_seconds) * self._jitter

    def _drop_silent_call(self, now: float) -> None:
        """Drop the held call if a late check shows nothing that a peer has not told.

        A cut that was over before the check times out may have made both connections
        unresponsive.
        """
        if self._is_late(now) and self._seconds_until_stale(now) > 0.0:
            self.watch.drop_call(min(self._pending))

    def _start(self, now: float) -> None:
        """Start a check beside those that are pending."""
        # What has arrived by now does not count as arriving after the check.
        self.watch.arrivals.last_at(now)
        if self._backs_off(now):
            self._backoff = min(2 * self._backoff, self.times.max_interval)
        self._started_at = now
        self._jitter = self.rng.uniform(MIN_JITTER, 1.0)
        self._behind = False
        self._pending[now] = asyncio.create_task(self._check(now))

    async def _check(self, started_at: float) -> None:
        try:
            newer = await self.watch.check()
        except (PlatformUnavailable, PlatformRefused) as exc:
            self._failed = True
            self.watch.record_failed_check(exc)
        else:
            self._note_response(started_at, newer)
        finally:
            self._pending.pop(started_at, None)
            self._due_changed.set()

    def _note_response(self, started_at: float, newer: bool) -> None:
        """Give up what a check has overtaken; its connection may be unresponsive."""
        now = self.clock()
        overtaken = [at for at in self._pending if at < started_at]
        if newer and len(self._pending) > self._max_pending:
            overtaken = [at for at in self._pending if at != started_at]
        silent = [at for at in overtaken if self._is_late_since(at, now)]
        for at in overtaken:
            self._pending[at].cancel()
        if newer or silent or self._failed:
            self.watch.drop_call(started_at)
        if silent:
            self.watch.on_recovery(now - min(silent))
        self._failed = False
        self._backoff = self.times.first_interval

    @property
    def _max_pending(self) -> int:
        """Maximum number of checks that wait at the same time and are not late."""
        if self.watch.has_large_rows:
            return MAX_PENDING_CHECKS
        return max(1, MAX_PENDING_BYTES // max(1, self.watch.largest_row_bytes))

    def _backs_off(self, now: float) -> bool:
        """Whether further checks may not help, or fill the link that delays others."""
        crowded = len(self._pending) >= self._max_pending
        return crowded or self._failed or self._is_late(now)

    def _note_behind(self) -> None:
        self._behind = True
        self._due_changed.set()

    def _note_silence(self, now: float) -> None:
        """Have the store count as unresponsive when a check has waited for long."""
        arrived_at = self.watch.arrivals.last_at(now)
        since = max(min(self._pending, default=now), arrived_at)
        longest = max(self.times.timeout, LATE_RATIO * self.watch.response_seconds)
        if now - since >= longest:
            self.watch.record_failed_check(
                PlatformUnavailable(self.watch.table, "no data received", False)
            )

    def _is_late(self, now: float) -> bool:
        """Whether a pending check may have been made on an unresponsive connection."""
        return bool(self._pending) and self._is_late_since(min(self._pending), now)

    def _is_late_since(self, started_at: float, now: float) -> bool:
        waited = now - max(started_at, self.watch.arrivals.last_at(now))
        return waited >= max(
            MIN_JITTER * self.times.first_interval,
            LATE_RATIO * self.watch.response_seconds,
        )
