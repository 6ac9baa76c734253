"""Following a table through outages, lost history, stale answers and silence."""

import asyncio
import random

import pytest
from wasabideck_base.events import Clock, Events
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.rows import Changes, HistoryLost, Row
from wasabideck_base.table_watch import STALLED_CALL_SECONDS, TablePosition, TableWatch


class ScriptedStore:
    """Gives prepared answers in turn; an exception is raised, None never answers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.bytes_received = 0

    def received(self, table):
        return self.bytes_received

    async def read(self, table):
        return await self._next("read")

    async def follow(self, table, after, wait):
        return await self._next(("follow", after))

    async def _next(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if answer is None:
            await asyncio.Event().wait()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Seen:
    def __init__(self):
        self.took, self.whole, self.returned = [], [], 0

    def count_return(self, seconds):
        self.returned += 1


@pytest.fixture
def seen():
    return Seen()


@pytest.fixture
def clock():
    return [0.0]


def watch_of(store, seen, clock):
    return TableWatch(
        store,
        "servers",
        lambda rows: seen.took.extend((r.key, r.removed) for r in rows),
        lambda rows: seen.whole.append({r.key for r in rows}),
        seen.count_return,
        lambda: clock[0],
        Events("vm", Clock(), lambda: 0.0),
        random.Random(1),
    )


def row(key, version, removed=False):
    return Row("servers", key, b"{}", version, removed)


async def steps(watch, count):
    for _ in range(count):
        await watch.step()


def test_a_whole_read_comes_first_and_then_changes(seen, clock):
    store = ScriptedStore(
        Changes((row("a", 1),), 5), Changes((row("a", 6, removed=True),), 6)
    )
    asyncio.run(steps(watch_of(store, seen, clock), 2))
    assert store.calls == ["read", ("follow", 5)]
    assert seen.took == [("a", False), ("a", True)]


def test_a_stale_answer_takes_nothing_away(seen, clock):
    # After the store forgot its history a whole read is due; one that comes from
    # seconds before lacks a server that has joined since, and would drop it.
    store = ScriptedStore(
        Changes((row("a", 4), row("b", 9)), 9),
        HistoryLost("servers", 9),
        Changes((row("a", 4),), 5),
        Changes((row("a", 4), row("b", 9)), 9),
    )
    watch = watch_of(store, seen, clock)

    async def run():
        await watch.step()
        with pytest.raises(HistoryLost):
            await watch.step()
        watch._needs_full_read = True
        await watch.step()
        await watch.step()

    asyncio.run(run())
    assert seen.whole == [{"a", "b"}, {"a", "b"}]


def test_an_outage_is_noticed_and_its_end_is_told(seen, clock):
    store = ScriptedStore(
        Changes((), 1),
        PlatformUnavailable("store", "down", False),
        Changes((), 2),
        None,
    )
    watch = watch_of(store, seen, clock)

    async def run():
        task = asyncio.create_task(watch.run())
        while len(store.calls) < 4:
            await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run())
    assert seen.returned == 1


def test_a_silent_connection_is_left_when_a_peer_knows_more(seen, clock):
    # The connection to the store goes silent for good while others work. Nothing
    # comes, and nothing fails: a server that leaves would get requests for as long
    # as the call may hang. A peer that knows a newer row shows it.
    store = ScriptedStore(Changes((row("a", 1),), 1), None, Changes((), 3))
    watch = watch_of(store, seen, clock)

    async def run():
        await watch.step()
        hanging = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        watch.note_newer_row(7)
        assert not hanging.done()
        clock[0] = STALLED_CALL_SECONDS
        watch.note_newer_row(7)
        with pytest.raises(PlatformUnavailable):
            await hanging

    asyncio.run(run())


def test_a_call_whose_answer_is_coming_is_not_broken_off(seen, clock):
    # Guards against a configuration read anew over the link that was bringing it.
    store = ScriptedStore(Changes((row("a", 5),), 6), None)
    watch = watch_of(store, seen, clock)

    async def run():
        await watch.step()
        hanging = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        for _ in range(4):
            watch.note_newer_row(7)
            clock[0] += STALLED_CALL_SECONDS
            store.bytes_received += 10_000
        await asyncio.sleep(0)
        assert not hanging.done()
        assert watch.is_lagging(clock[0], STALLED_CALL_SECONDS)
        watch.note_newer_row(7)
        clock[0] += 2 * STALLED_CALL_SECONDS
        watch.note_newer_row(7)
        with pytest.raises(PlatformUnavailable):
            await hanging

    asyncio.run(run())


def test_a_peer_that_knows_no_more_breaks_nothing_off(seen, clock):
    # The store's version grows with any write to any table; only rows of this one
    # count, or watches would be broken off all the time.
    store = ScriptedStore(Changes((row("a", 5),), 90), None)
    watch = watch_of(store, seen, clock)

    async def run():
        await watch.step()
        hanging = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        for now in (0.0, 5.0):
            clock[0] = now
            watch.note_newer_row(5)
        await asyncio.sleep(0)
        assert not hanging.done()
        hanging.cancel()

    asyncio.run(run())


def test_a_storm_of_changes_is_read_by_its_last_one(seen, clock):
    # Operators write a configuration of 40 KB four times a second. TablePosition, each of
    # them is sent to each entry; the link between two regions was full with them, and
    # entries were two seconds behind. The table itself holds only the last one.
    store = ScriptedStore(
        Changes((row("a", 1),), 1),
        Changes((row("a", 2),), 2),
        Changes((row("a", 3),), 3),
        Changes((row("a", 6),), 6),
        Changes((row("a", 9),), 9),
    )
    watch = watch_of(store, seen, clock)
    watch.prefers_full_read = True

    async def run():
        for now in (0.0, 5.0, 5.4, 5.8, 20.0):
            clock[0] = now
            await watch.step()

    asyncio.run(run())
    assert store.calls == ["read", ("follow", 1), ("follow", 2), "read", ("follow", 6)]


def test_what_a_peer_told_before_the_first_read_is_taken_from_the_store(seen, clock):
    # An entry starts while the store turns it away, and a peer tells of servers. They
    # were kept as known and not acted on; when the store answered they were nothing
    # new, and the entry had no server until their rows changed.
    store = ScriptedStore(Changes((row("a", 3),), 5))
    watch = watch_of(store, seen, clock)
    watch.merge_rows([row("a", 3)])
    assert seen.took == []
    asyncio.run(steps(watch, 1))
    assert seen.took == [("a", False)]


@pytest.mark.parametrize(
    ("asked_at", "failed", "written_since"),
    [(101.0, False, 99.6), (110.0, False, 108.3), (101.0, True, 100.0)],
)
def test_what_comes_after_a_readers_last_word_is_as_old_as_that(
    seen, clock, asked_at, failed, written_since
):
    # A follower whose readers end asks a second after their last word, and would take
    # what was named right after it for a version of a second; one that stood still for
    # long, or that the store did not answer, counts as others do.
    away = PlatformUnavailable("store", "away", False)
    answers = [away] * failed + [Changes((row("a", 9),), 9)]
    store = ScriptedStore(Changes((row("a", 1),), 1), *answers)
    watch = watch_of(store, seen, clock)

    async def run():
        await watch.step()
        clock[0] = 100.0
        watch.adopt_position(TablePosition(7, 0.4), newest=6, asked_at=100.0)
        clock[0] = asked_at
        if failed:
            with pytest.raises(PlatformUnavailable) as exc:
                await watch.step()
            watch._record_failure(exc.value)
        await watch.step()

    asyncio.run(run())
    assert store.calls[-1] == ("follow", 7)
    assert watch.written_since == pytest.approx(written_since)


def test_how_far_a_watch_has_come_is_told_with_what_it_may_lack(seen, clock):
    # A reader in its pause after a change tells what it had then; one whose call hangs
    # lacks nothing but what is on its way.
    store = ScriptedStore(Changes((row("a", 1),), 1), None)
    watch = watch_of(store, seen, clock)

    async def run():
        assert watch.position(0.0) is None
        await watch.step()
        clock[0] = 0.3
        assert watch.position(clock[0]) == TablePosition(1, pytest.approx(0.3))
        hanging = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        clock[0] = 9.0
        assert watch.position(clock[0]) == TablePosition(1, pytest.approx(0.1))
        hanging.cancel()

    asyncio.run(run())


class SlowWay(ScriptedStore):
    """Answers after ``held``; each answer then travels for so many seconds."""

    held = 0.0

    def __init__(self, clock, ways, *answers):
        super().__init__(*answers)
        self.clock, self.ways = clock, list(ways)
        self.clock_ahead = 1000.0

    async def _next(self, call):
        answer = await super()._next(call)
        self.clock[0] += self.held
        answered_at = self.clock[0]
        self.clock[0] += self.ways.pop(0)
        return Changes(answer.rows, answer.version, answered_at + self.clock_ahead)


def test_an_answer_that_travels_long_is_no_answer_that_was_held_back(seen, clock):
    # Guards against versions dated by an answer's arrival, late by a full link's queue.
    first, late = Changes((row("a", 1),), 1), Changes((row("b", 2),), 2)
    watch = watch_of(SlowWay(clock, [0.01, 0.9], first, late), seen, clock)

    async def scenario():
        await watch.step()
        clock[0] = 0.4
        await watch.step()

    asyncio.run(scenario())
    assert watch.last_answer_at == pytest.approx(1.3)
    assert 0.0 <= watch.written_since <= 0.4


def test_what_an_answer_may_lack_counts_from_when_the_store_gave_it(seen, clock):
    first, late = Changes((row("a", 1),), 1), Changes((), 1)
    watch = watch_of(SlowWay(clock, [0.01, 0.8], first, late), seen, clock)

    async def scenario():
        await watch.step()
        await watch.step()

    asyncio.run(scenario())
    assert watch.missing_since(clock[0]) == pytest.approx(0.02, abs=0.02)


def test_a_store_with_another_clock_dates_nothing_earlier(seen, clock):
    # Guards against versions taken for seconds older after the store was replaced.
    answers = [Changes((row("a", n),), n) for n in range(1, 5)]
    store = SlowWay(clock, [0.01] * 4, *answers)
    watch = watch_of(store, seen, clock)

    async def scenario():
        await watch.step()
        store.clock_ahead, store.held = -5000.0, 9.0
        for _ in range(3):
            await watch.step()

    asyncio.run(scenario())
    assert clock[0] - watch.written_since <= 0.2


def test_clocks_that_drift_apart_make_no_way_longer(seen, clock):
    # Guards against ages that grow with a process's uptime.
    first, later = Changes((row("a", 1),), 1), Changes((row("b", 2),), 2)
    store = SlowWay(clock, [0.01, 0.01], first, later)
    watch = watch_of(store, seen, clock)

    async def scenario():
        await watch.step()
        clock[0] += 3600.0
        store.clock_ahead, store.held = 1000.0 - 0.36, 9.0
        await watch.step()

    asyncio.run(scenario())
    assert watch.missing_since(clock[0]) == pytest.approx(clock[0], abs=0.02)


def test_what_a_peer_tells_is_dated_by_when_it_tells(seen, clock):
    # Guards against a mass of removals that is believed at once when a peer tells it.
    watch = watch_of(ScriptedStore(Changes((row("a", 1),), 1)), seen, clock)
    asyncio.run(watch.step())
    clock[0] = 12.0
    watch.merge_rows([row("a", 2, removed=True)])
    assert watch.written_since == 12.0
