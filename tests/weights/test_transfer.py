"""Transfers between real chunk services on the loopback interface, in one process."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest
from attrs import define, field
from driver import manifest_of
from grpclib.server import Server
from wasabideck_agent import manifest_reader
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import ChunksService
from wasabideck_agent.links import Link, Links
from wasabideck_agent.manifest_reader import ManifestReader
from wasabideck_agent.peer_calls import grpc_calls
from wasabideck_agent.transfer import Transfer
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.settings import WeightsSettings
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.rendezvous import rank_vms
from wasabideck_wire import inner_pb2 as pb

TEXTS = [f"chunk {i}" for i in range(6)]
MANIFEST = manifest_of("v1", TEXTS)


@define
class FakeOrigin:
    """An origin that is down, or serves each chunk and records the read."""

    down: bool = False
    reads: list[str] = field(factory=list)

    async def read_chunk(self, digest, vm):
        self._check()
        self.reads.append(digest)
        return TEXTS[MANIFEST.chunks.index(digest)].encode()

    async def read_manifest(self, digest):
        self._check()
        return MANIFEST

    def _check(self):
        if self.down:
            raise PlatformUnavailable("origin", "down", maybe_applied=False)


@define
class StalledOrigin(FakeOrigin):
    """An origin whose reads never end."""

    async def read_chunk(self, digest, vm):
        self.reads.append(digest)
        await asyncio.Event().wait()


class CorruptingService(ChunksService):
    """Sends every chunk with a flipped byte."""

    def _chunk(self, req):
        data = super()._chunk(req)
        return data and bytes([data[0] ^ 1]) + data[1:]


class SlowService(ChunksService):
    """Sends chunks slowly in small parts; all but its first holdings reply are late."""

    queries = 0
    fetched = 0

    async def Holdings(self, stream):
        SlowService.queries += 1
        if SlowService.queries > 1:
            await asyncio.sleep(1.0)
        await super().Holdings(stream)

    async def _send(self, stream, manifest, data):
        SlowService.fetched += 1
        for begin in range(len(data)):
            await asyncio.sleep(0.1)
            await stream.send_message(pb.FetchPart(data=data[begin : begin + 1]))


@pytest.fixture
def events(tmp_path):
    return Events("a", HybridClock(), lambda: 0.0)


@asynccontextmanager
async def serving(vm, cls=ChunksService, texts=TEXTS, with_store=False):
    store = ChunkStore()
    store.add_manifest(MANIFEST)
    for text in texts:
        index = TEXTS.index(text)
        store.add_chunk(MANIFEST.chunks[index], text.encode(), "")
    server = Server([cls(store, Links(Link(), Link(), Link()), 3)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    try:
        member = Member(vm, AGENT, f"127.0.0.1:{port}")
        yield (member, store) if with_store else member
    finally:
        server.close()
        await server.wait_closed()


def transfer_from(members, origin, events, channels):
    store = ChunkStore()
    store.add_manifest(MANIFEST)
    links = Links(Link(), Link(), Link())
    return Transfer(
        Member("a", AGENT, ""),
        MANIFEST,
        store,
        ChunksService(store, links, 3),
        origin,
        grpc_calls(channels),
        links,
        events,
        lambda: members,
        WeightsSettings(),
        random.Random(3),
    )


def test_chunks_of_a_corrupting_peer_are_fetched_from_another(events):
    # Guards against corrupt responses of an engine after a rollout in which one VM's
    # memory was faulty.
    async def body():
        async with serving("bad", CorruptingService) as bad, serving("good") as good:
            channels = Channels(events.clock)
            origin = FakeOrigin(down=True)
            transfer = transfer_from([bad, good], origin, events, channels)
            await asyncio.wait_for(transfer.run(), 20)
            channels.close()
            return transfer

    transfer = asyncio.run(body())
    assert transfer.store.is_complete(MANIFEST)
    assert set(transfer.sources) == {"good"}


def test_a_cancelled_transfer_stops_all_its_fetches(events):
    # Guards against chunks of a superseded version that still occupy the link.
    async def body():
        async with serving("b", texts=TEXTS[:3]) as half:
            origin = FakeOrigin(down=True)
            channels = Channels(events.clock)
            transfer = transfer_from([half], origin, events, channels)
            running = asyncio.create_task(transfer.run())
            while transfer.store.held_chunks(MANIFEST).bit_count() < 3:
                await asyncio.sleep(0)
            running.cancel()
            await asyncio.wait({running})
            channels.close()
            left = asyncio.all_tasks() - {asyncio.current_task()}
            names = {task.get_coro().__qualname__ for task in left}
            return transfer, names

    transfer, names = asyncio.run(body())
    assert not transfer.store.is_complete(MANIFEST)
    assert not any("Transfer" in name for name in names)
    assert transfer.service.listeners == {}


def test_a_manifest_is_read_from_a_peer_while_the_origin_is_down(events):
    # A VM that was replaced during an outage of the origin served nothing: its peers
    # had all chunks, but the manifest was read only from the origin.
    async def body():
        async with serving("b") as peer:
            channels = Channels(events.clock)
            reader = ManifestReader(
                "a", FakeOrigin(down=True), channels, lambda: [peer], random.Random(1)
            )
            manifest = await asyncio.wait_for(reader.read(MANIFEST.digest), 10)
            channels.close()
            return manifest

    assert asyncio.run(body()) == MANIFEST


def test_a_suspended_peer_does_not_delay_the_manifest(events, monkeypatch):
    # With one suspended agent in a service, a ticket took seven seconds to take effect
    # on every other VM instead of one: each queried one peer after the other for the
    # manifest, and waited for the suspended one.
    monkeypatch.setattr(manifest_reader, "CALL_TIMEOUT_SECONDS", 3600.0)
    first, second = rank_vms(MANIFEST.digest, ["b", "c"])

    async def body():
        suspended = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1")
        host, port = suspended.sockets[0].getsockname()[:2]
        async with serving(second) as peer:
            channels = Channels(events.clock)
            peers = [Member(first, AGENT, f"{host}:{port}"), peer]
            origin = FakeOrigin(down=True)
            rng = random.Random(1)
            reader = ManifestReader("a", origin, channels, lambda: peers, rng)
            manifest = await asyncio.wait_for(reader.read(MANIFEST.digest), 20)
            channels.close()
        suspended.close()
        return manifest

    assert asyncio.run(body()) == MANIFEST


def test_a_stalled_read_is_cancelled_when_a_peer_has_the_chunk(events):
    # One VM served the previous version a minute longer than all others: its read from
    # the origin stalled, another VM read the chunk instead, and the first still waited
    # until the read timed out.
    async def body():
        async with serving("b", texts=(), with_store=True) as (member, store):
            origin = StalledOrigin()
            channels = Channels(events.clock)
            transfer = transfer_from([member], origin, events, channels)
            running = asyncio.create_task(transfer.run())
            while not origin.reads:
                await asyncio.sleep(0)
            for digest, text in zip(MANIFEST.chunks, TEXTS, strict=True):
                store.add_chunk(digest, text.encode(), "")
            await asyncio.wait_for(running, 20)
            channels.close()
            return transfer

    transfer = asyncio.run(body())
    assert transfer.store.is_complete(MANIFEST)
    assert set(transfer.sources) == {"b"}


def test_a_late_reply_does_not_discard_a_chunk_being_received(events):
    # Guards against chunks fetched again over a full link because a poll was late.
    async def body():
        async with serving("b", SlowService, texts=TEXTS[:3]) as half:
            channels = Channels(events.clock)
            transfer = transfer_from([half], FakeOrigin(down=True), events, channels)
            transfer.cfg = WeightsSettings(call_seconds=0.3)
            running = asyncio.create_task(transfer.run())
            async with asyncio.timeout(10):
                while transfer.store.held_chunks(MANIFEST).bit_count() < 3:
                    await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.wait({running})
            channels.close()

    asyncio.run(body())
    assert SlowService.fetched == 3
