"""An agent that the origin refuses gets a version's manifest from its peers."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from agent_fakes import CHUNKS, FakeEngine, FakeOrigin, FakeStore, digest, new_agent
from attrs import evolve
from wasabideck_agent.numbered_manifests import READERS_PER_REGION
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.inner_limits import InnerServer
from wasabideck_policy.engine_state import EngineState
from wasabideck_policy.manifests import (
    CorruptManifest,
    ManifestReport,
    manifest_to_json,
    most_reported,
    numbered_manifest_from_json,
    numbered_manifest_name,
)
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.rendezvous import rank_vms


class CorruptOrigin(FakeOrigin):
    """Lists a wrong digest in its manifests, while it is marked as corrupt."""

    corrupt = True

    async def read_manifest(self, model, version):
        good = await super().read_manifest(model, version)
        if not self.corrupt:
            return good
        return evolve(good, chunks=(digest(b"wrong"), *good.chunks[1:]))


class BusyEngine(FakeEngine):
    """Stays empty and busy: its agent holds a manifest and chunks, but no order."""

    async def read_state(self):
        return EngineState((), True, started_at_ms=self.born)


def agent_of(origin, engine=None):
    rows = FakeStore()
    rows.listed = ["127.0.0.1"]
    return new_agent(engine or FakeEngine(), origin, rows)


def origin_of(agent):
    return agent.deployment.open_origin(None, "")


@asynccontextmanager
async def connected(**agents):
    """Start each agent's chunk server, and make all agents members of each other."""
    members, servers = {}, []
    for name, agent in agents.items():
        server = InnerServer([agent.chunks])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        members[name] = Member(name, AGENT, f"127.0.0.1:{port}", "r", "dc", "s")
        servers.append(server)
    for name, agent in agents.items():
        agent.process.cfg = evolve(agent.process.cfg, vm=name)
        agent.process.state_sync.gossip.members.update(members)
    try:
        yield members
    finally:
        for agent in agents.values():
            agent.process.channels.close()
        for server in servers:
            server.close()
            await server.wait_closed()


def record_events(agent):
    kinds = []
    agent.events.listeners.append(lambda kind, fields: kinds.append(kind))
    return kinds


async def get_manifest(agent, version=1):
    return await agent.manifests.get("m", version)


async def loaded(agent):
    async with asyncio.timeout(10):
        while not agent.engine.orders:
            agent.process.time[0] += 1.0
            await agent.step()


def test_an_agent_that_the_origin_refuses_gets_the_manifest_from_a_peer():
    # After a power loss the origin's connections from before stay occupied, and the
    # first agents take the rest. 13 of 42 agents requested the manifest three times a
    # second until the end, beside peers that had it and all chunks.
    has, late = agent_of(FakeOrigin()), agent_of(FakeOrigin())

    async def run():
        async with connected(has=has, late=late):
            del has.process.state_sync.gossip.members["late"]
            await loaded(has)
            origin_of(late).down = True
            kinds = record_events(late)
            await loaded(late)
            return kinds

    kinds = asyncio.run(run())
    assert late.engine.orders == [1]
    assert "manifest.unread" in kinds


def test_the_origins_failure_is_raised_if_no_peer_has_the_manifest():
    # While nobody has the manifest, the logged failure has to be that of the origin.
    one, other = agent_of(FakeOrigin()), agent_of(FakeOrigin())
    origin_of(one).down = True

    async def run():
        async with connected(one=one, other=other):
            with pytest.raises(PlatformUnavailable, match="origin"):
                await get_manifest(one)

    asyncio.run(run())


def test_a_corrupt_manifest_from_a_peer_is_not_passed_on():
    # One agent reads a corrupt manifest and passes it to two that the origin refuses.
    # If these passed it on, it would return to the first one after that has read an
    # intact manifest, and circulate for as long as the origin is unreachable.
    first = agent_of(CorruptOrigin())
    second, last = agent_of(FakeOrigin()), agent_of(FakeOrigin())
    for agent in (second, last):
        origin_of(agent).down = True

    async def run():
        async with connected(first=first, told=second, last=last):
            corrupt = await get_manifest(first)
            assert (await get_manifest(second)).digest == corrupt.digest
            del last.process.state_sync.gossip.members["first"]
            with pytest.raises(PlatformUnavailable):
                await get_manifest(last)

    asyncio.run(run())


def test_a_corrupt_manifest_is_replaced_by_a_peer_that_read_it_again():
    # The peer that reported a corrupt manifest has read it again. An agent that
    # accepted it waits for a chunk that nobody has, and is still refused by the origin.
    first, late = agent_of(CorruptOrigin(), BusyEngine()), agent_of(FakeOrigin())
    origin_of(late).down = True

    async def run():
        async with connected(first=first, late=late):
            corrupt = await get_manifest(first)
            assert (await get_manifest(late)).digest == corrupt.digest
            origin_of(first).corrupt = False
            assert await first._reread_manifest(first._model(), corrupt)
            assert await late._reread_manifest(late._model(), corrupt)
            return corrupt, await get_manifest(first), await get_manifest(late)

    corrupt, good, now = asyncio.run(run())
    assert now.digest == good.digest != corrupt.digest
    assert len(now.chunks) == CHUNKS


def test_a_manifest_that_was_read_outweighs_the_report_of_one_peer():
    # A peer holds a corrupt manifest. An agent with the intact one, whose transfer is
    # only slow and which the origin now refuses, must not change to the corrupt one.
    good, bad = agent_of(FakeOrigin()), agent_of(CorruptOrigin())

    async def run():
        async with connected(good=good, bad=bad):
            before = await get_manifest(good)
            await get_manifest(bad)
            origin_of(good).down = True
            assert not await good._reread_manifest(good._model(), before)
            return before, await get_manifest(good)

    before, now = asyncio.run(run())
    assert before.digest == now.digest


@pytest.mark.parametrize(
    "corrupted",
    [
        lambda m: b"",
        lambda m: b"5",
        lambda m: b'{"chunks": [1]}',
        lambda m: manifest_to_json(m)[:-9],
        lambda m: manifest_to_json(evolve(m, version="2")),
        lambda m: manifest_to_json(evolve(m, chunks=("short",))),
        lambda m: manifest_to_json(evolve(m, chunks=())),
    ],
)
def test_a_malformed_manifest_of_a_peer_is_a_typed_failure(corrupted):
    # Bytes of a peer with another release, or bytes corrupted in transit, must neither
    # terminate the agent nor make it load another version's chunks.
    manifest = asyncio.run(FakeOrigin().read_manifest("m", 1))
    assert numbered_manifest_from_json(manifest_to_json(manifest), "m", 1) == manifest
    with pytest.raises(CorruptManifest):
        numbered_manifest_from_json(corrupted(manifest), "m", 1)


def test_a_manifest_whose_chunks_are_all_held_outweighs_others():
    # A corrupt manifest lists a chunk that nobody has: who holds all chunks is right.
    good = asyncio.run(FakeOrigin().read_manifest("m", 1))
    bad = asyncio.run(CorruptOrigin().read_manifest("m", 1))
    reports = [
        ManifestReport(bad),
        ManifestReport(bad),
        ManifestReport(good, complete=True),
    ]
    assert most_reported(reports) == good
    assert (
        most_reported([ManifestReport(good), ManifestReport(bad), ManifestReport(bad)])
        == bad
    )
    assert most_reported([]) is None


def test_an_idle_connection_is_closed():
    # Every agent keeps a connection that it uses once in three seconds, and the origin
    # accepts few: idle connections caused half of the agents to be refused.
    closed = asyncio.Event()

    async def run():
        async def answer(reader, writer):
            while await reader.readline() not in (b"\r\n", b""):
                pass
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1")
        port = server.sockets[0].getsockname()[1]
        async with HttpPool(idle_seconds=0.2) as pool:
            await PooledClient(f"127.0.0.1:{port}", 3.0, pool).call("GET", "/")
            assert not closed.is_set()
            await asyncio.wait_for(closed.wait(), 3)
        server.close()

    asyncio.run(run())


def agents_of_one_region(size):
    """Return agents of one region, each with its own counting origin."""
    return {f"vm-{n}": agent_of(CountingOrigin()) for n in range(size)}


class CountingOrigin(FakeOrigin):
    """Counts the reads of manifests."""

    def __init__(self):
        super().__init__()
        self.manifests_read = 0

    async def read_manifest(self, model, version):
        self.manifests_read += 1
        return await super().read_manifest(model, version)


def manifests_of_all(agents):
    """Return the digests of the manifests that all agents get concurrently."""

    async def run():
        async with connected(**agents):
            found = await asyncio.gather(
                *(get_manifest(agent) for agent in agents.values())
            )
            return {manifest.digest for manifest in found}

    return asyncio.run(run())


@pytest.mark.parametrize("size", [20, 40])
def test_a_few_agents_per_region_read_a_manifest_for_all(size):
    # Guards against overload of an origin with 48 connections when 136 agents request
    # the manifest at once: it refused most of them, and sent two thirds of a copy as
    # manifests.
    agents = agents_of_one_region(size)
    assert len(manifests_of_all(agents)) == 1
    read = sum(origin_of(agent).manifests_read for agent in agents.values())
    assert read == READERS_PER_REGION


def test_a_corrupt_manifest_of_one_reader_is_not_accepted():
    agents = agents_of_one_region(12)
    ranked = rank_vms(f"{numbered_manifest_name('m', 1)}/r", agents)[
        :READERS_PER_REGION
    ]
    agents[ranked[0]].deployment.open_origin = lambda *_: CorruptOrigin()
    found = manifests_of_all(agents)
    others = [a for name, a in agents.items() if name != ranked[0]]
    assert len(found) == 2
    assert len({a.manifests.known(1).digest for a in others}) == 1


def test_lost_readers_delay_other_agents_only_briefly():
    agents = agents_of_one_region(12)
    ranked = rank_vms(f"{numbered_manifest_name('m', 1)}/r", agents)[
        :READERS_PER_REGION
    ]

    async def run():
        async with connected(**agents):
            late = next(a for name, a in agents.items() if name not in ranked)
            async with asyncio.timeout(3):
                await get_manifest(late)
            assert origin_of(late).manifests_read == 1

    asyncio.run(run())
