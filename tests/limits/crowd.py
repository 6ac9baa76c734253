"""Test helper: connections that send without reading, and stay open."""

import asyncio
import contextlib
import socket

__all__ = ["Crowd"]

RECEIVE_BUFFER_BYTES = 4096
# Rounds without a byte accepted on any connection after which a crowd has settled.
SETTLED_ROUNDS = 20
ROUND_SECONDS = 0.05
SENT_AT_ONCE = 256 * 1024


class Crowd:
    """Connections that each send a payload as far as they can, and read nothing.

    Attributes
    ----------
    sent : int
        Bytes that were accepted from all connections.
    """

    def __init__(self):
        self.connections = []
        self.sent = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for sock in self.connections:
            sock.close()

    async def send(self, address, count, payload):
        """Open connections that send a payload; return when no byte is accepted."""
        open_now = []
        loop = asyncio.get_running_loop()
        for _ in range(count):
            sock = socket.socket()
            self.connections.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(ROUND_SECONDS * SETTLED_ROUNDS):
                    await loop.sock_connect(sock, address)
                open_now.append((sock, memoryview(payload)))
        idle_rounds = 0
        while open_now and idle_rounds < SETTLED_ROUNDS:
            accepted = 0
            remaining = []
            for sock, data in open_now:
                try:
                    size = sock.send(data[:SENT_AT_ONCE])
                except BlockingIOError:
                    size = 0
                except OSError:
                    continue
                accepted += size
                if len(data) > size:
                    remaining.append((sock, data[size:]))
            open_now = remaining
            self.sent += accepted
            idle_rounds = 0 if accepted else idle_rounds + 1
            await asyncio.sleep(0 if accepted else ROUND_SECONDS)
        # The process reads what the kernel has accepted.
        await asyncio.sleep(ROUND_SECONDS * SETTLED_ROUNDS)
