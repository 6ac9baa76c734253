"""A start of all processes of a region at once, over its one link."""

import asyncio
import random

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.believer import CONCURRENT_AGENT_READS, Believer
from wasabideck_base.channels import Channels
from wasabideck_base.events import Clock, Events
from wasabideck_base.member_rows import MEMBERS, member_row
from wasabideck_base.node import NodeSettings, StoreSettings
from wasabideck_base.rows import Changes, Row
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.readers import READERS
from wasabideck_policy.start_turns import APART_SECONDS, LONGEST_SECONDS, read_delay

LINK_BYTES_PER_SECOND = 15.5e6 / 8
TABLE_BYTES = 400_000
VMS = [f"vm-{n}" for n in range(27)]


def delays(at_once, patience):
    return sorted(read_delay("r", vm, VMS, at_once, patience) for vm in VMS)


def test_few_read_at_once_and_the_others_in_turn():
    found = delays(4, 2.0)
    assert found[:4] == [0.0] * 4
    assert found[4] == 2.0
    apart = [b - a for a, b in zip(found[4:], found[5:], strict=False)]
    assert all(gap == pytest.approx(APART_SECONDS) for gap in apart)


def test_reads_that_nobody_spares_fit_into_a_regions_link():
    # Guards against a table of 400 KB that all agents of a region read at once: the
    # link is full for six seconds, and nothing else of the store's comes through.
    assert TABLE_BYTES / LINK_BYTES_PER_SECOND < APART_SECONDS
    assert 4 * TABLE_BYTES / LINK_BYTES_PER_SECOND < 1.0


def test_nobody_waits_for_ever():
    crowd = [f"vm-{n}" for n in range(2000)]
    assert max(read_delay("r", vm, crowd, 4) for vm in crowd[:50]) <= LONGEST_SECONDS


def test_a_small_region_waits_for_nobody():
    assert delays(27, 2.0) == [0.0] * 27
    assert read_delay("r", "alone", [], 1) == 0.0


class Store:
    """Counts the reads of each table; holds the rows of members that it was given."""

    def __init__(self, members):
        self.rows = [Row(MEMBERS, m.vm, member_row(m).value, 1) for m in members]
        self.reads, self.writes, self.told = [], [], Changes((), 5)

    def received(self, table):
        return 0

    async def read(self, table):
        self.reads.append(table)
        return Changes(tuple(self.rows), 5) if table == MEMBERS else self.told

    async def follow(self, table, after, wait):
        self.reads.append(table)
        await asyncio.sleep(wait)
        return Changes((), after)

    async def write(self, writes, expected=()):
        self.writes += writes


def believer_of(me, store):
    cfg = NodeSettings(me.vm, "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    return Believer(
        cfg,
        me,
        DEPLOYMENT,
        store,
        Channels(Clock()),
        Events(me.vm, Clock(), lambda: 0.0),
        asyncio.get_running_loop().time,
        random.Random(1),
    )


def run_for(seconds, me, store, steps):
    async def run():
        believer = believer_of(me, store)
        tasks = [asyncio.create_task(step) for step in steps(believer)]
        await asyncio.sleep(seconds)
        for task in tasks:
            assert not task.done() or not task.exception()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())
    return store


def crowd_of(kind, size=27):
    # Nobody listens there: whoever asks one hears nothing.
    return [Member(f"vm-{n}", kind, "127.0.0.1:1", "r", "dc") for n in range(size)]


def test_of_many_agents_that_begin_again_a_few_read_the_operators_table_at_once():
    # Guards against a region whose agents all read the same rows over one link after a
    # kill of all: none had them for nine seconds, and no weights were loaded.
    everyone = crowd_of(AGENT)
    readers = 0
    for me in everyone:
        store = run_for(
            0.3,
            me,
            Store(everyone),
            lambda b: [b._run_member_reads(), b._run_fallback_reads()],
        )
        readers += DEPLOYMENT.operators in store.reads
    assert 0 < readers <= CONCURRENT_AGENT_READS


def test_of_many_entries_that_begin_again_the_readers_read_the_table_at_once():
    everyone = crowd_of(ENTRY, 8)
    readers = 0
    for me in everyone:
        store = run_for(
            0.3, me, Store(everyone), lambda b: [b._run_member_reads(), b.readers.run()]
        )
        readers += DEPLOYMENT.operators in store.reads
    assert readers == READERS


def test_an_entry_reads_the_table_itself_in_the_end():
    # Guards against followers that wait for ever for readers which are gone.
    everyone = crowd_of(ENTRY, 8)
    for me in everyone[:2]:
        store = run_for(
            3.5, me, Store(everyone), lambda b: [b._run_member_reads(), b.readers.run()]
        )
        assert DEPLOYMENT.operators in store.reads


def test_a_process_that_begins_again_reads_the_members_once_and_writes_nothing():
    # Guards against three calls of each process in the second in which all begin.
    everyone = crowd_of(AGENT)
    store = run_for(
        2.5, everyone[0], Store(everyone), lambda b: [b._run_member_reads()]
    )
    assert store.reads == [MEMBERS]
    assert store.writes == []


def test_a_process_that_begins_for_the_first_time_writes_its_row_and_looks_again():
    store = run_for(
        2.5, crowd_of(AGENT)[0], Store([]), lambda b: [b._run_member_reads()]
    )
    assert store.reads == [MEMBERS] * 2
    assert [write.key for write in store.writes] == ["vm-0"]


def test_a_process_whose_row_names_another_address_writes_it_anew():
    old = [Member("vm-0", AGENT, "127.0.0.9:1", "r", "dc")]
    new = Member("vm-0", AGENT, "127.0.0.1:1", "r", "dc")
    store = run_for(0.3, new, Store(old), lambda b: [b._run_member_reads()])
    assert len(store.writes) == 1
