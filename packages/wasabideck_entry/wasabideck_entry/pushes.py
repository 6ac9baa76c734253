"""Tells other entries, and the agents that watch this one, of new tickets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.spread import PeersService, Spread
from wasabideck_policy.membership import tell
from wasabideck_policy.tickets import Assignment

from .fleet import Fleet

__all__ = ["Pusher"]


@define
class Pusher:
    """Pushes each change once to a few entries and to the agents that watch.

    A push that gets lost is not repeated: comparisons make up for it within a
    second, and the fanout makes it rare that they have to.
    """

    data_centre: str
    spread: Spread
    peers: PeersService
    fleet: Fleet
    channels: Channels
    rng: random.Random
    _fresh: list[Assignment] = field(factory=list)
    _grown: asyncio.Event = field(factory=asyncio.Event)
    _pushes: set[asyncio.Task] = field(factory=set)

    def note(self, newer: list[Assignment]) -> None:
        """Have changes pushed by ``run``."""
        self._fresh += newer
        self._grown.set()

    async def run(self) -> None:
        """Push what was noted, for ever."""
        while True:
            await self._grown.wait()
            self._grown.clear()
            fresh, self._fresh = self._fresh, []
            self._start(fresh, [*self._entries(), *self._agents()])

    async def hand_on(self, changes: Iterable[Assignment]) -> None:
        """Push to a few entries; return when one has it, or all have failed.

        So an accepted ticket outlives the entry that accepted it, also when the
        table goes down right after.
        """
        waiting = self._start(list(changes), self._entries())
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                return

    def _entries(self) -> list[str]:
        members = tell(self.fleet.vm, self.data_centre, self.fleet.members, self.rng)
        return [member.address for member in members]

    def _agents(self) -> list[str]:
        servers = self.fleet.servers
        watchers = sorted(self.peers.watchers())
        return [servers[vm].address for vm in watchers if vm in servers]

    def _start(
        self, changes: list[Assignment], addresses: list[str]
    ) -> set[asyncio.Task]:
        pushes = {
            asyncio.create_task(self._push(address, changes)) for address in addresses
        }
        self._pushes |= pushes
        for push in pushes:
            push.add_done_callback(self._pushes.discard)
        return pushes

    async def _push(self, address: str, changes: list[Assignment]) -> bool:
        try:
            await self.spread.push(self.channels.get(address), changes)
        except LINK_FAILURES:
            self.channels.drop(address)
            return False
        return True
