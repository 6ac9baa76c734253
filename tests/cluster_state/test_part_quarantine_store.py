"""Quarantined prompt parts last in the store for processes that start later."""

import asyncio
import contextlib
import random

import orjson
import pytest
from wasabideck_adapter.store import StoreClient
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.part_quarantine_store import (
    CALL_TIMEOUT_SECONDS,
    FIRST_CHANGE_DELAY_SECONDS,
    MAX_CHANGES_PER_WRITE,
    MAX_LOADING_BACKOFF_SECONDS,
    MAX_PUBLISHING_BACKOFF_SECONDS,
    MAX_ROW_BYTES,
    MAX_ROWS,
    PARTS_TABLE,
    MalformedPart,
    PartQuarantineStore,
    parse_part,
    part_key,
    part_row,
)
from wasabideck_base.rows import Row, RowChanges, WriteConflict
from wasabideck_policy.part_quarantine import QUARANTINE_SECONDS, PartQuarantine
from wasabideck_policy.suspect_parts import (
    MAX_CRASHES_PER_PART,
    PartCrash,
    SuspectPart,
)

START = 1000.0
# Offset of the store's clock from correct wall clocks, in seconds.
AHEAD = 5000.0
TRANSIT_SECONDS = 0.01
SOUND_ROW = {
    "part": "bad",
    "depth": 1,
    "until": START + AHEAD + 300.0,
    "crashes": {"c": [1, "r"]},
    "refuted_round": 0,
}
# Time in which an entry loads or publishes parts if nothing fails.
PROMPT_SECONDS = 0.1


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances at once to the next timer."""

    def __init__(self):
        super().__init__()
        self._now = START
        select = self._selector.select

        def advance(timeout):
            assert timeout is not None, "nothing left to wait for"
            self._now += timeout
            return select(0)

        self._selector.select = advance

    def time(self):
        return self._now


def run(test):
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(test)


def loop_time():
    return asyncio.get_running_loop().time()


class FakeStore:
    """One table, whose responses are delayed, lost or refused when a test says so."""

    def __init__(self):
        self.rows, self.version = {}, 7
        self.reads, self.writes, self.largest_write = 0, 0, 0
        self.failure, self.refuses_removal = None, False
        self.silent = self.loses_responses = False
        self.before_write = lambda: None

    async def read(self, table):
        assert table == PARTS_TABLE
        self.reads += 1
        await self._reach()
        return RowChanges(tuple(self.rows.values()), self.version, self.now())

    async def write(self, writes, expected=(), removed=()):
        writes, expected, removed = list(writes), list(expected), list(removed)
        self.writes += 1
        entries = len(writes) + len(expected) + len(removed)
        self.largest_write = max(self.largest_write, entries)
        await self._reach()
        self.before_write()
        if removed and self.refuses_removal:
            raise PlatformRefused("store", 400, b"")
        for row in expected:
            known = self.rows.get(row.key)
            if (known.version if known else 0) != row.version:
                raise WriteConflict(row.key)
        for write in writes:
            self.put(write.key, write.value)
        for row in removed:
            del self.rows[row.key]
        if self.loses_responses:
            raise PlatformUnavailable("store", "no answer", True)

    def now(self):
        return loop_time() + AHEAD

    def put(self, key, value):
        self.version += 1
        self.rows[key] = Row(PARTS_TABLE, key, value, self.version)

    def parts(self):
        return {parse_part(row).part for row in self.rows.values()}

    async def _reach(self):
        if self.silent:
            await asyncio.Event().wait()
        if self.failure:
            raise self.failure
        await asyncio.sleep(TRANSIT_SECONDS)


class Entry:
    """One entry: its evidence, and its store of quarantined parts."""

    def __init__(self, store, seed=1, rank=0, clock_error=0.0):
        self.quarantine, self.loaded, self.emitted = PartQuarantine(), [], []
        self.clock_error, self.tasks = clock_error, []
        events = Events(f"vm-{seed}", HybridClock(), lambda: 0.0)
        events.listeners.append(lambda kind, fields: self.emitted.append(kind))
        self.parts = PartQuarantineStore(
            store,
            self.quarantine,
            lambda: rank,
            self.wall_clock,
            events,
            random.Random(seed),
            self.loaded.append,
        )

    def wall_clock(self):
        return loop_time() + self.clock_error

    def quarantined(self):
        return self.quarantine.quarantined(self.wall_clock())

    def crash(self, part, request="r"):
        """Record as many crashes as quarantine a part."""
        for number in range(3):
            known = self.quarantine.known_rounds([part])
            self.quarantine.record_crash(
                f"{part_key(part)}-{number}",
                [part],
                f"{request}{number}",
                known,
                self.wall_clock(),
            )

    @contextlib.asynccontextmanager
    async def running(self, seconds=PROMPT_SECONDS):
        """Run both loops, at first for some seconds."""
        loops = (self.parts.run_loading(), self.parts.run_publishing())
        tasks = [asyncio.create_task(loop) for loop in loops]
        await asyncio.sleep(seconds)
        try:
            yield self
        finally:
            for task in tasks:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            assert all(
                end is None or isinstance(end, asyncio.CancelledError) for end in ended
            )

    async def publish(self, *parts, seconds=PROMPT_SECONDS):
        for part in parts:
            self.crash(part)
        self.parts.request_publishing()
        await asyncio.sleep(seconds)


@pytest.fixture
def store():
    return FakeStore()


def suspect(until, crashes=3, request="r"):
    evidence = {f"c{n}": PartCrash(n + 1, f"{request}{n}") for n in range(crashes)}
    return SuspectPart(2, until, evidence)


def put_part(store, part, remaining, crashes=3):
    row = part_row(part, suspect(store.now() + remaining, crashes))
    store.put(row.key, row.value)


def test_quarantine_outlives_restart_of_all_processes(store):
    # Guards against further crashes after a restart that leaves no peer with evidence.
    async def test():
        async with Entry(store).running() as before:
            assert before.loaded == [[]]
            await before.publish("bad")
        await asyncio.sleep(10.0)
        async with Entry(store, seed=2).running() as after:
            assert after.loaded == [["bad"]]
            assert after.quarantined() == {"bad"}
            assert after.quarantine.is_quarantined(["good", "bad"], after.wall_clock())
            assert not after.quarantine.is_quarantined(["good"], after.wall_clock())
            original = before.quarantine.suspects["bad"]
            assert after.quarantine.suspects["bad"].crashes == original.crashes
            assert after.emitted == ["parts.loaded"]

    run(test())


def test_empty_table_costs_one_read_per_start(store):
    # Guards against polling by several hundred entries.
    async def test():
        async with Entry(store).running(3600.0) as entry:
            assert entry.loaded == [[]]
        assert (store.reads, store.writes, entry.emitted) == (1, 0, [])

    run(test())


def test_entry_loads_parts_when_store_is_back(store):
    # Guards against an entry that gives up reading while the store is unavailable.
    async def test():
        put_part(store, "bad", 500.0)
        store.failure = PlatformUnavailable("store", "no answer", False)
        async with Entry(store).running(60.0) as entry:
            assert entry.loaded == []
            assert 20 <= store.reads <= 40
            assert set(entry.emitted) == {"parts.unavailable"}
            store.failure = None
            await asyncio.sleep(MAX_LOADING_BACKOFF_SECONDS)
            assert entry.quarantined() == {"bad"}

    run(test())


@pytest.mark.parametrize("failure", ["silent", "refusing"])
def test_failing_read_is_repeated(store, failure):
    # Guards against an entry that waits forever, or ends, on its first read.
    async def test():
        put_part(store, "bad", 500.0)
        store.silent = failure == "silent"
        if failure == "refusing":
            store.failure = PlatformRefused("store", 429, b"")
        async with Entry(store).running(CALL_TIMEOUT_SECONDS + 1.0) as entry:
            store.silent, store.failure = False, None
            await asyncio.sleep(CALL_TIMEOUT_SECONDS + MAX_LOADING_BACKOFF_SECONDS)
            assert entry.quarantined() == {"bad"}

    run(test())


def test_rows_without_time_of_store_are_not_loaded(store):
    # Guards against a part that stays quarantined because its row's age is unknown.
    async def test():
        put_part(store, "bad", 500.0)
        read = store.read

        async def read_without_time(table):
            changes = await read(table)
            return RowChanges(changes.rows, changes.version)

        store.read = read_without_time
        async with Entry(store).running(1.0) as entry:
            assert entry.loaded == []
            store.read = read
            await asyncio.sleep(MAX_LOADING_BACKOFF_SECONDS)
            assert entry.quarantined() == {"bad"}

    run(test())


def test_one_of_several_entries_publishes_a_part(store):
    # Guards against a write by each of several hundred entries.
    async def test():
        async with contextlib.AsyncExitStack() as stack:
            entries = [
                await stack.enter_async_context(Entry(store, rank, rank).running())
                for rank in range(30)
            ]
            for entry in entries:
                entry.crash("bad")
                entry.parts.request_publishing()
            await asyncio.sleep(PROMPT_SECONDS)
            assert store.parts() == {"bad"}
            await asyncio.sleep(5.0)
            assert store.writes == 1
            assert store.reads == 2 * len(entries)

    run(test())


def test_next_entry_publishes_when_first_does_not(store):
    # Guards against a part that is never written as the first entry in rank is gone.
    async def test():
        async with Entry(store, rank=1).running() as entry:
            await entry.publish("bad", seconds=0.3)
            assert store.parts() == {"bad"}

    run(test())


def test_two_publishers_at_the_same_time_keep_both_parts(store):
    # Guards against a publisher that overwrites rows it has not read.
    async def test():
        slow, fast = Entry(store, 1), Entry(store, 2)

        def overtake():
            store.before_write = lambda: None
            for part in ("bad", "worse"):
                put_part(store, part, QUARANTINE_SECONDS, crashes=4)

        store.before_write = overtake
        async with slow.running(), fast.running():
            await slow.publish("bad", "other", seconds=1.0)
            assert store.parts() == {"bad", "worse", "other"}
            stored = parse_part(store.rows[part_key("bad")])
            assert len(stored.found.crashes) == 4

    run(test())


def test_lost_response_does_not_repeat_the_write(store):
    # Guards against writes that go on because a response was lost.
    async def test():
        async with Entry(store).running() as entry:
            store.loses_responses = True
            await entry.publish("bad", seconds=60.0)
            assert store.parts() == {"bad"}
            assert (store.reads, store.writes) == (3, 1)

    run(test())


@pytest.mark.parametrize("failure", ["silent", "unavailable", "refusing"])
def test_part_is_published_when_store_is_back(store, failure):
    # Guards against losing a part whose entry could not write it at once, and against
    # calls without pause to a store that is overloaded.
    failures = {
        "silent": None,
        "unavailable": PlatformUnavailable("store", "no answer", False),
        "refusing": PlatformRefused("store", 429, b""),
    }

    async def test():
        async with Entry(store).running() as entry:
            store.silent, store.failure = failure == "silent", failures[failure]
            await entry.publish("bad", seconds=120.0)
            assert entry.quarantined() == {"bad"}
            assert store.reads <= 30
            store.silent, store.failure = False, None
            await asyncio.sleep(MAX_PUBLISHING_BACKOFF_SECONDS + CALL_TIMEOUT_SECONDS)
            assert store.parts() == {"bad"}

    run(test())


def test_publishing_ends_with_the_quarantine(store):
    # Guards against retries that never end.
    async def test():
        async with Entry(store).running() as entry:
            store.failure = PlatformUnavailable("store", "no answer", False)
            await entry.publish("bad", seconds=QUARANTINE_SECONDS + 60.0)
            assert entry.quarantined() == set()
            reads = store.reads
            await asyncio.sleep(3600.0)
            assert store.reads == reads

    run(test())


def test_expired_rows_are_ignored_and_removed(store):
    # Guards against a part that is refused for longer than its quarantine lasts, and
    # against a table that grows forever.
    async def test():
        put_part(store, "expired", -0.1)
        put_part(store, "bad", 300.0)
        async with Entry(store).running() as entry:
            assert entry.loaded == [["bad"]]
            assert "expired" not in entry.quarantine.suspects
            await asyncio.sleep(2 * FIRST_CHANGE_DELAY_SECONDS)
            assert store.parts() == {"bad"}

    run(test())


def test_table_is_empty_after_the_quarantine(store):
    # Guards against rows that no process removes.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish("bad", "worse")
            assert len(store.rows) == 2
            await asyncio.sleep(QUARANTINE_SECONDS)
            assert entry.quarantined() == set()
            entry.parts.request_publishing()
            await asyncio.sleep(PROMPT_SECONDS)
            assert store.rows == {}

    run(test())


def test_entries_that_start_together_do_not_write_at_once(store):
    # Guards against writes by all entries that start while no rank is known yet.
    async def test():
        put_part(store, "expired", -10.0)
        put_part(store, "bad", 100.0)
        async with contextlib.AsyncExitStack() as stack:
            for seed in range(20):
                entry = Entry(store, seed)
                entry.parts.request_publishing()
                await stack.enter_async_context(entry.running(0.0))
            await asyncio.sleep(FIRST_CHANGE_DELAY_SECONDS - 0.1)
            assert store.writes == 0
            await asyncio.sleep(FIRST_CHANGE_DELAY_SECONDS + 0.2)
            assert store.parts() == {"bad"}
            assert 1 <= store.writes <= 4

    run(test())


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b"null",
        b"\xff",
        b'{"part": "bad"}',
        *(
            orjson.dumps(SOUND_ROW | change)
            for change in (
                {"crashes": []},
                {"crashes": {}},
                {"crashes": {"c": [1, 2]}},
                {"crashes": {"c": [1]}},
                {"crashes": {"c": [9_000_000_000_000_000_000, "r"]}},
                {"refuted_round": False},
                {"until": None},
                {"depth": "x"},
                {"depth": -1},
                {"part": "other"},
                {"part": 5},
            )
        ),
        b"[" * MAX_ROW_BYTES,
        b'"' + b"x" * MAX_ROW_BYTES + b'"',
    ],
)
def test_unreadable_row_is_skipped_and_replaced(store, value):
    # Guards against one unreadable row that blocks all others.
    async def test():
        store.put(part_key("bad"), value)
        with pytest.raises(MalformedPart):
            parse_part(store.rows[part_key("bad")])
        put_part(store, "worse", 300.0)
        async with Entry(store).running() as entry:
            assert entry.loaded == [["worse"]]
            assert entry.emitted == ["row.unreadable", "parts.loaded"]
            await entry.publish("bad", seconds=2 * FIRST_CHANGE_DELAY_SECONDS + 1.0)
            assert store.parts() == {"bad", "worse"}

    run(test())


def test_sound_row_is_loaded(store):
    # Guards against tests of unreadable rows that would be unreadable anyway.
    async def test():
        store.put(part_key("bad"), orjson.dumps(SOUND_ROW))
        async with Entry(store).running() as entry:
            assert entry.loaded == [["bad"]]

    run(test())


@pytest.mark.parametrize("until", ["nan", "inf", "-inf", "1e300"])
def test_row_with_impossible_time_is_not_loaded(store, until):
    # Guards against a part that stays quarantined forever.
    async def test():
        store.put(part_key("bad"), orjson.dumps(SOUND_ROW | {"until": until}))
        async with Entry(store).running() as entry:
            assert entry.loaded == [[]]

    run(test())


def test_clock_ahead_does_not_extend_quarantine(store):
    # Guards against a part that is refused for hours after a process with a wrong clock
    # published it.
    async def test():
        async with Entry(store, clock_error=7200.0).running() as entry:
            await entry.publish("bad")
            entry.quarantine.suspects["bad"].until += 7200.0
            entry.parts.request_publishing()
            await asyncio.sleep(PROMPT_SECONDS)
        (row,) = store.rows.values()
        assert parse_part(row).found.until <= store.now() + QUARANTINE_SECONDS
        async with Entry(store, seed=2).running() as after:
            assert after.quarantined() == {"bad"}
            limit = after.wall_clock() + QUARANTINE_SECONDS
            assert after.quarantine.suspects["bad"].until <= limit
        await asyncio.sleep(QUARANTINE_SECONDS)
        async with Entry(store, seed=3).running() as last:
            assert last.loaded == [[]]

    run(test())


@pytest.mark.parametrize("clock_error", [-3600.0, 3600.0])
def test_wrong_clock_of_reader_does_not_change_time_left(store, clock_error):
    # Guards against rows that seem expired to a process whose clock is ahead.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish("bad")
        await asyncio.sleep(100.0)
        async with Entry(store, clock_error=clock_error).running() as after:
            assert after.loaded == [["bad"]]
        await asyncio.sleep(QUARANTINE_SECONDS - 100.0)
        async with Entry(store, clock_error=clock_error).running() as last:
            assert last.loaded == [[]]

    run(test())


def test_refuted_part_is_withdrawn(store):
    # Guards against a harmless part that is refused again after a restart.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish("harmless", "bad")
            assert store.parts() == {"bad", "harmless"}
            entry.quarantine.record_sound(["harmless"])
            await entry.publish()
            assert store.parts() == {"bad"}

    run(test())


def test_part_that_is_unknown_here_is_not_withdrawn(store):
    # Guards against an entry that removes what it has not heard of by gossip yet.
    async def test():
        async with Entry(store).running() as first, Entry(store, 2).running() as second:
            await first.publish("bad")
            crash = f"{part_key('bad')}-0"
            second.quarantine.record_crash(crash, ["bad"], "r", {}, loop_time())
            await second.publish("other")
            assert store.parts() == {"bad", "other"}

    run(test())


def test_part_quarantined_again_is_written_again(store):
    # Guards against a row that expires while its part is still quarantined.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish("bad")
            await asyncio.sleep(QUARANTINE_SECONDS - 10.0)
            entry.quarantine.suspects["bad"].until += QUARANTINE_SECONDS - 60.0
            await entry.publish()
        await asyncio.sleep(QUARANTINE_SECONDS - 120.0)
        async with Entry(store, seed=2).running() as after:
            assert after.loaded == [["bad"]]

    run(test())


def test_number_and_size_of_rows_are_bounded(store):
    # Guards against a table, or a transaction, that callers can make arbitrarily large.
    async def test():
        async with contextlib.AsyncExitStack() as stack:
            for seed in range(4):
                entry = await stack.enter_async_context(Entry(store, seed).running())
                for part in range(1000):
                    name, now = f"{seed}/{part}", entry.wall_clock()
                    found = suspect(now + 500.0 + part / 100)
                    crashes = {f"{name}/{c}": e for c, e in found.crashes.items()}
                    found = SuspectPart(1, found.until, crashes)
                    entry.quarantine.merge(name, found, now)
                await entry.publish(seconds=2 * FIRST_CHANGE_DELAY_SECONDS + 5.0)
                assert len(store.rows) == MAX_ROWS
                writes = store.writes
                await entry.publish()
                assert store.writes == writes
        assert store.largest_write <= 2 * MAX_CHANGES_PER_WRITE <= 100
        assert all(len(row.value) <= MAX_ROW_BYTES for row in store.rows.values())

    run(test())


def test_rows_that_expire_first_are_dropped(store):
    # Guards against dropping the parts that are quarantined for longest.
    async def test():
        for part in range(MAX_ROWS):
            put_part(store, f"old{part:02}", 100.0 + part)
        async with Entry(store).running(3 * FIRST_CHANGE_DELAY_SECONDS) as entry:
            # What was loaded was refreshed; reset the table to rows that expire first.
            store.rows.clear()
            entry.quarantine.suspects.clear()
            for part in range(MAX_ROWS):
                put_part(store, f"old{part:02}", 100.0 + part)
            await entry.publish("new1", "new2", seconds=5.0)
            assert {"new1", "new2"} <= store.parts()
            assert {"old00", "old01"}.isdisjoint(store.parts())
            assert len(store.rows) == MAX_ROWS

    run(test())


def test_thousands_of_rows_are_removed_step_by_step(store):
    # Guards against a transaction larger than the store accepts.
    async def test():
        for part in range(2000):
            put_part(store, f"old{part}", -1.0)
        async with Entry(store).running() as entry:
            assert entry.loaded == [[]]
            await asyncio.sleep(900.0)
            assert store.rows == {}
        assert store.largest_write <= 100

    run(test())


def test_thousands_of_live_rows_load_within_bounds(store):
    # Guards against a start that takes seconds because of a table that was filled.
    async def test():
        for part in range(2000):
            put_part(store, f"bad{part}", 100.0 + part / 10)
        async with Entry(store).running() as entry:
            (loaded,) = entry.loaded
            assert sorted(loaded) == sorted(
                f"bad{n}" for n in range(2000 - MAX_ROWS, 2000)
            )

    run(test())


def test_refused_removal_does_not_prevent_publishing(store):
    # Guards against parts that are not persisted as outdated rows cannot be removed.
    async def test():
        for part in range(100):
            put_part(store, f"old{part}", -1.0)
        store.refuses_removal = True
        async with Entry(store).running() as entry:
            await entry.publish("bad", seconds=60.0)
            assert "bad" in store.parts()
            assert store.writes <= 3

    run(test())


def test_two_entries_may_remove_the_same_row(store):
    # Guards against a publisher that ends when another one has removed a row first.
    async def test():
        put_part(store, "expired", -1.0)
        async with Entry(store).running(20.0) as entry:
            put_part(store, "expired", -1.0)
            overtake = store.rows.clear
            store.before_write = lambda: len(store.rows) == 1 and overtake()
            await entry.publish(seconds=1.0)
            assert store.rows == {}
            store.before_write = lambda: None
            await entry.publish("bad")
            assert store.parts() == {"bad"}

    run(test())


@pytest.mark.parametrize(
    "part", ["", "x" * 200, "x" * 1000, "\xe4\n/,:", "a b", "\x00", "\u65e5\u672c"]
)
def test_odd_part_id_is_published(store, part):
    # Guards against part ids of callers that are no valid keys.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish(part)
        (key,) = store.rows
        assert key.isalnum()
        assert len(key) <= 200
        async with Entry(store, seed=2).running() as after:
            assert after.quarantined() == {part}

    run(test())


@pytest.mark.parametrize("part", ["x" * MAX_ROW_BYTES, "\udcff"])
def test_part_id_that_cannot_be_stored_is_skipped(store, part):
    # Guards against one part id that prevents publishing of the others.
    async def test():
        async with Entry(store).running() as entry:
            await entry.publish(part, "bad")
            assert store.parts() == {"bad"}

    run(test())


def test_row_with_all_evidence_fits(store):
    # Guards against evidence of the usual size that is too large for a row.
    evidence = {
        f"i-277c4e6c6e/17910420000{n:02}": PartCrash(n + 1, f"{n:064x}")
        for n in range(MAX_CRASHES_PER_PART)
    }
    row = part_row("5c1e07a2", SuspectPart(3, 1791042000.123456, evidence))
    stored = parse_part(Row(PARTS_TABLE, row.key, row.value, 1))
    assert stored.found == SuspectPart(3, 1791042000.123, evidence)


def test_rows_are_removed_in_the_transaction():
    # Guards against a removal that the store's client leaves out.
    sent = []

    class Http:
        async def call(self, method, path, data, **options):
            sent.append((method, path, orjson.loads(data)))
            return 200, b"{}"

    row = Row("t", "k", b"x", 5)
    asyncio.run(StoreClient(Http()).write([], [row], [row]))
    ((_, _, body),) = sent
    assert body["remove"] == [{"table": "t", "part": "", "key": "k"}]
    assert body["expected-rev"] == [{"table": "t", "part": "", "key": "k", "ver": 5}]
    assert body["upserts"] == []
