"""An agent whose peers have lost the store asks the store itself for the versions."""

import asyncio
import itertools
import random
from contextlib import asynccontextmanager

import pytest
from virtual_time import run_in_virtual_time
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_adapter.store import READ_HEDGE_SECONDS
from wasabideck_base import version_confirmation
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
        self.seconds, self.silent_seconds = 0.02, 0.0

    def received_bytes(self, table):
        return 0

    async def read(self, table, key_prefix=""):
        if table != OPERATORS:
            return RowChanges((), 5)
        self.reads.append(key_prefix)
        self.requested_at.append(asyncio.get_running_loop().time())
        if self.down:
            await asyncio.sleep(self.silent_seconds)
            raise PlatformUnavailable("store", "down", False)
        await asyncio.sleep(self.seconds)
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

    run_in_virtual_time(scenario())


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

    run_in_virtual_time(scenario())


def test_only_versions_are_read_for_a_confirmation(store):
    # Guards against agents of a region that all read the table of 100 KB over its link.
    async def scenario():
        async with agent_beside_stale_peer(store):
            await asyncio.sleep(2.0)
        assert store.reads == [DEPLOYMENT.version_key_prefix]

    run_in_virtual_time(scenario())


def test_confirmed_agent_does_not_read_the_store(store):
    # Guards against reads of the store by each agent while nothing is wrong.
    async def scenario():
        now = asyncio.get_running_loop().time()
        async with agent_beside_stale_peer(store, now) as state_sync:
            state_sync.cluster_state.started_at -= 60.0
            now = state_sync.clock()
            assert state_sync.confirmation.allows(now + 3.0, now)
            await asyncio.sleep(2.0)
        assert store.reads == []

    run_in_virtual_time(scenario())


def test_confirmation_is_as_of_the_request(store):
    # Guards against counting a version as known that was declared during a slow read.
    async def scenario():
        store.seconds = 0.5
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(2.5)
            until = state_sync.cluster_state.complete_until
            assert until <= store.requested_at[0] < until + 0.25

    run_in_virtual_time(scenario())


def test_waiting_order_is_confirmed_at_once(store, polled_at):
    # Guards against an engine that stays empty until the next periodic read or poll.
    async def scenario():
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(0.3)
            now = state_sync.clock()
            assert not state_sync.confirmation.allows(now + 0.3, now)
            await asyncio.sleep(0.2)
            now = state_sync.clock()
            assert state_sync.confirmation.allows(now + 0.3, now)
            assert not state_sync.confirmation.requested

    run_in_virtual_time(scenario())


def test_entries_are_polled_often_while_an_order_waits(store, polled_at):
    # Guards against an agent without the store that asks one entry, which was cut off,
    # and orders before it has asked another.
    async def scenario():
        store.down = True
        async with agent_beside_stale_peer(store) as state_sync:
            now = state_sync.clock()
            while not state_sync.confirmation.allows(now + 0.3, now):
                await asyncio.sleep(0.05)
                now = state_sync.clock()
            hold = state_sync.cfg.limits.disturbance_hold_seconds
            assert hold <= now - polled_at[0] < hold + 1.0
        assert len(polled_at) > 8

    run_in_virtual_time(scenario())


def test_unconfirmed_order_needs_a_recent_failure_of_the_store(store):
    # Guards against an order that rests on a failure before it was asked for.
    async def scenario():
        store.down = True
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(2.0)
            assert store.reads
            store.down = False
            now = state_sync.clock()
            hold = state_sync.cfg.limits.disturbance_hold_seconds
            assert not state_sync.confirmation.allows(now + 0.3, now)
            assert not state_sync.confirmation.allows(now + hold + 0.3, now + hold)

    run_in_virtual_time(scenario())


def test_known_version_is_ordered_while_a_read_of_the_store_stays_pending(store):
    # Guards against an engine that stays empty while the store responds to nobody: the
    # read that would confirm the version is not given up, as the store may be slow.
    async def scenario():
        store.down, store.silent_seconds = True, 60.0
        async with agent_beside_stale_peer(store) as state_sync:
            confirmation, clock = state_sync.confirmation, state_sync.clock
            hold = state_sync.cfg.limits.disturbance_hold_seconds
            started_at = clock()
            while not confirmation.allows(clock() + 0.3, clock()):
                await asyncio.sleep(0.05)
            assert hold <= clock() - started_at <= hold + 0.1
            assert len(store.reads) == 1

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("seconds", [2.0, 5.0])
def test_late_response_of_the_store_confirms_the_versions(store, seconds):
    # Guards against an agent beside a slow store that gives up each read and orders a
    # version that a newer one has replaced.
    async def scenario():
        store.seconds = seconds
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(seconds + 1.5)
            assert state_sync.cluster_state.newest_version("m") == 3

    run_in_virtual_time(scenario())


def test_reads_of_the_store_get_fewer_while_it_is_down(store):
    # Guards against agents that all read at once when the store is back.
    async def scenario():
        store.down = True
        async with agent_beside_stale_peer(store):
            await asyncio.sleep(6.0)
        assert 2 <= len(store.reads) <= 6
        gaps = [b - a for a, b in itertools.pairwise(store.requested_at)]
        longest = [
            min(
                version_confirmation.MAX_BACKOFF_SECONDS,
                version_confirmation.FIRST_BACKOFF_SECONDS * 2**n,
            )
            for n in range(1, len(gaps) + 1)
        ]
        for gap, seconds in zip(gaps, longest, strict=True):
            # Part of each backoff is random, so that agents do not read together.
            assert 0.7 * seconds - 0.001 <= gap <= seconds + 0.001

    run_in_virtual_time(scenario())


def test_word_of_a_sound_entry_ends_the_reads(store):
    # Guards against reads of the store that go on when an entry has replied.
    async def scenario():
        store.down = True
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(1.5)
            reads = len(store.reads)
            state_sync.gossip.on_complete(state_sync.clock())
            await asyncio.sleep(2.0)
            assert len(store.reads) == reads

    run_in_virtual_time(scenario())


def test_read_of_the_whole_table_confirms_the_versions(store):
    # Guards against a second read after a start beside entries that do not reply.
    async def scenario():
        store.seconds = 0.5
        async with agent_beside_stale_peer(store) as state_sync:
            state_sync.cluster_state.configuration = None
            await asyncio.sleep(0.9)
            until = state_sync.cluster_state.complete_until
            assert store.reads[0] == ""
            assert until <= store.requested_at[0] < until + 0.25

    run_in_virtual_time(scenario())


def test_request_that_is_not_repeated_lapses(store, polled_at, monkeypatch):
    # Guards against agents that poll entries five times a second for as long as the
    # store is down, after the order that waited was sent.
    async def scenario():
        monkeypatch.setattr(version_confirmation, "REQUEST_VALID_SECONDS", 0.5)
        store.down = True
        async with agent_beside_stale_peer(store) as state_sync:
            state_sync.cluster_state.started_at -= 60.0
            now = state_sync.clock()
            state_sync.confirmation.allows(now + 0.3, now)
            assert state_sync.confirmation.requested
            await asyncio.sleep(1.0)
            polls = len(polled_at)
            assert not state_sync.confirmation.requested
            await asyncio.sleep(2.0)
            assert len(polled_at) - polls <= 2

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("silent_seconds", [0.0, READ_HEDGE_SECONDS])
@pytest.mark.parametrize("seconds", [6.0, 7.0, 9.0, 12.1, 15.4, 18.0])
def test_agent_whose_path_is_back_knows_the_versions_before_it_counts(
    store, seconds, silent_seconds
):
    # Guards against expired weights of an agent that was cut off for long, beside
    # entries that still are: failed reads must not get too few.
    async def scenario():
        store.down, store.silent_seconds = True, silent_seconds
        async with agent_beside_stale_peer(store) as state_sync:
            await asyncio.sleep(seconds)
            store.down = False
            await asyncio.sleep(state_sync.cfg.limits.disturbance_hold_seconds - 0.5)
            assert state_sync.cluster_state.newest_version("m") == 3

    run_in_virtual_time(scenario())


def test_confirmation_that_can_never_suffice_does_not_fill_the_store(store):
    # Guards against an agent that reads the store without a pause: its load lasts
    # longer than the time in which a newer version becomes due.
    async def scenario():
        async with agent_beside_stale_peer(store) as state_sync:
            deadline = state_sync.cfg.limits.version_deadline_seconds
            for _ in range(40):
                now = state_sync.clock()
                state_sync.confirmation.allows(now + deadline + 0.5, now)
                await asyncio.sleep(0.05)
        assert len(store.reads) <= 8

    run_in_virtual_time(scenario())


class CountedRandom(random.Random):
    """Ends a loop that draws far more intervals than it can wait for."""

    MAX_DRAWS = 100
    draws = 0

    def uniform(self, a, b):
        self.draws += 1
        assert self.draws < self.MAX_DRAWS, "a loop that never waits"
        return super().uniform(a, b)


@pytest.mark.parametrize("during_read", [False, True])
def test_an_agent_whose_request_was_answered_by_entries_goes_on(store, during_read):
    # Guards against an agent that spins until its memory is used up, when entries have
    # confirmed the versions before it got to ask the store.
    async def scenario():
        now = asyncio.get_running_loop().time
        async with agent_beside_stale_peer(store, now()) as state_sync:
            cluster_state, confirmation = (
                state_sync.cluster_state,
                state_sync.confirmation,
            )
            confirmation.rng = CountedRandom(1)
            await asyncio.sleep(0.1)
            deadline = state_sync.cfg.limits.version_deadline_seconds
            assert not confirmation.allows(now() + deadline, now())
            if during_read:
                store.seconds = 0.5
                await asyncio.sleep(0.1)
                cluster_state.mark_complete(now())
                assert not confirmation.allows(now() + deadline + 1.0, now())
                cluster_state.mark_complete(now() + 1.0)
            cluster_state.mark_complete(now() + 1.0)
            await asyncio.sleep(3.0)

    run_in_virtual_time(scenario())
