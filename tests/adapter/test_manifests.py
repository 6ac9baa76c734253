"""An agent that the origin turns away gets a version's manifest from its peers."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from agent_fakes import CHUNKS, FakeEngine, FakeOrigin, FakeStore, digest, new_agent
from attrs import evolve
from wasabideck_agent.numbered_manifests import READERS
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.inner_limits import InnerServer
from wasabideck_policy.engine_state import EngineState
from wasabideck_policy.manifests import (
    CorruptManifest,
    Word,
    likeliest,
    manifest_to_json,
    numbered_from_json,
    numbered_name,
)
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.rendezvous import rank


class SpoiltOrigin(FakeOrigin):
    """Names a wrong digest in its manifests, for as long as it is spoilt."""

    spoilt = True

    async def manifest(self, model, version):
        good = await super().manifest(model, version)
        if not self.spoilt:
            return good
        return evolve(good, chunks=(digest(b"wrong"), *good.chunks[1:]))


class RefusingEngine(FakeEngine):
    """Stays empty: its agent holds a manifest, and chunks, but orders nothing."""

    async def state(self):
        return EngineState((), True, born=self.born)


def agent_of(origin, engine=None):
    rows = FakeStore()
    rows.listed = ["127.0.0.1"]
    return new_agent(engine or FakeEngine(), origin, rows)


def origin_of(agent):
    return agent.deployment.open_origin(None, "")


@asynccontextmanager
async def reached(**agents):
    """Give each agent's chunks to the others, and each the others as its members."""
    members, servers = {}, []
    for name, agent in agents.items():
        server = InnerServer([agent.chunks])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        members[name] = Member(name, AGENT, f"127.0.0.1:{port}", "r", "dc", "s")
        servers.append(server)
    for name, agent in agents.items():
        agent.process.cfg = evolve(agent.process.cfg, vm=name)
        agent.process.believer.hearsay.members.update(members)
    try:
        yield members
    finally:
        for agent in agents.values():
            agent.process.channels.close()
        for server in servers:
            server.close()
            await server.wait_closed()


def listen(agent):
    told = []
    agent.events.listeners.append(lambda kind, fields: told.append(kind))
    return told


async def know(agent, version=1):
    return await agent.manifests.get("m", version)


async def loaded(agent):
    async with asyncio.timeout(10):
        while not agent.engine.orders:
            agent.process.time[0] += 1.0
            await agent.step()


def test_an_agent_that_the_origin_turns_away_gets_the_manifest_from_a_peer():
    # All power is lost, and the origin's connections from before stay taken. The
    # agents that come in first keep the rest; 13 of 42 asked three times a second for
    # the manifest until the end, beside peers that had it and all chunks.
    has, late = agent_of(FakeOrigin()), agent_of(FakeOrigin())

    async def run():
        async with reached(has=has, late=late):
            del has.process.believer.hearsay.members["late"]
            await loaded(has)
            origin_of(late).down = True
            told = listen(late)
            await loaded(late)
            return told

    told = asyncio.run(run())
    assert late.engine.orders == [1]
    assert "manifest.unread" in told


def test_peers_that_know_no_more_leave_the_origins_failure():
    # While nobody has the manifest, the line about it has to say what the origin did.
    one, other = agent_of(FakeOrigin()), agent_of(FakeOrigin())
    origin_of(one).down = True

    async def run():
        async with reached(one=one, other=other):
            with pytest.raises(PlatformUnavailable, match="origin"):
                await know(one)

    asyncio.run(run())


def test_a_spoilt_manifest_is_not_passed_on_by_those_who_were_told_it():
    # One agent reads a spoilt manifest and tells it to two whom the origin turns away.
    # Did these pass it on, it would come back to the first after it had read a good
    # one, and go round for as long as the origin stays out of reach.
    first = agent_of(SpoiltOrigin())
    told, last = agent_of(FakeOrigin()), agent_of(FakeOrigin())
    for agent in (told, last):
        origin_of(agent).down = True

    async def run():
        async with reached(first=first, told=told, last=last):
            spoilt = await know(first)
            assert (await know(told)).digest == spoilt.digest
            del last.process.believer.hearsay.members["first"]
            with pytest.raises(PlatformUnavailable):
                await know(last)

    asyncio.run(run())


def test_a_manifest_told_spoilt_is_put_right_by_a_peer_that_read_it_again():
    # The peer that told a spoilt manifest has read it again; whoever took it stands
    # with a chunk that nobody has, and the origin still turns it away.
    first, late = agent_of(SpoiltOrigin(), RefusingEngine()), agent_of(FakeOrigin())
    origin_of(late).down = True

    async def run():
        async with reached(first=first, late=late):
            spoilt = await know(first)
            assert (await know(late)).digest == spoilt.digest
            origin_of(first).spoilt = False
            assert await first._reread(first._model(), spoilt)
            assert await late._reread(late._model(), spoilt)
            return spoilt, await know(first), await know(late)

    spoilt, good, now = asyncio.run(run())
    assert now.digest == good.digest != spoilt.digest
    assert len(now.chunks) == CHUNKS


def test_what_an_agent_read_itself_outweighs_one_peers_other_word():
    # A peer holds a spoilt manifest. An agent with the good one, whose transfer only
    # takes long and whom the origin now turns away, would change to the spoilt one.
    good, bad = agent_of(FakeOrigin()), agent_of(SpoiltOrigin())

    async def run():
        async with reached(good=good, bad=bad):
            before = await know(good)
            await know(bad)
            origin_of(good).down = True
            assert not await good._reread(good._model(), before)
            return before, await know(good)

    before, now = asyncio.run(run())
    assert before.digest == now.digest


@pytest.mark.parametrize(
    "spoil",
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
def test_a_peers_word_that_is_no_manifest_of_the_version_is_a_typed_failure(spoil):
    # A peer of another release, or bytes that were spoilt on their way, would end the
    # agent, or have it load what belongs to another version.
    manifest = asyncio.run(FakeOrigin().manifest("m", 1))
    assert numbered_from_json(manifest_to_json(manifest), "m", 1) == manifest
    with pytest.raises(CorruptManifest):
        numbered_from_json(spoil(manifest), "m", 1)


def test_a_manifest_that_somebody_holds_whole_outweighs_more_that_is_not():
    # A spoilt manifest names a chunk that nobody has: whoever holds all is right.
    good = asyncio.run(FakeOrigin().manifest("m", 1))
    bad = asyncio.run(SpoiltOrigin().manifest("m", 1))
    words = [Word(bad), Word(bad), Word(good, whole=True)]
    assert likeliest(words) == good
    assert likeliest([Word(good), Word(bad), Word(bad)]) == bad
    assert likeliest([]) is None


def test_an_idle_connection_is_let_go_where_connections_are_scarce():
    # Every agent keeps a connection that it uses once in three seconds, and the origin
    # takes few: half of the agents are turned away by connections that do nothing.
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


def crowd(size):
    """Agents of one region, all with origins of their own that count."""
    return {f"vm-{n}": agent_of(CountingOrigin()) for n in range(size)}


class CountingOrigin(FakeOrigin):
    """Counts the reads of manifests."""

    def __init__(self):
        super().__init__()
        self.manifests_read = 0

    async def manifest(self, model, version):
        self.manifests_read += 1
        return await super().manifest(model, version)


def read_by_all(agents):
    """Digests of what all agents take a manifest for, each asked at once."""

    async def run():
        async with reached(**agents):
            found = await asyncio.gather(*(know(agent) for agent in agents.values()))
            return {manifest.digest for manifest in found}

    return asyncio.run(run())


@pytest.mark.parametrize("size", [20, 40])
def test_a_few_agents_near_by_read_a_manifest_for_all(size):
    # Guards against an origin of 48 connections that 136 agents ask in one moment: it
    # turned most of them away, and sent two thirds of a copy as manifests.
    agents = crowd(size)
    assert len(read_by_all(agents)) == 1
    read = sum(origin_of(agent).manifests_read for agent in agents.values())
    assert read == READERS


def test_a_manifest_that_one_reader_read_spoilt_is_not_taken_from_it_alone():
    agents = crowd(12)
    ranked = rank(f"{numbered_name('m', 1)}/r", agents)[:READERS]
    agents[ranked[0]].deployment.open_origin = lambda *_: SpoiltOrigin()
    found = read_by_all(agents)
    others = [a for name, a in agents.items() if name != ranked[0]]
    assert len(found) == 2
    assert len({a.manifests.known(1).digest for a in others}) == 1


def test_readers_that_are_gone_hold_nobody_up_for_long():
    agents = crowd(12)
    ranked = rank(f"{numbered_name('m', 1)}/r", agents)[:READERS]

    async def run():
        async with reached(**agents):
            late = next(a for name, a in agents.items() if name not in ranked)
            async with asyncio.timeout(3):
                await know(late)
            assert origin_of(late).manifests_read == 1

    asyncio.run(run())
