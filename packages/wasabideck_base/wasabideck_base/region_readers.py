"""Follows a table of the store, or relies on region readers that follow it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from attrs import define, field
from wasabideck_policy.declarations import Declaration
from wasabideck_policy.membership import ENTRY
from wasabideck_policy.reader_selection import (
    MIN_ENTRIES_FOR_SHARING,
    MIN_ENTRIES_FOR_SHARING_LARGE_ROWS,
    READERS_PER_REGION,
    RegionReaderView,
)
from wasabideck_policy.startup_stagger import MAX_READ_DELAY_SECONDS, read_delay

from .events import Events
from .gossip import Gossip
from .table_watch import (
    LARGE_ROW_BYTES,
    LONG_POLL_SECONDS,
    TablePosition,
    TableWatch,
)

__all__ = ["RegionReaders"]

# Interval between polls, each to one reader in round robin order: the second poll picks
# up a change whose notification was lost, and one lost reply does not end the coverage.
POLL_INTERVAL_SECONDS = 0.2
# A follower reads the table itself when a row that a peer of another region knows has
# been missing for this long: the calls of both readers may be unresponsive. Large rows
# take time over a region's link, and another read would slow down those of the readers.
MAX_LAG_SECONDS = 1.5
# Time, beside the wait of a call, until a follower of unresponsive readers has read the
# table itself: a response becomes overdue, a reader's reply expires, the table is read.
# It is subtracted from the time in which a change has to be in effect.
FAILOVER_SECONDS = 2.0
# At a start the readers are unknown until the members are read. The other entries delay
# their first read of the whole table, one after the other; before that a peer sends
# them what the table holds.
MEMBERS_WAIT_SECONDS = 0.5
FIRST_READ_DELAY_SECONDS = 1.0
# Part of the time within which a change has to be in effect after which the first of
# the entries reads the table that act on what nobody has confirmed; the last one reads
# at its end.
UNCONFIRMED_READ_RATIO = 0.5
# Minimum wait of a reader's call.
MIN_LONG_POLL_SECONDS = 0.3


@define
class RegionReaders:
    """Runs an entry's watch of a table, unless region readers follow it already.

    Attributes
    ----------
    watch : TableWatch
        The table; it is read whole once in any case.
    in_effect_seconds : float
        Time after its confirmation within which a change has to be in effect.
    acts_unconfirmed : callable
        Whether this entry acts on declarations of peers that may be outdated.
    """

    readers: RegionReaderView
    watch: TableWatch
    gossip: Gossip
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    in_effect_seconds: float = 2.0
    acts_unconfirmed: Callable[[float], bool] = lambda now: False
    _watch_task: asyncio.Task | None = None
    _polls: dict[str, asyncio.Task] = field(factory=dict)
    _pushes: set[asyncio.Task] = field(factory=set)
    _is_reader: bool = False
    _covered: bool = False
    _poll_count: int = 0
    _started_at: float = float("-inf")

    @property
    def covered(self) -> bool:
        """Whether another entry follows the table for this one."""
        return self._covered

    def position(self, table: str) -> TablePosition | None:
        """Return how far this entry itself follows a table; None if it does not."""
        if table != self.watch.table or self._watch_task is None:
            return None
        return self.watch.position(self.clock())

    async def run(self) -> None:
        """Follow the table, or rely on region readers, until cancelled."""
        self._started_at = self.clock()
        try:
            while True:
                self._update()
                self._poll_next()
                if self._watch_task is not None and self._watch_task.done():
                    self._watch_task.result()
                await asyncio.sleep(POLL_INTERVAL_SECONDS * self.rng.uniform(0.9, 1.1))
        finally:
            tasks = [*self._polls.values(), *self._pushes]
            for task in [*tasks, *filter(None, [self._watch_task])]:
                task.cancel()
            self._polls.clear()

    def notify_followers(self, declarations: list[Declaration]) -> None:
        """Push declarations to followers as soon as the store sent them here."""
        members = self.gossip.members
        followers = self.readers.followers_to_notify(members.values())
        if followers:
            addresses = [members[vm].address for vm in followers]
            task = asyncio.create_task(self.gossip.push(declarations, addresses))
            self._pushes.add(task)
            task.add_done_callback(self._pushes.discard)

    def _update(self) -> None:
        """Start or stop following the table, depending on the readers' replies."""
        now = self.clock()
        members = self.gossip.members.values()
        self.readers.min_entries = self._min_entries
        is_reader = self.readers.is_reader(members)
        why = self._uncovered_reason(is_reader, now)
        self._emit_changes(is_reader, why, now)
        self._set_long_poll(self.readers.is_shared_reader(members))
        if why and self._watch_task is None and not self._defers_first_read(now):
            self._watch_task = asyncio.create_task(self.watch.run())
        elif not why and self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
            self.watch.mark_covered()

    @property
    def _min_entries(self) -> int:
        """Minimum number of entries of a region that share readers."""
        if self.watch.largest_row_bytes >= LARGE_ROW_BYTES:
            return MIN_ENTRIES_FOR_SHARING_LARGE_ROWS
        return MIN_ENTRIES_FOR_SHARING

    def _defers_first_read(self, now: float) -> bool:
        """Whether the first read of the table is still left to others of the region."""
        if self.watch.version >= 0:
            return False
        elapsed = now - self._started_at
        members = self.gossip.members.values()
        if not members:
            return elapsed < MEMBERS_WAIT_SECONDS
        vm, region = self.readers.vm, self.readers.region
        nearby = {m.vm for m in members if m.kind == ENTRY and m.region == region}
        if len(nearby) < MIN_ENTRIES_FOR_SHARING:
            return False
        delay = read_delay(
            region, vm, nearby, READERS_PER_REGION, FIRST_READ_DELAY_SECONDS
        )
        if self.acts_unconfirmed(now):
            delay = min(delay, self._max_unconfirmed_delay(delay))
        return elapsed < delay

    def _max_unconfirmed_delay(self, delay: float) -> float:
        """Return when an entry reads that others leave without confirmation.

        The entries that sent the declarations may all be cut off from the store.
        """
        spread = (1 - UNCONFIRMED_READ_RATIO) * delay / MAX_READ_DELAY_SECONDS
        return self.in_effect_seconds * (UNCONFIRMED_READ_RATIO + spread)

    def _set_long_poll(self, has_followers: bool) -> None:
        """Shorten the wait of the store's responses where others rely on this entry."""
        short_wait = max(
            MIN_LONG_POLL_SECONDS, self.in_effect_seconds - FAILOVER_SECONDS
        )
        wait = short_wait if has_followers else LONG_POLL_SECONDS
        if wait == self.watch.wait_seconds:
            return
        self.watch.wait_seconds = wait
        if self._watch_task is not None:
            # The pending call would keep its former wait.
            self._watch_task.cancel()
            self._watch_task = asyncio.create_task(self.watch.run())

    def _emit_changes(self, is_reader: bool, why: str, now: float) -> None:
        table = self.watch.table
        if is_reader and not self._is_reader:
            self.events.emit("reader.begun", table=table)
        elif self._is_reader and not is_reader:
            self.events.emit("reader.ended", table=table)
        if self._covered and why:
            age = round(now - self.readers.last_confirmed_at, 3)
            self.events.emit("watch.uncovered", table=table, why=why, age=age)
        elif not self._covered and not why:
            self.events.emit("watch.covered", table=table)
        self._is_reader, self._covered = is_reader, not why

    def _uncovered_reason(self, is_reader: bool, now: float) -> str:
        """Return why this entry must follow the table itself; empty if it need not."""
        if is_reader:
            return "this entry is a reader"
        if self.watch.version < 0:
            return "not read yet"
        if not self.readers.has_valid_confirmation(now):
            return "no recent reply from a reader"
        if self.watch.is_lagging(now, MAX_LAG_SECONDS):
            return "a peer knows more"
        return ""

    def _poll_next(self) -> None:
        candidates = self.readers.readers_to_query(
            self.gossip.members.values(), self.clock()
        )
        idle = [vm for vm in candidates if vm not in self._polls]
        if not idle or self.watch.version < 0:
            return
        self._poll_count += 1
        # The previous poll of the reader whose turn it is may still be pending.
        vm = candidates[self._poll_count % len(candidates)]
        vm = vm if vm in idle else idle[0]
        self._polls[vm] = task = asyncio.create_task(self._poll(vm))
        task.add_done_callback(lambda task: self._poll_done(vm, task))

    def _poll_done(self, vm: str, task: asyncio.Task) -> None:
        # A reply that arrives after the shutdown must not start a new call.
        if self._polls.pop(vm, None) is not None and not task.cancelled():
            self._update()

    async def _poll(self, vm: str) -> None:
        requested_at = self.clock()
        address = self.gossip.members[vm].address
        reply = await self.gossip.poll_reader(address, self.watch.table)
        if reply is None:
            self.readers.record_unresponsive(vm, self.clock())
        elif reply.position is None or not reply.is_complete:
            self.readers.record_not_following(vm)
        else:
            self.readers.record_follows(vm, requested_at)
            if not self._is_reader:
                self.watch.adopt_position(reply.position, reply.newest, requested_at)
