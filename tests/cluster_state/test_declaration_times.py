"""Declaration times of versions last in the store for processes that start later."""

import asyncio
import random

import pytest
from wasabideck_base.declaration_times import TIMES_TABLE, DeclarationTimes
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.rows import Row, RowChanges, WriteConflict
from wasabideck_policy.cluster_state import ClusterState

WITHIN = 8.0
# Offset of the store's clock from the processes' own, in seconds.
AHEAD = 5000.0


class FakeStore:
    """One table, whose answers are delayed or fail when a test says so."""

    def __init__(self, clock):
        self.clock, self.rows, self.version = clock, {}, 7
        self.transit, self.failures, self.reads, self.writes = 0.0, 0, 0, 0
        self.before_write = lambda: None

    async def read(self, table):
        assert table == TIMES_TABLE
        self.reads += 1
        self._fail()
        answered_at = self.clock() + AHEAD
        self.clock.now += self.transit
        return RowChanges(tuple(self.rows.values()), self.version, answered_at)

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
    """Return an event in the same state, for another event loop."""
    again = asyncio.Event()
    if event.is_set():
        again.set()
    return again


async def run_pending_tasks():
    """Run all tasks until each of them waits for time to pass."""
    for _ in range(50):
        await asyncio.sleep(0)


class StoppedClock:
    """A clock that advances only when a test says so."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Process:
    """The versions known to one process, and its declaration times."""

    def __init__(self, store, clock):
        self.cluster_state = ClusterState(clock())
        self.clock = clock
        self.declaration_times = DeclarationTimes(
            store,
            lambda model: self.cluster_state.version_ages(model, WITHIN, clock()),
            lambda: self.cluster_state.models_without_declaration_time(WITHIN, clock()),
            self.cluster_state.record_declaration_time,
            lambda: 0,
            clock,
            Events("vm", HybridClock(), lambda: 0.0),
            random.Random(1),
        )

    def record_declared(self, number, ago=0.0):
        """Record that a version was declared just now."""
        self.cluster_state.declare_version("m", number, self.clock() - ago)
        self.declaration_times.request_publishing("m")

    def record_unknown_time(self, number):
        """Record a version with an unknown declaration time."""
        now = self.clock()
        self.cluster_state.declare_version("m", number, now - WITHIN, False, now)
        self.declaration_times.request_lookup()

    def min_version(self):
        return self.cluster_state.min_version("m", WITHIN, self.clock())

    def run(self, seconds=0.1):
        async def run():
            self.declaration_times._lookup_due = same_event(
                self.declaration_times._lookup_due
            )
            self.declaration_times._publishing_due = same_event(
                self.declaration_times._publishing_due
            )
            loops = (
                self.declaration_times.run_publishing(),
                self.declaration_times.run_lookups(),
            )
            tasks = [asyncio.create_task(loop) for loop in loops]
            await run_pending_tasks()
            await asyncio.sleep(seconds)
            await run_pending_tasks()
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


def test_process_started_after_all_others_ended_knows_version_ages(store, clock):
    # Guards against expired weights when no running process knows their age.
    publisher = Process(store, clock)
    publisher.record_declared(2)
    publisher.run()
    clock.now += 3.0
    publisher.record_declared(3)
    publisher.run()
    clock.now += 1.0
    started = Process(store, clock)
    started.record_unknown_time(3)
    assert started.min_version() == 3
    started.run()
    assert started.min_version() == 0
    clock.now += 4.0
    assert started.min_version() == 2
    clock.now += 3.0
    assert started.min_version() == 3


def test_published_time_is_not_later_than_declaration(store, clock):
    # Guards against underestimating a version's age by a slow answer of the store.
    store.transit = 0.4
    publisher = Process(store, clock)
    declared_at = clock()
    publisher.record_declared(2)
    publisher.run()
    started = Process(store, clock)
    started.record_unknown_time(2)
    started.run()
    (version,) = started.cluster_state._versions["m"]
    assert version.declaration_time_known
    assert declared_at - 0.8 - 0.01 <= version.allowed_from <= declared_at


def test_too_slow_answer_is_not_used(store, clock):
    # Guards against ages overestimated by seconds after a read over a full link.
    publisher = Process(store, clock)
    publisher.record_declared(2)
    publisher.run()
    started = Process(store, clock)
    started.record_unknown_time(2)
    read, delayed = store.read, []

    async def slow(table):
        if not delayed:
            delayed.append(table)
            await asyncio.sleep(60.0)
        return await read(table)

    store.read = slow
    started.run(1.5)
    assert delayed
    assert started.min_version() == 0


@pytest.mark.parametrize("seconds", [0.7, 1.2])
def test_late_answer_of_a_slow_store_is_used(store, clock, seconds):
    # Guards against a process that counts the newest version as expired, and refuses
    # requests, for as long as the store takes longer for an answer than it waits.
    publisher = Process(store, clock)
    publisher.record_declared(2)
    publisher.run()
    started = Process(store, clock)
    started.record_unknown_time(2)
    read = store.read

    async def slow(table):
        await asyncio.sleep(seconds)
        return await read(table)

    store.read = slow
    started.run(seconds + 0.3)
    assert started.min_version() == 0


def test_version_without_published_time_is_in_effect(store, clock):
    # Guards against underestimating the age of a version whose time was never
    # published.
    started = Process(store, clock)
    started.record_unknown_time(3)
    started.run(0.5)
    assert started.min_version() == 3
    assert store.reads >= 2


def test_time_published_later_is_found(store, clock):
    # Guards against a process that looks up once and refuses requests after that.
    started = Process(store, clock)
    started.record_unknown_time(2)
    store.failures = 1
    publisher = Process(store, clock)
    publisher.cluster_state.declare_version("m", 2, clock() - 1.0)

    async def run():
        lookup = asyncio.create_task(started.declaration_times.run_lookups())
        await asyncio.sleep(0.05)
        assert started.min_version() == 2
        await publisher.declaration_times._publish("m")
        await asyncio.sleep(1.0)
        lookup.cancel()

    asyncio.run(run())
    assert started.min_version() == 0


def test_one_of_several_entries_publishes_a_time(store, clock):
    # Guards against a write by each entry for each version.
    entries = [Process(store, clock) for _ in range(4)]
    for entry in entries:
        entry.record_declared(2)
        entry.run(0.02)
    assert store.writes == 1


def test_lost_write_is_repeated(store, clock):
    # Guards against losing a version's time with one answer of the store.
    publisher = Process(store, clock)
    publisher.record_declared(2)
    store.failures = 2
    publisher.run(2.0)
    assert set(store.rows) == {"m"}


def test_older_times_do_not_replace_newer_ones(store, clock):
    # Guards against a slow entry that overwrites the newest version's time.
    slow, fast = Process(store, clock), Process(store, clock)
    slow.record_declared(2)

    def overtake():
        store.before_write = lambda: None
        fast.cluster_state.declare_version("m", 2, clock())
        fast.cluster_state.declare_version("m", 3, clock())
        store.put("m", b'{"2": 6000.0, "3": 6000.0}')

    store.before_write = overtake
    slow.run(0.5)
    assert store.rows["m"].value == b'{"2": 6000.0, "3": 6000.0}'
    assert slow.cluster_state.newest_version("m") == 3


def test_process_with_estimated_age_publishes_no_times(store, clock):
    # Guards against published times that lack an unexpired version.
    publisher = Process(store, clock)
    publisher.record_unknown_time(2)
    publisher.record_declared(3)
    publisher.run()
    assert store.rows == {}


@pytest.mark.parametrize(
    "value", [b"", b"[]", b'{"2": "x"}', b'{"x": 1.0}', b'{"2": null}', b"\xff"]
)
def test_unreadable_row_is_ignored_and_replaced(store, clock, value):
    # Guards against one unreadable row that blocks all later times.
    store.put("m", value)
    started = Process(store, clock)
    started.record_unknown_time(2)
    started.run()
    assert started.min_version() == 2
    publisher = Process(store, clock)
    publisher.record_declared(2)
    publisher.run()
    started.declaration_times.request_lookup()
    started.run(0.5)
    assert started.min_version() == 0


def test_published_time_that_agrees_makes_no_version_older(store, clock):
    # Guards against weights that end early, by the time that a slow read took, at each
    # process that saw the version declared.
    declared_at = clock()
    store.put("m", b'{"2": %.1f}' % (declared_at + AHEAD))
    saw_it = Process(store, clock)
    saw_it.cluster_state.declare_version(
        "m", 2, declared_at - 0.1, declared_by=declared_at + 0.1
    )
    read = store.read

    async def slow(table):
        clock.now += 0.4
        return await read(table)

    store.read = slow
    saw_it.declaration_times.request_lookup()
    saw_it.run()
    assert store.reads == 1
    assert saw_it.cluster_state.newest("m").allowed_from == declared_at - 0.1


def test_published_time_before_the_known_one_counts(store, clock):
    # Guards against a process that was suspended while the version was declared.
    declared_at = clock()
    store.put("m", b'{"2": %.1f}' % (declared_at + AHEAD))
    clock.now += 3.0
    late = Process(store, clock)
    late.record_declared(2)
    late.declaration_times.request_lookup()
    late.run()
    assert late.cluster_state.newest("m").allowed_from == pytest.approx(declared_at)
