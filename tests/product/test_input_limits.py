"""Input is limited before it is buffered, and malformed input ends no process."""

import asyncio
import struct
import time

import aiohttp
import orjson
import pytest
from grpclib.const import Cardinality, Status
from grpclib.exceptions import GRPCError
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.http_client import HttpClient
from wasabideck_base.http_responses import PlatformNonsense
from wasabideck_base.inner_limits import (
    MAX_CONCURRENT_STREAMS,
    MAX_MESSAGE_BYTES,
    InnerServer,
)
from wasabideck_base.members import MemberListClient
from wasabideck_base.settings import CallerSettings
from wasabideck_base.ticket_replication import PeersService
from wasabideck_entry.connection_limits import ConnectionLimiter, TooManyConnections
from wasabideck_policy.tickets import MAX_TICKET_BYTES
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import assignments_from_entries
from wasabideck_wire.errors import MalformedMessage
from wasabideck_wire.inner_grpc import PeersStub

OPERATOR = "sample-operator-token"
CALLER = "sample-caller-token"


def head(path, token, *lines):
    first = [f"POST {path} HTTP/1.1", "host: x", f"authorization: Bearer {token}"]
    return "\r\n".join([*first, *lines, "", ""]).encode()


BRIEF = "/v1/services/drafting/brief"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (head(BRIEF, CALLER, "content-length: 2000000"), 413),
        (head("/v1/tickets", OPERATOR, f"content-length: {MAX_TICKET_BYTES + 1}"), 413),
        (
            head("/v1/tickets/", OPERATOR, f"content-length: {MAX_TICKET_BYTES + 1}"),
            413,
        ),
        (
            head("/v1/tickets", OPERATOR, "transfer-encoding: chunked")
            + b"100000\r\n"
            + b"x" * 0x100000,
            413,
        ),
        (head(BRIEF, CALLER, "x-filler: " + "x" * 20_000), 413),
        (head(BRIEF, CALLER, "content-length: -1"), 400),
        (head(BRIEF, CALLER, "content-length: many"), 400),
        (b"nonsense\r\n\r\n", 400),
        (head("/v1/nowhere", CALLER, "content-length: 0"), 404),
    ],
)
def test_large_or_malformed_request_is_refused_and_entry_continues(
    entry_settings, run_entry, talk, data, status
):
    # A client sends an endless body, head or ticket. If the entry buffered it until
    # it is complete, its memory would be exhausted and other callers' requests lost.
    async def body():
        async with run_entry(entry_settings()) as entry:
            refused = await talk(entry.http, data)
            alive = await talk(entry.http, b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n")
        return refused, alive

    refused, alive = asyncio.run(body())
    assert refused[0] == status
    assert {"title", "status", "detail"} <= orjson.loads(refused[1]).keys()
    assert alive[0] == 200


def test_connections_of_a_caller_are_limited_and_freed(entry_settings, run_entry, talk):
    # One organisation's client leaks connections until the entry has no file
    # descriptor left for other callers.
    callers = [
        CallerSettings("org-1", CALLER, most_connections=2),
        CallerSettings("org-2", "sample-other-caller-token"),
    ]

    async def body():
        statuses = []
        async with run_entry(entry_settings(callers=callers)) as entry:
            url = f"http://{entry.http}{BRIEF}"
            token = {"authorization": f"Bearer {CALLER}"}
            async with (
                aiohttp.ClientSession(headers=token) as one,
                aiohttp.ClientSession(headers=token) as two,
            ):
                # No server is known, so each request is refused at once. Its
                # connection stays open.
                for session in (one, two, one):
                    async with session.post(url, data=b"x") as response:
                        statuses.append(response.status)
                request = head(BRIEF, CALLER, "content-length: 0")
                status, problem = await talk(entry.http, request)
                statuses.append(status)
                assert orjson.loads(problem)["title"] == "TooManyConnections"
                other = head(BRIEF, "sample-other-caller-token", "content-length: 0")
                statuses.append((await talk(entry.http, other))[0])
            while (await talk(entry.http, request))[0] == 429:
                pass
        return statuses

    assert asyncio.run(asyncio.wait_for(body(), 20)) == [503, 503, 503, 429, 503]


def test_connection_counts_for_caller_of_its_newest_request():
    held = ConnectionLimiter({"a": 1, "b": 1})

    class Connection:
        pass

    first, second = Connection(), Connection()
    held.acquire(first, "a")
    held.acquire(first, "a")
    with pytest.raises(TooManyConnections):
        held.acquire(second, "a")
    held.acquire(first, "b")
    held.acquire(second, "a")
    held.release(first)
    held.release(first)
    assert +held.open_connections == {"a": 1}


@pytest.fixture
def serving():
    async def serve(body):
        server = InnerServer([PeersService(None, lambda _: pb.StatusReply(vm="one"))])
        await server.start("127.0.0.1", 0)
        host, port = server._server.sockets[0].getsockname()
        channels = Channels(HybridClock())
        try:
            return await body(channels.get(f"{host}:{port}"))
        finally:
            channels.close()
            server.close()

    return lambda body: asyncio.run(asyncio.wait_for(serve(body), 30))


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (
            struct.pack("!?I", False, MAX_MESSAGE_BYTES + 1) + b"x",
            Status.RESOURCE_EXHAUSTED,
        ),
        (struct.pack("!?I", False, 4) + b"\xff" * 4, Status.INVALID_ARGUMENT),
    ],
)
def test_malformed_message_of_a_peer_is_a_typed_refusal(serving, payload, status):
    # A broken peer announces a message of gigabytes, or sends bytes that don't belong
    # to the protocol. The length was trusted, and all received bytes were buffered.
    async def body(channel):
        stream = channel.request(
            "/wasabideck.Peers/Status",
            Cardinality.UNARY_UNARY,
            pb.StatusRequest,
            pb.StatusReply,
        )
        with pytest.raises(GRPCError) as caught:
            async with stream:
                await stream.send_request()
                await stream._stream.send_data(payload, end_stream=True)
                await stream.recv_message()
        reply = await PeersStub(channel).Status(pb.StatusRequest(), timeout=5)
        return caught.value.status, reply.vm

    assert serving(body) == (status, "one")


def test_open_streams_are_limited(serving):
    async def body(channel):
        await PeersStub(channel).Status(pb.StatusRequest(), timeout=5)
        return channel._protocol.connection._connection.remote_settings

    assert serving(body).max_concurrent_streams == MAX_CONCURRENT_STREAMS


@pytest.mark.parametrize(
    "change",
    [b"", b"[]", b"{}", b"\xff", b'{"scope": 1, "slot": "model"}', b'{"other": 1}'],
)
def test_malformed_change_is_a_link_failure(change):
    # A process compares its tickets with a peer whose memory is corrupted. An untyped
    # error terminated the loop that receives tickets, and with it the process.
    with pytest.raises(MalformedMessage) as caught:
        assignments_from_entries(
            [pb.Entry(scope="a", slot="model", ticket=1, change=change)]
        )
    assert isinstance(caught.value, CALL_FAILURES)


@pytest.mark.parametrize("payload", [b"<html>", b"[1]", b'[{"vm": 1}]', b"{}x", b"7"])
def test_malformed_response_of_the_platform_is_a_typed_failure(payload):
    # A gateway responds with status 200 and a page of its own. Reading the membership
    # list raised an untyped error, which terminated the processes of all VMs at once.
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        length = f"content-length: {len(payload)}\r\n\r\n".encode()
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n" + length + payload)
        writer.close()

    async def body():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with server, aiohttp.ClientSession() as session:
            client = HttpClient(f"http://{host}:{port}", 5.0, session)
            with pytest.raises(PlatformNonsense) as caught:
                await MemberListClient(client).read(time.monotonic())
        return caught.value

    assert asyncio.run(body()).maybe_applied
