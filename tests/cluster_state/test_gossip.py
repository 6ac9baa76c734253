"""Gossip of the operators' declarations between processes."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip import Gossip, GossipService
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.table_watch import TableWatch
from wasabideck_policy.declarations import CONFIGURATION, Declaration
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.crashes import suspects_to_messages


class Process:
    """One process with its inner protocol on a port of its own."""

    def __init__(self, vm, kind=ENTRY):
        self.vm, self.kind = vm, kind
        self.declarations, self.rows = [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        clock = HybridClock()
        self.gossip = Gossip(
            Member(self.vm, self.kind, "", "region"),
            Channels(clock),
            Events(self.vm, clock, lambda: 0.0),
            loop.time,
            random.Random(1),
            lambda newer, source: self.declarations.extend(newer),
            {"servers": self.watch(loop)},
            frozenset(["servers"]),
        )
        self.server = InnerServer([GossipService(self.gossip)])
        await self.server.start("127.0.0.1", 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def watch(self, loop):
        return TableWatch(
            SimpleNamespace(received_bytes=lambda table: 0),
            "servers",
            self.rows.extend,
            lambda rows: None,
            lambda seconds: None,
            loop.time,
            Events(self.vm, HybridClock(), lambda: 0.0),
            random.Random(1),
        )

    def apply_rows(self, *rows, version):
        """Have its watch apply rows as if they came from the store."""
        self.gossip.tables["servers"]._apply(RowChanges(rows, version))

    def add_members(self, *others):
        for other in others:
            member = Member(other.vm, other.kind, other.address, "region")
            self.gossip.members[other.vm] = member

    def stop(self):
        self.server.close()
        self.gossip.channels.close()


@pytest.fixture
def run_with():
    """Run a scenario with processes that are stopped at the end."""

    def run(scenario, *processes):
        async def body():
            async with asyncio.timeout(10):
                for process in processes:
                    await process.start()
                try:
                    await scenario()
                finally:
                    for process in processes:
                        process.stop()

        asyncio.run(body())

    return run


def test_revoked_key_arrives_without_the_store(run_with):
    # The store refuses one entry while it serves all others, and the operators revoke a
    # key. The entry receives the change from a peer.
    connected, refused = Process("connected"), Process("refused")

    async def scenario():
        refused.add_members(connected)
        newer = Declaration(CONFIGURATION, 7, b"without the key")
        connected.gossip.merge([newer], "store")
        refused.gossip.merge([Declaration(CONFIGURATION, 6, b"with it")], "store")
        await refused.gossip.sync_with_one()
        assert refused.declarations[-1] == newer

    run_with(scenario, connected, refused)


def test_older_peer_reverts_nothing(run_with):
    old, new = Process("old"), Process("new")

    async def scenario():
        new.add_members(old)
        old.gossip.merge([Declaration(CONFIGURATION, 6, b"old")], "store")
        new.gossip.merge([Declaration(CONFIGURATION, 7, b"new")], "store")
        await new.gossip.sync_with_one()
        assert [d.number for d in new.declarations] == [7]

    run_with(scenario, old, new)


def test_nearby_agents_are_notified_at_once(run_with):
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        entry.add_members(agent)
        declared = Declaration("weights/m", 2, b"{}")
        await entry.gossip.notify_agents([declared])
        assert agent.declarations == [declared]

    run_with(scenario, entry, agent)


def test_agent_is_not_sent_unwanted_declarations(run_with):
    # A configuration has 40 KB, and an agent's link carries the streams of its server.
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        agent.add_members(entry)
        agent.gossip.merge([Declaration(CONFIGURATION, 1, b"one")], "store")
        agent.gossip.unwanted.add(CONFIGURATION)
        entry.gossip.merge([Declaration(CONFIGURATION, 2, b"two")], "store")
        await agent.gossip.sync_with_one()
        assert [d.number for d in agent.declarations] == [1]
        agent.gossip.unwanted.clear()
        await agent.gossip.sync_with_one()
        assert [d.number for d in agent.declarations] == [1, 2]

    run_with(scenario, entry, agent)


def test_server_shutdown_arrives_while_watch_is_unresponsive(run_with):
    # The connection of one entry to the store is unresponsive: its pending call gets no
    # answer and no error. A server shuts down, and the entry sent requests to it until
    # the call timed out after 15 seconds. Its peers know about the shutdown.
    unresponsive, connected = Process("unresponsive"), Process("connected")

    async def scenario():
        unresponsive.add_members(connected)
        ready = Row("servers", "i-1", b"ready", 5)
        other = Row("servers", "i-2", b"ready", 6)
        leaving = Row("servers", "i-1", b"draining", 9)
        removed = Row("servers", "i-2", b"", 10, removed=True)
        unresponsive.apply_rows(ready, other, version=7)
        connected.apply_rows(leaving, removed, version=12)
        await unresponsive.gossip.sync_with_one()
        assert unresponsive.rows[-2:] == [leaving, removed]
        await unresponsive.gossip.sync_with_one()
        assert len(unresponsive.rows) == 4

    run_with(scenario, unresponsive, connected)


def test_unresponsive_peer_is_not_called_for_a_while(run_with):
    lone = Process("lone")

    async def scenario():
        lone.gossip.members["gone"] = Member("gone", ENTRY, "127.0.0.1:1", "region")
        await lone.gossip.sync_with_one()
        assert lone.gossip._choose_peer(lone.gossip.clock()) is None

    run_with(scenario, lone)


def test_peers_are_chosen_alike_whatever_their_ports(run_with):
    # Guards against scenarios that pass or fail by the ports that the machine assigns.
    process = Process("one")
    chosen = set()

    async def scenario():
        gossip = process.gossip
        for ports in ([1, 2, 3, 4], [4, 3, 2, 1], [10, 9, 2, 1]):
            gossip.rng = random.Random(7)
            vms = {f"127.0.0.1:{port}": f"e{n}" for n, port in enumerate(ports)}
            gossip.members.update(
                (vm, Member(vm, ENTRY, address, "region"))
                for address, vm in vms.items()
            )
            chosen.add(tuple(vms[gossip._choose_peer(0.0)] for _ in range(20)))

    run_with(scenario, process)
    assert len(chosen) == 1


def test_entries_share_requests_that_crash_servers(run_with):
    # A request crashes a server through each of two entries. Neither entry has seen
    # enough crashes to refuse it, nor has a third one, whose server crashes as well.
    one, two, three = Process("one"), Process("two"), Process("three")

    async def scenario():
        one.gossip.quarantine.record_crash("poison", "i-1/1", 0.0)
        two.gossip.quarantine.record_crash("poison", "i-2/1", 0.0)
        one.add_members(two)
        three.add_members(one)
        await one.gossip.sync_with_one()
        await three.gossip.sync_with_one()
        for process in (one, two, three):
            assert process.gossip.quarantine.is_quarantined("poison", 1.0)

    run_with(scenario, one, two, three)


def test_number_of_crashes_per_message_is_limited(run_with):
    # A machine fails with all requests that ran there. Every sync request of every
    # entry reported each of them, and filled the slow links between regions for
    # minutes.
    one, two = Process("one"), Process("two")

    async def scenario():
        for number in range(200):
            one.gossip.quarantine.record_crash(f"r{number}", "i-1/1", float(number))
        two.add_members(one)
        await two.gossip.sync_with_one()
        assert set(two.gossip.quarantine.crashes) == {f"r{n}" for n in range(180, 200)}

    run_with(scenario, one, two)


def record_part_crashes(process, part, count):
    parts = process.gossip.part_gossip.parts
    for number in range(count):
        known = parts.known_rounds([part])
        parts.record_crash(f"i-{number}/1", [part], f"r{number}", known, 0.0)


def test_a_poll_brings_quarantined_parts_and_their_refutation(run_with):
    # Guards against an entry that missed what was pushed: it sends on a part that
    # crashes servers, or refuses one that has turned out to be harmless.
    one, two = Process("one"), Process("two")

    async def scenario():
        record_part_crashes(one, "part", 3)
        two.add_members(one)
        await two.gossip.sync_with_one()
        parts = two.gossip.part_gossip.parts
        assert parts.quarantined(0.0) == {"part"}
        one.gossip.part_gossip.parts.record_sound(["part"])
        await two.gossip.sync_with_one()
        assert parts.quarantined(0.0) == frozenset()

    run_with(scenario, one, two)


def test_a_push_brings_the_evidence_that_was_missed(run_with):
    # Guards against an entry that talks to its peers again after a cut, and sends on a
    # part that crashes servers until its next regular poll.
    back, peer = Process("back"), Process("peer")

    async def scenario():
        record_part_crashes(peer, "found meanwhile", 3)
        record_part_crashes(back, "own", 1)
        parts = back.gossip.part_gossip.parts
        own = suspects_to_messages(parts, ["own"])
        await back.gossip.push_suspects(own, [peer.address])
        assert parts.quarantined(0.0) == {"found meanwhile"}

    run_with(scenario, back, peer)


def test_a_reply_repeats_no_evidence_that_the_peer_has(run_with):
    # Guards against messages that carry all evidence both ways, over thin links, for as
    # long as a part is quarantined.
    one, two = Process("one"), Process("two")

    async def scenario():
        for process in (one, two):
            record_part_crashes(process, "part", 5)
            record_part_crashes(process, "once", 1)
        two.add_members(one)
        req = two.gossip._sync_request()
        assert [suspect.part for suspect in req.suspect_parts] == ["part"]
        assert not one.gossip.handle_sync(req).suspect_parts

    run_with(scenario, one, two)


def test_damaged_declaration_is_skipped(run_with):
    # One damaged declaration hid the others of the same message, or ended the call.
    one, two = Process("one"), Process("two")

    async def scenario():
        entries = [
            pb.Entry(scope=CONFIGURATION, slot="packed", ticket=7, change=b"damaged"),
            pb.Entry(scope="weights/m", slot="declared", ticket=2, change=b"{}"),
        ]
        emitted = []
        two.gossip.events.listeners.append(lambda kind, fields: emitted.append(kind))
        two.gossip.handle_sync(pb.SyncRequest(vm="one", entries=entries))
        assert [d.key for d in two.declarations] == ["weights/m"]
        assert "content.unreadable" in emitted

    run_with(scenario, one, two)


def test_notified_peer_does_not_reply_with_all_declarations(run_with, monkeypatch):
    # Each agent that was notified of a version replied with its whole configuration, up
    # to 1 MB over its slow link.
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        entry.add_members(agent)
        for process in (entry, agent):
            known = [Declaration(CONFIGURATION, 7, b"all routes")]
            process.gossip.merge(known, "store")
        replies = []

        def record_reply(gossip, req):
            replies.append(handle_sync(gossip, req))
            return replies[-1]

        handle_sync = Gossip.handle_sync
        monkeypatch.setattr(Gossip, "handle_sync", record_reply)
        await entry.gossip.notify_agents([Declaration("weights/m", 2, b"{}")])
        assert [d.key for d in agent.declarations] == [CONFIGURATION, "weights/m"]
        assert [list(reply.entries) for reply in replies] == [[]]

    run_with(scenario, entry, agent)


def remote_member(process):
    """Return the process as a member of another region."""
    return Member(process.vm, process.kind, process.address, "far")


def test_remote_peer_is_not_asked_for_what_nearby_peer_sends(run_with):
    # Agents poll remote entries in three of ten cases, and each configuration crossed
    # the region's only link once more for each agent.
    agent, nearby, remote = (
        Process("agent", AGENT),
        Process("nearby"),
        Process("remote"),
    )

    async def scenario():
        for process, number in ((agent, 1), (nearby, 1), (remote, 2)):
            process.gossip.merge([Declaration(CONFIGURATION, number, b"{}")], "store")
        remote.gossip.merge([Declaration("weights/m", 2, b"{}")], "store")
        agent.add_members(nearby)
        await agent.gossip.sync_with_one()
        agent.gossip.members = {"remote": remote_member(remote)}
        await agent.gossip.sync_with_one()
        declared = [(d.key, d.number) for d in agent.declarations]
        assert declared == [(CONFIGURATION, 1), ("weights/m", 2)]

    run_with(scenario, agent, nearby, remote)


def numbers_after_remote_poll(run_with, region_may_lag=False, nearby_replied=True):
    """Return the configuration numbers of an entry after it polled a remote peer."""
    entry, nearby, remote = Process("entry"), Process("nearby"), Process("remote")

    async def scenario():
        entry.gossip.region_may_lag = lambda: region_may_lag
        for process, number in ((entry, 1), (nearby, 1), (remote, 2)):
            process.gossip.merge([Declaration(CONFIGURATION, number, b"{}")], "store")
        if nearby_replied:
            entry.add_members(nearby)
            await entry.gossip.sync_with_one()
        entry.gossip.members = {"remote": remote_member(remote)}
        await entry.gossip.sync_with_one()

    run_with(scenario, entry, nearby, remote)
    return [d.number for d in entry.declarations]


def test_remote_peer_is_asked_when_no_nearby_peer_replies(run_with):
    # A region whose other entries have failed would keep its previous configuration.
    assert numbers_after_remote_poll(run_with, nearby_replied=False) == [1, 2]


def test_remote_peer_is_asked_when_store_refuses_region(run_with):
    # The nearby peers reply, but know no more than the entry.
    assert numbers_after_remote_poll(run_with) == [1]
    assert numbers_after_remote_poll(run_with, region_may_lag=True) == [1, 2]
