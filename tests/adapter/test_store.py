"""Calls of the store over a link that is slow, or silent."""

import asyncio

import pytest
from wasabideck_adapter import store as store_module
from wasabideck_adapter.store import StoreClient
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.http_pool import HttpPool, PooledClient

BODY = b'{"rows": [], "ver": 7, "pad": "%s"}' % (b"x" * 400)
SILENCE = 0.2


async def serving(pieces, pause, whole):
    """A store that sends a part of its answer at a time, and may then fall silent."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        size = len(BODY) // pieces + 1
        for n in range(pieces):
            if n == pieces - 1 and not whole:
                await asyncio.sleep(30)
            writer.write(BODY[n * size : (n + 1) * size])
            await writer.drain()
            await asyncio.sleep(pause)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def read_of(pieces, pause, whole):
    async def run():
        server, port = await serving(pieces, pause, whole)
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            try:
                async with asyncio.timeout(10):
                    return await StoreClient(http).read("op")
            finally:
                server.close()

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(store_module, "ANSWER_SECONDS", SILENCE)


def test_a_read_that_moves_is_not_given_up():
    # All processes of a region read the operators' table at once over its thin link.
    # Each gave up with most of the answer there, began anew, and none ever had it: a
    # region without weights until somebody ended its agents.
    assert read_of(pieces=12, pause=SILENCE / 4, whole=True).version == 7


def test_a_read_that_stands_still_is_given_up():
    with pytest.raises(PlatformUnavailable):
        read_of(pieces=3, pause=0.0, whole=False)


def test_bytes_of_an_answer_are_counted_as_they_come():
    # Guards against an answer on its way that looks like a silent connection.
    async def run():
        server, port = await serving(pieces=12, pause=SILENCE / 4, whole=True)
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            client = StoreClient(http)
            reading = asyncio.create_task(client.read("op"))
            while client.received("op") == 0:
                await asyncio.sleep(0.01)
            assert client.received("op") < len(BODY)
            assert not reading.done()
            await reading
            assert client.received("op") == len(BODY)
            assert client.received("servers") == 0
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))
