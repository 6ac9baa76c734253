"""An entry watches its servers over streams of the inner protocol."""

import asyncio
import random

import pytest
from grpclib.server import Server
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.events import Clock
from wasabideck_base.spread import PeersService
from wasabideck_entry.fleet import Fleet
from wasabideck_entry.watching import Watching
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub


class Peers(PeersService):
    """A service whose streams can go silent without an end."""

    mute = False
    muted = False

    async def Watch(self, stream):
        if not self.mute:
            return await super().Watch(stream)
        await stream.recv_message()
        self.muted = True
        await asyncio.Event().wait()


class Agent:
    """One agent's status, on a free port of loopback."""

    def __init__(self):
        self.reply = pb.StatusReply(vm="a", service="s", serving=True, capacity=8)
        self.words = 0
        self.service = Peers(None, self.status)
        self.server = Server([self.service])

    def status(self, req):
        self.words += 1
        return self.reply

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        host, port = self.server._server.sockets[0].getsockname()
        return f"{host}:{port}"


class AtOnce(random.Random):
    """Draws the shortest delay."""

    def random(self):
        return 0.0


async def until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def watched():
    """Run a body with an agent, and a fleet that watches it."""

    def run(body):
        async def session():
            agent = Agent()
            address = await agent.start()
            fleet = Fleet("entry-1", Channels(Clock()))
            agents = [Member("a", AGENT, address, service="s")]
            fleet.take_members([Member("entry-1", ENTRY, "e"), *agents])
            task = asyncio.create_task(Watching(fleet, AtOnce()).run())
            try:
                await until(lambda: fleet.candidates("s", set()))
                return await body(agent, fleet)
            finally:
                task.cancel()
                agent.server.close()
                fleet.channels.close()

        return asyncio.run(session())

    return run


def test_a_leaving_agent_is_known_before_its_next_word_is_due(watched, monkeypatch):
    # A VM is replaced, and requests go on reaching it until the entry's next
    # question: with many servers to ask that was more than a second later.
    monkeypatch.setattr("wasabideck_entry.watching.poll_pause", lambda servers: 60.0)

    async def body(agent, fleet):
        await until(lambda: agent.words >= 2)
        agent.reply.leaving = True
        agent.service.tell()
        await until(lambda: not fleet.candidates("s", set()))
        return agent.words

    assert watched(body) == 3


def test_a_stream_that_goes_silent_is_replaced(watched, monkeypatch):
    # Something between the two ends forgets the connection. The entry would keep
    # the last word for good, and send requests to a server that is long gone.
    monkeypatch.setattr("wasabideck_entry.watching.STATUS_TIMEOUT", 0.05)
    monkeypatch.setattr("wasabideck_entry.watching.poll_pause", lambda servers: 0.05)

    async def body(agent, fleet):
        agent.service.mute = True
        fleet.channels.close()
        await until(lambda: agent.service.muted)
        agent.reply.serving = False
        await until(lambda: not fleet.candidates("s", set()))

    watched(body)


def test_a_connection_dropped_by_another_call_is_a_link_failure(watched):
    # One of many calls on a connection finds it broken and closes it, in the moment
    # between another call's connecting and its sending. That one ended in an
    # AttributeError of grpclib, which nothing expects, and its watch with it.
    async def body(agent, fleet):
        channel = fleet.channels.get(fleet.servers["a"].address)
        protocol = await channel.__connect__()

        async def connected():
            return protocol

        protocol.connection.close()
        channel.__connect__ = connected
        with pytest.raises(LINK_FAILURES):
            await PeersStub(channel).Status(pb.StatusRequest(), timeout=5)

    watched(body)


def test_a_server_at_a_new_address_is_asked_at_once(watched, monkeypatch):
    # All agents are replaced and the list has their new addresses. Every request was
    # refused, NoServer, until the watches were looked through a quarter of a second
    # later.
    monkeypatch.setattr("wasabideck_entry.watching.LOOK_SECONDS", 3600.0)

    async def body(agent, fleet):
        other = Agent()
        address = await other.start()
        fleet.take_members([Member("a", AGENT, address, service="s")])
        await until(lambda: other.words and fleet.candidates("s", set()))
        other.server.close()

    watched(body)


def test_a_watch_that_failed_is_begun_anew(watched, monkeypatch):
    # Any error that nobody foresaw ends a watch. The server's last word would stay
    # for good, "serving" for one that is long gone.
    monkeypatch.setattr("wasabideck_entry.watching.poll_pause", lambda servers: 0.05)

    async def body(agent, fleet):
        ask, fails = fleet.ask, [ValueError("unforeseen")]

        async def ask_or_fail(server):
            if fails:
                raise fails.pop()
            return await ask(server)

        monkeypatch.setattr(Fleet, "ask", lambda self, server: ask_or_fail(server))
        await until(lambda: agent.words >= 2)
        fleet.channels.close()
        await until(lambda: not fails)
        agent.reply.serving = False
        await until(lambda: not fleet.candidates("s", set()))

    watched(body)


def test_the_agents_clock_is_taken_from_its_fastest_word(watched):
    # Words wait while an entry is frozen; the clock that they tell is that of long
    # ago, and requests were refused as late until the next word.
    async def body(agent, fleet):
        server = fleet.servers["a"]
        now = fleet.clock()
        for ms in (1_000_000, 900_000):
            reply = pb.StatusReply(
                vm="a", serving=True, incarnation="x", clock_ms=int(now * 1000) + ms
            )
            fleet.take(server, reply)
        return server.clock_ahead

    assert watched(body) == pytest.approx(1000.0, abs=1.0)
