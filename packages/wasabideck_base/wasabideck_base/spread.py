"""Spread of ticket state between processes, and from the table to them."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable

from attrs import define, field
from grpclib.client import Channel
from grpclib.server import Stream
from wasabideck_policy.membership import Heard
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.tickets import Assignment, TicketState
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import assignments_from, entries_from
from wasabideck_wire.crashes import crashes_from, crashes_to
from wasabideck_wire.inner_grpc import PeersBase, PeersStub

from .events import Events
from .table import Table
from .ticket_store import read_changes, read_head

__all__ = ["PeersService", "Spread"]

SYNC_TIMEOUT = 1.0
WATCHER_SECONDS = 5.0
OLDEST_SECONDS = 1e6
SHORTEST_PAUSE = 0.1


@define
class Spread:
    """A process's ticket state, and whoever waits for it to change.

    Of a process whose ``state.sequence`` is S it holds: everything that was accepted
    up to S is merged in. Pushed changes are merged without moving S, since earlier
    ones may be missing still.

    Attributes
    ----------
    head_at : float
        Time before which everything accepted is known here.
    """

    vm: str
    events: Events
    state: TicketState = field(factory=TicketState)
    head_at: float = float("-inf")
    clock: Callable[[], float] = time.monotonic
    quarantine: Quarantine = field(factory=Quarantine)
    _heard: Heard = field(factory=Heard)
    _waiters: list[asyncio.Event] = field(factory=list)
    _listeners: list[Callable[[list[Assignment]], None]] = field(factory=list)

    @property
    def heard(self) -> bool:
        """Whether enough was heard; before that nothing may be served."""
        return self._heard.done

    def subscribe(self) -> asyncio.Event:
        """An event that is set whenever the state changes."""
        changed = asyncio.Event()
        self._waiters.append(changed)
        return changed

    def listen(self, listener: Callable[[list[Assignment]], None]) -> None:
        """Call a listener with all that becomes known from now on."""
        self._listeners.append(listener)

    def merge(self, assignments: Iterable[Assignment], sequence: int = 0) -> bool:
        """Take changes in, and wake whoever waits if any of them is newer."""
        newer = self.state.merge(assignments, sequence)
        if newer:
            newest = max(a.ticket for a in newer)
            self.events.emit("ticket.seen", ticket=newest, sequence=sequence)
            for listener in self._listeners:
                listener(newer)
            self._wake()
        return bool(newer)

    async def poll(self, table: Table) -> None:
        """Read the head row, and what was accepted since."""
        begun = self.clock()
        head = await read_head(table)
        if head.newest > self.state.sequence:
            changes = await read_changes(table, self.state.sequence)
            # The rows' own sequence counts, not the head's: a scan that lags
            # behind the head would else leave out what it has not shown, for good.
            self.merge(changes, max((a.sequence for a in changes), default=0))
        if self.state.sequence >= head.newest:
            self._heard_from(self.vm, begun, 1)

    async def sync(self, vm: str, channel: Channel, listed: int) -> None:
        """Compare with another process, and take in what it has newer.

        ``listed`` is the number of entries that could be asked.
        """
        begun = self.clock()
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
            quarantined=self.crashes(),
        )
        reply = await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT)
        self.hear_crashes(reply.quarantined)
        if reply.heard:
            self.merge(assignments_from(reply.entries), reply.sequence)
            self._heard_from(vm, begun - reply.head_age_ms / 1000, listed)

    def crashes(self) -> list[pb.Quarantined]:
        """Messages for all crashes that count."""
        return crashes_to(self.quarantine, self.events.wall())

    def hear_crashes(self, messages: Iterable[pb.Quarantined]) -> None:
        """Take in the crashes that another process tells of."""
        crashes_from(self.quarantine, messages, self.events.wall())

    async def push(self, channel: Channel, changes: Iterable[Assignment]) -> None:
        """Tell another process of changes."""
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
            entries=entries_from(changes),
        )
        await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT)

    def head_age(self) -> float:
        """Seconds since this state was known to be the table's."""
        return self.clock() - self.head_at

    def _heard_from(self, vm: str, head_at: float, listed: int) -> None:
        self.head_at = max(self.head_at, head_at)
        first = not self._heard.done
        if self._heard.hear(vm, self.clock() - head_at, listed) and first:
            self._wake()

    def _wake(self) -> None:
        for waiter in self._waiters:
            waiter.set()


@define
class PeersService(PeersBase):
    """Answers other processes' comparisons and questions of status."""

    spread: Spread
    status: Callable[[pb.StatusRequest], pb.StatusReply]
    asked_at: dict[str, float] = field(factory=dict)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def tell(self) -> None:
        """Send the status to all who watch at once, and not at their next turn."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def watchers(self) -> set[str]:
        """VMs that compared their state with this one lately."""
        limit = self.spread.clock() - WATCHER_SECONDS
        self.asked_at = {vm: at for vm, at in self.asked_at.items() if at > limit}
        return set(self.asked_at)

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:
        """Take in what the asker has newer; answer with what it lacks."""
        req = await stream.recv_message()
        self.asked_at[req.vm] = self.spread.clock()
        if req.entries:
            self.spread.merge(assignments_from(req.entries))
        self.spread.hear_crashes(req.quarantined)
        await stream.send_message(self._reply(req))

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Answer with this process's present status."""
        req = await stream.recv_message()
        await stream.send_message(self.status(req))

    async def Watch(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Send the status again and again, until the asker goes away."""
        req = await stream.recv_message()
        pause = max(req.pause_ms / 1000, SHORTEST_PAUSE)
        while True:
            changed = self._changed
            reply = self.status(req)
            await stream.send_message(reply)
            req.cache_changes = reply.cache_changes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause):
                    await changed.wait()

    def _reply(self, req: pb.SyncRequest) -> pb.SyncReply:
        state = self.spread.state
        same = req.state_hash == state.state_hash()
        missing = [] if same else state.above(req.sequence)
        if not same and not missing and req.sequence == state.sequence:
            # By the rule of ``Spread`` this cannot be; if it is, all goes over.
            missing = state.assignments()
        return pb.SyncReply(
            sequence=state.sequence,
            state_hash=state.state_hash(),
            entries=entries_from(missing if self.spread.heard else []),
            heard=self.spread.heard,
            quarantined=self.spread.crashes(),
            head_age_ms=int(min(self.spread.head_age(), OLDEST_SECONDS) * 1000),
        )
