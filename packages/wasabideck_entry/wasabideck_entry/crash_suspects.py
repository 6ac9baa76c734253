"""Restricts requests that are suspected of crashing servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from attrs import define, field
from wasabideck_policy.load_balancing import ServerState
from wasabideck_policy.outcomes import Outcome, Unknown
from wasabideck_policy.quarantine import Quarantine, fingerprint
from wasabideck_policy.rendezvous import rank_vms

if TYPE_CHECKING:
    from .call_runner import Call

__all__ = ["CrashSuspects"]

NOTIFY_TIMEOUT_SECONDS = 0.3


async def _notify_none() -> None:
    """Notify no other entry."""


@define
class CrashSuspects:
    """Records crashes, notifies the other entries, and restricts suspected requests.

    Attributes
    ----------
    notify_entries : callable
        Notifies the other entries of all recorded crashes.
    """

    quarantine: Quarantine = field(factory=Quarantine)
    notify_entries: Callable[[], Awaitable[None]] = _notify_none
    wall_clock: Callable[[], float] = time.time

    def fingerprint_of(self, call: Call) -> str:
        """Return the fingerprint of a call."""
        return fingerprint(call.organisation, call.service, call.route, call.body)

    def is_quarantined(self, request_fingerprint: str) -> bool:
        """Whether the request is refused on every server."""
        return self.quarantine.is_quarantined(request_fingerprint, self.wall_clock())

    def must_run_alone(self, request_fingerprint: str) -> bool:
        """Whether the request may run only on a server without other requests."""
        return self.quarantine.must_run_alone(request_fingerprint, self.wall_clock())

    def eligible_servers(
        self, request_fingerprint: str, servers: list[ServerState]
    ) -> list[ServerState]:
        """Return the servers that the request may be sent to.

        A suspected request may be sent to one server only. All entries choose the same
        server, so that two entries cannot crash two servers with the same request at
        the same time.
        """
        if not servers or not self.must_run_alone(request_fingerprint):
            return servers
        crashed = self.quarantine.crashed_vms(request_fingerprint, self.wall_clock())
        by_vm = {s.vm: s for s in servers if s.vm not in crashed}
        return [by_vm[rank_vms(request_fingerprint, by_vm)[0]]] if by_vm else []

    async def record_outcome(self, request_fingerprint: str, outcome: Outcome) -> None:
        """Record an outcome; notify the other entries of a crash before any retry."""
        if not isinstance(outcome, Unknown) or not outcome.crash:
            return
        self.quarantine.record_crash(
            request_fingerprint, outcome.crash, self.wall_clock()
        )
        try:
            async with asyncio.timeout(NOTIFY_TIMEOUT_SECONDS):
                await self.notify_entries()
        except TimeoutError:
            # The other entries receive it with the next anti-entropy round.
            return
