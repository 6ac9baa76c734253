"""How soon entries act on a large configuration that fills their region's link."""

import asyncio

import orjson
import pytest
from test_slow_store import (
    DEADLINE_SECONDS,
    HOLD_SECONDS,
    SERVER,
    SERVERS_TABLE,
    run_regions,
)
from wasabideck_policy.reader_selection import READERS_PER_REGION

# A region's link, and configurations of which each entry may receive one copy within
# some two thirds of the time in which a change has to be in effect.
LINK_BYTES_PER_SECOND = 1.3e6
COPIES_SECONDS = 0.65 * DEADLINE_SECONDS
MAX_COPIES_PER_ENTRY = 1.5


def padding_for(entries):
    """Return padding that makes a configuration as large as the link allows."""
    encoded = COPIES_SECONDS * LINK_BYTES_PER_SECOND / entries
    return "x" * int(encoded * 3 / 4)


@pytest.mark.parametrize("size", [1, 2, 3, 4])
def test_each_entry_receives_a_large_configuration_once(size):
    # Guards against checks that transfer large rows again, beside a response that is on
    # its way, until a full link delays all copies by seconds.
    lags, copies = [], []

    async def scenario(region):
        padding = padding_for(size)
        region.server.link_bytes_per_second = LINK_BYTES_PER_SECOND
        for number in (2, 3, 4, 5):
            sent = region.server.sent_bytes
            region.store.configure(number, padding=padding)
            await asyncio.sleep(DEADLINE_SECONDS)
            lags.append([e.number for e in region.entries.values()])
            await asyncio.sleep(HOLD_SECONDS)
            encoded = len(padding) * 4 / 3
            copies.append((region.server.sent_bytes - sent) / encoded / size)

    run_regions(scenario, (size,))
    assert lags == [[number] * size for number in (2, 3, 4, 5)]
    assert max(copies) <= MAX_COPIES_PER_ENTRY, copies


@pytest.mark.parametrize("size", [1, 4])
def test_a_large_configuration_arrives_although_a_held_call_is_silent(size):
    # Guards against an old configuration at an entry whose connection went silent
    # without a reset, while a large one is due on it.
    numbers = []

    async def scenario(region):
        padding = padding_for(size)
        region.server.link_bytes_per_second = LINK_BYTES_PER_SECOND
        region.store.configure(2, padding=padding)
        await asyncio.sleep(4 * HOLD_SECONDS)
        region.server.silence_open_connections()
        await asyncio.sleep(1.0)
        region.store.configure(3, padding=padding)
        region.store.put(SERVERS_TABLE, "i-1", orjson.dumps(SERVER))
        await asyncio.sleep(HOLD_SECONDS - 1.0 + DEADLINE_SECONDS)
        for entry in region.entries.values():
            names = entry.state_sync.cluster_state.backends.names()
            numbers.append((entry.number, "i-1" in names))

    run_regions(scenario, (size,))
    assert numbers == [(3, True)] * size


@pytest.mark.parametrize("size", [3, 4, 6])
def test_entries_share_readers_of_a_large_configuration(size):
    # Guards against copies for each entry of a small region, which take longer over its
    # link than the change may.
    lags = []

    async def scenario(region):
        padding = padding_for(READERS_PER_REGION)
        region.store.configure(2, padding=padding)
        await asyncio.sleep(4 * HOLD_SECONDS)
        region.server.link_bytes_per_second = LINK_BYTES_PER_SECOND
        for number in (3, 4, 5):
            region.store.configure(number, padding=padding)
            await asyncio.sleep(DEADLINE_SECONDS)
            lags.append([e.number for e in region.entries.values()])
            await asyncio.sleep(HOLD_SECONDS)

    run_regions(scenario, (size,))
    assert lags == [[number] * size for number in (3, 4, 5)]


def test_versions_are_known_before_a_large_configuration_has_arrived():
    # Guards against a declared version that waits for a configuration on a full link.
    known = []

    async def scenario(region):
        padding = padding_for(1)
        (entry,) = region.entries.values()
        region.store.configure(2, padding=padding)
        await asyncio.sleep(4 * HOLD_SECONDS)
        region.server.link_bytes_per_second = LINK_BYTES_PER_SECOND / 2
        region.store.configure(3, padding=padding)
        await asyncio.sleep(0.1)
        region.store.declare_version(2)
        await asyncio.sleep(DEADLINE_SECONDS)
        newest = entry.state_sync.cluster_state.newest_version("m")
        known.append((entry.number, newest))

    run_regions(scenario, (1,))
    assert known == [(2, 2)]


@pytest.mark.parametrize("size", [1, 4])
def test_a_copy_with_large_rows_is_confirmed_while_other_tables_change(size):
    # Guards against an entry that counts as cut off because the store's version moves:
    # checks that read small rows alone cannot tell what has changed.
    staleness = []

    async def scenario(region):
        loop = asyncio.get_running_loop()
        region.store.configure(2, padding=padding_for(1))
        await asyncio.sleep(4 * HOLD_SECONDS)
        for _ in range(40):
            region.store.put("other", "key", b"value")
            await asyncio.sleep(0.3)
            staleness.extend(
                entry.state_sync.cluster_state.staleness(loop.time())
                for entry in region.entries.values()
            )

    run_regions(scenario, (size,))
    assert max(staleness) < DEADLINE_SECONDS
