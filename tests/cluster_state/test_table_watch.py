"""Following a table across outages, lost history, stale answers, dead connections."""

import asyncio
import random

import pytest
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.rows import HistoryLost, Row, RowChanges
from wasabideck_base.table_watch import (
    LARGE_ROW_BYTES,
    STALLED_CALL_SECONDS,
    TablePosition,
    TableWatch,
)


class ScriptedStore:
    """Returns prepared answers; raises those that are exceptions, hangs on None."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.bytes_received = 0

    def received_bytes(self, table):
        return self.bytes_received

    async def read(self, table, key_prefix=""):
        return await self._next(("read", key_prefix) if key_prefix else "read")

    async def wait_for_changes(self, table, after, wait):
        return await self._next(("follow", after))

    async def _next(self, call):
        self.calls.append(call)
        answer = self.answers.pop(0)
        if answer is None:
            await asyncio.Event().wait()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Recorder:
    def __init__(self):
        self.rows, self.full_reads, self.recoveries = [], [], 0

    def count_recovery(self, seconds):
        self.recoveries += 1


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def clock():
    return [0.0]


def watch_of(store, recorder, clock):
    return TableWatch(
        store,
        "servers",
        lambda rows: recorder.rows.extend((r.key, r.removed) for r in rows),
        lambda rows: recorder.full_reads.append({r.key for r in rows}),
        recorder.count_recovery,
        lambda: clock[0],
        Events("vm", HybridClock(), lambda: 0.0),
        random.Random(1),
    )


def row(key, version, removed=False):
    return Row("servers", key, b"{}", version, removed)


async def steps(watch, count):
    for _ in range(count):
        await watch.step()


def test_full_read_precedes_changes(recorder, clock):
    store = ScriptedStore(
        RowChanges((row("a", 1),), 5), RowChanges((row("a", 6, removed=True),), 6)
    )
    asyncio.run(steps(watch_of(store, recorder, clock), 2))
    assert store.calls == ["read", ("follow", 5)]
    assert recorder.rows == [("a", False), ("a", True)]


def test_stale_answer_removes_nothing(recorder, clock):
    # After the store lost its history a full read is needed. A stale one from seconds
    # ago lacks a server that has joined since, and would remove it.
    store = ScriptedStore(
        RowChanges((row("a", 4), row("b", 9)), 9),
        HistoryLost("servers", 9),
        RowChanges((row("a", 4),), 5),
        RowChanges((row("a", 4), row("b", 9)), 9),
    )
    watch = watch_of(store, recorder, clock)

    async def run():
        await watch.step()
        with pytest.raises(HistoryLost):
            await watch.step()
        watch._needs_full_read = True
        await watch.step()
        await watch.step()

    asyncio.run(run())
    assert recorder.full_reads == [{"a", "b"}, {"a", "b"}]


def test_end_of_outage_is_reported(recorder, clock):
    store = ScriptedStore(
        RowChanges((), 1),
        PlatformUnavailable("store", "down", False),
        RowChanges((), 2),
        None,
    )
    watch = watch_of(store, recorder, clock)

    async def run():
        task = asyncio.create_task(watch.run())
        while len(store.calls) < 4:
            await asyncio.sleep(0.005)
        task.cancel()

    asyncio.run(run())
    assert recorder.recoveries == 1


def test_unresponsive_call_is_checked_when_peer_knows_more(recorder, clock):
    # The connection to the store becomes unresponsive for good while others work: no
    # data and no error. Requests would go to a server that shuts down until the call
    # times out. A peer that knows a newer row reveals the fault. A slow store looks the
    # same, so the call is replaced only when a later one has been answered.
    store = ScriptedStore(
        RowChanges((row("a", 1),), 1), None, RowChanges((row("a", 7, True),), 7)
    )
    watch = watch_of(store, recorder, clock)
    reports = []
    watch.on_behind = lambda: reports.append(clock[0])

    async def run():
        await watch.step()
        pending = asyncio.create_task(watch.step())
        while len(store.calls) < 2:
            await asyncio.sleep(0)
        watch.note_newer_row(7)
        assert reports == []
        clock[0] = STALLED_CALL_SECONDS
        watch.note_newer_row(7)
        assert reports == [STALLED_CALL_SECONDS]
        assert not pending.done()
        assert await watch.check()
        assert recorder.rows == [("a", False), ("a", True)]
        watch.note_newer_row(7)
        assert len(reports) == 1
        watch.drop_call(clock[0])
        await asyncio.wait({pending}, timeout=1.0)
        assert isinstance(pending.exception(), Exception)

    asyncio.run(run())


def test_call_with_arriving_answer_is_not_checked(recorder, clock):
    # Guards against reading a configuration again over the link that was transferring
    # it.
    store = ScriptedStore(RowChanges((row("a", 5),), 6), None)
    watch = watch_of(store, recorder, clock)
    reports = []
    watch.on_behind = lambda: reports.append(clock[0])

    async def run():
        await watch.step()
        pending = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        for _ in range(4):
            watch.note_newer_row(7)
            clock[0] += STALLED_CALL_SECONDS
            store.bytes_received += 10_000
        await asyncio.sleep(0)
        assert not pending.done()
        assert reports == []
        assert watch.is_lagging(clock[0], STALLED_CALL_SECONDS)
        watch.note_newer_row(7)
        clock[0] += 2 * STALLED_CALL_SECONDS
        watch.note_newer_row(7)
        assert len(reports) == 1
        pending.cancel()

    asyncio.run(run())


def test_peer_without_newer_rows_leads_to_no_check(recorder, clock):
    # The store's version grows with any write to any table. Only rows of this table may
    # count, or checks would be made all the time.
    store = ScriptedStore(RowChanges((row("a", 5),), 90), None)
    watch = watch_of(store, recorder, clock)
    reports = []
    watch.on_behind = lambda: reports.append(clock[0])

    async def run():
        await watch.step()
        pending = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        for now in (0.0, 5.0):
            clock[0] = now
            watch.note_newer_row(5)
        await asyncio.sleep(0)
        assert not pending.done()
        assert reports == []
        pending.cancel()

    asyncio.run(run())


def test_burst_of_changes_is_read_once(recorder, clock):
    # Operators write a configuration of 40 KB four times a second. Followed, each one
    # is sent to each entry; the link between two regions was full, and entries were two
    # seconds late. Reading the table returns only the last one.
    store = ScriptedStore(
        RowChanges((row("a", 1),), 1),
        RowChanges((row("a", 2),), 2),
        RowChanges((row("a", 3),), 3),
        RowChanges((row("a", 6),), 6),
        RowChanges((row("a", 9),), 9),
    )
    watch = watch_of(store, recorder, clock)
    watch.prefers_full_read = True

    async def run():
        for now in (0.0, 5.0, 5.4, 5.8, 20.0):
            clock[0] = now
            await watch.step()

    asyncio.run(run())
    assert store.calls == ["read", ("follow", 1), ("follow", 2), "read", ("follow", 6)]


def test_rows_from_peers_before_first_read_come_from_store(recorder, clock):
    # An entry starts while the store refuses it, and a peer sends rows of servers. The
    # rows were stored without being acted on; the store's answer then contained nothing
    # new, and the entry had no server until their rows changed.
    store = ScriptedStore(RowChanges((row("a", 3),), 5))
    watch = watch_of(store, recorder, clock)
    watch.merge_rows([row("a", 3)])
    assert recorder.rows == []
    asyncio.run(steps(watch, 1))
    assert recorder.rows == [("a", False)]


@pytest.mark.parametrize(
    ("requested_at", "failed", "written_since"),
    [(101.0, False, 99.6), (110.0, False, 108.3), (101.0, True, 100.0)],
)
def test_rows_after_readers_last_reply_are_as_old_as_it(
    recorder, clock, requested_at, failed, written_since
):
    # A follower whose readers terminate calls the store a second after their last
    # reply. It would underestimate by a second the age of a version declared just after
    # that reply. After a long suspension or an outage the usual bound applies.
    unavailable = PlatformUnavailable("store", "away", False)
    answers = [unavailable] * failed + [RowChanges((row("a", 9),), 9)]
    store = ScriptedStore(RowChanges((row("a", 1),), 1), *answers)
    watch = watch_of(store, recorder, clock)

    async def run():
        await watch.step()
        clock[0] = 100.0
        watch.adopt_position(TablePosition(7, 0.4), newest=6, requested_at=100.0)
        clock[0] = requested_at
        if failed:
            with pytest.raises(PlatformUnavailable) as exc:
                await watch.step()
            watch._record_failure(exc.value)
        await watch.step()

    asyncio.run(run())
    assert store.calls[-1] == ("follow", 7)
    assert watch.written_since == pytest.approx(written_since)


def test_position_includes_staleness(recorder, clock):
    # In its delay after a change, a reader reports its position at the answer. While
    # its call is pending, a reader lacks only rows in transit. Its first read may have
    # been stale, until a response shows that nothing is missing.
    store = ScriptedStore(RowChanges((row("a", 1),), 1), RowChanges((), 1), None)
    watch = watch_of(store, recorder, clock)

    async def run():
        assert watch.position(0.0) is None
        await watch.step()
        assert watch.position(0.0) is None
        await watch.step()
        clock[0] = 0.3
        assert watch.position(clock[0]) == TablePosition(1, pytest.approx(0.3))
        pending = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        clock[0] = 9.0
        assert watch.position(clock[0]) == TablePosition(1, pytest.approx(0.1))
        pending.cancel()

    asyncio.run(run())


class SlowTransitStore(ScriptedStore):
    """Answers after ``held`` seconds; each answer then takes a given transit time."""

    held = 0.0

    def __init__(self, clock, transits, *answers):
        super().__init__(*answers)
        self.clock, self.transits = clock, list(transits)
        self.clock_ahead = 1000.0

    async def _next(self, call):
        answer = await super()._next(call)
        self.clock[0] += self.held
        answered_at = self.clock[0]
        self.clock[0] += self.transits.pop(0)
        return RowChanges(answer.rows, answer.version, answered_at + self.clock_ahead)


def test_answer_with_long_transit_was_not_held(recorder, clock):
    # Guards against ages counted from an answer's arrival, late by a full link's queue.
    first, late = RowChanges((row("a", 1),), 1), RowChanges((row("b", 2),), 2)
    watch = watch_of(SlowTransitStore(clock, [0.01, 0.9], first, late), recorder, clock)

    async def scenario():
        await watch.step()
        clock[0] = 0.4
        await watch.step()

    asyncio.run(scenario())
    assert watch.last_response_at == pytest.approx(1.3)
    assert 0.0 <= watch.written_since <= 0.4


def test_staleness_counts_from_time_of_stores_answer(recorder, clock):
    first, late = RowChanges((row("a", 1),), 1), RowChanges((), 1)
    watch = watch_of(SlowTransitStore(clock, [0.01, 0.8], first, late), recorder, clock)

    async def scenario():
        await watch.step()
        await watch.step()

    asyncio.run(scenario())
    assert watch.missing_since(clock[0]) == pytest.approx(0.02, abs=0.02)


def test_changed_store_clock_does_not_increase_ages(recorder, clock):
    # Guards against overestimating ages by seconds after the store was replaced.
    answers = [RowChanges((row("a", n),), n) for n in range(1, 5)]
    store = SlowTransitStore(clock, [0.01] * 4, *answers)
    watch = watch_of(store, recorder, clock)

    async def scenario():
        await watch.step()
        store.clock_ahead, store.held = -5000.0, 9.0
        for _ in range(3):
            await watch.step()

    asyncio.run(scenario())
    assert clock[0] - watch.written_since <= 0.2


def test_clock_drift_does_not_increase_transit(recorder, clock):
    # Guards against ages that grow with a process's uptime.
    first, later = RowChanges((row("a", 1),), 1), RowChanges((row("b", 2),), 2)
    store = SlowTransitStore(clock, [0.01, 0.01], first, later)
    watch = watch_of(store, recorder, clock)

    async def scenario():
        await watch.step()
        clock[0] += 3600.0
        store.clock_ahead, store.held = 1000.0 - 0.36, 9.0
        await watch.step()

    asyncio.run(scenario())
    assert watch.missing_since(clock[0]) == pytest.approx(clock[0], abs=0.02)


def test_rows_from_peer_count_from_their_receipt(recorder, clock):
    # Guards against acting on a mass removal at once because a peer reported it.
    watch = watch_of(ScriptedStore(RowChanges((row("a", 1),), 1)), recorder, clock)
    asyncio.run(watch.step())
    clock[0] = 12.0
    watch.merge_rows([row("a", 2, removed=True)])
    assert watch.written_since == 12.0


def test_row_that_the_copy_reflects_already_is_not_taken_from_a_peer(recorder, clock):
    # Guards against a removed server that comes back: a read of the whole table has no
    # record of its removal, and a peer that was cut off still has its row.
    store = ScriptedStore(RowChanges((row("b", 90),), 100))
    watch = watch_of(store, recorder, clock)
    asyncio.run(steps(watch, 1))
    watch.merge_rows([row("a", 95)])
    assert recorder.rows == [("b", False)]
    watch.merge_rows([row("a", 101)])
    assert recorder.rows == [("b", False), ("a", False)]


def test_row_that_a_read_of_the_table_lacks_is_not_sent_to_peers(recorder, clock):
    # Guards against a removed server that a peer is told of after lost history.
    store = ScriptedStore(
        RowChanges((row("a", 95), row("b", 90)), 95), RowChanges((row("b", 90),), 100)
    )
    watch = watch_of(store, recorder, clock)
    asyncio.run(steps(watch, 1))
    watch._needs_full_read = True
    asyncio.run(steps(watch, 1))
    assert [r.key for r in watch.rows_newer_than(0)] == ["b"]


def test_removal_that_the_copy_reflects_is_no_newer_row(recorder, clock):
    # Guards against calls that are cancelled every two seconds in calm: a removal that
    # a peer saw left no row in the read of the whole table.
    store = ScriptedStore(RowChanges((row("b", 90),), 100))
    watch = watch_of(store, recorder, clock)
    asyncio.run(steps(watch, 1))
    watch.note_newer_row(98)
    assert not watch.is_lagging(clock[0] + 5.0, 1.0)
    watch.note_newer_row(101)
    assert watch.is_lagging(clock[0] + 5.0, 1.0)


def test_answer_given_at_once_is_complete_as_of_its_request(recorder, clock):
    # Guards against vouching for the time that the first answers spent on a full link:
    # no faster one shows yet how long they took.
    first, checked = RowChanges((row("a", 1),), 1), RowChanges((), 1)
    store = SlowTransitStore(clock, [5.0, 5.0], first, checked)
    watch = watch_of(store, recorder, clock)

    async def scenario():
        await watch.step()
        await watch.check()

    asyncio.run(scenario())
    assert clock[0] > 9.9
    assert watch.complete_until <= 5.1


def test_read_of_the_whole_table_is_not_dropped(recorder, clock):
    # Guards against a first read of the server list over a full link that is begun anew
    # with each change of the operators; unlike a held call it times out by itself.
    watch = watch_of(ScriptedStore(None), recorder, clock)

    async def scenario():
        reading = asyncio.create_task(watch.step())
        await asyncio.sleep(0)
        watch.drop_call(clock[0] + 1.0)
        await asyncio.sleep(0.01)
        assert not reading.done()
        reading.cancel()

    asyncio.run(scenario())


def test_small_rows_do_not_hide_others_before_the_first_read(recorder, clock):
    # Guards against a configuration that a process which begins never asks for, because
    # a version declared after it came first.
    later = RowChanges((row("version/m", 13),), 13)
    both = RowChanges((row("config", 12), row("version/m", 13)), 13)
    store = ScriptedStore(later, both)
    watch = watch_of(store, recorder, clock)
    watch.small_rows_prefix = "version/"

    async def scenario():
        watch.begin_after(10)
        watch.heard_row_bytes = LARGE_ROW_BYTES
        await watch.check()
        assert (watch.version, watch.newest) == (-1, 10)
        watch.heard_row_bytes = 0
        await watch.check()
        assert (watch.version, watch.newest) == (-1, 13)

    asyncio.run(scenario())
    assert store.calls == [("read", "version/"), ("follow", 10)]
    assert ("config", False) in recorder.rows
