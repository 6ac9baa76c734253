"""Connection to a plain HTTP service that carries one call at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

__all__ = ["ResponseLost", "HttpConnection", "MalformedResponse"]

# TCP keepalive finds an idle connection to the store that has become unresponsive
# without a call: the first probe follows after two seconds, then one every second.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
MAX_KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 4000
# A response head has a few hundred bytes, and the largest object of a store has 8 MB.
# An endless response is malformed and would exhaust the memory of the process.
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024


class ResponseLost(Exception):
    """A connection ended before its response was complete."""

    def __init__(self, why: str, status_received: bool):
        super().__init__(why)
        self.status_received = status_received


class MalformedResponse(Exception):
    """The data received on a connection is not a valid response."""


class HttpConnection(asyncio.Protocol):
    """Client connection that carries one call at a time."""

    def __init__(
        self, idle_seconds: float, on_closed: Callable[[HttpConnection], None]
    ):
        self.idle_seconds = idle_seconds
        self._on_closed = on_closed
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.complete = False
        self.keep_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._in_progress = False
        self._head_complete = False
        self._head_bytes = 0
        self._until_close = False
        self._body = bytearray()
        self._on_received: Callable[[int], None] | None = None
        self._failure: Exception | None = None
        self._data_waiter: asyncio.Future | None = None
        self._idle_since = 0.0
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        """Whether another call may be sent on the connection."""
        return self.keep_alive and not self.transport.is_closing()

    def send(self, data: bytes, on_received: Callable[[int], None] | None) -> None:
        """Send a request; ``wait_for_data`` and ``body`` return its response."""
        self._in_progress = True
        self.status, self.complete = 0, False
        self._head_complete, self._head_bytes = False, 0
        self._body = bytearray()
        self._on_received = on_received
        self.transport.write(data)

    async def wait_for_data(self) -> None:
        """Wait for more data; raise ``ResponseLost`` or ``MalformedResponse``."""
        if self._failure is not None:
            raise self._failure
        if self.complete:
            return
        self._data_waiter = asyncio.get_running_loop().create_future()
        await self._data_waiter
        if self._failure is not None and not self.complete:
            raise self._failure

    def body(self) -> bytes:
        """Return the body of a complete response."""
        return bytes(self._body)

    def mark_idle(self, now: float) -> None:
        """Mark the connection as idle; it is closed after ``idle_seconds``."""
        self._idle_since = now
        if self._idle_timer is None:
            self._start_idle_timer(self.idle_seconds)

    def close(self) -> None:
        """Close the connection immediately."""
        self.keep_alive = False
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if self.transport is not None:
            self.transport.abort()

    def _start_idle_timer(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._idle_timer = None
        loop = asyncio.get_running_loop()
        remaining = self._idle_since + self.idle_seconds - loop.time()
        if self._in_progress:
            remaining = self.idle_seconds
        if remaining > 0:
            self._start_idle_timer(remaining)
        else:
            self.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport and enable TCP keepalive to detect a lost peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if no request is in progress."""
        if not self._in_progress:
            self.close()
            return
        if not self._head_complete:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(MalformedResponse(f"malformed HTTP: {exc}"))
            return
        if not self._head_complete and self._head_bytes > MAX_HEAD_BYTES:
            self._fail(
                MalformedResponse(f"response head exceeds {MAX_HEAD_BYTES} bytes")
            )
        self._wake()

    def eof_received(self) -> bool:
        """End a body that has neither a length nor chunked encoding."""
        if self._in_progress and self._head_complete and self._until_close:
            self._complete_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is in progress."""
        self.keep_alive = False
        self._on_closed(self)
        if self._in_progress:
            why = f"connection lost: {exc or 'closed'}"
            self._fail(ResponseLost(why, self.status > 0))

    # httptools.HttpResponseParser callbacks

    def on_message_begin(self) -> None:
        """Start a response; an unsolicited one makes the connection unusable."""
        if self.complete:
            self.keep_alive = False
        self._until_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record whether a header determines where the body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._until_close = False

    def on_headers_complete(self) -> None:
        """Record the status unless the response is an interim one (1xx)."""
        status = self._parser.get_status_code()
        if status >= 200 and not self.complete:
            self.status = status
            self._head_complete = True
            self._until_close = self._until_close and status not in (204, 304)
            self.keep_alive = self.keep_alive and self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        if self.complete or self._failure is not None:
            return
        self._body += data
        if self._on_received is not None:
            self._on_received(len(data))
        if len(self._body) > MAX_BODY_BYTES:
            self._fail(
                MalformedResponse(f"response body exceeds {MAX_BODY_BYTES} bytes")
            )

    def on_message_complete(self) -> None:
        """Complete the response."""
        if self._head_complete and not self.complete:
            self._complete_response()

    def _complete_response(self) -> None:
        self.complete = True
        self._in_progress = False
        self._wake()

    def _fail(self, failure: Exception) -> None:
        if self._failure is None:
            self._failure = failure
        self._in_progress = False
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._data_waiter is not None and not self._data_waiter.done():
            self._data_waiter.set_result(None)
