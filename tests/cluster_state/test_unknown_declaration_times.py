"""How a process handles a version whose declaration time it does not know."""

import asyncio

import pytest
from test_cold_start import (
    STARTED,
    declaration,
    new_process,
    receive_gossip,
    row,
    store_answers,
)
from test_declaration_times import run_pending_tasks
from wasabideck_base.declaration_times import TIMES_TABLE
from wasabideck_base.rows import Row, RowChanges
from wasabideck_policy.membership import AGENT, ENTRY

AHEAD = 5000.0
PUBLISHED = Row(TIMES_TABLE, "m", b'{"3": 5034.0}', 8)


@pytest.fixture
def clock():
    return [STARTED]


def run_lookup(process, clock):
    """Run the lookup loop for a moment; return the number of reads of the store."""
    reads = []

    async def read(table):
        reads.append(table)
        return RowChanges((PUBLISHED,), 9, clock[0] + AHEAD)

    process.store.read = read

    async def run():
        process.declaration_times._lookup_due, was = (
            asyncio.Event(),
            process.declaration_times._lookup_due,
        )
        if was.is_set():
            process.declaration_times._lookup_due.set()
        lookup = asyncio.create_task(process.declaration_times.run_lookups())
        await run_pending_tasks()
        lookup.cancel()

    asyncio.run(run())
    return len(reads)


@pytest.mark.parametrize("kind", [ENTRY, AGENT])
def test_time_of_version_from_peer_is_looked_up(clock, kind):
    # Guards against a new version that counts as expired after a restart.
    process = new_process(kind, clock)
    receive_gossip(process, declaration(3))
    assert run_lookup(process, clock) == 1
    assert not process.cluster_state.declaration_time_unknown("m")


def test_time_of_version_in_first_read_is_looked_up(clock):
    # Guards against the same at an entry's first read.
    entry = new_process(ENTRY, clock)
    store_answers(entry, clock, (35.05, 35.1, RowChanges((row(9, 3),), 9)))
    assert run_lookup(entry, clock) == 1
    assert not entry.cluster_state.declaration_time_unknown("m")


def test_time_of_version_read_by_agent_is_looked_up(clock):
    # Guards against the same at an agent to which no entry sends the version.
    agent = new_process(AGENT, clock)

    async def read():
        agent._apply_operator_rows([row(9, 3)])

    asyncio.run(read())
    assert run_lookup(agent, clock) == 1
    assert not agent.cluster_state.declaration_time_unknown("m")
