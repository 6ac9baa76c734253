"""Answers that a server cuts off anywhere in their head, or just behind it."""

import asyncio

import aiohttp
import pytest
from wasabideck_base.http_client import HttpClient
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.server_clients import (
    GenerationRequest,
    ModelEngineClient,
    PlainServiceClient,
)
from wasabideck_base.settings import AccessSettings
from wasabideck_entry.operator_client import OperatorClient
from wasabideck_policy.configuration import Kind
from wasabideck_policy.outcomes import WasabideckError

from .conftest import Entry, configuration, request_id, reset, route

BODY = b'{"done":true}\n'
SEAL = b"X-Response-Seal: seal\r\n"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\n%sContent-Length: 14\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\ne\r\n",
    "http/1.0": b"HTTP/1.0 200 OK\r\n%sContent-Length: 14\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\n%sContent-Length: 14\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n%sContent-Length: 14\r\n\r\n",
    "events": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s"
    b"Transfer-Encoding: chunked\r\n\r\ne\r\n",
}
CASES = [(kind, end) for kind in HEADS for end in ("close", "reset")]


async def write_part(writer, data, end):
    """Write the beginning of an answer, and end its connection."""
    writer.write(data)
    await writer.drain()
    # A reset discards what its receiver has not read yet.
    await asyncio.sleep(0.001)
    if end == "reset":
        reset(writer)
    else:
        writer.close()


class CuttingServer:
    """Answers each request with the first bytes of an answer."""

    def __init__(self, answer, end):
        self.answer, self.end, self.length = answer, end, 0

    async def start(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lower = head.lower()
        if b"content-length: " in lower:
            size = int(lower.split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(size)
        await write_part(writer, self.answer[: self.length], self.end)


async def pooled_call(address, session):
    async with HttpPool() as pool:
        return await PooledClient(address, 2.0, pool).call("GET", "/x")


async def platform_call(address, session):
    return await HttpClient(f"http://{address}", 2.0, session).call("GET", "/x")


async def service_call(address, session):
    http = HttpClient(f"http://{address}", 2.0, session)
    return await PlainServiceClient(http).call("a", "r", "k", b"", 2.0)


async def generation(address, session):
    http = HttpClient(f"http://{address}", 2.0, session)
    job = GenerationRequest("a", "r", b"", 0, 2.0)
    return [row async for row in ModelEngineClient(http).generate(job)]


async def operator_call(address, session):
    cfg = AccessSettings(f"http://{address}", "t" * 40, plain_text=True)
    return await OperatorClient(cfg)._send("GET", "/x", None, None, {})


CLIENTS = [pooled_call, platform_call, service_call, generation, operator_call]


@pytest.mark.parametrize(("kind", "end"), CASES)
@pytest.mark.parametrize("client", CLIENTS)
def test_answer_cut_in_its_head_is_a_failure_of_the_call(client, kind, end):
    # Guards against an empty or short answer that is taken for a whole one.
    answer = HEADS[kind] % b""

    async def run():
        server = CuttingServer(answer + BODY, end)
        address = await server.start()
        taken = []
        async with aiohttp.ClientSession() as session:
            for server.length in range(len(answer) + len(BODY)):
                try:
                    taken.append((server.length, await client(address, session)))
                except WasabideckError:
                    continue
            if b"Content-Length" in answer:
                server.length = len(answer) + len(BODY)
                assert await client(address, session)
        server.listener.close()
        return taken

    assert asyncio.run(run()) == []


def cut_answer(kind, length, end):
    """Return a script that writes the first bytes of an answer."""

    async def script(head, writer):
        answer = HEADS[kind] % (b"X-Request-Id: %s\r\n%s" % (request_id(head), SEAL))
        await write_part(writer, (answer + BODY)[:length], end)

    return script


async def whole_response(caller):
    """Return status and body of a response that looks whole to its caller."""
    try:
        status, _, body = await caller.read_response()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return status, body


@pytest.mark.parametrize("line", [b"Connection: keep-alive", b"Connection: close"])
@pytest.mark.parametrize(("kind", "end"), CASES)
@pytest.mark.parametrize("requests", [Kind.UNSAFE, Kind.STREAM])
def test_answer_cut_in_its_head_never_looks_whole_to_a_caller(
    play, requests, kind, end, line
):
    # Guards against a 200 with an empty or short body, framed as whole, that the server
    # did not send.
    async def scenario():
        size = len(HEADS[kind]) - 2 + len(b"X-Request-Id: req-1\r\n" + SEAL)
        lengths = range(0, size + len(BODY), 3 if requests is Kind.STREAM else 2)
        entry = Entry(configuration(route(kind=requests, max_attempts=1)))
        await entry.add_server(*(cut_answer(kind, n, end) for n in lengths))
        for length in lengths:
            caller = await entry.caller()
            await caller.send(line, method=b"POST", body=b"x")
            response = await whole_response(caller)
            assert response is None or response[0] >= 500, (length, response)
            caller.writer.close()

    play(scenario)
