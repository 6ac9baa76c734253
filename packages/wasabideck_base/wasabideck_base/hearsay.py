"""Declarations that processes tell each other, with or without the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from attrs import define, field
from grpclib.server import Stream
from wasabideck_policy.declarations import CONFIGURATION, Declaration, Declarations
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.rendezvous import rank
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.crashes import crashes_from, crashes_to
from wasabideck_wire.inner_grpc import PeersBase, PeersStub

from .channels import LINK_FAILURES, Channels
from .events import Events
from .packing import MalformedContent
from .table_watch import Followed, TableWatch
from .told import (
    DECLARED,
    FOLLOWS,
    NAMED,
    PACKED,
    TABLE,
    Ages,
    Heard,
    age_entries,
    declaration_entry,
    declaration_of,
    followed_entry,
    followed_of,
    row_entry,
    rows_of,
)

__all__ = ["Hearsay", "HearsayService"]

CALL_SECONDS = 0.7
# A whole configuration may be 300 KB, and takes seconds over a link that all others
# that start use as well: who has none gives an answer so long (seconds).
FIRST_CALL_SECONDS = 3.0
# A process asks one peer so often: with every second process cut off from the store
# a change is with 99 in 100 of the others after seven asks (seconds).
CALM_SECONDS = 1.0
CUT_OFF_SECONDS = 0.2
# Peers in the same region are asked so often, as the links between regions are thin.
NEAR_PART = 0.7
# A peer that gave no answer is not asked again for so long (seconds).
SET_BACK_SECONDS = 3.0
# While a peer of the region has answered in so long, peers of others are not asked for
# configurations, which would cross the region's link once for each that asks: agents
# ask one near by in a second or two (seconds).
NEAR_HEARD_SECONDS = 3.0
# Entries of a region that tell its agents of what they have just heard.
TELLERS = 2
# Requests that crashed a server are told of, the latest ones first, up to so many: 80
# bytes each, and whatever ran on the server is among them.
MOST_CRASHES_TOLD = 20
# A number that no declaration reaches: whoever names it is sent nothing.
ENOUGH = (1 << 63) - 1


@define
class Hearsay:
    """A process's declarations, and how it hears newer ones from its peers.

    Attributes
    ----------
    changed : callable
        Given declarations that replaced what was known.
    tables : dict of str to TableWatch
        The tables that are followed here.
    told : frozenset of str
        Tables whose rows are told to peers that lack them.
    asked : str
        Kind of the members that are asked; empty for all.
    lacks : set of str
        Keys of declarations of which nothing newer is wanted here.
    ages : Ages
        When things were declared, as far as is known here.
    quarantine : Quarantine
        Requests that crashed servers, as this process and its peers saw it.
    following : callable
        How far this process itself follows a table; None if it does not.
    near_heard_at : float
        When a peer of the region last answered, seconds.
    alone : callable
        Whether peers of the region may know no more than this process does.
    """

    me: Member
    channels: Channels
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    changed: Callable[[list[Declaration], str], None]
    tables: dict[str, TableWatch]
    told: frozenset[str] = frozenset()
    declarations: Declarations = field(factory=Declarations)
    members: dict[str, Member] = field(factory=dict)
    seeds: list[str] = field(factory=list)
    asked: str = ""
    lacks: set[str] = field(factory=set)
    ages: Ages = Ages()
    quarantine: Quarantine = field(factory=Quarantine)
    following: Callable[[str], Followed | None] = lambda table: None
    alone: Callable[[], bool] = lambda: False
    heard_at: float = float("-inf")
    near_heard_at: float = float("-inf")
    _set_back: dict[str, float] = field(factory=dict)

    def merge(self, found: Iterable[Declaration], source: str) -> list[Declaration]:
        """Take declarations in, and tell of those that are newer."""
        newer = self.declarations.merge(found)
        for declaration in newer:
            self.events.emit(
                "declaration.seen",
                touched=declaration.key,
                number=declaration.number,
                source=source,
            )
        if newer:
            self.changed(newer, source)
        return newer

    async def ask_one(self) -> None:
        """Ask one peer, drawn at random, for what it knows that is newer."""
        address = self._draw(self.clock())
        if address is None:
            return
        first = len(self.declarations) == 0
        limit = FIRST_CALL_SECONDS if first else CALL_SECONDS
        req = self._question()
        if self._spares(address):
            for entry in req.entries:
                if (entry.slot, entry.scope) == (DECLARED, CONFIGURATION):
                    entry.ticket = ENOUGH
        reply = await self._call(address, req, limit)
        if reply is None:
            return
        self._hear(reply.entries, address)
        self._hear_crashes(reply.quarantined)
        for entry in reply.entries:
            if entry.slot == TABLE and entry.scope in self.tables:
                self.tables[entry.scope].behind(entry.ticket)
        for table in self.told:
            self.tables[table].hear(rows_of(table, reply.entries))

    async def ask_reader(self, address: str, table: str) -> Heard | None:
        """Ask an entry near by whether it follows a table, and for what is newer.

        Returns
        -------
        heard : Heard or None
            None if it gave no answer.
        """
        req = self._question([table])
        req.entries.append(pb.Entry(scope=table, slot=FOLLOWS))
        req.ClearField("quarantined")
        reply = await self._call(address, req, CALL_SECONDS)
        if reply is None:
            return None
        whole = self._hear(reply.entries, address) and not self.lacks
        known = [e.ticket for e in reply.entries if (e.slot, e.scope) == (TABLE, table)]
        followed = followed_of(table, reply.entries)
        return Heard(followed, max(known, default=0), whole)

    async def _call(
        self, address: str, req: pb.SyncRequest, limit: float
    ) -> pb.SyncReply | None:
        channel = self.channels.get(address)
        try:
            reply = await PeersStub(channel).Sync(req, timeout=limit)
        except LINK_FAILURES as exc:
            self.channels.drop(address, channel)
            self._set_back[address] = self.clock() + SET_BACK_SECONDS
            self.events.emit("peer.silent", peer=address, why=type(exc).__name__)
            return None
        if reply.heard:
            self.heard_at = self.clock()
            if self._region_of(address) == self.me.region:
                self.near_heard_at = self.heard_at
        return reply

    def _spares(self, address: str) -> bool:
        """Whether a peer far off is asked for all but the configuration."""
        if self._region_of(address) == self.me.region or self.alone():
            return False
        return self.clock() - self.near_heard_at < NEAR_HEARD_SECONDS

    def _region_of(self, address: str) -> str | None:
        found = (m.region for m in self.members.values() if m.address == address)
        return next(found, None)

    async def tell(self, declarations: list[Declaration]) -> None:
        """Tell the agents near by at once of what was heard first here.

        Only the first few entries in rank do: each agent hears it twice or so, also
        when one of them is cut off, and not from every entry.
        """
        members = [m for m in self.members.values() if m.region == self.me.region]
        entries = {m.vm for m in members if m.kind == ENTRY} | {self.me.vm}
        if self.me.vm not in rank(self.me.region, entries)[:TELLERS]:
            return
        agents = [m.address for m in members if m.kind == AGENT]
        await self.push(declarations, agents)

    async def push(
        self, declarations: list[Declaration], addresses: Iterable[str]
    ) -> None:
        """Tell peers of declarations, and want nothing else in return."""
        others = self.declarations.numbers().keys() - {d.key for d in declarations}
        entries = self._entries(declarations)
        entries += [pb.Entry(scope=k, slot=DECLARED, ticket=ENOUGH) for k in others]
        req = pb.SyncRequest(vm=self.me.vm, entries=entries)
        calls = (self._call(address, req, CALL_SECONDS) for address in addresses)
        await asyncio.gather(*calls)

    def answer(self, req: pb.SyncRequest) -> pb.SyncReply:
        """What a peer lacks of what is known here."""
        theirs = {
            e.scope: e.ticket for e in req.entries if e.slot in (DECLARED, PACKED)
        }
        self._hear(req.entries, req.vm)
        self._hear_crashes(req.quarantined)
        newer = self.declarations.newer_than(theirs)
        entries = self._entries(newer)
        told = {declaration.key for declaration in newer}
        entries += self._running_ages(theirs.keys() - told)
        asker = self.members.get(req.vm)
        near = asker is not None and asker.region == self.me.region
        for entry in req.entries:
            watch = self.tables.get(entry.scope) if entry.slot == TABLE else None
            if watch is None:
                continue
            if watch.version >= 0 and near and entry.scope not in self.told:
                watch.behind(entry.ticket)
            if watch.newest <= entry.ticket:
                continue
            entries.append(pb.Entry(scope=entry.scope, slot=TABLE, ticket=watch.newest))
            if entry.scope in self.told:
                entries += [row_entry(row) for row in watch.above(entry.ticket)]
        asked = [e.scope for e in req.entries if e.slot == FOLLOWS]
        for table in asked:
            if (followed := self.following(table)) is not None:
                entries.append(followed_entry(table, followed))
        return pb.SyncReply(
            entries=entries,
            heard=len(self.declarations) > 0,
            # Who asks for this word does so a few times a second.
            quarantined=[] if asked else self._crashes(),
        )

    def _hear(self, entries: Iterable[pb.Entry], source: str) -> bool:
        """Take in what a peer tells; whether all of it could be read."""
        found, whole = [], True
        for entry in entries:
            try:
                declaration = declaration_of(entry)
            except MalformedContent as exc:
                self.events.emit("content.unreadable", source=source, why=str(exc))
                whole = False
                continue
            if declaration is not None:
                found.append(declaration)
        newer = self.merge(found, source)
        named = [entry for entry in entries if entry.slot == NAMED]
        for entry in named:
            self.ages.heard(entry.scope, entry.ticket, entry.age_ms / 1000)
        dated = {(entry.scope, entry.ticket) for entry in named}
        for declaration in newer:
            if (declaration.key, declaration.number) not in dated:
                self.ages.untold(declaration.key, declaration.number)
        return whole

    def _crashes(self) -> list[pb.Quarantined]:
        told = crashes_to(self.quarantine, self.events.wall())
        return sorted(told, key=lambda crash: crash.until)[-MOST_CRASHES_TOLD:]

    def _hear_crashes(self, told: Iterable[pb.Quarantined]) -> None:
        crashes_from(self.quarantine, told, self.events.wall())

    def _question(self, tables: Iterable[str] | None = None) -> pb.SyncRequest:
        numbers = self.declarations.numbers()
        entries = [
            pb.Entry(
                scope=key,
                slot=DECLARED,
                ticket=self._asked_from(key, number),
            )
            for key, number in numbers.items()
        ]
        entries += self._running_ages(numbers)
        entries += [
            pb.Entry(scope=table, slot=TABLE, ticket=self.tables[table].newest)
            for table in (self.tables if tables is None else tables)
        ]
        return pb.SyncRequest(
            vm=self.me.vm, entries=entries, quarantined=self._crashes()
        )

    def _asked_from(self, key: str, number: int) -> int:
        """The number that a peer is told is known here."""
        if key in self.lacks:
            return ENOUGH
        # Without the newest one it tells that once more, and since when it holds.
        return number - 1 if self.ages.unsure(key) else number

    def _entries(self, declarations: Iterable[Declaration]) -> list[pb.Entry]:
        """Declarations, and since when they hold where that is known."""
        entries = []
        for declaration in declarations:
            key = declaration.key
            entries.append(declaration_entry(declaration))
            entries += age_entries(key, self.ages.of(key))
        return entries

    def _running_ages(self, keys: Iterable[str]) -> list[pb.Entry]:
        """Ages, while a version's time is not over, also for who lacks no declaration.

        Whoever heard late, or stood still meanwhile, takes a version for younger than
        it is, and has no other way to know.
        """
        return [e for key in keys for e in age_entries(key, self.ages.running(key))]

    def _draw(self, now: float) -> str | None:
        others = [
            m
            for m in self.members.values()
            if m.vm != self.me.vm and self.asked in ("", m.kind)
        ]
        known = {m.address for m in others}
        open_ones = [a for a in known if self._set_back.get(a, 0.0) <= now]
        if not open_ones:
            # Nobody known answers: the seeds may know who is there.
            seeds = [a for a in self.seeds if self._set_back.get(a, 0.0) <= now]
            return self.rng.choice(seeds) if seeds else None
        near = {m.address for m in others if m.region == self.me.region}
        close = [a for a in open_ones if a in near]
        if close and self.rng.random() < NEAR_PART:
            return self.rng.choice(sorted(close))
        return self.rng.choice(sorted(open_ones))


@define
class HearsayService(PeersBase):
    """Answers peers that ask for newer declarations."""

    hearsay: Hearsay

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncReply]) -> None:
        """Tell a peer what it lacks."""
        req = await stream.recv_message()
        await stream.send_message(self.hearsay.answer(req))

    async def Status(self, stream: Stream) -> None:
        """Nothing here: agents of this deployment serve no requests."""
        await stream.send_message(pb.StatusReply(vm=self.hearsay.me.vm))

    async def Watch(self, stream: Stream) -> None:
        """As ``Status``, once."""
        await stream.recv_message()
        await stream.send_message(pb.StatusReply(vm=self.hearsay.me.vm))
