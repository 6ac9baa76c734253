"""Follows a table at the store, or relies on entries of the region that do."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from attrs import define, field
from wasabideck_policy.declarations import Declaration
from wasabideck_policy.membership import ENTRY
from wasabideck_policy.readers import LEAST_ENTRIES, READERS, Readers
from wasabideck_policy.start_turns import read_delay

from .events import Events
from .hearsay import Hearsay
from .table_watch import WAIT_SECONDS, Followed, TableWatch

__all__ = ["RegionReaders"]

# Readers are asked in turn, one of them so often: a change whose telling was lost is
# picked up by the second ask, and one lost word ends no cover (seconds).
ASK_SECONDS = 0.2
# A peer of another region knows a row that did not come here for so long: both readers
# may have silent calls. Large rows take their time over a region's link, and one more
# read of them would take it from the readers' (seconds).
LAG_SECONDS = 1.5
# Of the time in which a change has to be in force so much goes by, beside the wait of
# a call, until a follower whose readers hear nothing any more has read it itself: an
# answer is overdue, a word runs out, the table is read (seconds).
NOTICED_SECONDS = 2.0
# Until the members are read at a start nobody knows who the readers are. The others
# read the table whole later, one after the other; a peer tells them what it holds
# before (seconds).
JOINING_SECONDS = 0.5
FIRST_READ_SECONDS = 1.0
# A reader's call waits so long at least (seconds).
LEAST_WAIT_SECONDS = 0.3


@define
class RegionReaders:
    """Runs an entry's watch of a table, unless others of its region do it for it.

    Attributes
    ----------
    watch : TableWatch
        The table; it is read whole once in any case.
    within : float
        How long after its confirmation a change has to be in force, seconds.
    """

    readers: Readers
    watch: TableWatch
    hearsay: Hearsay
    events: Events
    clock: Callable[[], float]
    rng: random.Random
    within: float = 2.0
    _following: asyncio.Task | None = None
    _asking: dict[str, asyncio.Task] = field(factory=dict)
    _telling: set[asyncio.Task] = field(factory=set)
    _reads: bool = False
    _covered: bool = False
    _turn: int = 0
    _began: float = float("-inf")

    @property
    def covered(self) -> bool:
        """Whether another entry follows the table for this one."""
        return self._covered

    def followed(self, table: str) -> Followed | None:
        """How far this entry follows a table itself; None if it does not."""
        if table != self.watch.table or self._following is None:
            return None
        return self.watch.followed(self.clock())

    async def run(self) -> None:
        """Follow or rely on others for ever."""
        self._began = self.clock()
        try:
            while True:
                self._look()
                self._ask_next()
                if self._following is not None and self._following.done():
                    self._following.result()
                await asyncio.sleep(ASK_SECONDS * self.rng.uniform(0.9, 1.1))
        finally:
            tasks = [*self._asking.values(), *self._telling]
            for task in [*tasks, *filter(None, [self._following])]:
                task.cancel()
            self._asking.clear()

    def tell(self, declarations: list[Declaration]) -> None:
        """Tell followers at once of what the store has just told this reader."""
        members = self.hearsay.members
        told = self.readers.told(members.values())
        if told:
            addresses = [members[vm].address for vm in told]
            task = asyncio.create_task(self.hearsay.push(declarations, addresses))
            self._telling.add(task)
            task.add_done_callback(self._telling.discard)

    def _look(self) -> None:
        """Begin or end following the table, as words of others hold or not."""
        now = self.clock()
        members = self.hearsay.members.values()
        reads = self.readers.reads(members)
        why = self._uncovered(reads, now)
        self._tell_of(reads, why, now)
        self._set_wait(self.readers.shares(members))
        if why and self._following is None and not self._leaves_first_read(now):
            self._following = asyncio.create_task(self.watch.run())
        elif not why and self._following is not None:
            self._following.cancel()
            self._following = None
            self.watch.rest()

    def _leaves_first_read(self, now: float) -> bool:
        """Whether the first read of the table is left to others of the region yet."""
        if self.watch.version >= 0:
            return False
        since = now - self._began
        members = self.hearsay.members.values()
        if not members:
            return since < JOINING_SECONDS
        vm, region = self.readers.vm, self.readers.region
        near = {m.vm for m in members if m.kind == ENTRY and m.region == region}
        if len(near) < LEAST_ENTRIES:
            return False
        return since < read_delay(region, vm, near, READERS, FIRST_READ_SECONDS)

    def _set_wait(self, shares: bool) -> None:
        """Have the store answer soon where others rely on this entry."""
        soon = max(LEAST_WAIT_SECONDS, self.within - NOTICED_SECONDS)
        wait = soon if shares else WAIT_SECONDS
        if wait == self.watch.wait:
            return
        self.watch.wait = wait
        if self._following is not None:
            # The call under way waits for as long as it was told to.
            self._following.cancel()
            self._following = asyncio.create_task(self.watch.run())

    def _tell_of(self, reads: bool, why: str, now: float) -> None:
        table = self.watch.table
        if reads and not self._reads:
            self.events.emit("reader.begun", table=table)
        elif self._reads and not reads:
            self.events.emit("reader.ended", table=table)
        if self._covered and why:
            age = round(now - self.readers.last_word, 3)
            self.events.emit("watch.uncovered", table=table, why=why, age=age)
        elif not self._covered and not why:
            self.events.emit("watch.covered", table=table)
        self._reads, self._covered = reads, not why

    def _uncovered(self, reads: bool, now: float) -> str:
        """Why this entry has to follow the table itself; empty if it has not."""
        if reads:
            return "a reader itself"
        if self.watch.version < 0:
            return "not read yet"
        if not self.readers.covered(now):
            return "no reader's word"
        if self.watch.lags(now, LAG_SECONDS):
            return "a peer knows more"
        return ""

    def _ask_next(self) -> None:
        asked = self.readers.asked(self.hearsay.members.values(), self.clock())
        free = [vm for vm in asked if vm not in self._asking]
        if not free or self.watch.version < 0:
            return
        self._turn += 1
        # The one whose turn it is may still owe an answer.
        vm = asked[self._turn % len(asked)]
        vm = vm if vm in free else free[0]
        self._asking[vm] = task = asyncio.create_task(self._ask(vm))
        task.add_done_callback(lambda task: self._asked(vm, task))

    def _asked(self, vm: str, task: asyncio.Task) -> None:
        # An answer that comes after the end must not begin anything anew.
        if self._asking.pop(vm, None) is not None and not task.cancelled():
            self._look()

    async def _ask(self, vm: str) -> None:
        asked_at = self.clock()
        address = self.hearsay.members[vm].address
        heard = await self.hearsay.ask_reader(address, self.watch.table)
        if heard is None:
            self.readers.silent(vm, self.clock())
        elif heard.followed is None or not heard.whole:
            self.readers.refuses(vm)
        else:
            self.readers.follows(vm, asked_at)
            if not self._reads:
                self.watch.adopt(heard.followed, heard.newest, asked_at)
