"""Tests of failures of backend servers and of the platform."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from grpclib.client import Channel
from sanic import Sanic
from wasabideck_base.channels import Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.http_client import HttpClient
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.server_clients import (
    PlainServiceClient,
    ServerDied,
    ServerFailed,
    ServerRefused,
    ServerSilent,
)
from wasabideck_entry.idle_connections import (
    close_idle_connections,
    count_requests_in_progress,
)
from wasabideck_lab.lab_fleet import serve_standin


class StatusServer:
    """Returns one status for every request; 0 disconnects and 1 sends no response."""

    def __init__(self, status):
        self.status = status

    def routes(self):
        return [web.post("/{path:.*}", self.respond)]

    async def respond(self, req):
        if self.status == 0:
            req.transport.abort()
        if self.status == 1:
            await asyncio.Event().wait()
        return web.Response(status=self.status or 500)


async def run_against(standin, call):
    address, runner = await serve_standin(standin)
    async with aiohttp.ClientSession() as session:
        try:
            return await call(HttpClient(address, 0.3, session))
        finally:
            await runner.cleanup()


@pytest.mark.parametrize(
    ("status", "failure"),
    [
        # A service that fails after it recorded an order returns 500, and its gateway
        # 502 to 504. If that were reported as "not run", the caller would order again.
        *((status, ServerFailed) for status in (500, 502, 503, 504, 409)),
        *((status, ServerRefused) for status in (400, 404, 422, 429)),
        (0, ServerDied),
        (1, ServerSilent),
    ],
)
def test_a_failure_is_a_refusal_only_if_the_request_did_not_run(status, failure):
    async def call(http):
        await PlainServiceClient(http).call("a1", "print", "k1", b"20 banners", 0.3)

    with pytest.raises(failure):
        asyncio.run(run_against(StatusServer(status), call))


@pytest.mark.parametrize(
    ("status", "maybe_applied"),
    [(503, False), (500, True), (504, True), (0, True), (1, True)],
)
def test_a_table_failure_says_whether_the_write_may_have_been_applied(
    status, maybe_applied
):
    async def write(http):
        await http.call("POST", "/v1/transact", b"{}")

    with pytest.raises(PlatformUnavailable) as caught:
        asyncio.run(run_against(StatusServer(status), write))
    assert caught.value.maybe_applied == maybe_applied


def test_a_second_report_of_a_broken_channel_leaves_the_new_one_open():
    """A connection with many streams breaks, and each stream reports it.

    The first report opens a new channel. The second report closed the new channel too,
    whose streams reported that in turn: a reconnect storm.
    """

    async def body():
        channels = Channels(HybridClock())
        broken = channels.get("127.0.0.1:9")
        channels.close_channel("127.0.0.1:9", broken)
        new = channels.get("127.0.0.1:9")
        channels.close_channel("127.0.0.1:9", broken)
        assert channels.get("127.0.0.1:9") is new
        assert isinstance(new, Channel)
        channels.close()

    asyncio.run(body())


def test_a_streamed_response_is_in_progress_until_its_end():
    """An entry is stopped while it streams a response.

    The count in sanic's hooks dropped to 0 when the response had started, so the entry
    exited at once and the caller received a truncated response.
    """

    async def body():
        app = Sanic("counted", configure_logging=False)
        proceed = asyncio.Event()

        @app.get("/")
        async def stream(req):
            response = await req.respond(content_type="text/plain")
            await response.send(b"first ")
            await proceed.wait()
            await response.send(b"second")
            await response.eof()

        server = await app.create_server(
            host="127.0.0.1", port=0, return_asyncio_server=True, access_log=False
        )
        await server.startup()
        port = server.server.sockets[0].getsockname()[1]
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://127.0.0.1:{port}/") as answer:
                assert await answer.content.readany() == b"first "
                assert count_requests_in_progress(server) == 1
                close_idle_connections(server)
                proceed.set()
                assert await answer.content.read() == b"second"
            while count_requests_in_progress(server):
                await asyncio.sleep(0)
            close_idle_connections(server)
        server.close()
        Sanic.unregister_app(app)

    asyncio.run(body())
