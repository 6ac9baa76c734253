"""Ordinary callers on kept connections, stalls during a shutdown, and what is reported.

Each test starts an entry with lowered limits, as those of ``test_entry_callers.py``.
"""

import asyncio
import resource

import pytest
from crowd import Crowd
from limit_processes import (
    BODY_BYTES,
    HANG_SECONDS,
    LIMITS,
    platform_process,
    read_response,
    request,
)

MEMORY_LIMITS = LIMITS | {"max-fds": 760}
HOST = b"Host: h.example\r\nX-Request-Id: ordinary\r\n"
ORDINARY = b"POST /plain/a HTTP/1.1\r\n" + HOST + b"Content-Length: 4\r\n\r\nbody"
LARGE_HEAD = b"POST /plain/a HTTP/1.1\r\n" + HOST
LARGE_HEAD += b"Content-Length: %d\r\n\r\n" % BODY_BYTES
# Descriptors that the operating system allows an entry, fewer than its settings say.
SYSTEM_DESCRIPTORS = 120


async def send_on(reader, writer):
    """Send a request on a kept connection; return the status of its response."""
    async with asyncio.timeout(HANG_SECONDS):
        writer.write(ORDINARY)
        return (await read_response(reader))[0]


CROWDS = {
    "idle": (LIMITS, 500, b""),
    "begun": (LIMITS, 500, b"POST /plain/a HTTP/1.1\r\n"),
    "bodies": (MEMORY_LIMITS, 60, LARGE_HEAD + b"x" * (BODY_BYTES - 1)),
    "ahead": (
        MEMORY_LIMITS,
        40,
        b"GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n" * 60_000,
    ),
}


@pytest.mark.parametrize("name", CROWDS)
def test_a_kept_connection_of_an_ordinary_caller_outlasts_a_crowd(tmp_path, name):
    # Guards against closing a caller's idle connection, on which it has been answered,
    # before those that never sent a whole request.
    limits, count, payload = CROWDS[name]

    async def body():
        async with platform_process(tmp_path, "entry", "127.0.52.1", limits) as process:
            kept = await asyncio.open_connection(*process.front)
            statuses = [await send_on(*kept)]
            with Crowd() as crowd:
                await crowd.send(process.front, count, payload)
                statuses.append(await send_on(*kept))
                statuses.append((await request(process.front))[0])
                process.check()
            return statuses

    assert asyncio.run(body()) == [200, 200, 200]


SMALL_PARTS = {
    "chunks": b"POST /plain/a HTTP/1.1\r\n"
    + HOST
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"1\r\na\r\n" * 2_000_000,
    "lines": (b"GET /none HTTP/1.1\r\n" + HOST + b"a:\r\n" * 4000 + b"\r\n") * 200,
}
SENDERS, ORDINARY_REQUESTS = 200, 5


@pytest.mark.parametrize("kind", SMALL_PARTS)
def test_ordinary_requests_are_answered_while_a_crowd_sends_small_parts(tmp_path, kind):
    # Guards against parsing all that a crowd has sent before anybody else has a turn.
    async def body():
        ip, limits = "127.0.52.7", MEMORY_LIMITS
        async with platform_process(tmp_path, "entry", ip, limits) as process:
            with Crowd() as crowd:
                sending = asyncio.create_task(
                    crowd.send(process.front, SENDERS, SMALL_PARTS[kind])
                )
                while len(crowd.connections) < SENDERS:
                    await asyncio.sleep(0.05)
                statuses = [
                    (await request(process.front, body=b"ordinary"))[0]
                    for _ in range(ORDINARY_REQUESTS)
                ]
                process.check()
                sending.cancel()
            return statuses

    assert asyncio.run(body()) == [200] * ORDINARY_REQUESTS


def test_the_counter_and_the_log_tell_which_limit_closed_connections(tmp_path):
    # Guards against connections that are closed without a trace of the reason.
    async def body():
        ip = "127.0.52.2"
        async with platform_process(tmp_path, "entry", ip, LIMITS) as process:
            with Crowd() as crowd:
                await crowd.send(process.front, 300, b"")
                await crowd.send(process.front, 60, LARGE_HEAD + b"x" * BODY_BYTES)
                reader, writer = await asyncio.open_connection(*process.metrics)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                _, metrics = await read_response(reader)
                writer.close()
        return metrics.decode(), (tmp_path / "process.log").read_text()

    metrics, log = asyncio.run(body())
    name = "wasabideck_connections_turned_away_total"
    rows = [row for row in metrics.splitlines() if row.startswith(name)]
    sockets = [row for row in rows if 'limit="sockets"' in row]
    assert sockets
    assert 'listener="callers"' in sockets[0]
    assert float(sockets[0].split()[-1]) >= 200
    lines = [line for line in log.splitlines() if "connection.turned-away" in line]
    assert any('"limit":"sockets"' in line for line in lines)
    # Bounded: a line a second for each listener and limit, not one a connection.
    assert len(lines) < 60


def is_open(sock):
    """Whether the other side has not closed a connection."""
    try:
        return bool(sock.recv(1))
    except BlockingIOError:
        return True
    except OSError:
        return False


def test_connections_are_accepted_again_once_descriptors_are_free(tmp_path):
    # Guards against a process that stops accepting, or spins, while the operating
    # system has no descriptor left for it.
    limits = LIMITS | {"max-fds": 4000}

    async def body():
        ip = "127.0.52.4"
        async with platform_process(tmp_path, "entry", ip, limits) as process:
            limit = (SYSTEM_DESCRIPTORS, SYSTEM_DESCRIPTORS)
            # Fewer than the settings say, so that the budget turns nobody away.
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, limit)
            with Crowd() as crowd:
                await crowd.send(process.front, 300, b"")
                assert process.descriptors() >= SYSTEM_DESCRIPTORS - 5
                # The listener's queue is empty: no connection in it wakes the process.
                left = sum(map(is_open, crowd.connections))
                assert left <= SYSTEM_DESCRIPTORS
            await asyncio.sleep(0.5)
            status, _ = await request(process.front)
            return status

    assert asyncio.run(body()) == 200


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("kind", ["length", "bytes", "chunks-of-a-byte", "head"])
def test_the_largest_legal_request_of_each_version_is_served(tmp_path, version, kind):
    # Guards against limits that a single legal request meets, in either version.
    if (version, kind) == (b"1.0", "chunks-of-a-byte"):
        pytest.skip("HTTP/1.0 has no chunks")
    first = b"POST /plain/a HTTP/%s\r\n%s" % (version, HOST)
    size = BODY_BYTES if kind != "bytes" else 200_000
    payload = first + b"Content-Length: %d\r\n\r\n" % size + b"a" * size
    if kind == "chunks-of-a-byte":
        payload = first + b"Transfer-Encoding: chunked\r\n\r\n"
        payload += b"1\r\na\r\n" * BODY_BYTES + b"0\r\n\r\n"
    if kind == "head":
        end = b"Content-Length: 0\r\n\r\n"
        lines = (16384 - len(first) - len(end)) // 4
        payload = first + b"a:\r\n" * lines + end

    async def body():
        ip = "127.0.52.5"
        async with platform_process(tmp_path, "entry", ip, MEMORY_LIMITS) as process:
            reader, writer = await asyncio.open_connection(*process.front)
            step = 1 if kind in ("bytes", "head") else 65536
            for start in range(0, len(payload), step):
                writer.write(payload[start : start + step])
                if step == 1:
                    await asyncio.sleep(0)
                await writer.drain()
            status, _ = await read_response(reader)
            writer.close()
            process.check()
            return status

    assert asyncio.run(body()) == 200
