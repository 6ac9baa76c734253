"""Spread of ticket state between processes, and from the table to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field
from grpclib.client import Channel
from grpclib.server import Stream
from wasabideck_policy.tickets import Assignment, TicketState
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import assignments_from, entries_from
from wasabideck_wire.inner_grpc import PeersBase, PeersStub

from .events import Events
from .table import Table
from .ticket_store import read_changes, read_head

__all__ = ["PeersService", "Spread"]

SYNC_TIMEOUT = 2.0


@define
class Spread:
    """A process's ticket state, and whoever waits for it to change.

    Attributes
    ----------
    heard : bool
        Whether any state was heard yet; before that nothing may be served.
    """

    vm: str
    events: Events
    state: TicketState = field(factory=TicketState)
    heard: bool = False
    _waiters: list[asyncio.Event] = field(factory=list)

    def subscribe(self) -> asyncio.Event:
        """An event that is set whenever the state changes."""
        changed = asyncio.Event()
        self._waiters.append(changed)
        return changed

    def merge(self, assignments: Iterable[Assignment], sequence: int = 0) -> bool:
        """Take changes in, and wake whoever waits if any of them is newer."""
        assignments = list(assignments)
        changed = self.state.merge(assignments, sequence)
        first = not self.heard
        self.heard = True
        if changed:
            newest = max(a.ticket for a in assignments)
            self.events.emit("ticket.seen", ticket=newest, sequence=sequence)
        if changed or first:
            for waiter in self._waiters:
                waiter.set()
        return changed

    async def poll(self, table: Table) -> bool:
        """Read the head row, and what was accepted since; whether any was newer."""
        head = await read_head(table)
        if head <= self.state.sequence:
            return self.merge((), head)
        return self.merge(await read_changes(table, self.state.sequence), head)

    async def sync(self, channel: Channel) -> None:
        """Compare with another process, and take in what it has newer."""
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
        )
        reply = await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT)
        if reply.heard:
            self.merge(assignments_from(reply.entries), reply.sequence)

    async def push(self, channel: Channel, since: int) -> None:
        """Tell another process what was accepted after a place in the order."""
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
            entries=entries_from(self.state.above(since)),
        )
        await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT)


@define
class PeersService(PeersBase):
    """Answers other processes' comparisons and questions of status."""

    spread: Spread
    status: Callable[[pb.StatusRequest], pb.StatusReply]

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:
        """Take in what the asker has newer; answer with what it lacks."""
        req = await stream.recv_message()
        if req.entries:
            self.spread.merge(assignments_from(req.entries))
        await stream.send_message(self._reply(req))

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Answer with this process's present status."""
        req = await stream.recv_message()
        await stream.send_message(self.status(req))

    def _reply(self, req: pb.SyncRequest) -> pb.SyncReply:
        state = self.spread.state
        if not self.spread.heard or req.state_hash == state.state_hash():
            missing = []
        elif req.sequence < state.sequence:
            missing = state.above(req.sequence)
        else:
            # Same place in the order and yet another state: something pushed got
            # lost on one side, so the whole state goes over.
            missing = state.assignments()
        return pb.SyncReply(
            sequence=state.sequence,
            state_hash=state.state_hash(),
            entries=entries_from(missing),
            heard=self.spread.heard,
        )
