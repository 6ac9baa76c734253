"""The bytes of a chunk in flight are bounded by what its receiver has read."""

import asyncio

from driver import manifest_of
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import ChunksService
from wasabideck_agent.links import Link, Links
from wasabideck_base.channels import Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.vm_process import RESPONSE_WINDOW_BYTES
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

TEXT = "w" * 24576
MANIFEST = manifest_of("v1", [TEXT])


async def _uploads_to_a_slow_reader(window):
    """Return the open uploads before the receiver reads a byte, and at the end."""
    store = ChunkStore()
    store.add_manifest(MANIFEST)
    store.add_chunk(MANIFEST.chunks[0], TEXT.encode(), "")
    service = ChunksService(store, Links(Link(), Link(), Link()), 3)
    server = InnerServer([service])
    await server.start("127.0.0.1", 0)
    host, port = server._server.sockets[0].getsockname()
    channels = Channels(HybridClock(), window_bytes=window)
    req = pb.FetchRequest(manifest=MANIFEST.digest, index=0, vm="b")
    try:
        stub = ChunksStub(channels.get(f"{host}:{port}"))
        async with stub.Fetch.open(timeout=5) as stream:
            await stream.send_message(req, end=True)
            await stream.recv_initial_metadata()
            before = service.uploads
            data = b"".join([part.data async for part in stream])
        assert data == TEXT.encode()
        return before, service.uploads
    finally:
        channels.close()
        server.close()


def test_chunks_do_not_fill_the_queue_of_a_slow_link():
    # Guards against late live events, and against servers that work on for callers who
    # disconnected: half of the streams were affected during a rollout. Senders handed
    # whole chunks to the system before the receiver had read any of them, and live
    # events and cancellations queued behind these on a VM's link.
    assert asyncio.run(_uploads_to_a_slow_reader(RESPONSE_WINDOW_BYTES)) == (1, 0)


def test_without_a_window_a_whole_chunk_is_in_flight_at_once():
    assert asyncio.run(_uploads_to_a_slow_reader(0)) == (0, 0)
