"""Accounts for accepted connections whose TLS handshake is not complete.

A server that is created with a TLS context tells its protocol of a connection once the
handshake is complete. Until then nothing would count its socket and its buffers.
"""

from __future__ import annotations

import asyncio
import os
import socket
import ssl
from collections.abc import Callable
from contextlib import suppress

from .connection_budget import ACCEPTED_CONNECTION_BYTES, ConnectionBudget, Usage

__all__ = ["HandshakeProtocol"]

# A handshake takes three round trips, and some milliseconds of processor time.
HANDSHAKE_TIMEOUT_SECONDS = 10.0
# Memory of a connection's TLS state and buffers.
TLS_BYTES = 64 * 1024


class HandshakeProtocol(asyncio.Protocol):
    """Runs the handshake of a plain connection, for the protocol that will use it.

    Parameters
    ----------
    create_protocol : callable
        Returns the protocol that gets the connection after its handshake.
    """

    def __init__(
        self,
        create_protocol: Callable[[], asyncio.Protocol],
        context: ssl.SSLContext,
        budget: ConnectionBudget,
        listener: str,
        clock: Callable[[], float],
    ):
        self._create_protocol = create_protocol
        self._context = context
        self._budget = budget
        self._listener = listener
        self._clock = clock
        self._sock: socket.socket | None = None
        self._task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the socket over before anything is read from it."""
        try:
            # ``loop.start_tls`` would lose what uvloop has read by the time it runs.
            descriptor = os.dup(transport.get_extra_info("socket").fileno())
        except OSError:
            transport.abort()
            return
        self._sock = socket.socket(fileno=descriptor)
        transport.abort()
        now = self._clock()
        usage = self._budget.open(self._listener, self._turn_away, now)
        self._task = asyncio.create_task(self._run_handshake(usage))
        self._budget.report(usage, ACCEPTED_CONNECTION_BYTES + TLS_BYTES, now)

    async def _run_handshake(self, usage: Usage) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(
                self._create_protocol,
                self._sock,
                ssl=self._context,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_SECONDS,
            )
        except OSError:
            # The client left, is too slow, or has no valid certificate: SSLError and
            # TimeoutError are OSErrors, too.
            self._sock.close()
        finally:
            self._budget.close(usage)

    def _turn_away(self, lingers: bool) -> None:
        with suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
