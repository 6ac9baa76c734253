"""What a process knows is complete up to a moment, which travels with its words."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base import state_sync as state_sync_module
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip import Gossip
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.declarations import CONFIGURATION, Declaration, weights_key
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb

PEER = "10.0.0.9:1"
NOW = 1000.0
# Time from a question to its answer, seconds.
ROUND_TRIP_SECONDS = 0.5


@pytest.fixture
def clock():
    return [NOW]


def new_process(kind, clock):
    process = StateSync(
        VMSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings("")),
        Member("vm", kind, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        SimpleNamespace(received_bytes=lambda table: 0),
        Channels(HybridClock()),
        Events("vm", HybridClock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )
    process.gossip.members["peer"] = Member("peer", ENTRY, PEER, "r")
    return process


@pytest.fixture
def ask(clock, monkeypatch):
    """Have a process poll another one, whose answer takes a round trip."""

    def run(process, peer, alter=lambda reply: reply):
        async def reply(self, address, req, timeout):
            answer = alter(peer.gossip.handle_sync(req))
            clock[0] += ROUND_TRIP_SECONDS
            return answer

        monkeypatch.setattr(Gossip, "_sync", reply)
        asyncio.run(process.gossip.sync_with_one())

    return run


def knows(process, number, complete_until):
    """Have a process know a version, and nothing newer until a moment."""
    content = b'{"model":"m","version":%d}' % number
    process.gossip.merge([Declaration(weights_key("m"), number, content)], "a peer")
    process.cluster_state.mark_complete(complete_until)
    return process


def with_damaged_content(reply):
    for entry in reply.entries:
        if entry.slot in ("declared", "packed"):
            entry.slot, entry.change = "packed", b"damaged"
    return reply


@pytest.mark.parametrize("kind", [AGENT, ENTRY])
def test_reply_is_complete_as_of_when_it_was_requested(kind, clock, ask):
    # Guards against processes that don't know as of when a peer's word was good.
    peer = knows(new_process(ENTRY, clock), 2, NOW - 3.0)
    process = new_process(kind, clock)
    ask(process, peer)
    assert process.cluster_state.newest_version("m") == 2
    assert process.cluster_state.complete_until == pytest.approx(NOW - 3.0, abs=0.002)


def test_word_that_passed_through_a_third_process_gets_no_younger(clock, ask):
    # Guards against processes that are cut off together and keep each other current.
    first = knows(new_process(ENTRY, clock), 2, NOW)
    second = knows(new_process(ENTRY, clock), 2, NOW - 20.0)
    for _ in range(5):
        ask(second, first)
        ask(first, second)
    assert first.cluster_state.complete_until == NOW
    assert NOW - 0.02 < second.cluster_state.complete_until <= NOW


def test_unreadable_reply_does_not_vouch(clock, ask):
    # Guards against a process that lacks a declaration and counts as current.
    peer = knows(new_process(ENTRY, clock), 3, NOW)
    process = knows(new_process(ENTRY, clock), 2, NOW - 10.0)
    ask(process, peer, with_damaged_content)
    assert process.cluster_state.complete_until == NOW - 10.0


def test_reply_without_configuration_does_not_vouch(clock, ask):
    # Guards against an entry whose configuration is old and that counts as current: it
    # asks a remote peer for everything else while nearby ones reply.
    peer = knows(new_process(ENTRY, clock), 3, NOW)
    entry = knows(new_process(ENTRY, clock), 2, NOW - 10.0)
    entry.gossip.members["peer"] = Member("peer", ENTRY, PEER, "far")
    entry.gossip.last_local_reply_at = NOW
    entry.gossip.region_may_lag = lambda: False
    ask(entry, peer)
    assert entry.cluster_state.newest_version("m") == 3
    assert entry.cluster_state.complete_until == NOW - 10.0


def test_agents_do_not_vouch(clock, ask):
    # Guards against agents, which accept a configuration only now and then, that make
    # an entry with an old one current.
    agent = knows(new_process(AGENT, clock), 2, NOW)
    entry = knows(new_process(ENTRY, clock), 2, NOW - 10.0)
    ask(entry, agent)
    assert entry.cluster_state.complete_until == NOW - 10.0


def test_agent_without_interest_in_configurations_is_vouched_for(clock, ask):
    # Guards against agents that never count as current.
    peer = knows(new_process(ENTRY, clock), 2, NOW)
    agent = new_process(AGENT, clock)
    agent.gossip.unwanted.add(CONFIGURATION)
    ask(agent, peer)
    assert agent.cluster_state.complete_until == pytest.approx(NOW, abs=0.002)


def test_peer_that_never_read_the_store_does_not_vouch(clock, ask):
    # Guards against a word without a moment that is taken for the newest.
    peer, process = new_process(ENTRY, clock), new_process(AGENT, clock)
    peer.gossip.merge([Declaration(weights_key("m"), 2, b"{}")], "a peer")
    ask(process, peer)
    assert process.cluster_state.complete_until == float("-inf")


def test_replies_of_stale_peers_are_no_contact(clock, monkeypatch):
    # Guards against 401 and 404 for a key or route that was added: entries that were
    # cut off together answer each other, and none of them has heard of the change.
    entry = new_process(ENTRY, clock)
    peer = knows(new_process(ENTRY, clock), 2, NOW - 15.0)
    monkeypatch.setattr(state_sync_module, "GOSSIP_INTERVAL_SECONDS", 0.0)
    monkeypatch.setattr(state_sync_module, "FAST_GOSSIP_INTERVAL_SECONDS", 0.0)

    async def reply(channel, req, timeout):
        return peer.gossip.handle_sync(req)

    async def run():
        monkeypatch.setattr(
            "wasabideck_base.gossip.PeersStub",
            lambda channel: SimpleNamespace(
                Sync=lambda req, timeout: reply(channel, req, timeout)
            ),
        )
        entry.gossip.channels = SimpleNamespace(get=lambda address: None)
        task = asyncio.create_task(entry._run_gossip())
        async with asyncio.timeout(5):
            while entry.cluster_state.newest_version("m") != 2:
                await asyncio.sleep(0)
            for _ in range(20):
                await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert entry.cluster_state.stale(clock[0])


def test_pushed_declarations_do_not_vouch(clock):
    # Guards against a push, which contains only what is new, that makes a process
    # current that lacks something else.
    process = knows(new_process(ENTRY, clock), 2, NOW - 10.0)
    content = b'{"model":"m","version":3}'
    entry = pb.Entry(scope=weights_key("m"), slot="declared", ticket=3, change=content)
    process.gossip.handle_sync(pb.SyncRequest(vm="peer", entries=[entry]))
    assert process.cluster_state.newest_version("m") == 3
    assert process.cluster_state.complete_until == NOW - 10.0
