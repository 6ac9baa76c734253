"""Pushes new tickets to other entries and to the agents that watch this one."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_policy.membership import push_targets
from wasabideck_policy.tickets import Assignment

from .fleet import Fleet

__all__ = ["ChangePusher"]


@define
class ChangePusher:
    """Pushes each change once to a few entries and to the agents that watch this one.

    A lost push is not retried: anti-entropy delivers the change within a second, and
    the fanout of the pushes makes that case rare.
    """

    data_centre: str
    ticket_replication: TicketReplication
    peers: PeersService
    fleet: Fleet
    channels: Channels
    rng: random.Random
    _pending: list[Assignment] = field(factory=list)
    _changes_added: asyncio.Event = field(factory=asyncio.Event)
    _push_tasks: set[asyncio.Task] = field(factory=set)

    def enqueue(self, changes: list[Assignment]) -> None:
        """Add changes to those that ``run`` pushes next."""
        self._pending += changes
        self._changes_added.set()

    async def run(self) -> None:
        """Push the added changes; runs until cancelled."""
        while True:
            await self._changes_added.wait()
            self._changes_added.clear()
            pending, self._pending = self._pending, []
            self._start_pushes(
                pending, [*self._entry_addresses(), *self._agent_addresses()]
            )

    async def push_until_received(self, changes: Iterable[Assignment]) -> None:
        """Push to a few entries; return when one has received it or all have failed.

        So an accepted ticket survives the loss of the entry that accepted it, even if
        the table becomes unavailable immediately afterwards.
        """
        unfinished = self._start_pushes(list(changes), self._entry_addresses())
        while unfinished:
            done, unfinished = await asyncio.wait(
                unfinished, return_when=asyncio.FIRST_COMPLETED
            )
            if any(task.result() for task in done):
                return

    def _entry_addresses(self) -> list[str]:
        members = push_targets(
            self.fleet.vm, self.data_centre, self.fleet.members, self.rng
        )
        return [member.address for member in members]

    def _agent_addresses(self) -> list[str]:
        servers = self.fleet.servers
        watching_vms = sorted(self.peers.recent_sync_vms())
        return [servers[vm].address for vm in watching_vms if vm in servers]

    def _start_pushes(
        self, changes: list[Assignment], addresses: list[str]
    ) -> set[asyncio.Task]:
        pushes = {
            asyncio.create_task(self._push(address, changes)) for address in addresses
        }
        self._push_tasks |= pushes
        for push in pushes:
            push.add_done_callback(self._push_tasks.discard)
        return pushes

    async def _push(self, address: str, changes: list[Assignment]) -> bool:
        try:
            await self.ticket_replication.push(self.channels.get(address), changes)
        except CALL_FAILURES:
            self.channels.close_channel(address)
            return False
        return True
