"""Full restart of a region whose processes share one link."""

import asyncio
import random

import pytest
from virtual_time import run_in_virtual_time
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.member_rows import MEMBERS_TABLE, member_row
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.state_sync import CONCURRENT_AGENT_READS, StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.configuration import Configuration
from wasabideck_policy.declarations import Declaration, weights_key
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.reader_selection import READERS_PER_REGION
from wasabideck_policy.startup_stagger import (
    MAX_READ_DELAY_SECONDS,
    READ_INTERVAL_SECONDS,
    read_delay,
)

LINK_BYTES_PER_SECOND = 15.5e6 / 8
TABLE_BYTES = 400_000
VMS = [f"vm-{n}" for n in range(27)]


def delays(at_once, wait):
    return sorted(read_delay("r", vm, VMS, at_once, wait) for vm in VMS)


def test_few_processes_read_at_once_and_others_staggered():
    found = delays(4, 2.0)
    assert found[:4] == [0.0] * 4
    assert found[4] == 2.0
    gaps = [b - a for a, b in zip(found[4:], found[5:], strict=False)]
    assert all(gap == pytest.approx(READ_INTERVAL_SECONDS) for gap in gaps)


def test_staggered_reads_fit_into_a_regions_link():
    # Guards against a table of 400 KB that all agents of a region read at once: the
    # link is full for six seconds, and blocks all other traffic of the store.
    assert TABLE_BYTES / LINK_BYTES_PER_SECOND < READ_INTERVAL_SECONDS
    assert 4 * TABLE_BYTES / LINK_BYTES_PER_SECOND < 1.0


def test_read_delay_is_bounded():
    vms = [f"vm-{n}" for n in range(2000)]
    assert max(read_delay("r", vm, vms, 4) for vm in vms[:50]) <= MAX_READ_DELAY_SECONDS


def test_small_region_has_no_read_delay():
    assert delays(27, 2.0) == [0.0] * 27
    assert read_delay("r", "alone", [], 1) == 0.0


class Store:
    """Records reads and writes; its members table holds the given members."""

    def __init__(self, members):
        self.rows = [Row(MEMBERS_TABLE, m.vm, member_row(m).value, 1) for m in members]
        self.reads, self.writes, self.changes = [], [], RowChanges((), 5)

    def received_bytes(self, table):
        return 0

    async def read(self, table):
        self.reads.append(table)
        return (
            RowChanges(tuple(self.rows), 5) if table == MEMBERS_TABLE else self.changes
        )

    async def wait_for_changes(self, table, after, wait):
        self.reads.append(table)
        await asyncio.sleep(wait)
        return RowChanges((), after)

    async def write(self, writes, expected=()):
        self.writes += writes


def new_state_sync(me, store):
    cfg = VMSettings(me.vm, "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    return StateSync(
        cfg,
        me,
        DEPLOYMENT,
        store,
        Channels(HybridClock()),
        Events(me.vm, HybridClock(), lambda: 0.0),
        asyncio.get_running_loop().time,
        random.Random(1),
    )


def run_for(seconds, me, store, steps):
    async def run():
        state_sync = new_state_sync(me, store)
        tasks = [asyncio.create_task(step) for step in steps(state_sync)]
        await asyncio.sleep(seconds)
        for task in tasks:
            assert not task.done() or not task.exception()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())
    return store


def members_of(kind, size=27):
    # Nothing listens at this address: calls to these members get no reply.
    return [Member(f"vm-{n}", kind, "127.0.0.1:1", "r", "dc") for n in range(size)]


def test_few_restarted_agents_read_operators_table_at_once():
    # Guards against a region whose agents, after all were killed, read the same rows
    # over one link: none had them for nine seconds, and no weights were loaded.
    everyone = members_of(AGENT)
    readers = 0
    for me in everyone:
        store = run_for(
            0.3,
            me,
            Store(everyone),
            lambda b: [b._run_member_reads(), b._run_fallback_reads()],
        )
        readers += DEPLOYMENT.declarations_table in store.reads
    assert 0 < readers <= CONCURRENT_AGENT_READS


def test_only_readers_of_restarted_entries_read_table_at_once():
    everyone = members_of(ENTRY, 8)
    readers = 0
    for me in everyone:
        store = run_for(
            0.3, me, Store(everyone), lambda b: [b._run_member_reads(), b.readers.run()]
        )
        readers += DEPLOYMENT.declarations_table in store.reads
    assert readers == READERS_PER_REGION


def test_entry_without_readers_reads_the_table_itself():
    # Guards against followers that wait forever for readers that have terminated.
    everyone = members_of(ENTRY, 8)
    for me in everyone[:2]:
        store = run_for(
            3.5, me, Store(everyone), lambda b: [b._run_member_reads(), b.readers.run()]
        )
        assert DEPLOYMENT.declarations_table in store.reads


def test_restarted_process_reads_members_once_and_writes_nothing():
    # Guards against three calls per process in the second of a full restart.
    everyone = members_of(AGENT)
    store = run_for(
        2.5, everyone[0], Store(everyone), lambda b: [b._run_member_reads()]
    )
    assert store.reads == [MEMBERS_TABLE]
    assert store.writes == []


def test_new_process_writes_its_row_and_reads_members_again():
    store = run_for(
        2.5, members_of(AGENT)[0], Store([]), lambda b: [b._run_member_reads()]
    )
    assert store.reads == [MEMBERS_TABLE] * 2
    assert [write.key for write in store.writes] == ["vm-0"]


def test_process_with_new_address_rewrites_its_row():
    old = [Member("vm-0", AGENT, "127.0.0.9:1", "r", "dc")]
    new = Member("vm-0", AGENT, "127.0.0.1:1", "r", "dc")
    store = run_for(0.3, new, Store(old), lambda b: [b._run_member_reads()])
    assert len(store.writes) == 1


@pytest.mark.parametrize("entries", [3, 7, 14, 36])
def test_entry_beside_stale_peers_is_current_before_it_counts(entries):
    # Guards against an entry that has just begun and sends requests for expired weights
    # by an old configuration: a peer that was cut off sent them, and the entry leaves
    # the first read of the declarations to others, which are cut off as well.
    everyone = members_of(ENTRY, entries)
    key = weights_key("m")

    async def newest_version(me):
        store = Store(everyone)
        value = b'{"model":"m","version":3}'
        store.changes = RowChanges((Row("op", "version/m", value, 5),), 5)
        entry = new_state_sync(me, store)
        entry.cluster_state.configuration = Configuration(1, {}, {})
        entry.gossip.merge([Declaration(key, 2, b'{"model":"m","version":2}')], "peer")
        tasks = [
            asyncio.create_task(loop)
            for loop in (entry._run_member_reads(), entry.readers.run())
        ]
        await asyncio.sleep(entry.cfg.limits.disturbance_hold_seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return entry.cluster_state.newest_version("m")

    found = [run_in_virtual_time(newest_version(me)) for me in everyone]
    assert found == [3] * entries
