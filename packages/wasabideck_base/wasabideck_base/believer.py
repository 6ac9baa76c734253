"""Turns rows of the store, and what peers tell, into a process's beliefs."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine

from attrs import define, field
from wasabideck_policy.beliefs import Beliefs
from wasabideck_policy.declarations import (
    CONFIGURATION,
    Declaration,
    weights_key,
    weights_model,
)
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.readers import COVERED_SECONDS, Readers
from wasabideck_policy.rendezvous import rank
from wasabideck_policy.start_turns import read_delay

from .channels import Channels
from .deployment import Deployment
from .events import Events
from .hearsay import CALM_SECONDS, CUT_OFF_SECONDS, NEAR_HEARD_SECONDS, Hearsay
from .http_answers import PlatformRefused, PlatformUnavailable
from .member_rows import MEMBERS, MalformedMember, member_of, member_row
from .node import NodeSettings
from .region_readers import RegionReaders
from .rows import Row, RowStore
from .table_watch import BEHIND_SECONDS, LONGEST_UNHEARD, TableWatch
from .told import Ages
from .version_dates import VersionDates

__all__ = ["Believer", "members_pause"]

# The table of members is read again after these pauses: others start at the same
# time, and later ones are heard of when they ask (seconds).
MEMBERS_SOON = 1.5
MEMBERS_LATER = 15.0
# Reading it may take so many bytes a second of this process's link on average: with
# thousands of members the pauses get longer.
MEMBERS_RATE = 2500.0
MEMBER_BYTES = 200
# An agent that no entry answers for so long reads the store itself (seconds).
UNHEARD_SECONDS = 2.0
# So many agents of a region read at once where no entry tells them, the others in turn,
# and each waits so long for the others' word and for the table of members (seconds).
READING_AGENTS = 4
TOLD_WITHIN_SECONDS = 2.0
JOINING_SECONDS = 1.0
# While it reads, it looks so often whether an entry has told it (seconds).
TOLD_SECONDS = 0.1
# Reads that failed one after the other are further apart each time, up to so long
# (seconds): what a full link brings of an answer that is given up fills it for the
# others, who then give up as well.
LONGEST_APART = 8.0
# Engines' models and the origin change rarely: an agent takes a newer configuration in
# no more often than this (seconds).
CONFIGURED_SECONDS = 10.0
# Leases last three heartbeats, 3.6 s: what was shorter by far let none lapse (seconds).
OUTAGE_SECONDS = 1.0
# The pause in which more changes of the servers' list come together, as a part of the
# time in which a leaving server still serves. Where servers are added one after the
# other every entry would else ask the store for each.
SETTLE_PART = 0.25
# Word of a server that leaves takes so long, beside that pause (seconds).
HEARING_SECONDS = 0.3
# Who declarations come from when they do not come from a peer.
STORE = "store"


@define
class Believer:
    """Keeps one process's beliefs up to date.

    Attributes
    ----------
    on_version : callable
        Told of each newer named version of a model's weights.
    """

    cfg: NodeSettings
    me: Member
    deployment: Deployment
    store: RowStore
    channels: Channels
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    on_version: Callable[[str, int], None] = lambda model, number: None
    beliefs: Beliefs = field(init=False)
    hearsay: Hearsay = field(init=False)
    operators: TableWatch = field(init=False)
    servers: TableWatch = field(init=False)
    readers: RegionReaders = field(init=False)
    dates: VersionDates = field(init=False)
    _joined: asyncio.Event = field(factory=asyncio.Event)
    _telling: set[asyncio.Task] = field(factory=set)
    _read_operators: bool = False
    _configured_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Put the watches together."""
        self.beliefs = Beliefs(self.clock())
        drain = self.cfg.bounds.drain
        settle = SETTLE_PART * drain
        self.beliefs.backends.mass_seconds = max(0.0, drain - settle - HEARING_SECONDS)
        self.operators = self._watch(
            self.deployment.operators, self._took_operators, self._whole_operators
        )
        self.servers = self._watch(
            self.deployment.servers, self._took_servers, self._whole_servers
        )
        self.servers.settle = settle
        # Agents hear from entries near by what operators declare: each configuration
        # is some 40 KB, and would cross a region's thin link once for each agent.
        followed = (self.operators, self.servers) if self._is_entry else ()
        self.hearsay = Hearsay(
            self.me,
            self.channels,
            self.events,
            self.clock,
            self.rng,
            self._changed,
            {watch.table: watch for watch in followed},
            # Configurations are declarations already; servers are told as rows.
            frozenset([self.servers.table] if followed else []),
            seeds=self.cfg.inner_seeds(),
            asked="" if self._is_entry else ENTRY,
            ages=Ages(
                self._ages_of,
                self._running_ages,
                self._unsure,
                self._heard_age,
                self._untold_age,
            ),
        )
        self.readers = RegionReaders(
            Readers(self.me.vm, self.me.region),
            self.operators,
            self.hearsay,
            self.events,
            self.clock,
            self.rng,
            self.cfg.bounds.configuration,
        )
        self.dates = VersionDates(
            self.store,
            lambda model: self._ages_of(weights_key(model)),
            self._undated,
            lambda model, number, since: self._take_since(
                weights_key(model), number, since
            ),
            self._publishing_rank,
            self.clock,
            self.events,
            self.rng,
        )
        self.hearsay.following = self.readers.followed
        self.hearsay.alone = self._alone

    @property
    def _is_entry(self) -> bool:
        return self.me.kind == ENTRY

    def loops(self) -> list[Coroutine]:
        """What has to run for as long as the process does."""
        loops = [self._keep_asking(), self._keep_members(), self.dates.run_lookups()]
        if self._is_entry:
            loops.append(self.dates.run_publishing())
            return [*loops, self.readers.run(), self.servers.run()]
        return [*loops, self._keep_reading()]

    async def read_members(self) -> bool:
        """Read who is there, with a line for what cannot be read; whether it was."""
        try:
            changes = await self.store.read(MEMBERS)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.events.emit("members.unavailable", why=str(exc))
            return False
        for row in changes.rows:
            try:
                member = member_of(row)
            except MalformedMember as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            self.hearsay.members[member.vm] = member
        entries = [m for m in self.hearsay.members.values() if m.kind == ENTRY]
        near = sum(m.data_centre == self.me.data_centre for m in entries)
        self.beliefs.entries = max(1, len(entries))
        self.beliefs.near_entries = max(1, near)
        return True

    def _watch(self, table: str, took: Callable, whole: Callable) -> TableWatch:
        return TableWatch(
            self.store,
            table,
            took,
            whole,
            self._returned
            if table == self.deployment.servers
            else lambda seconds: None,
            self.clock,
            self.events,
            self.rng,
            rereads=table == self.deployment.operators,
        )

    # The operators' declarations

    def _took_operators(self, rows: list[Row]) -> None:
        found, newer = [], []
        for row in rows:
            try:
                declaration = self.deployment.declaration_of(row)
            except WasabideckError as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            if declaration is not None:
                found.append(declaration)
                if row.version > self.operators.adopted:
                    newer.append(declaration)
        newer += self.hearsay.merge(found, STORE)
        if self._tells_only_news:
            # What a reader had told before is older than this answer.
            self._date(newer)

    @property
    def _tells_only_news(self) -> bool:
        """Whether what the store tells now was named since it was last asked."""
        return self._read_operators and not self.operators.first_read_unchecked

    def _date(self, declarations: list[Declaration]) -> None:
        """Bound ages by the store's answer, also of what a peer told before it."""
        for declaration in declarations:
            if declaration.key != CONFIGURATION:
                since = min(self.clock(), self.operators.told_from)
                self._take_since(declaration.key, declaration.number, since)
                self.dates.publish(weights_model(declaration.key))
                self.dates.look_up()

    def _whole_operators(self, rows: list[Row]) -> None:
        # What the store tells from now on was declared just now.
        self._read_operators = True

    def _changed(self, newer: list[Declaration], source: str) -> None:
        # Of several that came together only the newest of a key is put in force.
        for declaration in {d.key: d for d in newer}.values():
            if declaration.key == CONFIGURATION:
                self._configure(declaration)
            else:
                self._name_version(declaration, source)
        if source == STORE and self._read_operators:
            self.readers.tell(newer)
        weights = [d for d in newer if d.key != CONFIGURATION]
        if weights and source == STORE and self._is_entry:
            task = asyncio.create_task(self.hearsay.tell(weights))
            self._telling.add(task)
            task.add_done_callback(self._telling.discard)

    def _configure(self, declaration: Declaration) -> None:
        try:
            cfg = self.deployment.read_configuration(declaration.content)
        except WasabideckError as exc:
            # The former configuration stays in force: half of one is worse.
            self.events.emit(
                "configuration.unusable", number=declaration.number, why=str(exc)
            )
            return
        self.beliefs.configuration = cfg
        self.events.emit("configuration.in-force", number=cfg.number)

    def _name_version(self, declaration: Declaration, source: str) -> None:
        model = weights_model(declaration.key)
        now = self.clock()
        since, certain = self._since(declaration, source, now)
        if not self.beliefs.name_version(
            model, declaration.number, since, certain, now
        ):
            return
        if not certain:
            number = declaration.number
            self.events.emit("version.undated", version=number, source=source)
            self.dates.look_up()
        self.on_version(model, declaration.number)

    def _since(
        self, declaration: Declaration, source: str, now: float
    ) -> tuple[float, bool]:
        """From when on a version's time counts, and whether that is when it was named.

        One that was named before this process could see it may be long due, and nobody
        may be left who knows. It counts as due until its date is found.
        """
        if source == STORE and self._tells_only_news:
            # Named in the pause after another change, or while the answer was on its
            # way, a version is older than the answer: see ``_date``.
            return now, True
        return now - self.cfg.bounds.version, False

    def _undated(self) -> list[str]:
        return self.beliefs.undated_models(self.cfg.bounds.version, self.clock())

    def _publishing_rank(self) -> int:
        """Place of this entry among those of its region that publish dates."""
        members = self.hearsay.members.values()
        near = (m for m in members if m.region == self.me.region)
        entries = {m.vm for m in near if m.kind == ENTRY}
        return rank(self.me.region, entries | {self.me.vm}).index(self.me.vm)

    def _ages_of(self, key: str) -> dict[int, float]:
        if key == CONFIGURATION:
            return {}
        within, now = self.cfg.bounds.version, self.clock()
        return self.beliefs.version_ages(weights_model(key), within, now)

    def _running_ages(self, key: str) -> dict[int, float]:
        # All or none: who is told the newest alone takes that for all there is to know.
        ages = self._ages_of(key)
        youngest = min(ages.values(), default=float("inf"))
        return ages if youngest < self.cfg.bounds.version else {}

    def _unsure(self, key: str) -> bool:
        # Later the guess is over, whoever was asked.
        young = self.clock() - self.beliefs.began < self.cfg.bounds.stable
        known = key != CONFIGURATION and self.beliefs.undated(weights_model(key))
        return young and known

    def _heard_age(self, key: str, number: int, age: float) -> None:
        """Take in a peer's word on when a version was named."""
        self._take_since(key, number, self.clock() - age)

    def _untold_age(self, key: str, number: int) -> None:
        """Date a version that a peer cannot: no reader had it a moment ago."""
        if key == CONFIGURATION or not self.readers.covered:
            return
        now = self.clock()
        since = self.operators.lacked_from(now)
        if now - since <= LONGEST_UNHEARD + COVERED_SECONDS:
            self._take_since(key, number, since)

    def _take_since(self, key: str, number: int, since: float) -> None:
        model = weights_model(key)
        newest = self.beliefs.newest_version(model)
        if not self.beliefs.date_version(model, number, since):
            return
        age = round(self.clock() - since, 3)
        self.events.emit("version.dated", version=number, age=age)
        if number > newest:
            # Its declaration comes as nothing new.
            self.on_version(model, number)

    # The servers' entries

    def _took_servers(self, rows: list[Row]) -> None:
        backends = self.beliefs.backends
        for row in rows:
            if row.removed:
                self.events.emit("server.gone", server=row.key, version=row.version)
                continue
            try:
                listed = self.deployment.listed_of(row)
            except WasabideckError as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            known = backends.get(row.key)
            told = {"server": row.key, "service": listed.service}
            if listed.leaving and (known is None or not known.listed.leaving):
                self.events.emit("server.leaving", **told, version=row.version)
            elif known is None:
                self.events.emit("server.joined", **told, version=row.version)
            backends.take(listed)
        # Last, all at once, and by each key's last row: one answer may tell of a change
        # of an entry and then of its removal, and the older row would put it back.
        last = {row.key: row for row in rows}
        gone = [key for key, row in last.items() if row.removed]
        backends.remove(gone, self.clock(), self._removed_from())

    def _removed_from(self) -> float:
        """From when on servers that the store's answer lacks may have been removed."""
        return min(self.clock(), self.servers.told_from)

    def _whole_servers(self, rows: list[Row]) -> None:
        self.beliefs.listed = True
        listed = {row.key for row in rows}
        gone = self.beliefs.backends.keep_only(
            listed, self.clock(), self._removed_from()
        )
        for server in gone:
            self.events.emit("server.gone", server=server, version=0)

    def _returned(self, lasted: float) -> None:
        # A broken connection is no outage: no lease runs out in so short a time.
        if lasted >= OUTAGE_SECONDS:
            self.beliefs.backends.outage_ended = self.clock()

    # Peers

    async def _keep_asking(self) -> None:
        while True:
            heard_at = self.operators.heard_at
            failing = self._cut_off()
            unsure = any(map(self._unsure, self.hearsay.declarations.numbers()))
            await asyncio.sleep(CUT_OFF_SECONDS if failing or unsure else CALM_SECONDS)
            await self.hearsay.ask_one()
            self.beliefs.heard_at = max(
                heard_at, self.hearsay.heard_at, self.operators.heard_at
            )

    def _cut_off(self) -> bool:
        """Whether the store gave this process no answer when it was last asked."""
        if self._is_entry:
            return self.operators.failing and not self.readers.covered
        return self.beliefs.configuration is None

    def _alone(self) -> bool:
        """Whether peers of the region may lack what others have."""
        return self._cut_off() or self.operators.lags(self.clock(), BEHIND_SECONDS)

    async def _keep_reading(self) -> None:
        """Read what operators declare from the store while no entry tells it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(JOINING_SECONDS):
                await self._joined.wait()
        read_from = self.clock() + self._turn(TOLD_WITHIN_SECONDS)
        failures = 0
        while True:
            now = self.clock()
            if self._lacks_word(now) and now >= read_from:
                failures = 0 if await self._read_unless_told() else failures + 1
                apart = min(CALM_SECONDS * (2**failures - 1), LONGEST_APART)
                read_from = self.clock() + apart * self.rng.uniform(0.5, 1.0)
            self._want_configuration(now)
            await asyncio.sleep(CALM_SECONDS * self.rng.uniform(0.8, 1.2))

    def _turn(self, patience: float = 0.0) -> float:
        """Seconds for which this agent leaves reads of the store to others near by."""
        members = self.hearsay.members.values()
        near = (m.vm for m in members if m.kind == AGENT and m.region == self.me.region)
        return read_delay(self.me.region, self.me.vm, near, READING_AGENTS, patience)

    def _want_configuration(self, now: float) -> None:
        """Want a newer configuration now and then, until one near by was asked."""
        if now - self._configured_at > CONFIGURED_SECONDS:
            self._configured_at = now
            self.hearsay.lacks.discard(CONFIGURATION)
        elif self.beliefs.configuration is not None:
            # A peer far off is not asked for it while one near by answers.
            asked = self.hearsay.near_heard_at > self._configured_at
            if asked or now - self._configured_at > NEAR_HEARD_SECONDS:
                self.hearsay.lacks.add(CONFIGURATION)

    async def _read_unless_told(self) -> bool:
        """Read what operators declare, and stop when an entry tells it first.

        After a loss of power all agents of a region read at once over its link, which
        takes seconds. The first entry that has the answer spares them the rest of it,
        and the link what nobody needs any more.

        Returns
        -------
        known : bool
            Whether it is known now, by the store or by an entry.
        """
        read = asyncio.create_task(self.store.read(self.deployment.operators))
        try:
            while not read.done() and self._lacks_word(self.clock()):
                await asyncio.wait({read}, timeout=TOLD_SECONDS)
            if read.done():
                self._took_operators(list(read.result().rows))
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.events.emit("table.unavailable", why=str(exc))
            return False
        finally:
            read.cancel()
        return True

    def _lacks_word(self, now: float) -> bool:
        """Whether an agent has to ask the store, as no entry tells it anything."""
        return self.beliefs.configuration is None or self._unheard(now)

    def _unheard(self, now: float) -> bool:
        silent = now - max(self.beliefs.began, self.hearsay.heard_at)
        return silent > UNHEARD_SECONDS and silent > UNHEARD_SECONDS + self._turn()

    async def _keep_members(self) -> None:
        began_again = await self._join()
        if not began_again:
            # Others have started at the same time, and were not there yet.
            await asyncio.sleep(MEMBERS_SOON * self.rng.uniform(0.8, 1.2))
            await self.read_members()
        while True:
            pause = members_pause(len(self.hearsay.members))
            await asyncio.sleep(pause * self.rng.uniform(0.8, 1.2))
            await self.read_members()

    async def _join(self) -> bool:
        """Read who is there, and write this process's row unless it is there.

        Returns
        -------
        began_again : bool
            Whether it was: all that were there before are known then.
        """
        while not await self.read_members():
            await asyncio.sleep(self.rng.uniform(0.5, 1.0))
        self._joined.set()
        if self.hearsay.members.get(self.me.vm) == self.me:
            return True
        while True:
            try:
                await self.store.write([member_row(self.me)])
            except (PlatformUnavailable, PlatformRefused) as exc:
                self.events.emit("members.unavailable", why=str(exc))
                await asyncio.sleep(self.rng.uniform(0.5, 1.0))
                continue
            return False


def members_pause(members: int) -> float:
    """Seconds until the table of members is read again."""
    return max(MEMBERS_LATER, members * MEMBER_BYTES / MEMBERS_RATE)
