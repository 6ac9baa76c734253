"""What processes tell each other of the operators' declarations."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from wasabideck_base.channels import Channels
from wasabideck_base.events import Clock, Events
from wasabideck_base.hearsay import Hearsay, HearsayService
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.rows import Changes, Row
from wasabideck_base.table_watch import TableWatch
from wasabideck_policy.declarations import CONFIGURATION, Declaration
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb


class Process:
    """One process with its inner protocol on a port of its own."""

    def __init__(self, vm, kind=ENTRY):
        self.vm, self.kind = vm, kind
        self.changed, self.took = [], []

    async def start(self):
        loop = asyncio.get_running_loop()
        clock = Clock()
        self.hearsay = Hearsay(
            Member(self.vm, self.kind, "", "region"),
            Channels(clock),
            Events(self.vm, clock, lambda: 0.0),
            loop.time,
            random.Random(1),
            lambda newer, source: self.changed.extend(newer),
            {"servers": self.watch(loop)},
            frozenset(["servers"]),
        )
        self.server = InnerServer([HearsayService(self.hearsay)])
        await self.server.start("127.0.0.1", 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def watch(self, loop):
        return TableWatch(
            SimpleNamespace(received=lambda table: 0),
            "servers",
            self.took.extend,
            lambda rows: None,
            lambda seconds: None,
            loop.time,
            Events(self.vm, Clock(), lambda: 0.0),
            random.Random(1),
        )

    def reads(self, *rows, version):
        """Have its watch take in rows as if the store had told them."""
        self.hearsay.tables["servers"]._apply(Changes(rows, version))

    def knows(self, *others):
        for other in others:
            member = Member(other.vm, other.kind, other.address, "region")
            self.hearsay.members[other.vm] = member

    def stop(self):
        self.server.close()
        self.hearsay.channels.close()


@pytest.fixture
def meet():
    """Run a scenario with processes that are stopped in the end."""

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


def test_a_revoked_key_is_heard_of_without_the_store(meet):
    # The store turns one entry away while it serves all others, and the operators
    # take a key away. The entry hears of it from a peer.
    calm, cut = Process("calm"), Process("cut")

    async def scenario():
        cut.knows(calm)
        newer = Declaration(CONFIGURATION, 7, b"without the key")
        calm.hearsay.merge([newer], "store")
        cut.hearsay.merge([Declaration(CONFIGURATION, 6, b"with it")], "store")
        await cut.hearsay.sync_with_one()
        assert cut.changed[-1] == newer

    meet(scenario, calm, cut)


def test_a_peer_that_knows_less_reverts_nothing(meet):
    old, new = Process("old"), Process("new")

    async def scenario():
        new.knows(old)
        old.hearsay.merge([Declaration(CONFIGURATION, 6, b"old")], "store")
        new.hearsay.merge([Declaration(CONFIGURATION, 7, b"new")], "store")
        await new.hearsay.sync_with_one()
        assert [d.number for d in new.changed] == [7]

    meet(scenario, old, new)


def test_agents_near_by_are_told_at_once(meet):
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        entry.knows(agent)
        named = Declaration("weights/m", 2, b"{}")
        await entry.hearsay.notify_agents([named])
        assert agent.changed == [named]

    meet(scenario, entry, agent)


def test_an_agent_is_not_sent_what_it_does_not_want(meet):
    # A configuration is 40 KB, and an agent's link carries the streams of its server.
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        agent.knows(entry)
        agent.hearsay.merge([Declaration(CONFIGURATION, 1, b"one")], "store")
        agent.hearsay.unwanted.add(CONFIGURATION)
        entry.hearsay.merge([Declaration(CONFIGURATION, 2, b"two")], "store")
        await agent.hearsay.sync_with_one()
        assert [d.number for d in agent.changed] == [1]
        agent.hearsay.unwanted.clear()
        await agent.hearsay.sync_with_one()
        assert [d.number for d in agent.changed] == [1, 2]

    meet(scenario, entry, agent)


def test_a_leaving_server_is_heard_of_while_the_watch_is_silent(meet):
    # The store turns one entry away without a word: its hanging call brings nothing,
    # and no error. A server begins to leave, and the entry went on sending to it for
    # as long as the call may hang, 15 seconds. Its peers know better.
    silent, calm = Process("silent"), Process("calm")

    async def scenario():
        silent.knows(calm)
        ready = Row("servers", "i-1", b"ready", 5)
        other = Row("servers", "i-2", b"ready", 6)
        leaving = Row("servers", "i-1", b"draining", 9)
        gone = Row("servers", "i-2", b"", 10, removed=True)
        silent.reads(ready, other, version=7)
        calm.reads(leaving, gone, version=12)
        await silent.hearsay.sync_with_one()
        assert silent.took[-2:] == [leaving, gone]
        await silent.hearsay.sync_with_one()
        assert len(silent.took) == 4

    meet(scenario, silent, calm)


def test_a_peer_that_does_not_answer_is_set_back(meet):
    lone = Process("lone")

    async def scenario():
        lone.hearsay.members["gone"] = Member("gone", ENTRY, "127.0.0.1:1", "region")
        await lone.hearsay.sync_with_one()
        assert lone.hearsay._choose_peer(lone.hearsay.clock()) is None

    meet(scenario, lone)


def test_entries_hear_of_requests_that_crash_servers(meet):
    # A request crashes a server through each of two entries in turn. Neither has seen
    # enough to refuse it, nor has a third one, and its server goes down as well.
    one, two, three = Process("one"), Process("two"), Process("three")

    async def scenario():
        one.hearsay.quarantine.record("poison", "i-1/1", 0.0)
        two.hearsay.quarantine.record("poison", "i-2/1", 0.0)
        one.knows(two)
        three.knows(one)
        await one.hearsay.sync_with_one()
        await three.hearsay.sync_with_one()
        for process in (one, two, three):
            assert process.hearsay.quarantine.refused("poison", 1.0)

    meet(scenario, one, two, three)


def test_few_crashes_are_told_of_at_a_time(meet):
    # A machine goes with all that ran there. Each of its requests is told of with each
    # question of every entry, and fills the thin links between regions for minutes.
    one, two = Process("one"), Process("two")

    async def scenario():
        for number in range(200):
            one.hearsay.quarantine.record(f"r{number}", "i-1/1", float(number))
        two.knows(one)
        await two.hearsay.sync_with_one()
        assert set(two.hearsay.quarantine.crashes) == {f"r{n}" for n in range(180, 200)}

    meet(scenario, one, two)


def test_what_a_peer_packed_badly_is_passed_over(meet):
    # One damaged declaration hides the others of the same answer, or ends the call.
    one, two = Process("one"), Process("two")

    async def scenario():
        told = [
            pb.Entry(scope=CONFIGURATION, slot="packed", ticket=7, change=b"damaged"),
            pb.Entry(scope="weights/m", slot="declared", ticket=2, change=b"{}"),
        ]
        seen = []
        two.hearsay.events.listeners.append(lambda kind, told: seen.append(kind))
        two.hearsay.handle_sync(pb.SyncRequest(vm="one", entries=told))
        assert [d.key for d in two.changed] == ["weights/m"]
        assert "content.unreadable" in seen

    meet(scenario, one, two)


def test_who_is_told_something_does_not_answer_with_all_it_knows(meet, monkeypatch):
    # Each agent that was told of a version answered with its whole configuration, up to
    # 1 MB of it over its thin link.
    entry, agent = Process("entry"), Process("agent", AGENT)

    async def scenario():
        entry.knows(agent)
        for process in (entry, agent):
            known = [Declaration(CONFIGURATION, 7, b"all routes")]
            process.hearsay.merge(known, "store")
        replies = []

        def answer(hearsay, req):
            replies.append(answered(hearsay, req))
            return replies[-1]

        answered = Hearsay.handle_sync
        monkeypatch.setattr(Hearsay, "handle_sync", answer)
        await entry.hearsay.notify_agents([Declaration("weights/m", 2, b"{}")])
        assert [d.key for d in agent.changed] == [CONFIGURATION, "weights/m"]
        assert [list(reply.entries) for reply in replies] == [[]]

    meet(scenario, entry, agent)


def far(process):
    """The process as a member of another region."""
    return Member(process.vm, process.kind, process.address, "far")


def test_a_far_peer_is_not_asked_for_what_one_near_by_tells(meet):
    # Agents ask far entries three times in ten, and each configuration came over the
    # region's one link once more for each of them.
    agent, near, away = Process("agent", AGENT), Process("near"), Process("away")

    async def scenario():
        for process, number in ((agent, 1), (near, 1), (away, 2)):
            process.hearsay.merge([Declaration(CONFIGURATION, number, b"{}")], "store")
        away.hearsay.merge([Declaration("weights/m", 2, b"{}")], "store")
        agent.knows(near)
        await agent.hearsay.sync_with_one()
        agent.hearsay.members = {"away": far(away)}
        await agent.hearsay.sync_with_one()
        told = [(d.key, d.number) for d in agent.changed]
        assert told == [(CONFIGURATION, 1), ("weights/m", 2)]

    meet(scenario, agent, near, away)


def asks_far(meet, alone=False, near_heard=True):
    """Numbers of the configuration that an entry knows after it has asked far."""
    entry, near, away = Process("entry"), Process("near"), Process("away")

    async def scenario():
        entry.hearsay.region_may_lag = lambda: alone
        for process, number in ((entry, 1), (near, 1), (away, 2)):
            process.hearsay.merge([Declaration(CONFIGURATION, number, b"{}")], "store")
        if near_heard:
            entry.knows(near)
            await entry.hearsay.sync_with_one()
        entry.hearsay.members = {"away": far(away)}
        await entry.hearsay.sync_with_one()

    meet(scenario, entry, near, away)
    return [d.number for d in entry.changed]


def test_a_far_peer_is_asked_when_nobody_near_by_answers(meet):
    # A region whose other entries are gone would keep its former configuration.
    assert asks_far(meet, near_heard=False) == [1, 2]


def test_a_far_peer_is_asked_when_the_store_turns_a_region_away(meet):
    # Those near by answer, and know as little.
    assert asks_far(meet) == [1]
    assert asks_far(meet, alone=True) == [1, 2]
