"""Follows a table of the store through its outages, stale answers and lost history."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from attrs import define, field, frozen
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.readers import COVERED_SECONDS

from .events import Events
from .http_answers import PlatformRefused, PlatformUnavailable
from .rows import Changes, HistoryLost, Row, RowStore

__all__ = ["Followed", "TableWatch"]

# How long the store may hold an answer back while nothing changes: each call is paid
# for, and a connection that went silent is found by its keep-alive probes.
WAIT_SECONDS = 15.0
# A process that others rely on tells that it follows the table for so long after the
# time in which the store owed it an answer, or after the last byte of one: over a full
# link an empty answer takes a few tenths of a second (seconds).
OVERDUE_SECONDS = 0.4
# After a change the next call waits a little: servers join and operators write in
# bursts, and one answer then tells what would take a call for each (seconds).
SETTLE_SECONDS = 0.4
# Changes that follow each other so closely are a storm (seconds).
STORM_SECONDS = 1.0
# Rows told to a peer at once: more than leave or join at the same moment.
MOST_TOLD = 64
# A peer that knows a newer row has had it from an answer that should have come here,
# too; so long is allowed for it (seconds).
BEHIND_SECONDS = 0.8
# An answer that the store gives later than this was held back until something changed
# (seconds).
HELD_SECONDS = 0.5
# An answer is as old as this at the least, its way included where the store does not
# tell when it answered (seconds).
WAY_SECONDS = 0.1
# Seconds in a second that two steady clocks drift apart at the most.
MOST_DRIFT = 2e-4
# Pauses between tries while the store gives no answer (seconds). The longest stays
# under the time in which a change has to be in force after the store's return.
FIRST_PAUSE = 0.15
LONGEST_PAUSE = 0.8
# What a longer time without an answer has kept from here counts from the store's return
# for everyone: the longest pause, and an answer's time (seconds).
LONGEST_UNHEARD = 1.0


@frozen
class Followed:
    """How far a process that follows a table has come.

    Attributes
    ----------
    version : int
        Version of the store that it reflects.
    lacked_for : float
        Rows that it lacks were written in the last so many seconds.
    """

    version: int
    lacked_for: float


@define
class _Owed:
    """A row that a peer knows, and this process does not yet.

    Attributes
    ----------
    since : float
        When it was first heard of, seconds.
    quiet_from : float
        From when on no byte came here, as far as was looked, seconds.
    received : int
        Bytes that had come by then.
    """

    version: int
    since: float
    quiet_from: float
    received: int


@define
class TableWatch:
    """Keeps a process's copy of a table.

    Attributes
    ----------
    took : callable
        Given each row that is new, also of removals.
    whole : callable
        Given all keys of the table after it was read whole.
    returned : callable
        Told for how many seconds the store had not answered when it does again.
    rereads : bool
        Whether the whole table is small, and its rows are large and change often.
    version : int
        Version of the store that the copy reflects; -1 before the first read.
    newest : int
        Version of the newest row that was heard of, removals counted.
    heard_at : float
        When the store last answered for this table, seconds.
    wait : float
        How long the store may hold an answer back, seconds.
    settle : float
        Pause after an answer with changes, for more of them to come, seconds.
    told_from : float
        From when on what its present answer tells may have been written, seconds.
    adopted : int
        Version up to which a peer told all that the table holds; -1 for none.
    first_read_unchecked : bool
        Whether nothing has shown yet that the first read was current: what it lacked
        may be old.
    """

    store: RowStore
    table: str
    took: Callable[[list[Row]], None]
    whole: Callable[[list[Row]], None]
    returned: Callable[[float], None]
    clock: Callable[[], float]
    events: Events
    rng: random.Random
    rereads: bool = False
    version: int = -1
    newest: int = 0
    _changed_at: float = float("-inf")
    _complete_at: float = float("-inf")
    _least_apart: float = float("inf")
    _apart_at: float = float("-inf")
    heard_at: float = float("-inf")
    wait: float = WAIT_SECONDS
    settle: float = SETTLE_SECONDS
    told_from: float = float("inf")
    adopted: int = -1
    first_read_unchecked: bool = False
    _adopted_from: float = float("-inf")
    _hanging_from: float = float("inf")
    _asked_at: float = float("-inf")
    _moved_at: float = float("-inf")
    _moved: int = 0
    _rows: dict[str, Row] = field(factory=dict)
    _failures: int = 0
    _failing_since: float = 0.0
    _read_again: bool = True
    _asking: asyncio.Task | None = None
    _owed: _Owed | None = None

    @property
    def failing(self) -> bool:
        """Whether the store gave no answer when it was last asked."""
        return self._failures > 0 or self.version < 0

    async def run(self) -> None:
        """Follow the table for ever."""
        while True:
            try:
                await self.step()
            except HistoryLost as exc:
                self.events.emit("watch.history-lost", table=self.table, why=str(exc))
                self._read_again = True
                # A whole read may be stale, and what follows it lost again.
                await asyncio.sleep(FIRST_PAUSE)
            except (PlatformUnavailable, PlatformRefused) as exc:
                self._failed(exc)
                await asyncio.sleep(self._pause())

    async def step(self) -> None:
        """One call: the whole table at first, then what has changed."""
        if self._read_again:
            await self._read()
        else:
            await self._follow()

    def hear(self, rows: Iterable[Row]) -> None:
        """Take in rows that a peer tells; the watch itself still has to bring them.

        While the store turns this process away, or a connection to it is silent, a
        server that leaves is known here a second later, and not when the call ends.
        """
        if self.version < 0:
            # Kept now and acted on later, they would be nothing new to the first read.
            return
        newer = [row for row in rows if row.version > self._known(row.key)]
        for row in newer:
            self._rows[row.key] = row
        if newer:
            self.events.emit("rows.heard", table=self.table, rows=len(newer))
            # A peer's word doesn't say when they were written.
            self.told_from = self.clock()
            self.took(newer)

    def above(self, version: int) -> list[Row]:
        """Rows that whoever has this version lacks, the newest ones if many."""
        found = [row for row in self._rows.values() if row.version > version]
        return sorted(found, key=lambda row: row.version)[-MOST_TOLD:]

    def _known(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else -1

    def behind(self, newest: int) -> None:
        """Note that a peer knows a newer row: the present call may be silent.

        One whose answer is coming goes on: over a full link it takes seconds, and
        another one would bring all of it again.
        """
        now, received = self.clock(), self.store.received(self.table)
        if newest <= self.newest:
            return
        owed = self._owed
        if owed is None or owed.version <= self.newest:
            self._owed = _Owed(newest, now, now, received)
        elif received > owed.received:
            owed.quiet_from, owed.received = now, received
        elif now - owed.quiet_from >= BEHIND_SECONDS and self._asking is not None:
            self.events.emit("watch.behind", table=self.table, peer=newest)
            self._owed = None
            self._asking.cancel()

    def lags(self, now: float, seconds: float) -> bool:
        """Whether a peer knew a newer row so long ago, and it did not come here."""
        owed = self._owed
        if owed is None or owed.version <= self.newest:
            return False
        return now - owed.since >= seconds

    def lacked_from(self, now: float) -> float:
        """From when on rows that are not here were written, as far as is known."""
        if HELD_SECONDS < now - self._hanging_from <= self.wait:
            return now - WAY_SECONDS
        return max(self._complete_at, self._adopted_from)

    def followed(self, now: float) -> Followed | None:
        """How far the table was followed here; None while the store does not answer.

        A connection that has gone silent looks like one on which nothing changes, until
        an answer is overdue.
        """
        received = self.store.received(self.table)
        if received > self._moved:
            self._moved_at, self._moved = now, received
        last = max(self.heard_at, self._asked_at, self._moved_at)
        if self.failing or now - last > self.wait + OVERDUE_SECONDS:
            return None
        return Followed(self.version, now - self.lacked_from(now))

    def adopt(self, peer: Followed, newest: int, asked_at: float) -> None:
        """Take a peer's place in the table for this one's.

        Only for who lacks nothing that the peer has.

        Parameters
        ----------
        newest : int
            Version of the newest row that the peer knows.
        asked_at : float
            When the peer was asked, seconds.
        """
        if peer.version >= self.version:
            self._read_again = False
            self.version = peer.version
        self.first_read_unchecked = False
        self.adopted = max(self.adopted, peer.version)
        self.newest = max(self.newest, newest)
        self._adopted_from = max(self._adopted_from, asked_at - peer.lacked_for)

    def rest(self) -> None:
        """Note that a peer follows the table in this one's place.

        Without a call of its own it has no outage of its own either.
        """
        self._failures = 0

    async def _read(self) -> None:
        lacked_at, longest = self._lacked()
        asked_at = self.clock()
        self.first_read_unchecked = self.first_read_unchecked or self.version < 0
        changes = await self._ask(self.store.read(self.table))
        if changes.version < self.version:
            # An answer from before what is known here would take rows away that
            # have come since.
            await asyncio.sleep(self._pause())
            return
        self._answered(changes, asked_at)
        self._read_again = False
        self.told_from = max(lacked_at, self._complete_at - longest)
        self._take(changes)
        self.whole(list(changes.rows))

    async def _follow(self) -> None:
        lacked_at, longest = self._lacked()
        asked_at = self._hanging_from = self.clock()
        follow = self.store.follow(self.table, self.version, self.wait)
        try:
            changes = await self._ask(follow)
        finally:
            self._hanging_from = float("inf")
        if changes.version < self.version:
            await asyncio.sleep(self._pause())
            return
        self._answered(changes, asked_at)
        if HELD_SECONDS < self._complete_at - asked_at <= self.wait:
            lacked_at = self._complete_at - WAY_SECONDS
            self.first_read_unchecked = False
        self.told_from = max(lacked_at, self._complete_at - longest)
        self._take(changes)
        self.first_read_unchecked = False
        if not changes.rows:
            return
        # The changes that come one after the other are all told, each whole; a table
        # that is read tells only the last of them. Where operators write every few
        # hundred ms, this keeps ten entries from filling a region's link.
        now = self.clock()
        close = now - self._changed_at < STORM_SECONDS
        self._read_again = close and self.rereads
        self._changed_at = now
        await asyncio.sleep(self.settle)

    def _lacked(self) -> tuple[float, float]:
        """From when on the next answer's rows were written, and how long at the most.

        Who has just lost the word of others asks the store later than those who had
        a call under way, and not because the store was away.
        """
        lacked_at = max(self._complete_at, self._adopted_from)
        if self._failures or self._adopted_from <= self.heard_at:
            return lacked_at, LONGEST_UNHEARD
        return lacked_at, LONGEST_UNHEARD + COVERED_SECONDS

    async def _ask(self, call: object) -> Changes:
        """The answer to a call, which ``behind`` may break off."""
        self._asking = asyncio.ensure_future(call)
        self._asked_at = self.clock()
        try:
            return await self._asking
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                self._asking.cancel()
                raise
            raise PlatformUnavailable(self.table, "silent", False) from None
        finally:
            self._asking = None

    def _take(self, changes: Changes) -> None:
        newer = [r for r in changes.rows if r.version > self._known(r.key)]
        for row in newer:
            self._rows[row.key] = row
            self.newest = max(self.newest, row.version)
        self.version = max(self.version, changes.version)
        if newer:
            self.took(newer)

    def _answered(self, changes: Changes, asked_at: float) -> None:
        self.heard_at = self.clock()
        self._complete_at = self.heard_at - self._way(changes, asked_at)
        if self._failures:
            self._failures = 0
            lasted = self.heard_at - self._failing_since
            self.events.emit("store.back", table=self.table, seconds=round(lasted, 3))
            self.returned(lasted)

    def _way(self, changes: Changes, asked_at: float) -> float:
        """Seconds that an answer took here beyond the shortest way that was seen."""
        if changes.answered_at is None:
            return 0.0
        apart = self.heard_at - changes.answered_at
        drift = MOST_DRIFT * (self.heard_at - self._apart_at)
        self._least_apart = min(self._least_apart + max(0.0, drift), apart)
        self._apart_at = self.heard_at
        if apart - self._least_apart > self.heard_at - asked_at:
            # Longer than the whole call: the store has another clock now.
            self._least_apart = apart
        return apart - self._least_apart

    def _failed(self, exc: WasabideckError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._failing_since = self.clock()
            self.events.emit("store.lost", table=self.table, why=str(exc))

    def _pause(self) -> float:
        longest = min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** min(self._failures, 8))
        return longest * self.rng.uniform(0.6, 1.0)
