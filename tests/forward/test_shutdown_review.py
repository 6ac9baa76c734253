"""Requests that an entry has not read when it stops listening."""

import asyncio
import socket
import time

from .conftest import answers, route
from .test_shutdown import (
    NOTICE_SECONDS,
    StoppableEntry,
    short_times,  # noqa: F401
)


def test_a_connection_accepted_last_is_read_before_the_drain_ends(play):
    # Guards against requests on new connections that are reset, unread, when nothing
    # else is open at the end of the load balancer's notice.
    async def scenario():
        entry = StoppableEntry(route(timeout_seconds=0.3))
        await entry.add_server(answers(b"whole"))
        port = await entry.listen()
        await entry.stop()
        await entry.wait_after_stop(NOTICE_SECONDS - 0.02)
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: h.example\r\n")
        sock.sendall(b"X-Request-Id: last\r\nConnection: close\r\n\r\n")
        # The loop is busy until after the notice, and then accepts the connection.
        time.sleep(0.3)
        reader, writer = await asyncio.open_connection(sock=sock)
        async with asyncio.timeout(2):
            head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        writer.close()

    play(scenario)
