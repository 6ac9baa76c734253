"""Cases in which a version's age is underestimated or its declaration time is lost."""

import asyncio
from math import inf

import pytest
from test_cold_start import (
    clock,
    declaration,
    min_version,
    new_process,
    receive_gossip,
    row,
    store_answers,
)
from test_declaration_times import AHEAD, FakeStore, Process, StoppedClock
from wasabideck_base.gossip import Gossip
from wasabideck_base.gossip_messages import age_entries, declaration_entry
from wasabideck_base.rows import HistoryLost, RowChanges
from wasabideck_policy.declarations import weights_key
from wasabideck_policy.membership import AGENT, ENTRY
from wasabideck_wire import inner_pb2 as pb

__all__ = ["clock"]


def test_a_followers_date_rests_on_no_reader_whose_own_first_read_was_stale(clock):
    # Guards against followers that assign a declaration time to an old version while
    # their reader knows none.
    reader, follower = new_process(ENTRY, clock), new_process(ENTRY, clock)
    stale = (35.05, 35.1, RowChanges((row(5, 2),), 5))
    store_answers(follower, clock, stale)
    store_answers(reader, clock, stale)
    position = reader.operator_watch.position(clock[0])
    if position is not None:
        follower.operator_watch.adopt_position(position, 5, clock[0])
    follower.readers._covered = True
    store_answers(reader, clock, (35.1, 35.2, RowChanges((row(9, 3),), 9)))
    assert reader.cluster_state.declaration_time_unknown("m")
    receive_gossip(follower, declaration(3))
    assert min_version(follower, clock, 37.9) == 3


def test_an_answer_full_of_rows_does_not_show_that_nothing_is_missing(clock):
    # Guards against counting as new what the second of several partial answers lacked.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 35.15, RowChanges((row(9, 3),), 9)),
        (35.55, 35.6, RowChanges((row(12, 4),), 12)),
    )
    assert min_version(entry, clock, 35.7) == 4


def test_version_after_an_answer_without_rows_is_new(clock):
    # Guards against versions that count as expired although their declaration was seen.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 35.15, RowChanges((), 5)),
        (35.2, 35.3, RowChanges((row(9, 3),), 9)),
    )
    assert min_version(entry, clock, 35.7) == 2


def test_a_read_after_lost_history_does_not_show_that_nothing_is_missing(clock):
    # Guards against counting as new, long after the start, what a stale read lacked
    # when the store had lost its history.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 50.1, RowChanges((), 5)),
        (50.1, 65.1, HistoryLost("op", 5)),
        (65.3, 65.35, RowChanges((row(5, 2),), 6)),
    )
    assert entry.operator_watch.position(clock[0]) is None
    assert entry.cluster_state.complete_until == 50.1
    store_answers(entry, clock, (65.35, 65.4, RowChanges((row(9, 3),), 9)))
    assert min_version(entry, clock, 65.5) == 3


def test_a_process_whose_first_read_may_be_stale_vouches_for_nothing(clock):
    # Guards against processes that rely on one that itself lacks what is declared.
    entry = new_process(ENTRY, clock)
    watch = entry.operator_watch
    shown = []
    for answer in (
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 35.15, RowChanges((row(9, 3),), 9)),
        (35.55, 35.6, RowChanges((), 9)),
    ):
        store_answers(entry, clock, answer)
        position = watch.position(clock[0])
        until = entry.cluster_state.complete_until
        shown.append((position is not None, watch.complete_until, until))
    assert shown == [(False, -inf, -inf), (False, -inf, -inf), (True, 35.6, 35.6)]


def test_an_age_counts_from_when_the_peer_was_asked(clock, monkeypatch):
    # Guards against underestimating an age by a reply's transit time on a full link.
    agent = new_process(AGENT, clock)
    entries = [
        declaration_entry(declaration(3)),
        *age_entries(weights_key("m"), {3: 7.0}),
    ]

    async def call(self, address, req, limit):
        clock[0] += limit - 0.1
        return pb.SyncReply(entries=entries, heard=True)

    monkeypatch.setattr(Gossip, "_sync", call)
    monkeypatch.setattr(Gossip, "_choose_peer", lambda self, now: "10.0.0.9:1")
    asyncio.run(agent.gossip.sync_with_one())
    assert agent.cluster_state.newest("m").allowed_from <= 35.0 - 7.0


def process_that_saw_version_declared(clock):
    """Return an entry to which the store has just sent version 3."""
    entry = new_process(ENTRY, clock)
    entry._note_operators_read([])

    async def run():
        entry._apply_operator_rows([row(9, 3)])

    asyncio.run(run())
    return entry


@pytest.fixture
def ask(clock, monkeypatch):
    """Have one process ask another for anything newer, over links with given delays."""

    def ask(asker, asked, request_seconds=0.002, reply_seconds=0.002):
        async def call(self, address, req, limit):
            clock[0] += request_seconds
            reply = asked.gossip.handle_sync(req)
            clock[0] += reply_seconds
            return reply

        monkeypatch.setattr(Gossip, "_sync", call)
        monkeypatch.setattr(Gossip, "_choose_peer", lambda self, now: "10.0.0.9:1")
        asyncio.run(asker.gossip.sync_with_one())

    return ask


def allowed_from(process):
    return process.cluster_state.newest("m").allowed_from


def test_repeated_exchange_over_slow_links_makes_no_version_older(clock, ask):
    # Guards against an age that grows by the transit of each message between two peers.
    saw_it, heard_it = (
        process_that_saw_version_declared(clock),
        new_process(AGENT, clock),
    )
    declared_at = clock[0]
    ask(heard_it, saw_it, 0.3, 0.35)
    for _ in range(4):
        ask(saw_it, heard_it, 0.35, 0.3)
        ask(heard_it, saw_it, 0.3, 0.35)
        assert allowed_from(saw_it) == declared_at
        assert declared_at - 0.302 <= allowed_from(heard_it) <= declared_at


def test_fast_reply_narrows_age_known_from_a_slow_one(clock, ask):
    # Guards against weights that end early for good after one slow reply.
    saw_it, heard_it = (
        process_that_saw_version_declared(clock),
        new_process(AGENT, clock),
    )
    declared_at = clock[0]
    ask(heard_it, saw_it, 0.6, 0.05)
    assert declared_at - 0.602 <= allowed_from(heard_it) <= declared_at
    ask(heard_it, saw_it)
    assert declared_at - 0.01 <= allowed_from(heard_it) <= declared_at


@pytest.mark.parametrize("late_first", [True, False])
def test_age_told_by_a_suspended_process_does_not_make_a_version_younger(
    clock, ask, late_first
):
    # Guards against the belief of a process that stood still while a version came.
    saw_it = process_that_saw_version_declared(clock)
    declared_at = clock[0]
    clock[0] += 2.0
    late = process_that_saw_version_declared(clock)
    heard_it = new_process(AGENT, clock)
    for asked in (late, saw_it) if late_first else (saw_it, late):
        ask(heard_it, asked, 0.1, 0.4)
    assert declared_at - 0.102 <= allowed_from(heard_it) <= declared_at
    ask(late, heard_it)
    assert declared_at - 0.102 <= allowed_from(late) <= declared_at


def test_age_in_a_late_request_does_not_make_a_version_younger(clock, ask):
    # Guards against a request's unknown transit in an age known from a slow reply.
    saw_it, heard_it = (
        process_that_saw_version_declared(clock),
        new_process(AGENT, clock),
    )
    declared_at = clock[0]
    ask(heard_it, saw_it, 0.05, 0.6)
    ask(saw_it, heard_it, 0.4, 0.002)
    assert declared_at - 0.052 <= allowed_from(heard_it) <= declared_at


def test_slow_reply_corrects_age_known_from_a_late_request(clock, ask):
    # Guards against a request's unknown transit that no later reply corrects.
    saw_it, heard_it = (
        process_that_saw_version_declared(clock),
        new_process(AGENT, clock),
    )
    declared_at = clock[0]
    clock[0] += 2.0
    request = saw_it.gossip._sync_request()
    clock[0] += 0.4
    receive_gossip(heard_it, declaration(3))
    heard_it.gossip.handle_sync(request)
    ask(heard_it, saw_it, 0.05, 0.6)
    assert declared_at - 0.052 <= allowed_from(heard_it) <= declared_at


def test_age_in_a_request_counts_from_its_arrival(clock):
    # Guards against a version without an age where a request was the only message.
    saw_it, heard_it = (
        process_that_saw_version_declared(clock),
        new_process(AGENT, clock),
    )
    clock[0] += 2.0
    request = saw_it.gossip._sync_request()
    clock[0] += 0.4
    receive_gossip(heard_it, declaration(3))
    heard_it.gossip.handle_sync(request)
    assert allowed_from(heard_it) == pytest.approx(clock[0] - 2.0)
    assert not heard_it.cluster_state.declaration_time_unknown("m")


def test_late_answer_of_store_does_not_make_a_version_younger(clock, ask):
    # Guards against an age known from a peer that a process's own outage replaces.
    cut_off = new_process(ENTRY, clock)
    changes = RowChanges((row(5, 2),), 5)
    store_answers(cut_off, clock, (35.05, 35.1, changes), (35.1, 36.0, changes))
    clock[0] = declared_at = 38.0
    saw_it = process_that_saw_version_declared(clock)
    ask(cut_off, saw_it, 0.05, 0.6)
    store_answers(cut_off, clock, (39.2, 39.3, RowChanges((row(9, 3),), 9)))
    assert declared_at - 0.052 <= allowed_from(cut_off) <= declared_at


def test_declaration_is_no_later_than_the_stores_answer_to_a_suspended_process(clock):
    # Guards against a wide interval within which any wrong age of a peer counts.
    late = new_process(ENTRY, clock)
    store_answers(
        late,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5, 1035.1)),
        (35.1, 36.0, RowChanges((row(5, 2),), 5, 1036.0)),
        (36.0, 43.0, RowChanges((row(9, 3),), 9, 1040.0)),
    )
    version = late.cluster_state.newest("m")
    assert version.allowed_from == pytest.approx(39.9, abs=0.01)
    assert version.declared_by == pytest.approx(40.0, abs=0.01)


def test_newer_time_is_published_after_older_one_is_found():
    # Guards against a newest version whose time no process publishes, because all that
    # saw its declaration had just started and did not yet know the previous one's time.
    clock = StoppedClock()
    store = FakeStore(clock)
    store.put("m", b'{"2": %.1f}' % (clock() + AHEAD - 2.0))
    publisher = Process(store, clock)
    read = store.read

    async def slow(table):
        await asyncio.sleep(0.02)
        return await read(table)

    store.read = slow
    publisher.record_unknown_time(2)
    publisher.record_declared(3)
    publisher.run(0.5)
    started = Process(store, clock)
    started.record_unknown_time(3)
    started.run(0.3)
    assert not started.cluster_state.declaration_time_unknown("m")


def test_slow_read_of_publisher_does_not_reduce_age():
    # Guards against underestimating a version's age by the time that the publisher's
    # read took to reach the store or waited there.
    clock = StoppedClock()
    store = FakeStore(clock)
    read = store.read

    async def slow(table):
        clock.now += 0.4
        return await read(table)

    publisher = Process(store, clock)
    declared_at = clock()
    store.read = slow
    publisher.record_declared(2)
    publisher.run()
    store.read = read
    started = Process(store, clock)
    started.record_unknown_time(2)
    started.run()
    assert started.cluster_state.newest("m").allowed_from <= declared_at


def test_published_time_in_the_future_is_ignored():
    # Guards against a version that never takes effect, where the store's clock changed.
    clock = StoppedClock()
    store = FakeStore(clock)
    store.put("m", b'{"3": %.1f}' % (clock() + AHEAD + 3600.0))
    started = Process(store, clock)
    started.record_unknown_time(2)
    started.run()
    started.cluster_state.declare_version("m", 3, clock() - 8.0, False, clock())
    clock.now += 8.0
    assert started.min_version() == 3
