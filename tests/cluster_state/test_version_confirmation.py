"""An agent whose peers have lost the store asks the store itself for the versions."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip import Gossip
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.configuration import Configuration
from wasabideck_policy.declarations import Declaration, weights_key
from wasabideck_policy.membership import AGENT, Member

OPERATORS = DEPLOYMENT.declarations_table
KEY = weights_key("m")


def version_row(number):
    value = b'{"model":"m","version":%d}' % number
    return Row(OPERATORS, "version/m", value, number)


class Store:
    """Holds version 3, unless it is down, and records the reads of operators' rows."""

    def __init__(self):
        self.down, self.reads, self.requested_at = False, [], []

    def received_bytes(self, table):
        return 0

    async def read(self, table, key_prefix=""):
        if table != OPERATORS:
            return RowChanges((), 5)
        self.reads.append(key_prefix)
        self.requested_at.append(asyncio.get_running_loop().time())
        if self.down:
            raise PlatformUnavailable("store", "down", False)
        await asyncio.sleep(0.05)
        return RowChanges((version_row(3),), 5)

    async def write(self, writes, expected=()):
        pass


@pytest.fixture
def store():
    return Store()


@pytest.fixture(autouse=True)
def polled_at(monkeypatch):
    """Have a peer answer each call with what it knew; return the times of calls."""
    times = []

    async def reply_as_before(self):
        times.append(self.clock())
        self.last_reply_at = self.last_local_reply_at = self.clock()

    monkeypatch.setattr(Gossip, "sync_with_one", reply_as_before)
    return times


@asynccontextmanager
async def agent_beside_stale_peer(store, complete_until=float("-inf")):
    """A new agent whose only peer knows version 2, and answers each of its calls."""
    cfg = VMSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    state_sync = StateSync(
        cfg,
        Member("vm", AGENT, "127.0.0.1:1", "r", "dc"),
        DEPLOYMENT,
        store,
        Channels(HybridClock()),
        Events("vm", HybridClock(), lambda: 0.0),
        asyncio.get_running_loop().time,
        random.Random(1),
    )
    gossip = state_sync.gossip
    state_sync.cluster_state.configuration = Configuration(1, {}, {})
    state_sync.cluster_state.mark_complete(complete_until)
    gossip.merge([Declaration(KEY, 2, version_row(2).value)], "peer")
    await gossip.sync_with_one()
    tasks = [asyncio.create_task(loop) for loop in state_sync.loops()]
    try:
        yield state_sync
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        assert isinstance(result, asyncio.CancelledError), result


def test_new_agent_beside_a_stale_peer_reads_the_versions_from_the_store(store):
    # Guards against an agent that takes the version of a peer that was cut off for the
    # newest one.
    async def scenario():
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(2.0)
            assert state_sync.cluster_state.newest_version("m") == 3

    asyncio.run(scenario())


def test_running_agent_beside_stale_peers_reads_the_versions_from_the_store(store):
    # Guards against an agent that serves expired weights because all entries that it
    # reaches are cut off from the store, and it is not.
    async def scenario():
        limit = VMSettings("", "", "", "", 1, StoreSettings("")).limits
        stale = asyncio.get_running_loop().time() - limit.version_deadline_seconds
        async with agent_beside_stale_peer(store, stale) as state_sync:
            state_sync.cluster_state.started_at -= 60.0
            await asyncio.sleep(1.0)
            assert state_sync.cluster_state.newest_version("m") == 3

    asyncio.run(scenario())
