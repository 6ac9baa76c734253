"""When versions were named lasts in the store, for processes that begin later."""

import asyncio
import random

import pytest
from wasabideck_base.events import Clock, Events
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.rows import Changes, Row, WriteConflict
from wasabideck_base.version_dates import TIMES_TABLE, DeclarationTimes
from wasabideck_policy.beliefs import Beliefs

WITHIN = 8.0
# How far the store's clock is ahead of the processes' own (seconds).
AHEAD = 5000.0


class FakeStore:
    """One table, whose answers take their time or fail when a test says so."""

    def __init__(self, clock):
        self.clock, self.rows, self.version = clock, {}, 7
        self.way, self.failures, self.reads, self.writes = 0.0, 0, 0, 0
        self.before_write = lambda: None

    async def read(self, table):
        assert table == TIMES_TABLE
        self.reads += 1
        self._fail()
        answered_at = self.clock() + AHEAD
        self.clock.now += self.way
        return Changes(tuple(self.rows.values()), self.version, answered_at)

    async def write(self, writes, expected=()):
        self.writes += 1
        self._fail()
        self.before_write()
        for row in expected:
            known = self.rows.get(row.key)
            if (known.version if known else 0) != row.version:
                raise WriteConflict(row.key)
        for write in writes:
            self.put(write.key, write.value)

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(TIMES_TABLE, key, value, self.version)

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailable("store", "no answer", True)


def same_event(event):
    """An event in the same state, for another event loop."""
    again = asyncio.Event()
    if event.is_set():
        again.set()
    return again


async def settled():
    """Let everything run that waits for no time to pass."""
    for _ in range(50):
        await asyncio.sleep(0)


class StoppedClock:
    """Time that passes when a test says so."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Process:
    """What one process believes of versions, and its dates."""

    def __init__(self, store, clock):
        self.beliefs = Beliefs(clock())
        self.clock = clock
        self.dates = DeclarationTimes(
            store,
            lambda model: self.beliefs.version_ages(model, WITHIN, clock()),
            lambda: self.beliefs.undated_models(WITHIN, clock()),
            self.beliefs.date_version,
            lambda: 0,
            clock,
            Events("vm", Clock(), lambda: 0.0),
            random.Random(1),
        )

    def sees(self, number, ago=0.0):
        """Take in that a version was named just now."""
        self.beliefs.name_version("m", number, self.clock() - ago)
        self.dates.request_publishing("m")

    def hears(self, number):
        """Take in a version that was named nobody knows when."""
        now = self.clock()
        self.beliefs.name_version("m", number, now - WITHIN, False, now)
        self.dates.request_lookup()

    def due(self):
        return self.beliefs.least_version("m", WITHIN, self.clock())

    def run(self, seconds=0.1):
        async def run():
            self.dates._lookup_due = same_event(self.dates._lookup_due)
            self.dates._publishing_due = same_event(self.dates._publishing_due)
            loops = (self.dates.run_publishing(), self.dates.run_lookups())
            tasks = [asyncio.create_task(loop) for loop in loops]
            await settled()
            await asyncio.sleep(seconds)
            await settled()
            for task in tasks:
                assert not task.done()
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(run())


@pytest.fixture
def clock():
    return StoppedClock()


@pytest.fixture
def store(clock):
    return FakeStore(clock)


def test_a_process_that_begins_when_all_have_ended_knows_how_old_a_version_is(
    store, clock
):
    # Guards against weights that are over, where nobody is left who knows it.
    seen = Process(store, clock)
    seen.sees(2)
    seen.run()
    clock.now += 3.0
    seen.sees(3)
    seen.run()
    clock.now += 1.0
    begun = Process(store, clock)
    begun.hears(3)
    assert begun.due() == 3
    begun.run()
    assert begun.due() == 0
    clock.now += 4.0
    assert begun.due() == 2
    clock.now += 3.0
    assert begun.due() == 3


def test_a_date_is_never_later_than_the_version(store, clock):
    # Guards against a slow answer of the store by which a version seems younger.
    store.way = 0.4
    seen = Process(store, clock)
    named_at = clock()
    seen.sees(2)
    seen.run()
    begun = Process(store, clock)
    begun.hears(2)
    begun.run()
    (named,) = begun.beliefs._versions["m"]
    assert named.certain
    assert named_at - 0.8 - 0.01 <= named.since <= named_at


def test_an_answer_that_takes_too_long_dates_nothing(store, clock):
    # Guards against dates that are seconds too old after a read over a full link.
    seen = Process(store, clock)
    seen.sees(2)
    seen.run()
    begun = Process(store, clock)
    begun.hears(2)
    read, hung = store.read, []

    async def slow(table):
        if not hung:
            hung.append(table)
            await asyncio.sleep(60.0)
        return await read(table)

    store.read = slow
    begun.run(1.5)
    assert hung
    assert begun.due() == 0


def test_nothing_older_is_due_without_a_date(store, clock):
    # Guards against a version that counts as young because its date was never kept.
    begun = Process(store, clock)
    begun.hears(3)
    begun.run(0.5)
    assert begun.due() == 3
    assert store.reads >= 2


def test_a_date_that_is_kept_later_is_found(store, clock):
    # Guards against a process that looks once and refuses for the rest of the time.
    begun = Process(store, clock)
    begun.hears(2)
    store.failures = 1
    seen = Process(store, clock)
    seen.beliefs.name_version("m", 2, clock() - 1.0)

    async def run():
        finding = asyncio.create_task(begun.dates.run_lookups())
        await asyncio.sleep(0.05)
        assert begun.due() == 2
        await seen.dates._publish("m")
        await asyncio.sleep(1.0)
        finding.cancel()

    asyncio.run(run())
    assert begun.due() == 0


def test_one_of_several_entries_keeps_a_date(store, clock):
    # Guards against a write of each entry for each version.
    entries = [Process(store, clock) for _ in range(4)]
    for entry in entries:
        entry.sees(2)
        entry.run(0.02)
    assert store.writes == 1


def test_a_lost_write_is_made_again(store, clock):
    # Guards against a version whose date is lost with one answer of the store.
    seen = Process(store, clock)
    seen.sees(2)
    store.failures = 2
    seen.run(2.0)
    assert set(store.rows) == {"m"}


def test_an_older_set_of_dates_replaces_no_newer_one(store, clock):
    # Guards against an entry that was slow and forgets the newest version's date.
    slow, fast = Process(store, clock), Process(store, clock)
    slow.sees(2)

    def overtake():
        store.before_write = lambda: None
        fast.beliefs.name_version("m", 2, clock())
        fast.beliefs.name_version("m", 3, clock())
        store.put("m", b'{"2": 6000.0, "3": 6000.0}')

    store.before_write = overtake
    slow.run(0.5)
    assert store.rows["m"].value == b'{"2": 6000.0, "3": 6000.0}'
    assert slow.beliefs.newest_version("m") == 3


def test_who_guesses_at_a_version_keeps_no_dates(store, clock):
    # Guards against dates that lack a version which is still running.
    seen = Process(store, clock)
    seen.hears(2)
    seen.sees(3)
    seen.run()
    assert store.rows == {}


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"2": "x"}', b'{"x": 1.0}', b'{"2": null}', b"\xff"]
)
def test_a_row_that_cannot_be_read_dates_nothing_and_is_replaced(store, clock, value):
    # Guards against one bad row after which no date lasts any more.
    store.put("m", value)
    begun = Process(store, clock)
    begun.hears(2)
    begun.run()
    assert begun.due() == 2
    seen = Process(store, clock)
    seen.sees(2)
    seen.run()
    begun.dates.request_lookup()
    begun.run(0.5)
    assert begun.due() == 0
