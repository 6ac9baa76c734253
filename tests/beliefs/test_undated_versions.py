"""What a process does about a version whose date it does not know."""

import asyncio

import pytest
from test_cold_start import STARTED, declared, hears, make, row, store_tells
from test_version_dates import settled
from wasabideck_base.rows import Changes, Row
from wasabideck_base.version_dates import TIMES_TABLE
from wasabideck_policy.membership import AGENT, ENTRY

AHEAD = 5000.0
KEPT = Row(TIMES_TABLE, "m", b'{"3": 5034.0}', 8)


@pytest.fixture
def clock():
    return [STARTED]


def finds(process, clock):
    """Run the loop that looks dates up for a moment; how often it asked the store."""
    reads = []

    async def read(table):
        reads.append(table)
        return Changes((KEPT,), 9, clock[0] + AHEAD)

    process.store.read = read

    async def run():
        process.declaration_times._lookup_due, was = (
            asyncio.Event(),
            process.declaration_times._lookup_due,
        )
        if was.is_set():
            process.declaration_times._lookup_due.set()
        finding = asyncio.create_task(process.declaration_times.run_lookups())
        await settled()
        finding.cancel()

    asyncio.run(run())
    return len(reads)


@pytest.mark.parametrize("kind", [ENTRY, AGENT])
def test_the_date_of_a_version_that_a_peer_tells_is_looked_for(clock, kind):
    # Guards against a young version that counts as due after a restart until it is.
    process = make(kind, clock)
    hears(process, declared(3))
    assert finds(process, clock) == 1
    assert not process.beliefs.undated("m")


def test_the_date_of_a_version_of_the_first_read_is_looked_for(clock):
    # Guards against the same at an entry's first read.
    entry = make(ENTRY, clock)
    store_tells(entry, clock, (35.05, 35.1, Changes((row(9, 3),), 9)))
    assert finds(entry, clock) == 1
    assert not entry.beliefs.undated("m")


def test_the_date_of_a_version_that_an_agent_reads_is_looked_for(clock):
    # Guards against the same at an agent that no entry tells of it.
    agent = make(AGENT, clock)

    async def read():
        agent._apply_operator_rows([row(9, 3)])

    asyncio.run(read())
    assert finds(agent, clock) == 1
    assert not agent.beliefs.undated("m")
