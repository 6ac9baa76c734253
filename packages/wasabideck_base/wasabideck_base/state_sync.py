"""Keeps a process's cluster state up to date from the store and from its peers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine

from attrs import define, field
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.declarations import (
    CONFIGURATION,
    Declaration,
    model_of_key,
    weights_key,
)
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.reader_selection import (
    CONFIRMATION_VALID_SECONDS,
    RegionReaderView,
)
from wasabideck_policy.rendezvous import rank_vms
from wasabideck_policy.startup_stagger import read_delay

from .channels import Channels
from .declaration_times import DeclarationTimes
from .deployment import DeploymentAdapter
from .events import Events, round_finite
from .gossip import (
    FAST_GOSSIP_INTERVAL_SECONDS,
    GOSSIP_INTERVAL_SECONDS,
    RECENT_LOCAL_REPLY_SECONDS,
    Gossip,
)
from .gossip_messages import DeclarationAges
from .http_responses import PlatformRefused, PlatformUnavailable
from .member_rows import MEMBERS_TABLE, MalformedMember, member_row, parse_member
from .part_quarantine_store import PARTS_TABLE, PartQuarantineStore
from .region_readers import RegionReaders
from .rows import Row, RowStore
from .staleness_checks import CheckTimes, StalenessChecks
from .table_watch import MAX_BACKDATING_SECONDS, STALLED_CALL_SECONDS, TableWatch
from .version_confirmation import VersionConfirmation
from .vm_settings import VMSettings

__all__ = ["StateSync", "members_interval"]

# Delay before the second read of the members table, and minimum interval between later
# reads. Other processes may start at the same time as this one; processes that start
# later become known when they poll this one.
MEMBERS_SECOND_READ_SECONDS = 1.5
MEMBERS_MIN_INTERVAL_SECONDS = 15.0
# Average bandwidth for reading the members table, per process: with thousands of
# members the interval grows.
MEMBERS_BYTES_PER_SECOND = 2500.0
MEMBER_BYTES = 200
# An agent reads the store itself after this time without a reply from any entry.
NO_GOSSIP_SECONDS = 2.0
# Number of agents per region that read the store at once when no entry sends them the
# declarations; the others follow one after the other. Each agent first waits
# GOSSIP_WAIT_SECONDS for its entries and MEMBERS_WAIT_SECONDS for the members table.
CONCURRENT_AGENT_READS = 4
GOSSIP_WAIT_SECONDS = 2.0
MEMBERS_WAIT_SECONDS = 1.0
# Interval at which a pending read checks whether an entry has sent the declarations.
GOSSIP_CHECK_SECONDS = 0.1
# Maximum backoff between failed reads. The part of a response that arrives before its
# read is cancelled uses up the bandwidth of a full link, so that the reads of other
# processes time out as well.
MAX_READ_BACKOFF_SECONDS = 8.0
# Minimum interval at which an agent accepts a newer configuration: the engines' models
# and the origin change rarely.
CONFIGURATION_INTERVAL_SECONDS = 10.0
# Leases last three heartbeats, 3.6 s: no lease expires in a much shorter outage.
MIN_OUTAGE_SECONDS = 1.0
# Delay during which changes of the server list are collected, as a fraction of the time
# for which a server that is shutting down still serves. Without the delay, every entry
# would query the store for each of several servers added one after the other.
SETTLE_FRACTION = 0.25
# Time for the notice that a server is shutting down to arrive, in addition to that
# delay.
LEAVE_NOTICE_SECONDS = 0.3
# Source of declarations that come from the store and not from a peer.
STORE = "store"


@define
class StateSync:
    """Keeps one process's cluster state up to date.

    Attributes
    ----------
    on_version : callable
        Called with each newer declared version of a model's weights.
    """

    cfg: VMSettings
    me: Member
    deployment: DeploymentAdapter
    store: RowStore
    channels: Channels
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    on_version: Callable[[str, int], None] = lambda model, number: None
    cluster_state: ClusterState = field(init=False)
    gossip: Gossip = field(init=False)
    operator_watch: TableWatch = field(init=False)
    server_watch: TableWatch = field(init=False)
    readers: RegionReaders = field(init=False)
    declaration_times: DeclarationTimes = field(init=False)
    part_store: PartQuarantineStore = field(init=False)
    confirmation: VersionConfirmation = field(init=False)
    _members_known: asyncio.Event = field(factory=asyncio.Event)
    _notifications: set[asyncio.Task] = field(factory=set)
    _operators_read: bool = False
    _behind: bool = True
    _configuration_wanted_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Create the table watches and the components that use them."""
        self.cluster_state = ClusterState(
            self.clock(),
            configuration_deadline_seconds=(
                self.cfg.limits.configuration_deadline_seconds
            ),
        )
        drain = self.cfg.limits.drain_seconds
        settle_seconds = SETTLE_FRACTION * drain
        self.cluster_state.backends.mass_removal_hold_seconds = max(
            0.0, drain - settle_seconds - LEAVE_NOTICE_SECONDS
        )
        self.operator_watch = self._watch(
            self.deployment.declarations_table,
            self._apply_operator_rows,
            self._note_operators_read,
        )
        self.operator_watch.on_complete = self.cluster_state.mark_complete
        self.server_watch = self._watch(
            self.deployment.servers_table,
            self._apply_server_rows,
            self._apply_full_server_list,
        )
        self.server_watch.settle_seconds = settle_seconds
        # Agents receive the operators' declarations from nearby entries: each
        # configuration has some 40 KB, and would cross a region's slow link once for
        # each agent.
        watches = (self.operator_watch, self.server_watch) if self._is_entry else ()
        self.gossip = Gossip(
            self.me,
            self.channels,
            self.events,
            self.clock,
            self.rng,
            self._apply_declarations,
            {watch.table: watch for watch in watches},
            # Configurations are sent as declarations already; servers are sent as rows.
            frozenset([self.server_watch.table] if watches else []),
            seeds=self.cfg.inner_seeds(),
            peer_kind="" if self._is_entry else ENTRY,
            ages=DeclarationAges(
                self._ages_of,
                self._age_errors,
                self._unexpired_ages,
                self._is_uncertain,
                self._record_declaration_time,
                self._bound_unreported_age,
            ),
        )
        self.readers = RegionReaders(
            RegionReaderView(self.me.vm, self.me.region),
            self.operator_watch,
            self.gossip,
            self.events,
            self.clock,
            self.rng,
            self.cfg.limits.configuration_deadline_seconds,
            self._acts_unconfirmed,
        )
        self.declaration_times = DeclarationTimes(
            self.store,
            lambda model: self._ages_of(weights_key(model)),
            self._models_with_unknown_time,
            lambda model, number, earliest, latest: self._record_declaration_time(
                weights_key(model), number, earliest, latest
            ),
            self._publishing_rank,
            self.clock,
            self.events,
            self.rng,
        )
        self.confirmation = VersionConfirmation(
            self.cluster_state,
            self._read_versions,
            lambda: self.cfg.limits,
            self.clock,
            self.events,
            self.rng,
        )
        part_gossip = self.gossip.part_gossip
        self.part_store = PartQuarantineStore(
            self.store,
            part_gossip.parts,
            self._parts_publishing_rank,
            self.events.wall,
            self.events,
            self.rng,
            lambda parts: part_gossip.note_evidence(parts, STORE),
        )
        part_gossip.on_quarantined = self.part_store.request_publishing
        self.gossip.position = self.readers.position
        self.gossip.region_may_lag = self._region_may_lag
        self.gossip.staleness = self.cluster_state.staleness
        self.gossip.on_complete = self.cluster_state.mark_complete

    @property
    def _is_entry(self) -> bool:
        return self.me.kind == ENTRY

    def loops(self) -> list[Coroutine]:
        """Return the coroutines that run for the lifetime of the process."""
        loops = [
            self._run_gossip(),
            self._run_member_reads(),
            self.declaration_times.run_lookups(),
        ]
        if self._is_entry:
            loops.append(self.declaration_times.run_publishing())
            loops.append(self.gossip.part_gossip.run_pushes())
            loops.append(self.part_store.run_loading())
            loops.append(self.part_store.run_publishing())
            loops += [checks.run() for checks in self._checks()]
            return [*loops, self.readers.run(), self.server_watch.run()]
        return [*loops, self._run_fallback_reads(), self.confirmation.run()]

    def _checks(self) -> list[StalenessChecks]:
        """Return the checks of the operators' table and of the server list."""
        limits = self.cfg.limits
        deadlines = (limits.configuration_deadline_seconds, limits.drain_seconds)
        watches = (self.operator_watch, self.server_watch)
        staleness = (
            self.cluster_state.staleness,
            lambda now: now - self.server_watch.complete_until,
        )
        return [
            StalenessChecks(
                watch,
                CheckTimes.from_limits(limits, deadline),
                table_staleness,
                self.clock,
                self.rng,
            )
            for watch, deadline, table_staleness in zip(
                watches, deadlines, staleness, strict=True
            )
        ]

    def _parts_publishing_rank(self) -> int:
        """Return the rank of this entry among all that publish quarantined parts."""
        members = self.gossip.members.values()
        entries = {m.vm for m in members if m.kind == ENTRY} | {self.me.vm}
        return rank_vms(PARTS_TABLE, entries).index(self.me.vm)

    async def read_members(self) -> bool:
        """Read the members table, log unreadable rows; return whether it was read."""
        try:
            changes = await self.store.read(MEMBERS_TABLE)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.events.emit("members.unavailable", why=str(exc))
            return False
        for row in changes.rows:
            try:
                member = parse_member(row)
            except MalformedMember as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            self.gossip.members[member.vm] = member
        entries = [m for m in self.gossip.members.values() if m.kind == ENTRY]
        nearby = sum(m.data_centre == self.me.data_centre for m in entries)
        self.cluster_state.entries = max(1, len(entries))
        self.cluster_state.local_entries = max(1, nearby)
        return True

    def _watch(
        self, table: str, on_rows: Callable, on_full_read: Callable
    ) -> TableWatch:
        holds_declarations = table == self.deployment.declarations_table
        return TableWatch(
            self.store,
            table,
            on_rows,
            on_full_read,
            self._note_store_recovery
            if table == self.deployment.servers_table
            else lambda seconds: None,
            self.clock,
            self.events,
            self.rng,
            prefers_full_read=holds_declarations,
            small_rows_prefix=(
                self.deployment.version_key_prefix if holds_declarations else ""
            ),
        )

    # Declarations of the operators

    def _apply_operator_rows(self, rows: list[Row]) -> None:
        declarations, newer = [], []
        for row in rows:
            try:
                declaration = self.deployment.parse_declaration(row)
            except WasabideckError as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            if declaration is not None:
                declarations.append(declaration)
                if row.version > self.operator_watch.adopted_version:
                    newer.append(declaration)
        newer += self.gossip.merge(declarations, STORE)
        if self._store_rows_are_new:
            # Rows up to the adopted version are excluded: they are older than this
            # response.
            self._bound_ages(newer)

    @property
    def _store_rows_are_new(self) -> bool:
        """Whether rows that the store returns now were written since the last read."""
        return self._operators_read and not self.operator_watch.first_read_unverified

    def _bound_ages(self, declarations: list[Declaration]) -> None:
        """Bound ages by the store's response, also of versions that a peer sent."""
        for declaration in declarations:
            if declaration.key != CONFIGURATION:
                now = self.clock()
                since = min(now, self.operator_watch.written_since)
                # After an outage of this process's own path to the store only, the
                # version may be older than that.
                self._record_declaration_time(
                    declaration.key,
                    declaration.number,
                    since,
                    self._responded_by(now),
                    is_estimate=True,
                )
                self.declaration_times.request_publishing(model_of_key(declaration.key))
                self.declaration_times.request_lookup()

    def _responded_by(self, now: float) -> float:
        """Return the latest time at which rows of the response may have been written.

        That is earlier than its arrival where the store's clock shows that this process
        was suspended meanwhile.
        """
        watch = self.operator_watch
        is_known = watch.written_since <= watch.responded_at <= now
        return watch.responded_at if is_known else now

    def _note_operators_read(self, rows: list[Row]) -> None:
        # Whatever the store returns after this read has just been declared.
        self._operators_read = True

    def _apply_declarations(self, newer: list[Declaration], source: str) -> None:
        # Of several declarations of a key only the newest takes effect.
        for declaration in {d.key: d for d in newer}.values():
            if declaration.key == CONFIGURATION:
                self._apply_configuration(declaration)
            else:
                self._declare_version(declaration, source)
        if source == STORE and self._operators_read:
            self.readers.notify_followers(newer)
        weights = [d for d in newer if d.key != CONFIGURATION]
        if weights and source == STORE and self._is_entry:
            task = asyncio.create_task(self.gossip.notify_agents(weights))
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)

    def _apply_configuration(self, declaration: Declaration) -> None:
        self.operator_watch.heard_row_bytes = len(declaration.content)
        try:
            cfg = self.deployment.parse_configuration(declaration.content)
        except WasabideckError as exc:
            # The previous configuration stays in effect: a partial one would be worse.
            self.events.emit(
                "configuration.unusable", number=declaration.number, why=str(exc)
            )
            return
        self.cluster_state.configuration = cfg
        self.events.emit("configuration.in-force", number=cfg.number)

    def _declare_version(self, declaration: Declaration, source: str) -> None:
        model = model_of_key(declaration.key)
        now = self.clock()
        since, certain = self._declaration_time(declaration, source, now)
        declared_by = self._responded_by(now) if certain else now
        if not self.cluster_state.declare_version(
            model, declaration.number, since, certain, declared_by
        ):
            return
        if certain:
            self._log_age(declaration.number, since)
        else:
            number = declaration.number
            self.events.emit("version.undated", version=number, source=source)
            self.declaration_times.request_lookup()
        self.on_version(model, declaration.number)

    def _declaration_time(
        self, declaration: Declaration, source: str, now: float
    ) -> tuple[float, bool]:
        """Return a version's earliest declaration, and whether that is known.

        A version declared before this process could see it may have expired long ago,
        and perhaps no running process knows. It counts as expired until its declaration
        time is found.
        """
        if source == STORE and self._store_rows_are_new:
            # The version may be older than the response, if it was declared in the
            # delay after another change or while the response was in transit.
            return min(now, self.operator_watch.written_since), True
        return now - self.cfg.limits.version_deadline_seconds, False

    def _models_with_unknown_time(self) -> list[str]:
        return self.cluster_state.models_without_declaration_time(
            self.cfg.limits.version_deadline_seconds, self.clock()
        )

    def _publishing_rank(self) -> int:
        """Return this entry's rank among the publishing entries of its region."""
        members = self.gossip.members.values()
        nearby = (m for m in members if m.region == self.me.region)
        entries = {m.vm for m in nearby if m.kind == ENTRY}
        return rank_vms(self.me.region, entries | {self.me.vm}).index(self.me.vm)

    def _ages_of(self, key: str) -> dict[int, float]:
        if key == CONFIGURATION:
            return {}
        within, now = self.cfg.limits.version_deadline_seconds, self.clock()
        return self.cluster_state.version_ages(model_of_key(key), within, now)

    def _age_errors(self, key: str) -> dict[int, float]:
        if key == CONFIGURATION:
            return {}
        return self.cluster_state.version_age_errors(model_of_key(key))

    def _unexpired_ages(self, key: str) -> dict[int, float]:
        # Report all ages or none: a peer that receives only the newest version's age
        # would assume that no older version still matters.
        ages = self._ages_of(key)
        youngest = min(ages.values(), default=float("inf"))
        return ages if youngest < self.cfg.limits.version_deadline_seconds else {}

    def _is_uncertain(self, key: str) -> bool:
        # After the stable time the estimate no longer matters, whoever was polled.
        recently_started = (
            self.clock() - self.cluster_state.started_at
            < self.cfg.limits.disturbance_hold_seconds
        )
        time_unknown = (
            key != CONFIGURATION
            and self.cluster_state.declaration_time_unknown(model_of_key(key))
        )
        return recently_started and time_unknown

    def _bound_unreported_age(self, key: str, number: int) -> None:
        """Bound the age of a version that a peer sent without one.

        A region reader reported a moment ago that it did not have the version yet.
        """
        if key == CONFIGURATION or not self.readers.covered:
            return
        now = self.clock()
        since = self.operator_watch.missing_since(now)
        if now - since <= MAX_BACKDATING_SECONDS + CONFIRMATION_VALID_SECONDS:
            self._record_declaration_time(key, number, since, now, is_estimate=True)

    def _record_declaration_time(
        self,
        key: str,
        number: int,
        earliest: float,
        latest: float,
        is_estimate: bool = False,
    ) -> None:
        model = model_of_key(key)
        newest = self.cluster_state.newest_version(model)
        if not self.cluster_state.record_declaration_time(
            model, number, earliest, latest, is_estimate
        ):
            return
        self._log_age(number, earliest)
        if number > newest:
            # Its declaration will arrive with a known number and trigger nothing.
            self.on_version(model, number)

    def _log_age(self, number: int, declared_at: float) -> None:
        age = round(self.clock() - declared_at, 3)
        self.events.emit("version.dated", version=number, age=age)

    # Rows of the servers table

    def _apply_server_rows(self, rows: list[Row]) -> None:
        backends = self.cluster_state.backends
        for row in rows:
            if row.removed:
                self.events.emit("server.gone", server=row.key, version=row.version)
                continue
            try:
                listed = self.deployment.parse_listed_server(row)
            except WasabideckError as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            known = backends.get(row.key)
            fields = {"server": row.key, "service": listed.service}
            if listed.leaving and (known is None or not known.listed.leaving):
                self.events.emit("server.leaving", **fields, version=row.version)
            elif known is None:
                self.events.emit("server.joined", **fields, version=row.version)
            backends.update(listed)
        # Removals are applied last, all at once, and by the last row of each key: one
        # response may contain a change of a row and then its removal, and the older row
        # would add the server again.
        last = {row.key: row for row in rows}
        removed = [key for key, row in last.items() if row.removed]
        backends.remove(removed, self.clock(), self._earliest_removal())

    def _earliest_removal(self) -> float:
        """Return the earliest removal time of servers that the response lacks."""
        return min(self.clock(), self.server_watch.written_since)

    def _apply_full_server_list(self, rows: list[Row]) -> None:
        self.cluster_state.servers_known = True
        listed = {row.key for row in rows}
        removed = self.cluster_state.backends.remove_unlisted(
            listed, self.clock(), self._earliest_removal()
        )
        for server in removed:
            self.events.emit("server.gone", server=server, version=0)

    def _note_store_recovery(self, outage_seconds: float) -> None:
        # A broken connection is not an outage: no lease expires in so short a time.
        if outage_seconds >= MIN_OUTAGE_SECONDS:
            self.cluster_state.backends.outage_ended_at = self.clock()

    # Gossip with peers, and reads of the store without it

    async def _run_gossip(self) -> None:
        while True:
            cut_off = self._is_cut_off()
            uncertain = any(map(self._is_uncertain, self.gossip.declarations.numbers()))
            await asyncio.sleep(
                FAST_GOSSIP_INTERVAL_SECONDS
                if cut_off or uncertain
                else GOSSIP_INTERVAL_SECONDS
            )
            await self.gossip.sync_with_one()
            self._log_staleness(self.clock())

    def _log_staleness(self, now: float) -> None:
        """Log when newer declarations may be due, and when all are known again."""
        staleness = self.cluster_state.staleness(now)
        behind = staleness > self.cfg.limits.configuration_deadline_seconds
        if behind == self._behind or not self._is_entry:
            return
        self._behind = behind
        fields = {
            "staleness": round_finite(staleness),
            "failing": self.operator_watch.failing,
            "covered": self.readers.covered,
        }
        if behind:
            self.events.emit("state.behind", **fields)
        else:
            self.events.emit("state.current", **fields)

    def _acts_unconfirmed(self, now: float) -> bool:
        """Whether requests are routed by what no process has confirmed recently."""
        state = self.cluster_state
        return state.configuration is not None and state.stale(now)

    def _is_cut_off(self) -> bool:
        """Whether this process currently gets no declarations from the store."""
        if self._is_entry:
            return self.operator_watch.failing and not self.readers.covered
        return self.cluster_state.configuration is None or self.confirmation.requested

    def _region_may_lag(self) -> bool:
        """Whether peers of the region may lack what other regions have."""
        return self._is_cut_off() or self.operator_watch.is_lagging(
            self.clock(), STALLED_CALL_SECONDS
        )

    async def _run_fallback_reads(self) -> None:
        """Read the declarations from the store while no entry sends them."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MEMBERS_WAIT_SECONDS):
                await self._members_known.wait()
        read_from = self.clock() + self._own_read_delay(GOSSIP_WAIT_SECONDS)
        failures = 0
        while True:
            now = self.clock()
            if self._needs_store_read(now) and now >= read_from:
                failures = 0 if await self._read_until_notified() else failures + 1
                backoff = min(
                    GOSSIP_INTERVAL_SECONDS * (2**failures - 1),
                    MAX_READ_BACKOFF_SECONDS,
                )
                read_from = self.clock() + backoff * self.rng.uniform(0.5, 1.0)
            self._schedule_configuration(now)
            await asyncio.sleep(GOSSIP_INTERVAL_SECONDS * self.rng.uniform(0.8, 1.2))

    def _own_read_delay(self, wait: float = 0.0) -> float:
        """Return for how many seconds other agents of the region read first."""
        members = self.gossip.members.values()
        nearby = (
            m.vm for m in members if m.kind == AGENT and m.region == self.me.region
        )
        return read_delay(
            self.me.region, self.me.vm, nearby, CONCURRENT_AGENT_READS, wait
        )

    def _schedule_configuration(self, now: float) -> None:
        """Accept a newer configuration now and then, until a nearby peer replied."""
        if now - self._configuration_wanted_at > CONFIGURATION_INTERVAL_SECONDS:
            self._configuration_wanted_at = now
            self.gossip.unwanted.discard(CONFIGURATION)
        elif self.cluster_state.configuration is not None:
            # A remote peer is not asked for it while a nearby one replies.
            replied = self.gossip.last_local_reply_at > self._configuration_wanted_at
            if (
                replied
                or now - self._configuration_wanted_at > RECENT_LOCAL_REPLY_SECONDS
            ):
                self.gossip.unwanted.add(CONFIGURATION)

    async def _read_until_notified(self) -> bool:
        """Read the declarations, and stop when an entry sends them first.

        After a power failure all agents of a region read at once over its link, which
        takes seconds. The first entry that has the response makes the remaining reads
        unnecessary, and cancelling them frees the link.

        Returns
        -------
        known : bool
            Whether the declarations are known now, from the store or from an entry.
        """
        requested_at = self.clock()
        read = asyncio.create_task(self.store.read(self.deployment.declarations_table))
        try:
            while not read.done() and self._needs_store_read(self.clock()):
                await asyncio.wait({read}, timeout=GOSSIP_CHECK_SECONDS)
            if read.done():
                self._apply_operator_rows(list(read.result().rows))
                self.cluster_state.mark_complete(requested_at)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.events.emit("table.unavailable", why=str(exc))
            return False
        finally:
            read.cancel()
        return True

    async def _read_versions(self) -> None:
        """Read the declared versions alone, which are a small part of their table."""
        deployment = self.deployment
        changes = await self.store.read(
            deployment.declarations_table, deployment.version_key_prefix
        )
        self._apply_operator_rows(list(changes.rows))

    def _needs_store_read(self, now: float) -> bool:
        """Whether an agent has to read the store because no entry sends it anything."""
        return self.cluster_state.configuration is None or self._no_recent_gossip(now)

    def _no_recent_gossip(self, now: float) -> bool:
        idle_seconds = now - max(
            self.cluster_state.started_at, self.gossip.last_reply_at
        )
        return (
            idle_seconds > NO_GOSSIP_SECONDS
            and idle_seconds > NO_GOSSIP_SECONDS + self._own_read_delay()
        )

    async def _run_member_reads(self) -> None:
        restarted = await self._join_members()
        if not restarted:
            # Processes that started at the same time had not written their rows yet.
            await asyncio.sleep(
                MEMBERS_SECOND_READ_SECONDS * self.rng.uniform(0.8, 1.2)
            )
            await self.read_members()
        while True:
            interval = members_interval(len(self.gossip.members))
            await asyncio.sleep(interval * self.rng.uniform(0.8, 1.2))
            await self.read_members()

    async def _join_members(self) -> bool:
        """Read the members, and write this process's row unless it is already there.

        Returns
        -------
        restarted : bool
            Whether the row was there: then all earlier members are known as well.
        """
        while not await self.read_members():
            await asyncio.sleep(self.rng.uniform(0.5, 1.0))
        self._members_known.set()
        if self.gossip.members.get(self.me.vm) == self.me:
            return True
        while True:
            try:
                await self.store.write([member_row(self.me)])
            except (PlatformUnavailable, PlatformRefused) as exc:
                self.events.emit("members.unavailable", why=str(exc))
                await asyncio.sleep(self.rng.uniform(0.5, 1.0))
                continue
            return False


def members_interval(members: int) -> float:
    """Return the interval in seconds between reads of the members table."""
    return max(
        MEMBERS_MIN_INTERVAL_SECONDS, members * MEMBER_BYTES / MEMBERS_BYTES_PER_SECOND
    )
