"""Gossip of declarations between processes, with or without the store."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable

from attrs import define, field
from grpclib.server import Stream
from wasabideck_policy.declarations import CONFIGURATION, Declaration, Declarations
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.rendezvous import rank_vms
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.crashes import crashes_to_messages, merge_crashes
from wasabideck_wire.inner_grpc import PeersBase, PeersStub

from .channels import CALL_FAILURES, Channels
from .compression import MalformedContent
from .events import Events, round_finite
from .gossip_messages import (
    AGE,
    COMPRESSED,
    DECLARED,
    FOLLOWS,
    TABLE,
    DeclarationAges,
    ReaderReply,
    age_entries,
    complete_entry,
    declaration_entry,
    declaration_of,
    declared_between,
    position_entry,
    position_of,
    row_entry,
    rows_of,
    staleness_of,
)
from .part_gossip import PartGossip
from .table_watch import TablePosition, TableWatch

__all__ = ["Gossip", "GossipService"]

SYNC_TIMEOUT_SECONDS = 0.7
# Timeout for the first reply to a process that has no declarations yet: a complete
# configuration may have 300 KB, and takes seconds over a link that is shared with all
# other processes that start at the same time.
FIRST_SYNC_TIMEOUT_SECONDS = 3.0
# Interval between gossip calls, each to one peer, in normal operation and while cut off
# from the store. If half of the processes are cut off, a change has reached 99 in 100
# of them after seven calls.
GOSSIP_INTERVAL_SECONDS = 1.0
FAST_GOSSIP_INTERVAL_SECONDS = 0.2
# Ratio of calls to peers in the same region, as links between regions are slow.
LOCAL_PEER_RATIO = 0.7
# Time for which a peer that did not reply is not called again.
PEER_BACKOFF_SECONDS = 3.0
# Peers of other regions are not asked for configurations for this long after a peer of
# the region replied, as each copy would cross the region's link. Agents poll a peer of
# their region every second or two.
RECENT_LOCAL_REPLY_SECONDS = 3.0
# Number of entries per region that notify its agents of new declarations.
NOTIFYING_ENTRIES = 2
# Maximum number of requests reported per message as having crashed servers, the latest
# first: each takes 80 bytes, and every request that ran on a crashed server counts.
MAX_CRASHES_SENT = 20
# Number higher than that of any declaration: a peer that sends it receives none.
SEND_NONE = (1 << 63) - 1


@define
class Gossip:
    """A process's declarations, and their exchange with its peers.

    Attributes
    ----------
    on_newer : callable
        Called with declarations that replaced older ones, and their source.
    tables : dict of str to TableWatch
        Tables that this process watches.
    replicated_tables : frozenset of str
        Tables whose rows are sent to peers that lack them.
    peer_kind : str
        Kind of the members that are polled; empty for all.
    unwanted : set of str
        Keys of declarations of which no newer one is requested.
    ages : DeclarationAges
        Known ages of declarations.
    quarantine : Quarantine
        Requests that crashed servers, as seen by this process and its peers.
    part_gossip : PartGossip
        Prompt parts that may crash servers, and how the entries learn of them.
    position : callable
        How far this process itself follows a table; None if it does not.
    staleness : callable
        Maximum age in seconds of declarations that are missing here.
    on_complete : callable
        Called with a time up to which all declarations are known here, seconds.
    last_local_reply_at : float
        When a peer of the region last replied, seconds.
    region_may_lag : callable
        Whether peers of the region may know no more than this process does.
    """

    me: Member
    channels: Channels
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    on_newer: Callable[[list[Declaration], str], None]
    tables: dict[str, TableWatch]
    replicated_tables: frozenset[str] = frozenset()
    declarations: Declarations = field(factory=Declarations)
    members: dict[str, Member] = field(factory=dict)
    seeds: list[str] = field(factory=list)
    peer_kind: str = ""
    unwanted: set[str] = field(factory=set)
    ages: DeclarationAges = DeclarationAges()
    quarantine: Quarantine = field(factory=Quarantine)
    position: Callable[[str], TablePosition | None] = lambda table: None
    region_may_lag: Callable[[], bool] = lambda: False
    staleness: Callable[[float], float] = lambda now: float("inf")
    on_complete: Callable[[float], None] = lambda until: None
    last_reply_at: float = float("-inf")
    last_local_reply_at: float = float("-inf")
    part_gossip: PartGossip = field(init=False)
    _peer_retry_at: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the exchange of evidence against prompt parts."""
        self.part_gossip = PartGossip(
            self.events,
            self.rng,
            self._other_entries,
            self.push_suspects,
            relays=self.me.kind == ENTRY,
        )

    def merge(self, received: Iterable[Declaration], source: str) -> list[Declaration]:
        """Merge declarations, and return those that are newer than the known ones."""
        newer = self.declarations.merge(received)
        for declaration in newer:
            self.events.emit(
                "declaration.seen",
                touched=declaration.key,
                number=declaration.number,
                source=source,
                staleness=round_finite(self.staleness(self.clock())),
            )
        if newer:
            self.on_newer(newer, source)
        return newer

    async def sync_with_one(self) -> None:
        """Request newer declarations from one peer, chosen at random."""
        address = self._choose_peer(self.clock())
        if address is None:
            return
        knows_none = len(self.declarations) == 0
        timeout = FIRST_SYNC_TIMEOUT_SECONDS if knows_none else SYNC_TIMEOUT_SECONDS
        req = self._sync_request()
        skips_configuration = self._skips_configuration(address)
        if skips_configuration:
            for entry in req.entries:
                if (entry.slot, entry.scope) == (DECLARED, CONFIGURATION):
                    entry.ticket = SEND_NONE
        requested_at = self.clock()
        reply = await self._sync(address, req, timeout)
        if reply is None:
            return
        applied = self._apply_entries(reply.entries, address, requested_at)
        # Agents act on versions only.
        if applied and (self.me.kind == AGENT or not skips_configuration):
            self._adopt_staleness(reply.entries, requested_at)
        self._merge_crashes(reply)
        for entry in reply.entries:
            if entry.slot != TABLE or entry.scope not in self.tables:
                continue
            if applied and not skips_configuration:
                self._begin_after(entry)
            self.tables[entry.scope].note_newer_row(entry.ticket)
        for table in self.replicated_tables:
            self.tables[table].merge_rows(rows_of(table, reply.entries))

    def _begin_after(self, entry: pb.Entry) -> None:
        """Have a table whose declarations a peer sent begin with what follows them."""
        if entry.scope not in self.replicated_tables:
            self.tables[entry.scope].begin_after(entry.ticket)

    async def poll_reader(self, address: str, table: str) -> ReaderReply | None:
        """Ask a nearby entry whether it follows a table, and for anything newer.

        Returns
        -------
        reply : ReaderReply or None
            None if the entry did not reply.
        """
        req = self._sync_request([table])
        req.entries.append(pb.Entry(scope=table, slot=FOLLOWS))
        req.ClearField("quarantined")
        req.ClearField("suspect_parts")
        requested_at = self.clock()
        reply = await self._sync(address, req, SYNC_TIMEOUT_SECONDS)
        if reply is None:
            return None
        readable = self._apply_entries(reply.entries, address, requested_at)
        complete = readable and not self.unwanted
        if complete:
            self._adopt_staleness(reply.entries, requested_at)
        versions = [
            e.ticket for e in reply.entries if (e.slot, e.scope) == (TABLE, table)
        ]
        position = position_of(table, reply.entries)
        return ReaderReply(position, max(versions, default=0), complete)

    async def _sync(
        self, address: str, req: pb.SyncRequest, timeout: float
    ) -> pb.SyncReply | None:
        channel = self.channels.get(address)
        try:
            reply = await PeersStub(channel).Sync(req, timeout=timeout)
        except CALL_FAILURES as exc:
            self.channels.close_channel(address, channel)
            self._peer_retry_at[address] = self.clock() + PEER_BACKOFF_SECONDS
            self.events.emit("peer.silent", peer=address, why=type(exc).__name__)
            return None
        if reply.heard:
            self.last_reply_at = self.clock()
            if self._region_of(address) == self.me.region:
                self.last_local_reply_at = self.last_reply_at
        return reply

    def _adopt_staleness(
        self, entries: Iterable[pb.Entry], requested_at: float
    ) -> None:
        """Record up to when all is known here, after all that a peer has was merged.

        The peer knew its staleness when it replied, which was after the request.
        """
        staleness = staleness_of(entries)
        if staleness is not None:
            self.on_complete(requested_at - staleness)

    def _skips_configuration(self, address: str) -> bool:
        """Whether a remote peer is asked for everything but the configuration."""
        if self._region_of(address) == self.me.region or self.region_may_lag():
            return False
        return self.clock() - self.last_local_reply_at < RECENT_LOCAL_REPLY_SECONDS

    def _region_of(self, address: str) -> str | None:
        regions = (m.region for m in self.members.values() if m.address == address)
        return next(regions, None)

    async def notify_agents(self, declarations: list[Declaration]) -> None:
        """Notify the agents of the region of declarations received here first.

        Only the highest-ranked entries do so: an agent receives a declaration about
        twice, even if one of these entries is cut off, and not once from every entry.
        """
        members = [m for m in self.members.values() if m.region == self.me.region]
        entries = {m.vm for m in members if m.kind == ENTRY} | {self.me.vm}
        if self.me.vm not in rank_vms(self.me.region, entries)[:NOTIFYING_ENTRIES]:
            return
        agents = [m.address for m in members if m.kind == AGENT]
        await self.push(declarations, agents)

    async def push(
        self, declarations: list[Declaration], addresses: Iterable[str]
    ) -> None:
        """Send declarations to peers without requesting any in return."""
        unsent = self.declarations.numbers().keys() - {d.key for d in declarations}
        entries = self._declaration_entries(declarations) + _request_none(unsent)
        await self._sync_all(pb.SyncRequest(vm=self.me.vm, entries=entries), addresses)

    async def push_suspects(
        self, suspects: list[pb.SuspectPart], addresses: Iterable[str]
    ) -> None:
        """Send evidence against prompt parts to peers."""
        entries = _request_none(self.declarations.numbers())
        req = pb.SyncRequest(vm=self.me.vm, entries=entries, suspect_parts=suspects)
        await self._sync_all(req, addresses)

    async def _sync_all(self, req: pb.SyncRequest, addresses: Iterable[str]) -> None:
        await asyncio.gather(*(self._send(req, address) for address in addresses))

    async def _send(self, req: pb.SyncRequest, address: str) -> None:
        reply = await self._sync(address, req, SYNC_TIMEOUT_SECONDS)
        if reply is not None:
            # It has what this process missed while it was cut off.
            self._merge_crashes(reply)

    def handle_sync(self, req: pb.SyncRequest) -> pb.SyncReply:
        """Return a reply with everything that a peer lacks and this process knows."""
        peer_numbers = {
            e.scope: e.ticket for e in req.entries if e.slot in (DECLARED, COMPRESSED)
        }
        self._apply_entries(req.entries, req.vm)
        self._merge_crashes(req)
        newer = self.declarations.newer_than(peer_numbers)
        entries = self._declaration_entries(newer)
        sent_keys = {declaration.key for declaration in newer}
        entries += self._unexpired_age_entries(peer_numbers.keys() - sent_keys)
        peer = self.members.get(req.vm)
        is_local = peer is not None and peer.region == self.me.region
        for entry in req.entries:
            watch = self.tables.get(entry.scope) if entry.slot == TABLE else None
            if watch is None:
                continue
            if (
                watch.version >= 0
                and is_local
                and entry.scope not in self.replicated_tables
            ):
                watch.note_newer_row(entry.ticket)
            if watch.newest <= entry.ticket:
                continue
            entries.append(pb.Entry(scope=entry.scope, slot=TABLE, ticket=watch.newest))
            if entry.scope in self.replicated_tables:
                entries += [
                    row_entry(row) for row in watch.rows_newer_than(entry.ticket)
                ]
        entries += self._complete_entries()
        polled_tables = [e.scope for e in req.entries if e.slot == FOLLOWS]
        for table in polled_tables:
            if (position := self.position(table)) is not None:
                entries.append(position_entry(table, position))
        return pb.SyncReply(
            entries=entries,
            heard=len(self.declarations) > 0,
            # Peers that poll a region reader do so several times a second.
            quarantined=[] if polled_tables else self._recent_crashes(),
            suspect_parts=[]
            if polled_tables
            else self.part_gossip.reply_messages(req.suspect_parts),
        )

    def _apply_entries(
        self,
        entries: Iterable[pb.Entry],
        source: str,
        requested_at: float | None = None,
    ) -> bool:
        """Apply a peer's entries; return whether all of them were readable.

        Ages in a reply were told after ``requested_at``. Those in a peer's own request
        (None) count from its arrival: the request's transit time is unknown, and their
        versions may be that much older.
        """
        now = self.clock()
        told_from = now if requested_at is None else requested_at
        declarations, complete = [], True
        for entry in entries:
            try:
                declaration = declaration_of(entry)
            except MalformedContent as exc:
                self.events.emit("content.unreadable", source=source, why=str(exc))
                complete = False
                continue
            if declaration is not None:
                declarations.append(declaration)
        newer = self.merge(declarations, source)
        reported = [entry for entry in entries if entry.slot == AGE]
        for entry in reported:
            earliest, latest = declared_between(entry, told_from, now)
            self.ages.on_age(
                entry.scope, entry.ticket, earliest, latest, requested_at is None
            )
        with_age = {(entry.scope, entry.ticket) for entry in reported}
        for declaration in newer:
            if (declaration.key, declaration.number) not in with_age:
                self.ages.on_missing_age(declaration.key, declaration.number)
        return complete

    def _recent_crashes(self) -> list[pb.Quarantined]:
        crashes = crashes_to_messages(self.quarantine, self.events.wall())
        return sorted(crashes, key=lambda crash: crash.until)[-MAX_CRASHES_SENT:]

    def _merge_crashes(self, message: pb.SyncRequest | pb.SyncReply) -> None:
        merge_crashes(self.quarantine, message.quarantined, self.events.wall())
        self.part_gossip.merge(message.suspect_parts, "peer")

    def _sync_request(self, tables: Iterable[str] | None = None) -> pb.SyncRequest:
        numbers = self.declarations.numbers()
        entries = [
            pb.Entry(
                scope=key,
                slot=DECLARED,
                ticket=self._known_number(key, number),
            )
            for key, number in numbers.items()
        ]
        entries += self._unexpired_age_entries(numbers)
        entries += [
            pb.Entry(scope=table, slot=TABLE, ticket=self.tables[table].newest)
            for table in (self.tables if tables is None else tables)
        ]
        return pb.SyncRequest(
            vm=self.me.vm,
            entries=entries,
            quarantined=self._recent_crashes(),
            suspect_parts=self.part_gossip.poll_messages(),
        )

    def _known_number(self, key: str, number: int) -> int:
        """Return the number to send to a peer as the newest known one of a key."""
        if key in self.unwanted:
            return SEND_NONE
        # With a lower number, the peer sends the newest declaration again, with its
        # age.
        return number - 1 if self.ages.is_uncertain(key) else number

    def _declaration_entries(
        self, declarations: Iterable[Declaration]
    ) -> list[pb.Entry]:
        """Return entries for declarations, and for their ages where known."""
        entries = []
        for declaration in declarations:
            key = declaration.key
            entries.append(declaration_entry(declaration))
            entries += age_entries(key, self.ages.known(key), self.ages.errors(key))
        return entries

    def _unexpired_age_entries(self, keys: Iterable[str]) -> list[pb.Entry]:
        """Return age entries of unexpired versions, also for peers that have them.

        A process that received a version late, or that was suspended meanwhile,
        underestimates its age and has no other way to correct it.
        """
        ages = self.ages
        return [
            entry
            for key in keys
            for entry in age_entries(key, ages.unexpired(key), ages.errors(key))
        ]

    def _complete_entries(self) -> list[pb.Entry]:
        """Return the entry that reports this process's staleness, if it is known.

        Agents report none: they accept a configuration only now and then.
        """
        staleness = self.staleness(self.clock())
        if self.me.kind != ENTRY or not math.isfinite(staleness):
            return []
        return [complete_entry(max(0.0, staleness))]

    def _other_entries(self) -> list[str]:
        return [
            m.address
            for m in self.members.values()
            if m.kind == ENTRY and m.vm != self.me.vm
        ]

    def _choose_peer(self, now: float) -> str | None:
        others = [
            m
            for m in self.members.values()
            if m.vm != self.me.vm and self.peer_kind in ("", m.kind)
        ]
        available = [m for m in others if self._may_call(m.address, now)]
        if not available:
            # No known peer replies: the seeds may know the current members.
            seeds = [a for a in self.seeds if self._may_call(a, now)]
            return self.rng.choice(seeds) if seeds else None
        local = [m for m in available if m.region == self.me.region]
        if local and self.rng.random() < LOCAL_PEER_RATIO:
            available = local
        return self.rng.choice(sorted(available, key=lambda m: m.vm)).address

    def _may_call(self, address: str, now: float) -> bool:
        return self._peer_retry_at.get(address, 0.0) <= now


def _request_none(keys: Iterable[str]) -> list[pb.Entry]:
    """Return entries upon which a peer sends no declarations of these keys."""
    return [pb.Entry(scope=key, slot=DECLARED, ticket=SEND_NONE) for key in keys]


@define
class GossipService(PeersBase):
    """Serves peers that request newer declarations."""

    gossip: Gossip

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:
        """Send a peer what it lacks."""
        req = await stream.recv_message()
        await stream.send_message(self.gossip.handle_sync(req))

    async def Status(self, stream: Stream) -> None:
        """Reply with the VM name only: agents of this deployment serve no requests."""
        await stream.send_message(pb.StatusReply(vm=self.gossip.me.vm))

    async def Watch(self, stream: Stream) -> None:
        """Send the same reply as ``Status``, once."""
        await stream.recv_message()
        await stream.send_message(pb.StatusReply(vm=self.gossip.me.vm))
