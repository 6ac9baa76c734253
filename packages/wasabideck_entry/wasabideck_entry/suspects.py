"""What an entry does about requests that crash the servers that run them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from attrs import define, field
from wasabideck_policy.outcomes import Outcome, Unknown
from wasabideck_policy.quarantine import Quarantine, fingerprint
from wasabideck_policy.rendezvous import rank
from wasabideck_policy.routing import Server

if TYPE_CHECKING:
    from .calls import Call

__all__ = ["Suspects"]

TELL_SECONDS = 0.3


async def _nobody() -> None:
    """Tell no other entry."""


@define
class Suspects:
    """Notes crashes, tells the other entries, and holds suspects back.

    Attributes
    ----------
    tell : callable
        Tells the other entries of all crashes.
    """

    quarantine: Quarantine = field(factory=Quarantine)
    tell: Callable[[], Awaitable[None]] = _nobody
    wall: Callable[[], float] = time.time

    def name(self, call: Call) -> str:
        """Fingerprint of a call."""
        return fingerprint(call.organisation, call.service, call.route, call.body)

    def refused(self, name: str) -> bool:
        """Whether it is refused for good."""
        return self.quarantine.refused(name, self.wall())

    def alone(self, name: str) -> bool:
        """Whether it runs beside nothing else."""
        return self.quarantine.alone(name, self.wall())

    def narrow(self, name: str, servers: list[Server]) -> list[Server]:
        """The servers that may be given it: for a suspect just one.

        Each entry arrives at the same one, so two entries cannot have two servers
        crash of one suspect at the same time.
        """
        if not servers or not self.alone(name):
            return servers
        crashed = self.quarantine.servers(name, self.wall())
        by_vm = {s.vm: s for s in servers if s.vm not in crashed}
        return [by_vm[rank(name, by_vm)[0]]] if by_vm else []

    async def hear(self, name: str, outcome: Outcome) -> None:
        """Take in an outcome; a crash is told to the other entries before a retry."""
        if not isinstance(outcome, Unknown) or not outcome.crash:
            return
        self.quarantine.record(name, outcome.crash, self.wall())
        try:
            async with asyncio.timeout(TELL_SECONDS):
                await self.tell()
        except TimeoutError:
            # They hear of it with the next comparison of state.
            return
