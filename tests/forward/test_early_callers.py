"""Callers that connect while an entry is still importing its modules."""

import asyncio
import socket

import pytest
from wasabideck_base.early_listener import EarlyListener
from wasabideck_forward.early_callers import ACCEPT_BACKLOG_SECONDS, EarlyCallers


def test_connections_can_be_made_before_they_are_accepted():
    # After a full restart of the deployment, entries refused connections for 0.5 s:
    # callers retried once, were refused again, and were never served.
    listener = EarlyListener("127.0.0.1:0")
    with socket.create_connection(listener.sock.getsockname(), timeout=1) as early:
        early.sendall(b"early")

        async def serve():
            received = asyncio.get_running_loop().create_future()

            async def read_bytes(reader, writer):
                received.set_result(await reader.read(5))
                writer.close()

            async with await asyncio.start_server(read_bytes, sock=listener.sock):
                async with asyncio.timeout(5):
                    return await received

        assert asyncio.run(serve()) == b"early"


def test_an_address_in_use_raises_an_error():
    first = EarlyListener("127.0.0.1:0")
    host, port = first.sock.getsockname()
    with pytest.raises(OSError):
        EarlyListener(f"{host}:{port}")
    first.sock.close()


def test_arrival_time_of_an_early_caller_follows_from_its_position():
    # Guards against requests of early callers that count as new: 100 requests that had
    # waited for up to 0.7 s were sent ahead of requests that were really new.
    early = EarlyCallers(listening_since=100.0, accepting_since=100.8)
    positions = [early.assign_position(100.8 + n * 0.01) for n in range(3)]
    assert [early.arrival_time(position) for position in positions] == pytest.approx(
        [100.2, 100.4, 100.6]
    )


def test_a_caller_that_connects_later_has_no_position():
    early = EarlyCallers(listening_since=100.0, accepting_since=100.8)
    assert early.assign_position(100.8 + ACCEPT_BACKLOG_SECONDS + 0.01) is None
