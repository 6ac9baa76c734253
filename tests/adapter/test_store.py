"""Calls of the store over a slow or an unresponsive connection."""

import asyncio
import contextlib

import pytest
from wasabideck_adapter import store as store_module
from wasabideck_adapter.store import StoreClient
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.http_responses import PlatformUnavailable

BODY = b'{"rows": [], "ver": 7, "pad": "%s"}' % (b"x" * 400)
IDLE_TIMEOUT_SECONDS = 0.2
RESPONSE_TIMEOUT_SECONDS = 2.0


async def start_slow_server(parts, interval, complete):
    """Start a store that sends its response in parts, and may stall before the last."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY))
        part_bytes = len(BODY) // parts + 1
        for n in range(parts):
            if n == parts - 1 and not complete:
                await asyncio.sleep(30)
            writer.write(BODY[n * part_bytes : (n + 1) * part_bytes])
            await writer.drain()
            await asyncio.sleep(interval)

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


def read_table(parts, interval, complete):
    async def run():
        server, port = await start_slow_server(parts, interval, complete)
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            try:
                async with asyncio.timeout(10):
                    return await StoreClient(http).read("op")
            finally:
                server.close()

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def short_idle_timeout(monkeypatch):
    monkeypatch.setattr(store_module, "READ_HEDGE_SECONDS", IDLE_TIMEOUT_SECONDS)
    monkeypatch.setattr(
        store_module, "RESPONSE_TIMEOUT_SECONDS", RESPONSE_TIMEOUT_SECONDS
    )


def test_read_that_makes_progress_is_not_cancelled():
    # All processes of a region read the operators' table at the same time over the
    # region's slow link. Each cancelled its read with most of the response received and
    # started anew, so none completed: the region had no weights until its agents were
    # terminated by hand.
    assert (
        read_table(parts=12, interval=IDLE_TIMEOUT_SECONDS / 4, complete=True).version
        == 7
    )


def test_read_without_progress_is_cancelled():
    with pytest.raises(PlatformUnavailable):
        read_table(parts=3, interval=0.0, complete=False)


def test_bytes_of_a_response_are_counted_as_they_arrive():
    # Guards against a response in transit that is taken for an unresponsive connection.
    async def run():
        server, port = await start_slow_server(
            parts=12, interval=IDLE_TIMEOUT_SECONDS / 4, complete=True
        )
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            client = StoreClient(http)
            reading = asyncio.create_task(client.read("op"))
            while client.received_bytes("op") == 0:
                await asyncio.sleep(0.01)
            assert client.received_bytes("op") < len(BODY)
            assert not reading.done()
            await reading
            assert client.received_bytes("op") == len(BODY)
            assert client.received_bytes("servers") == 0
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))


def test_read_of_a_prefix_covers_all_keys_that_start_with_it():
    # Guards against a read of some rows that misses one of them, or takes others.
    keys = ["config", *(f"version/{n}" for n in range(7)), "version/\xff", "w"]

    class Http:
        async def json(self, method, path, params, **kwargs):
            start, end = params.get("from", ""), params.get("to", "\U0010ffff")
            found = [key for key in keys if start <= key < end]
            rows = [{"table": "op", "key": key, "ver": 1} for key in found[:3]]
            return {"rows": rows, "ver": 7, "has-more": len(found) > 3}

    async def read(prefix):
        changes = await StoreClient(Http()).read("op", prefix)
        return [row.key for row in changes.rows]

    assert asyncio.run(read("version/")) == keys[1:-1]
    assert asyncio.run(read("")) == keys


def test_short_call_is_answered_beside_a_call_on_a_silent_connection():
    # Guards against a check that waits behind the long poll whose connection it is to
    # check.
    async def respond(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"wait-ms=0 " in head:
                    writer.write(b"HTTP/1.1 200 OK\r\n")
                    writer.write(b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY))
        writer.close()

    async def run():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with HttpPool() as pool:
            client = StoreClient(PooledClient(f"127.0.0.1:{port}", 3.0, pool))
            pending = asyncio.create_task(client.wait_for_changes("op", 5, 30.0))
            await asyncio.sleep(0)
            for _ in range(2):
                changes = await client.wait_for_changes("op", 5, 0.0)
                assert (changes.rows, changes.version) == ((), 7)
            assert not pending.done()
            pending.cancel()
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))


def test_a_read_of_several_pages_reflects_the_version_of_the_first():
    # Guards against a change of an earlier page's row, made while a later page is read,
    # that the call after the read would skip.
    class Http:
        pages = 0

        async def json(self, method, path, params, **kwargs):
            self.pages += 1
            rows = [{"table": "op", "key": f"k{self.pages}", "ver": 1}]
            return {
                "rows": rows,
                "ver": 100 * self.pages,
                "now-ms": 1000 * self.pages,
                "has-more": self.pages < 3,
            }

    changes = asyncio.run(StoreClient(Http()).read("op"))
    assert [row.key for row in changes.rows] == ["k1", "k2", "k3"]
    assert (changes.version, changes.store_responded_at) == (100, 1.0)
