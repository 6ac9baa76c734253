"""Callers that come while an entry is still importing what it runs."""

import asyncio
import socket

import pytest
from wasabideck_base.early_listener import EarlyListener
from wasabideck_forward.early_callers import TAKEN_SECONDS, EarlyCallers


def test_connections_are_made_before_anything_takes_them():
    # Everything loses power. For half a second each caller was turned away, tried
    # once more in vain, and was never served.
    listener = EarlyListener("127.0.0.1:0")
    with socket.create_connection(listener.sock.getsockname(), timeout=1) as early:
        early.sendall(b"early")

        async def serve():
            came = asyncio.get_running_loop().create_future()

            async def take(reader, writer):
                came.set_result(await reader.read(5))
                writer.close()

            async with await asyncio.start_server(take, sock=listener.sock):
                async with asyncio.timeout(5):
                    return await came

        assert asyncio.run(serve()) == b"early"


def test_an_address_that_is_taken_is_said():
    first = EarlyListener("127.0.0.1:0")
    host, port = first.sock.getsockname()
    with pytest.raises(OSError):
        EarlyListener(f"{host}:{port}")
    first.sock.close()


def test_those_who_waited_are_as_old_as_their_place_tells():
    # Counted from when they were read, a hundred requests that had waited for up to
    # 0.7 s passed for new ones, and were sent ahead of those that were.
    early = EarlyCallers(since=100.0, opened=100.8)
    places = [early.take(100.8 + n * 0.01) for n in range(3)]
    assert [early.arrived(place) for place in places] == pytest.approx(
        [100.2, 100.4, 100.6]
    )


def test_whoever_comes_later_has_not_waited():
    early = EarlyCallers(since=100.0, opened=100.8)
    assert early.take(100.8 + TAKEN_SECONDS + 0.01) is None
