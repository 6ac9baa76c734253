"""Tests of calls to the platform's services over pooled connections."""

import asyncio

import pytest
from wasabideck_base import http_connection
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.http_responses import (
    PlatformNonsense,
    PlatformRefused,
    PlatformUnavailable,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def run_calls(answer, calls, idle_seconds=15.0):
    """Run ``calls`` against a service whose connections ``answer`` handles."""

    async def run():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with HttpPool(idle_seconds) as pool:
            try:
                async with asyncio.timeout(10):
                    return await calls(PooledClient(f"127.0.0.1:{port}", 3.0, pool))
            finally:
                server.close()

    return asyncio.run(run())


async def one_call(client):
    return await client.call("GET", "/")


async def read_request(reader):
    return await reader.readuntil(b"\r\n\r\n")


def test_sequential_calls_share_a_connection():
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        while True:
            await read_request(reader)
            writer.write(OK)

    async def calls(client):
        return [await one_call(client) for _ in range(3)]

    assert run_calls(answer, calls) == [(200, b"ok")] * 3
    assert len(connections) == 1


def test_paths_and_parameters_are_quoted():
    heads = []

    async def answer(reader, writer):
        heads.append(await read_request(reader))
        writer.write(OK)

    async def calls(client):
        await client.call("GET", "/a b\r\nX: 1", params={"k": "v&w"})

    run_calls(answer, calls)
    assert heads[0].startswith(b"GET /a%20b%0D%0AX:%201?k=v%26w HTTP/1.1\r\nHost: ")


def closing_after_one_response(seen):
    """Return a service that closes each connection after one response, unannounced."""

    async def answer(reader, writer):
        seen.append(await read_request(reader))
        writer.write(OK)
        await asyncio.sleep(0.05)
        if len(seen) == 1:
            # Closes the connection while the next call is being sent on it.
            await reader.readexactly(1)
        writer.transport.abort()

    return answer


def test_a_read_on_a_closed_connection_is_retried():
    # Guards against calls that fail because a service closed an idle connection.
    seen = []

    async def calls(client):
        await one_call(client)
        await asyncio.sleep(0.1)
        return await one_call(client)

    assert run_calls(closing_after_one_response(seen), calls) == (200, b"ok")


def test_a_write_on_a_closed_connection_is_not_retried():
    # Guards against a duplicate write: the first one may have taken effect.
    async def calls(client):
        await one_call(client)
        await asyncio.sleep(0.1)
        await client.call("POST", "/", b"{}")

    with pytest.raises(PlatformUnavailable) as caught:
        run_calls(closing_after_one_response([]), calls)
    assert caught.value.maybe_applied


def test_a_refused_connection_says_that_nothing_was_done():
    async def refused():
        async with HttpPool() as pool:
            await one_call(PooledClient("127.0.0.1:1", 3.0, pool))

    with pytest.raises(PlatformUnavailable) as caught:
        asyncio.run(refused())
    assert not caught.value.maybe_applied


def test_a_body_without_a_length_ends_with_its_connection():
    async def answer(reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await asyncio.sleep(0.05)
        writer.write(b"-whole")
        writer.close()

    assert run_calls(answer, one_call) == (200, b"half-whole")


def test_a_truncated_response_is_a_failure():
    async def answer(reader, writer):
        await read_request(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        writer.close()

    with pytest.raises(PlatformUnavailable):
        run_calls(answer, one_call)


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-Pad: " + b"x" * 1000 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Pad: ", b"x" * 1000),
        (b"", b"HTTP/1.1 100 Continue\r\nX-Pad: " + b"x" * 1000 + b"\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 200),
    ],
    ids=["headers", "header", "interim", "body", "chunks"],
)
def test_an_endless_response_is_malformed_and_fills_no_memory(monkeypatch, start, more):
    # Guards against a faulty service that sends until its client closes.
    monkeypatch.setattr(http_connection, "MAX_HEAD_BYTES", 20_000)
    monkeypatch.setattr(http_connection, "MAX_BODY_BYTES", 20_000)
    sent = 0

    async def answer(reader, writer):
        nonlocal sent
        await read_request(reader)
        writer.write(start)
        with pytest.raises(ConnectionError):
            while True:
                writer.write(more)
                sent += len(more)
                await writer.drain()

    with pytest.raises(PlatformNonsense):
        run_calls(answer, one_call)
    assert sent < 10_000_000


def test_unsolicited_data_closes_the_connection():
    # Guards against an unsolicited response that is taken for that of the next call.
    connections = []

    async def answer(reader, writer):
        connections.append(writer)
        await read_request(reader)
        writer.write(OK if len(connections) > 1 else OK + b"HTTP/1.1 500 No\r\n\r\n")
        await reader.read()

    async def calls(client):
        return [await one_call(client) for _ in range(2)]

    assert run_calls(answer, calls) == [(200, b"ok")] * 2
    assert len(connections) == 2


def test_statuses_that_are_not_accepted_are_typed():
    async def answer(reader, writer):
        head = await read_request(reader)
        status = head.split(b"/")[1].split(b" ")[0]
        writer.write(b"HTTP/1.1 %s No\r\nContent-Length: 0\r\n\r\n" % status)

    def called(status):
        return run_calls(answer, lambda client: client.call("GET", f"/{status}"))

    with pytest.raises(PlatformRefused):
        called(410)
    with pytest.raises(PlatformUnavailable) as caught:
        called(503)
    assert not caught.value.maybe_applied
    with pytest.raises(PlatformUnavailable) as caught:
        called(502)
    assert caught.value.maybe_applied


def test_a_call_that_takes_too_long_frees_its_connection():
    closed = asyncio.Event()

    async def answer(reader, writer):
        await read_request(reader)
        await reader.read()
        closed.set()

    async def calls(client):
        with pytest.raises(PlatformUnavailable):
            await client.call("GET", "/", timeout=0.1)
        await asyncio.wait_for(closed.wait(), 3)

    run_calls(answer, calls)
