"""What a region reader with an unresponsive call tells the entries that follow it."""

import asyncio
import random

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip import Gossip
from wasabideck_base.rows import RowChanges
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.membership import ENTRY, Member

# When the reader's connection to the store became unresponsive, seconds.
CUT_AT = 20.0


@pytest.fixture
def clock():
    return [CUT_AT]


class Store:
    """Answers a read and the call after it at once, and no later call."""

    def __init__(self):
        self.calls = 0

    def received_bytes(self, table):
        return 0

    async def read(self, table):
        return RowChanges((), 5)

    async def wait_for_changes(self, table, after, wait):
        self.calls += 1
        if self.calls > 1:
            await asyncio.Event().wait()
        return RowChanges((), 5)


def new_entry(vm, clock):
    entry = StateSync(
        VMSettings(vm, "127.0.0.1", "dc", "r", 1, StoreSettings("")),
        Member(vm, ENTRY, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        Store(),
        Channels(HybridClock()),
        Events(vm, HybridClock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )
    entry.gossip.members["peer"] = Member("peer", ENTRY, "10.0.0.9:1", "r")
    return entry


@pytest.mark.parametrize("seconds", [0.6, 14.0])
def test_pending_call_of_a_reader_makes_no_follower_current(
    clock, monkeypatch, seconds
):
    # Guards against 401 and 404 for what was added meanwhile, and against agents that
    # load an expired version: the reader and its follower were cut off, and the
    # reader's call waits on a connection on which nothing will arrive any more.
    async def scenario():
        reader, follower = new_entry("reader", clock), new_entry("follower", clock)
        for entry in (reader, follower):
            await entry.operator_watch.step()
            await entry.operator_watch.step()
        calling = asyncio.create_task(reader.operator_watch.step())
        await asyncio.sleep(0)
        reader.readers._watch_task = calling
        clock[0] += seconds

        async def reply(self, address, req, timeout):
            return reader.gossip.handle_sync(req)

        monkeypatch.setattr(Gossip, "_sync", reply)
        await follower.readers._poll("peer")
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        assert follower.readers.readers.last_confirmed_at == clock[0]
        assert follower.cluster_state.complete_until <= CUT_AT
        assert reader.cluster_state.complete_until <= CUT_AT

    asyncio.run(scenario())
