"""Transfers of chunks between agents over plain HTTP."""

import asyncio
import base64
import random
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from driver import manifest_of
from wasabideck_agent.chunk_http import (
    MAX_REQUEST_BYTES,
    PART_BYTES,
    chunk_port,
    http_calls,
    listen_for_chunks,
)
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import UPLOAD_TIMEOUT_SECONDS, ChunksService
from wasabideck_agent.links import Link, Links
from wasabideck_agent.transfer import Transfer
from wasabideck_base.channels import CALL_FAILURES
from wasabideck_base.events import open_events
from wasabideck_base.http_pool import HttpPool
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.weights_settings import WeightsSettings
from wasabideck_policy.membership import AGENT, Member
from wasabideck_wire import inner_pb2 as pb

SIZE = 3 * PART_BYTES + 100
TEXTS = [f"{n:04d}" * (SIZE // 4) for n in range(8)]
MANIFEST = manifest_of("v1", TEXTS)


def store_of(*indices):
    store = ChunkStore()
    store.add_manifest(MANIFEST)
    for index in indices:
        store.add_chunk(MANIFEST.chunks[index], TEXTS[index].encode(), "")
    return store


def service_of(store, uploads=3):
    return ChunksService(store, Links(Link(), Link(), Link()), uploads)


@asynccontextmanager
async def listening(service):
    """Run an agent's chunk server; yields the address that its member row has."""
    server = await listen_for_chunks(service, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port - chunk_port(0)}"
    finally:
        server.close()


def request(index=0, vm="b"):
    return pb.FetchRequest(manifest=MANIFEST.digest, index=index, vm=vm)


async def fetched(calls, address, req):
    return [part async for part in calls.fetch(address, req, 3.0)]


def test_a_chunk_is_sent_in_small_parts_with_the_senders_holdings():
    service = service_of(store_of(0, 2))

    async def run():
        async with listening(service) as address, HttpPool() as pool:
            return await fetched(http_calls(pool), address, request(2))

    parts = asyncio.run(run())
    assert b"".join(part.data for part in parts) == TEXTS[2].encode()
    assert max(len(part.data) for part in parts) == PART_BYTES
    assert [part.holdings for part in parts[:-1]] == [b""] * (len(parts) - 1)
    assert parts[-1].holdings == b"\x05"
    assert (service.uploads, service.sent[MANIFEST.digest]) == (0, 1)


def test_a_refusal_has_the_senders_holdings():
    async def run():
        async with listening(service_of(store_of(1))) as address, HttpPool() as pool:
            return await fetched(http_calls(pool), address, request(0))

    (part,) = asyncio.run(run())
    assert part.refused
    assert part.holdings == b"\x02"


def test_an_upload_occupies_a_slot_until_its_last_part():
    # Guards against a sender that accepts more uploads than its link carries.
    service = service_of(store_of(0, 1), uploads=1)
    service.clock = lambda: 10.0
    assert not service.first_part(request(0, "b"), PART_BYTES).refused
    assert service.first_part(request(1, "c"), PART_BYTES).refused
    for begin in range(PART_BYTES, SIZE, PART_BYTES):
        assert not service.next_part("b", 0, begin, PART_BYTES).refused
    assert not service.first_part(request(1, "c"), PART_BYTES).refused


def test_an_abandoned_upload_frees_its_slot():
    # Guards against agents killed during a rollout that occupy their peers' upload
    # slots for good.
    service, now = service_of(store_of(0, 1), uploads=1), [10.0]
    service.clock = lambda: now[0]
    service.first_part(request(0, "gone"), PART_BYTES)
    now[0] += UPLOAD_TIMEOUT_SECONDS + 0.1
    assert not service.first_part(request(1, "c"), PART_BYTES).refused
    assert service.next_part("gone", 0, PART_BYTES, PART_BYTES).refused
    assert service.uploads == 1


def test_a_chunk_that_is_requested_again_occupies_one_slot():
    service = service_of(store_of(0), uploads=2)
    service.clock = lambda: 10.0
    for _ in range(5):
        assert not service.first_part(request(0, "b"), PART_BYTES).refused
    assert service.uploads == 1


@pytest.mark.parametrize(
    "question",
    [
        b"GET /chunk/!! HTTP/1.1\r\n\r\n",
        b"GET /chunk/%s HTTP/1.1\r\n\r\n" % base64.b64encode(b"\xff\xff"),
        b"GET /more/vm/1/x HTTP/1.1\r\n\r\n",
        b"GET /more/1 HTTP/1.1\r\n\r\n",
        b"GET /else HTTP/1.1\r\n\r\n",
        b"no http at all\r\n\r\n",
        b"GET /" + b"x" * 2 * MAX_REQUEST_BYTES + b" HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * MAX_REQUEST_BYTES + b"\r\n",
    ],
    ids="base64 message begin parts path http long-path long-head".split(),
)
def test_a_malformed_request_gets_status_400_or_no_response(question):
    async def run():
        async with listening(service_of(store_of(0))) as address:
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, chunk_port(int(port)))
            writer.write(question)
            try:
                return await reader.read(200)
            except ConnectionError:
                return b""
            finally:
                writer.close()

    answer = asyncio.run(asyncio.wait_for(run(), 5))
    assert answer == b"" or answer.startswith(b"HTTP/1.1 400")


def test_a_lost_peer_is_a_failed_link():
    async def run():
        async with HttpPool() as pool:
            with pytest.raises(CALL_FAILURES):
                await fetched(http_calls(pool), "127.0.0.1:1", request())
            with pytest.raises(CALL_FAILURES):
                req = pb.HoldingsRequest(manifest=MANIFEST.digest)
                await http_calls(pool).holdings("127.0.0.1:1", req, 1.0)

    asyncio.run(run())


class NoOrigin:
    async def read_chunk(self, digest, vm):
        raise PlatformUnavailable("origin", "down", False)


def test_a_rollout_among_peers_completes_everywhere():
    stores = {f"vm-{n}": store_of(*range(n * 2, n * 2 + 2)) for n in range(4)}

    async def run():
        async with AsyncExitStack() as stack:
            services = {vm: service_of(store, 2) for vm, store in stores.items()}
            members = [
                Member(vm, AGENT, await stack.enter_async_context(listening(service)))
                for vm, service in services.items()
            ]
            transfers = []
            for vm, service in services.items():
                pool = await stack.enter_async_context(HttpPool())
                events, _ = open_events(vm, "/dev/null")
                transfers.append(
                    Transfer(
                        Member(vm, AGENT, ""),
                        MANIFEST,
                        stores[vm],
                        service,
                        NoOrigin(),
                        http_calls(pool),
                        Links(Link(), Link(), Link()),
                        events,
                        lambda vm=vm: [m for m in members if m.vm != vm],
                        WeightsSettings(link_rate=1e6),
                        random.Random(vm),
                    )
                )
            async with asyncio.timeout(20):
                await asyncio.gather(*(transfer.run() for transfer in transfers))

    asyncio.run(run())
    assert all(store.is_complete(MANIFEST) for store in stores.values())
