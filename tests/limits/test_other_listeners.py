"""Clients of the other listeners of an entry and of an agent.

Each test starts a process with lowered limits. It has to stay within them, and to
answer at the listener while the crowd's connections are open.
"""

import asyncio

import inner_crowd
import pytest
from crowd import Crowd
from limit_processes import (
    HANG_SECONDS,
    LIMITS,
    platform_process,
    read_response,
    request,
)
from wasabideck_base.channels import Channels
from wasabideck_base.events import HybridClock
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

MEMORY_LIMITS = LIMITS | {"max-fds": 760}


async def get(address, path):
    """Send one request; return the status and body of its response."""
    async with asyncio.timeout(HANG_SECONDS):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path)
        try:
            return await read_response(reader)
        finally:
            writer.close()


async def answers_check(process):
    assert (await get(process.ready, b"/-/ready"))[0] == 200


async def answers_scrape(process):
    status, body = await get(process.metrics, b"/metrics")
    assert status == 200
    assert b"wasabideck_events_total" in body


async def answers_chunk_poll(process):
    assert (await get(process.chunks, b"/holdings/"))[0] == 200


async def answers_peer(process):
    channels = Channels(HybridClock())
    try:
        channel = channels.get("{}:{}".format(*process.inner))
        reply = await PeersStub(channel).Status(
            pb.StatusRequest(), timeout=HANG_SECONDS
        )
        assert reply.vm == "vm"
    finally:
        channels.close()


LISTENERS = {
    "ready": ("entry", answers_check),
    "metrics": ("entry", answers_scrape),
    "inner": ("entry", answers_peer),
    "chunks": ("agent", answers_chunk_poll),
}


@pytest.fixture
def run(tmp_path):
    """Run a crowd at a listener, and check the process and the listener's answer."""

    def play(ip, listener, limits, count, payload, kind=None):
        default_kind, answers = LISTENERS[listener]
        kind = kind or default_kind

        async def body():
            async with platform_process(tmp_path, kind, ip, limits) as process:
                with Crowd() as crowd:
                    await crowd.send(getattr(process, listener), count, payload)
                    process.check()
                    await answers(process)
                    if kind == "entry":
                        assert (await request(process.front))[0] == 200
                    process.check()

        asyncio.run(body())

    return play


@pytest.mark.parametrize("payload", [b"", b"GET /"], ids=["idle", "begun"])
@pytest.mark.parametrize("listener", LISTENERS)
def test_connections_beyond_the_descriptors(run, listener, payload):
    # Guards against connections that leave no descriptor to an ordinary client.
    if listener == "inner" and payload:
        payload = inner_crowd.open_streams(1, 10)
    run("127.0.51.1", listener, LIMITS, 500, payload)


@pytest.mark.parametrize("listener", ["metrics", "inner"])
def test_connections_of_an_agent_beyond_the_descriptors(run, listener):
    # Guards against the same for the agent's listeners.
    run("127.0.51.2", listener, LIMITS, 500, b"", kind="agent")


def test_checks_sent_ahead(run):
    # Guards against parsing all checks that were received while answers wait.
    payload = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 60_000
    run("127.0.51.3", "ready", MEMORY_LIMITS, 40, payload)


def test_large_bodies_of_checks(run):
    # Guards against bodies that the listener for checks has no use for.
    payload = b"POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n" + b"x" * 3_999_999
    run("127.0.51.4", "ready", MEMORY_LIMITS, 60, payload)


def test_heads_of_scrapes_that_do_not_end(run):
    # Guards against heads that are kept for as long as a scrape may take.
    payload = b"GET /metrics HTTP/1.1\r\n" + b"a: b\r\n" * 100_000
    run("127.0.51.5", "metrics", MEMORY_LIMITS, 540, payload)


def test_requests_for_chunks_whose_answers_are_not_read(run):
    # Guards against answers that stay in the agent until its peers read.
    payload = b"GET /holdings/ HTTP/1.1\r\nHost: x\r\n\r\n" * 30_000
    run("127.0.51.6", "chunks", MEMORY_LIMITS, 540, payload)


INNER_PAYLOADS = {
    "streams": (100, lambda: inner_crowd.open_streams(400, 400)),
    "reset": (40, lambda: inner_crowd.opened_and_reset(30_000)),
    "messages": (60, lambda: inner_crowd.incomplete_messages(1, 4_000_000)),
    "pings": (30, lambda: inner_crowd.pings(400_000)),
    "settings": (30, lambda: inner_crowd.settings(400_000)),
    "headers": (300, lambda: inner_crowd.endless_headers(60, 16_000)),
}


@pytest.mark.parametrize("kind", ["entry", "agent"])
@pytest.mark.parametrize("payload", INNER_PAYLOADS)
def test_peers_that_do_not_behave(run, kind, payload):
    # Guards against a client of the inner protocol that fills the memory.
    count, make = INNER_PAYLOADS[payload]
    run("127.0.51.7", "inner", MEMORY_LIMITS, count, make(), kind=kind)
