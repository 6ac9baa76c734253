"""Has the store confirm which versions are declared when no entry does.

Entries reply to an agent also while they are cut off from the store, and then with what
they knew before. What an agent knows is complete up to a time only, and a version that
it does not know may be due once the version deadline has passed since.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_policy.cluster_state import ClusterState

from .events import Events
from .http_responses import PlatformRefused, PlatformUnavailable
from .vm_settings import DeploymentLimits

__all__ = ["VersionConfirmation"]

# Time after the start in which entries confirm what they have sent.
STARTUP_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 0.5
# Time for which a request stands. A step repeats it at each attempt, between which it
# may verify weights for seconds.
REQUEST_VALID_SECONDS = 5.0
# First and maximum interval between failed reads, and its maximum while an order waits.
# An agent whose path to the store is back reads well within the disturbance hold.
FIRST_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 2.0
MAX_REQUESTED_BACKOFF_SECONDS = 1.0
# Time after which a read without a response counts as failed; it goes on, as the store
# may be slow.
SILENT_READ_SECONDS = 1.5


@define
class VersionConfirmation:
    """Keeps one agent's knowledge of the declared versions recent enough to act on.

    Attributes
    ----------
    read_versions : callable
        Reads all declared versions from the store and applies them.
    limits : callable
        Returns the current limits of the deployment.
    """

    cluster_state: ClusterState
    read_versions: Callable[[], Awaitable[None]]
    limits: Callable[[], DeploymentLimits]
    clock: Callable[[], float]
    events: Events
    rng: random.Random
    _needed_until: float = float("-inf")
    _requested_at: float = float("-inf")
    _repeated_at: float = float("-inf")
    _failed_at: float = float("-inf")
    _request: asyncio.Event = field(factory=asyncio.Event)

    @property
    def requested(self) -> bool:
        """Whether a step waits until more recent versions would be known here."""
        return (
            self.cluster_state.complete_until < self._needed_until
            and self.clock() - self._repeated_at < REQUEST_VALID_SECONDS
        )

    def allows(self, until: float, now: float) -> bool:
        """Whether no version that is unknown here can be due before ``until``.

        If that is not known, the store and the entries are asked. A VM on which neither
        has told for ``disturbance_hold_seconds`` acts on what it knows: it has no path
        to them, or nobody has. It counts as disturbed for that time after the path is
        back, which is enough to learn of a newer version and unload the older one.

        Parameters
        ----------
        until : float
            When a step that is to be taken now will have its effect, seconds.
        """
        limits = self.limits()
        needed_until = until - limits.version_deadline_seconds
        if self.cluster_state.complete_until >= needed_until:
            return True
        if not self.requested:
            self._requested_at = now
            self._request.set()
        self._needed_until, self._repeated_at = needed_until, now
        return (
            self._failed_at >= self._requested_at
            and now - self._requested_at >= limits.disturbance_hold_seconds
        )

    async def run(self) -> None:
        """Read the versions from the store whenever needed, until cancelled.

        The rows of the versions are small, so agents need not take turns. A failed read
        is repeated ever later: entries read sooner when the store is back, and their
        replies make the agents' reads unnecessary.
        """
        failures = 0
        while True:
            if not self.requested and not self._is_overdue(self.clock()):
                failures = 0
                # Entries may have answered a request that was made meanwhile.
                self._request.clear()
                await self._wait_for_request(CHECK_INTERVAL_SECONDS)
                continue
            self._request.clear()
            requested_at = self.clock()
            try:
                await self._read()
            except (PlatformUnavailable, PlatformRefused) as exc:
                self._failed_at = requested_at
                self.events.emit("table.unavailable", why=str(exc))
                failures += 1
                next_read_at = requested_at + self._backoff(failures)
                await self._wait_for_request(max(0.0, next_read_at - self.clock()))
            else:
                failures = 0
                self.cluster_state.mark_complete(requested_at)
                # A step that lasts too long may need more than any answer confirms.
                await asyncio.sleep(FIRST_BACKOFF_SECONDS)

    async def _read(self) -> None:
        """Read the versions; record a response that takes long as a failure so far."""
        requested_at = self.clock()
        read = asyncio.ensure_future(self.read_versions())
        try:
            done, _ = await asyncio.wait({read}, timeout=SILENT_READ_SECONDS)
            if not done:
                self._failed_at = requested_at
                self.events.emit("table.unavailable", why="no response yet")
            await read
        finally:
            read.cancel()

    def _is_overdue(self, now: float) -> bool:
        """Whether no entry has confirmed the versions for too long.

        Enough time is left to unload weights for a version declared just after the last
        confirmation. An agent without a configuration reads the whole table.
        """
        limits = self.limits()
        max_staleness = (
            limits.version_deadline_seconds - limits.disturbance_hold_seconds
        )
        return (
            self.cluster_state.configuration is not None
            and now - self.cluster_state.started_at > STARTUP_SECONDS
            and self.cluster_state.staleness(now) > max_staleness
        )

    def _backoff(self, failures: int) -> float:
        longest = (
            MAX_REQUESTED_BACKOFF_SECONDS if self.requested else MAX_BACKOFF_SECONDS
        )
        return min(longest, FIRST_BACKOFF_SECONDS * 2 ** min(failures, 8))

    async def _wait_for_request(self, seconds: float) -> None:
        """Wait for a request, for about the given time at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds * self.rng.uniform(0.7, 1.0)):
                await self._request.wait()
