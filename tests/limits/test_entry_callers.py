"""Clients of an entry's callers' address that send what an ordinary one never would.

Each test starts an entry with lowered limits. It has to stay within them, and to answer
an ordinary request while the crowd's connections are open.
"""

import asyncio
import hashlib

import pytest
from crowd import Crowd
from limit_processes import (
    BODY_BYTES,
    HEAD_BYTES,
    LIMITS,
    platform_process,
    read_response,
    request,
)

# Descriptors that a crowd cannot use up, for the tests of memory.
MEMORY_LIMITS = LIMITS | {"max-fds": 760}
HOST = b"Host: h.example\r\nX-Request-Id: crowd\r\n"


@pytest.fixture
def run(tmp_path):
    """Run a scenario with an entry; check the entry's limits and an ordinary request.

    A scenario is a coroutine function of (process, crowd).
    """

    def play(ip, scenario, limits=MEMORY_LIMITS):
        async def body():
            async with platform_process(tmp_path, "entry", ip, limits) as process:
                with Crowd() as crowd:
                    await scenario(process, crowd)
                    process.check()
                    status, _ = await request(process.front, body=b"ordinary")
                    process.check()
                    return status

        assert asyncio.run(body()) == 200

    return play


def short_lines(size):
    """Return header lines of four bytes."""
    return b"a:\r\n" * (size // 4)


def head(*lines, method=b"POST", path=b"/plain/a"):
    return b"%s %s HTTP/1.1\r\n%s%s" % (method, path, HOST, b"".join(lines))


def test_requests_sent_ahead_at_unknown_paths(run):
    # Guards against parsing all requests that were received while answers wait.
    payload = b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n" * 60_000

    async def scenario(process, crowd):
        await crowd.send(process.front, 40, payload)

    run("127.0.50.1", scenario)


def test_requests_sent_ahead_at_a_known_path(run):
    # Guards against parsing ahead while a server works on the first request.
    payload = head(b"\r\n", method=b"GET", path=b"/plain/hang") * 30_000

    async def scenario(process, crowd):
        await crowd.send(process.front, 120, payload)

    run("127.0.50.2", scenario)


@pytest.mark.parametrize(
    "line",
    [b"a:\r\n", b"a:b\r\n c\r\n", b"Connection:a\r\n"],
    ids=["empty", "folded", "connection"],
)
def test_heads_of_short_or_odd_lines_that_do_not_end(run, line):
    # Guards against heads that cost a multiple of their size in memory.
    lines = line * ((HEAD_BYTES - 200) // len(line))

    async def scenario(process, crowd):
        await crowd.send(process.front, 540, head(lines))

    run("127.0.50.3", scenario)


def test_heads_of_short_lines_whose_bodies_do_not_end(run):
    # Guards against the same for requests whose heads are complete.
    lines = short_lines(HEAD_BYTES - 200)
    payload = head(lines, b"Content-Length: 10\r\n\r\n", b"short")

    async def scenario(process, crowd):
        await crowd.send(process.front, 400, payload)

    run("127.0.50.4", scenario)


def test_requests_of_short_lines_at_a_server(run):
    # Guards against the same for requests that a server works on.
    payload = head(
        short_lines(HEAD_BYTES - 200), b"\r\n", method=b"GET", path=b"/plain/hang"
    )

    async def scenario(process, crowd):
        await crowd.send(process.front, 540, payload * 6)

    run("127.0.50.5", scenario)


def test_bodies_that_stop_short_of_their_end(run):
    # Guards against large bodies that stay incomplete and fill the memory.
    payload = head(b"Content-Length: %d\r\n\r\n" % BODY_BYTES) + b"x" * (BODY_BYTES - 1)

    async def scenario(process, crowd):
        await crowd.send(process.front, 60, payload)

    run("127.0.50.6", scenario)


def test_whole_bodies_at_a_server(run):
    # Guards against large requests that wait for a server's response.
    payload = head(b"Content-Length: %d\r\n\r\n" % BODY_BYTES, path=b"/plain/hang")

    async def scenario(process, crowd):
        await crowd.send(process.front, 60, payload + b"x" * BODY_BYTES)

    run("127.0.50.7", scenario)


def test_bodies_of_small_chunks_that_stop_short_of_their_end(run):
    # Guards against chunks that cost a multiple of their size in memory.
    payload = head(b"Transfer-Encoding: chunked\r\n\r\n") + b"2\r\nxx\r\n" * 600_000

    async def scenario(process, crowd):
        await crowd.send(process.front, 6, payload)

    run("127.0.50.8", scenario)


def test_a_trailer_line_without_end(run):
    # Guards against a trailer that no limit of heads or bodies covers.
    payload = head(b"Transfer-Encoding: chunked\r\n\r\n") + b"1\r\nx\r\n0\r\na: "

    async def scenario(process, crowd):
        await crowd.send(process.front, 40, payload + b"x" * (4 << 20))

    run("127.0.50.9", scenario)


def test_a_chunk_extension_without_end(run):
    # Guards against a chunk's line that no limit of heads or bodies covers.
    payload = head(b"Transfer-Encoding: chunked\r\n\r\n") + b"1;a="
    address = []

    async def scenario(process, crowd):
        address.append(process.front)
        await crowd.send(process.front, 4, payload + b"x" * (32 << 20))
        assert crowd.sent < 100 << 20

    run("127.0.50.10", scenario)


def test_large_answers_that_are_not_read(run):
    # Guards against answers that stay in the process until their callers read.
    payload = head(b"\r\n", method=b"GET", path=b"/plain/large") * 40

    async def scenario(process, crowd):
        await crowd.send(process.front, 500, payload)

    run("127.0.50.11", scenario)


def test_crowds_of_several_kinds_one_after_the_other(run):
    # Guards against memory of an earlier crowd that is not used for the next one.
    bodies = head(b"Content-Length: %d\r\n\r\n" % BODY_BYTES) + b"x" * (BODY_BYTES - 1)
    heads = head(short_lines(HEAD_BYTES - 200))
    ahead = b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n" * 60_000

    async def scenario(process, crowd):
        for count, payload in ((40, bodies), (300, heads), (30, ahead), (40, bodies)):
            with Crowd() as one:
                await one.send(process.front, count, payload)
        process.check()

    run("127.0.50.12", scenario)


@pytest.mark.parametrize(
    "payload", [b"", b"GET /plain/a HTTP/1.1\r\n"], ids=["idle", "begun"]
)
def test_connections_beyond_the_descriptors(run, payload):
    # Guards against idle connections that leave no descriptor to an ordinary caller.
    async def scenario(process, crowd):
        await crowd.send(process.front, 500, payload)

    run("127.0.50.13", scenario, LIMITS)


def test_requests_at_a_server_beyond_the_descriptors(run):
    # Guards against requests that leave no descriptor for a connection to a server.
    payload = head(b"\r\n", method=b"GET", path=b"/plain/hang")

    async def scenario(process, crowd):
        await crowd.send(process.front, 500, payload)

    run("127.0.50.14", scenario, LIMITS)


async def _send_all(process, payload):
    """Send bytes on one connection, read only afterwards; return its response."""
    reader, writer = await asyncio.open_connection(*process.front)
    for start in range(0, len(payload), 65536):
        writer.write(payload[start : start + 65536])
        await writer.drain()
    response = await read_response(reader)
    writer.close()
    return response


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (head(b"Content-Length: 9000000\r\n\r\n") + b"x" * 9_000_000, 413),
        (
            head(b"Transfer-Encoding: chunked\r\n\r\n")
            + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * 130,
            413,
        ),
        (head(b"a: " + b"x" * 3_000_000), 431),
        (head(b"Connection: close\r\nContent-Length: 0\r\n\r\n") * 40_000, 200),
    ],
    ids=["length", "chunked", "head", "ahead"],
)
def test_an_answer_survives_a_close_with_unread_bytes(run, payload, status):
    # Guards against a reset that discards an answer before its caller has read it.
    async def scenario(process, crowd):
        assert (await _send_all(process, payload))[0] == status

    run("127.0.50.15", scenario)


LARGEST_HEAD = short_lines(HEAD_BYTES - 200)


@pytest.mark.parametrize("size", [1, 7, 65536])
@pytest.mark.parametrize(
    "payload",
    [
        head(LARGEST_HEAD, b"Content-Length: 3\r\n\r\nabc"),
        head(b"Content-Length: %d\r\n\r\n" % BODY_BYTES) + b"ab" * (BODY_BYTES // 2),
        head(b"Transfer-Encoding: chunked\r\n\r\n")
        + b"2\r\nab\r\n" * (BODY_BYTES // 2)
        + b"0\r\n\r\n",
    ],
    ids=["head", "body", "chunks"],
)
def test_the_largest_legal_request_is_served_alone(run, payload, size):
    # Guards against limits that a single legal request meets, however it is sent.
    if len(payload) > 1 << 20 and size < 1000:
        size *= 500

    async def scenario(process, crowd):
        reader, writer = await asyncio.open_connection(*process.front)
        for start in range(0, len(payload), size):
            writer.write(payload[start : start + size])
            if size < 1000:
                await asyncio.sleep(0)
            await writer.drain()
        status, content = await read_response(reader)
        writer.close()
        assert status == 200
        digest, count = content.split()
        body = b"abc" if LARGEST_HEAD in payload else b"ab" * (BODY_BYTES // 2)
        assert digest.decode() == hashlib.sha256(body).hexdigest()
        if body == b"abc":
            assert int(count) > len(LARGEST_HEAD) // 4

    run("127.0.50.16", scenario)
