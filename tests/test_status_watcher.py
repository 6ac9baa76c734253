"""Watches of servers by an entry, over streams of the inner protocol."""

import asyncio
import random

import pytest
from grpclib.server import Server
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.ticket_replication import PeersService
from wasabideck_entry.fleet import Fleet
from wasabideck_entry.status_watcher import StatusWatcher
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub


class Peers(PeersService):
    """A service whose streams can stop sending without ending."""

    sends_nothing = False
    watch_received = False

    async def Watch(self, stream):
        if not self.sends_nothing:
            return await super().Watch(stream)
        await stream.recv_message()
        self.watch_received = True
        await asyncio.Event().wait()


class Agent:
    """An agent that serves its status on a free port of loopback."""

    def __init__(self):
        self.reply = pb.StatusReply(vm="a", service="s", serving=True, capacity=8)
        self.report_count = 0
        self.service = Peers(None, self.status)
        self.server = Server([self.service])

    def status(self, req):
        self.report_count += 1
        return self.reply

    async def start(self):
        await self.server.start("127.0.0.1", 0)
        host, port = self.server._server.sockets[0].getsockname()
        return f"{host}:{port}"


class ShortestDelay(random.Random):
    """Always draws the shortest delay."""

    def random(self):
        return 0.0


async def wait_until(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.fixture
def watched():
    """Return a function that runs a test with an agent and a fleet that watches it."""

    def run(body):
        async def session():
            agent = Agent()
            address = await agent.start()
            fleet = Fleet("entry-1", Channels(HybridClock()))
            agents = [Member("a", AGENT, address, service="s")]
            fleet.update_members([Member("entry-1", ENTRY, "e"), *agents])
            task = asyncio.create_task(StatusWatcher(fleet, ShortestDelay()).run())
            try:
                await wait_until(lambda: fleet.eligible_servers("s", set()))
                return await body(agent, fleet)
            finally:
                task.cancel()
                agent.server.close()
                fleet.channels.close()

        return asyncio.run(session())

    return run


def test_shutdown_of_an_agent_is_known_before_its_next_regular_report(
    watched, monkeypatch
):
    # Guards against requests that are sent to a VM being replaced until the entry's
    # next status query, which with many servers was more than a second later.
    monkeypatch.setattr(
        "wasabideck_entry.status_watcher.poll_interval", lambda servers: 60.0
    )

    async def body(agent, fleet):
        await wait_until(lambda: agent.report_count >= 2)
        agent.reply.leaving = True
        agent.service.notify_watchers()
        await wait_until(lambda: not fleet.eligible_servers("s", set()))
        return agent.report_count

    assert watched(body) == 3


def test_an_unresponsive_stream_is_replaced(watched, monkeypatch):
    # A middlebox drops the connection's state. Without a timeout the entry would keep
    # the last report forever and send requests to a server that no longer exists.
    monkeypatch.setattr("wasabideck_entry.status_watcher.STATUS_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(
        "wasabideck_entry.status_watcher.poll_interval", lambda servers: 0.05
    )

    async def body(agent, fleet):
        agent.service.sends_nothing = True
        fleet.channels.close()
        await wait_until(lambda: agent.service.watch_received)
        agent.reply.serving = False
        await wait_until(lambda: not fleet.eligible_servers("s", set()))

    watched(body)


def test_a_connection_dropped_by_another_call_is_a_link_failure(watched):
    # One of many calls on a connection finds it broken and closes it after another
    # call has connected but before that one sends. grpclib then raised an
    # AttributeError, which was not handled and ended the other call's watch.
    async def body(agent, fleet):
        channel = fleet.channels.get(fleet.servers["a"].address)
        protocol = await channel.__connect__()

        async def connected():
            return protocol

        protocol.connection.close()
        channel.__connect__ = connected
        with pytest.raises(CALL_FAILURES):
            await PeersStub(channel).Status(pb.StatusRequest(), timeout=5)

    watched(body)


def test_a_server_at_a_new_address_is_queried_at_once(watched, monkeypatch):
    # All agents are replaced and the list has their new addresses. Every request was
    # refused with NoServer until the next check of the watches, a quarter of a second
    # later.
    monkeypatch.setattr(
        "wasabideck_entry.status_watcher.CHECK_INTERVAL_SECONDS", 3600.0
    )

    async def body(agent, fleet):
        replacement = Agent()
        address = await replacement.start()
        fleet.update_members([Member("a", AGENT, address, service="s")])
        await wait_until(
            lambda: replacement.report_count and fleet.eligible_servers("s", set())
        )
        replacement.server.close()

    watched(body)


def test_a_failed_watch_is_restarted(watched, monkeypatch):
    # An unexpected error ends a watch. Without a restart the server's last report
    # would be kept forever, such as "serving" for a server that no longer exists.
    monkeypatch.setattr(
        "wasabideck_entry.status_watcher.poll_interval", lambda servers: 0.05
    )

    async def body(agent, fleet):
        query, failures = fleet.query, [ValueError("unforeseen")]

        async def query_or_fail(server):
            if failures:
                raise failures.pop()
            return await query(server)

        monkeypatch.setattr(Fleet, "query", lambda self, server: query_or_fail(server))
        await wait_until(lambda: agent.report_count >= 2)
        fleet.channels.close()
        await wait_until(lambda: not failures)
        agent.reply.serving = False
        await wait_until(lambda: not fleet.eligible_servers("s", set()))

    watched(body)


def test_the_largest_estimate_of_the_agents_clock_is_used(watched):
    # Reports wait while an entry is suspended, so the clock in them is outdated.
    # Requests were then refused as late until the next report.
    async def body(agent, fleet):
        server = fleet.servers["a"]
        now = fleet.clock()
        for ms in (1_000_000, 900_000):
            reply = pb.StatusReply(
                vm="a", serving=True, incarnation="x", clock_ms=int(now * 1000) + ms
            )
            fleet.apply_status(server, reply)
        return server.clock_ahead

    assert watched(body) == pytest.approx(1000.0, abs=1.0)
