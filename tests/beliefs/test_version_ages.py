"""Ways in which a version's date is taken for later than it is, or is lost."""

import asyncio

from test_cold_start import clock, declared, hears, least, make, row, store_tells
from test_version_dates import AHEAD, FakeStore, Process, StoppedClock
from wasabideck_base.hearsay import Hearsay
from wasabideck_base.rows import Changes
from wasabideck_base.told import age_entries, declaration_entry
from wasabideck_policy.declarations import weights_key
from wasabideck_policy.membership import AGENT, ENTRY
from wasabideck_wire import inner_pb2 as pb

__all__ = ["clock"]


def test_a_followers_date_rests_on_no_reader_whose_own_first_read_was_stale(clock):
    # Guards against an old version that followers date and their reader can't.
    reader, follower = make(ENTRY, clock), make(ENTRY, clock)
    stale = (35.05, 35.1, Changes((row(5, 2),), 5))
    store_tells(follower, clock, stale)
    store_tells(reader, clock, stale)
    place = reader.operator_watch.position(clock[0])
    if place is not None:
        follower.operator_watch.adopt_position(place, 5, clock[0])
    follower.readers._covered = True
    store_tells(reader, clock, (35.1, 35.2, Changes((row(9, 3),), 9)))
    assert reader.beliefs.undated("m")
    hears(follower, declared(3))
    assert least(follower, clock, 37.9) == 3


def test_an_age_counts_from_when_the_peer_was_asked(clock, monkeypatch):
    # Guards against a version that is younger by what an answer takes on a full link.
    agent = make(AGENT, clock)
    entries = [declaration_entry(declared(3)), *age_entries(weights_key("m"), {3: 7.0})]

    async def call(self, address, req, limit):
        clock[0] += limit - 0.1
        return pb.SyncReply(entries=entries, heard=True)

    monkeypatch.setattr(Hearsay, "_sync", call)
    monkeypatch.setattr(Hearsay, "_choose_peer", lambda self, now: "10.0.0.9:1")
    asyncio.run(agent.hearsay.sync_with_one())
    assert agent.beliefs.newest("m").since <= 35.0 - 7.0


def test_who_finds_an_older_date_keeps_the_newer_one():
    # Guards against a newest version whose date is kept by nobody, as all who saw it
    # named had begun a moment before and not yet found the former one's date.
    clock = StoppedClock()
    store = FakeStore(clock)
    store.put("m", b'{"2": %.1f}' % (clock() + AHEAD - 2.0))
    seen = Process(store, clock)
    read = store.read

    async def slow(table):
        await asyncio.sleep(0.02)
        return await read(table)

    store.read = slow
    seen.hears(2)
    seen.sees(3)
    seen.run(0.5)
    begun = Process(store, clock)
    begun.hears(3)
    begun.run(0.3)
    assert not begun.beliefs.undated("m")


def test_a_date_is_no_later_where_the_store_is_slow_to_answer():
    # Guards against a version that seems younger by the time that its keeper's read
    # took to reach the store or waited there.
    clock = StoppedClock()
    store = FakeStore(clock)
    read = store.read

    async def slow(table):
        clock.now += 0.4
        return await read(table)

    seen = Process(store, clock)
    named_at = clock()
    store.read = slow
    seen.sees(2)
    seen.run()
    store.read = read
    begun = Process(store, clock)
    begun.hears(2)
    begun.run()
    assert begun.beliefs.newest("m").since <= named_at


def test_a_kept_date_that_is_to_come_dates_nothing():
    # Guards against a version that is never due, where the store has another clock.
    clock = StoppedClock()
    store = FakeStore(clock)
    store.put("m", b'{"3": %.1f}' % (clock() + AHEAD + 3600.0))
    begun = Process(store, clock)
    begun.hears(2)
    begun.run()
    begun.beliefs.name_version("m", 3, clock() - 8.0, False, clock())
    clock.now += 8.0
    assert begun.due() == 3
