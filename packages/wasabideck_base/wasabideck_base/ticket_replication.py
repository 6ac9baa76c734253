"""Replication of the ticket state from the table to and between processes."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterable

from attrs import define, field
from grpclib.client import Channel
from grpclib.server import Stream
from wasabideck_policy.membership import StartupKnowledge
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.tickets import Assignment, TicketState
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import assignments_from_entries, assignments_to_entries
from wasabideck_wire.crashes import crashes_to_messages, merge_crashes
from wasabideck_wire.inner_grpc import PeersBase, PeersStub

from .events import Events
from .table import Table
from .ticket_store import read_changes, read_head

__all__ = ["PeersService", "TicketReplication"]

SYNC_TIMEOUT_SECONDS = 1.0
SYNC_PEER_EXPIRY_SECONDS = 5.0
MAX_HEAD_AGE_SECONDS = 1e6
MIN_WATCH_INTERVAL_SECONDS = 0.1


@define
class TicketReplication:
    """A process's replica of the ticket state, and the subscribers to its changes.

    Invariant: if ``state.sequence`` is S, every change that was accepted up to S is
    merged. A pushed change is merged without increasing S, since this process may
    still lack earlier changes.

    Attributes
    ----------
    head_known_at : float
        Monotonic time. Every change that was accepted before it is merged.
    """

    vm: str
    events: Events
    state: TicketState = field(factory=TicketState)
    head_known_at: float = float("-inf")
    clock: Callable[[], float] = time.monotonic
    quarantine: Quarantine = field(factory=Quarantine)
    _startup_knowledge: StartupKnowledge = field(factory=StartupKnowledge)
    _change_events: list[asyncio.Event] = field(factory=list)
    _listeners: list[Callable[[list[Assignment]], None]] = field(factory=list)

    @property
    def ready(self) -> bool:
        """Whether enough state was received; until then nothing may be served."""
        return self._startup_knowledge.sufficient

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set whenever the state changes."""
        changed = asyncio.Event()
        self._change_events.append(changed)
        return changed

    def add_listener(self, listener: Callable[[list[Assignment]], None]) -> None:
        """Call a function with each list of changes that is merged from now on."""
        self._listeners.append(listener)

    def merge(self, assignments: Iterable[Assignment], sequence: int = 0) -> bool:
        """Merge changes, and notify the subscribers if any of them is newer."""
        newer = self.state.merge(assignments, sequence)
        if newer:
            newest = max(a.ticket for a in newer)
            self.events.emit("ticket.seen", ticket=newest, sequence=sequence)
            for listener in self._listeners:
                listener(newer)
            self._notify_subscribers()
        return bool(newer)

    async def poll(self, table: Table) -> None:
        """Read the head row, and the changes accepted since the last read."""
        started_at = self.clock()
        head = await read_head(table)
        if head.newest > self.state.sequence:
            changes = await read_changes(table, self.state.sequence)
            # The new sequence is that of the rows and not that of the head: a scan
            # may lag behind the head, and with the head's sequence the changes that
            # it did not return yet would never be read.
            self.merge(changes, max((a.sequence for a in changes), default=0))
        if self.state.sequence >= head.newest:
            self._record_known_head(self.vm, started_at, 1)

    async def sync(self, vm: str, channel: Channel, entry_count: int) -> None:
        """Compare the state with another process, and merge what is newer there.

        ``entry_count`` is the number of entries that this process can query.
        """
        started_at = self.clock()
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
            quarantined=self.crash_messages(),
        )
        reply = await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT_SECONDS)
        self.merge_crashes(reply.quarantined)
        if reply.heard:
            self.merge(assignments_from_entries(reply.entries), reply.sequence)
            self._record_known_head(
                vm, started_at - reply.head_age_ms / 1000, entry_count
            )

    def crash_messages(self) -> list[pb.Quarantined]:
        """Return messages with all crashes that have not expired."""
        return crashes_to_messages(self.quarantine, self.events.wall())

    def merge_crashes(self, messages: Iterable[pb.Quarantined]) -> None:
        """Merge the crashes that another process reports."""
        merge_crashes(self.quarantine, messages, self.events.wall())

    async def push(self, channel: Channel, changes: Iterable[Assignment]) -> None:
        """Send changes to another process."""
        req = pb.SyncRequest(
            vm=self.vm,
            sequence=self.state.sequence,
            state_hash=self.state.state_hash(),
            entries=assignments_to_entries(changes),
        )
        await PeersStub(channel).Sync(req, timeout=SYNC_TIMEOUT_SECONDS)

    def head_age(self) -> float:
        """Return the seconds since this state was known to be equal to the table's."""
        return self.clock() - self.head_known_at

    def _record_known_head(
        self, vm: str, head_known_at: float, entry_count: int
    ) -> None:
        self.head_known_at = max(self.head_known_at, head_known_at)
        was_insufficient = not self._startup_knowledge.sufficient
        if (
            self._startup_knowledge.record_peer_state(
                vm, self.clock() - head_known_at, entry_count
            )
            and was_insufficient
        ):
            self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        for event in self._change_events:
            event.set()


@define
class PeersService(PeersBase):
    """gRPC service that compares ticket states and reports this process's status."""

    replication: TicketReplication
    status: Callable[[pb.StatusRequest], pb.StatusReply]
    synced_at: dict[str, float] = field(factory=dict)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def notify_watchers(self) -> None:
        """Send the status to all watchers now, instead of at their next interval."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def recent_sync_vms(self) -> set[str]:
        """Return the VMs that recently compared their state with this one."""
        limit = self.replication.clock() - SYNC_PEER_EXPIRY_SECONDS
        self.synced_at = {vm: at for vm, at in self.synced_at.items() if at > limit}
        return set(self.synced_at)

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:
        """Merge what is newer at the caller; return the changes that it lacks."""
        req = await stream.recv_message()
        self.synced_at[req.vm] = self.replication.clock()
        if req.entries:
            self.replication.merge(assignments_from_entries(req.entries))
        self.replication.merge_crashes(req.quarantined)
        await stream.send_message(self._reply(req))

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Return this process's current status."""
        req = await stream.recv_message()
        await stream.send_message(self.status(req))

    async def Watch(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Send the status periodically and on each change until the caller cancels."""
        req = await stream.recv_message()
        interval = max(req.pause_ms / 1000, MIN_WATCH_INTERVAL_SECONDS)
        while True:
            changed = self._changed
            reply = self.status(req)
            await stream.send_message(reply)
            req.cache_changes = reply.cache_changes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval):
                    await changed.wait()

    def _reply(self, req: pb.SyncRequest) -> pb.SyncReply:
        state = self.replication.state
        equal = req.state_hash == state.state_hash()
        missing = [] if equal else state.accepted_after(req.sequence)
        if not equal and not missing and req.sequence == state.sequence:
            # The invariant of ``TicketReplication`` excludes this case. If it occurs,
            # the whole state is sent.
            missing = state.assignments()
        return pb.SyncReply(
            sequence=state.sequence,
            state_hash=state.state_hash(),
            entries=assignments_to_entries(missing if self.replication.ready else []),
            heard=self.replication.ready,
            quarantined=self.replication.crash_messages(),
            head_age_ms=int(
                min(self.replication.head_age(), MAX_HEAD_AGE_SECONDS) * 1000
            ),
        )
