"""One connection to a plain HTTP service, with one call on it at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

__all__ = ["AnswerLost", "HttpConnection", "MalformedAnswer"]

# A connection to the store that went silent while nothing was due is found by probes
# of the kernel's, which are no calls: after two seconds, and once a second then.
PROBE_AFTER_SECONDS = 2
PROBE_EVERY_SECONDS = 1
PROBES = 2
USER_TIMEOUT_MS = 4000
# A head is a few hundred bytes, and the largest object that a store keeps 8 MB. Bytes
# that go on beyond that are no answer, and would fill the process's memory.
MOST_HEAD_BYTES = 64 * 1024
MOST_BODY_BYTES = 32 * 1024 * 1024


class AnswerLost(Exception):
    """A connection ended before its answer was whole."""

    def __init__(self, why: str, answered: bool):
        super().__init__(why)
        self.answered = answered


class MalformedAnswer(Exception):
    """What came on a connection is no answer."""


class HttpConnection(asyncio.Protocol):
    """A connection with one call on it at a time."""

    def __init__(self, idle_seconds: float, ended: Callable[[HttpConnection], None]):
        self.idle_seconds = idle_seconds
        self._ended = ended
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.whole = False
        self.kept = True
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._has_head = False
        self._head_bytes = 0
        self._until_close = False
        self._body = bytearray()
        self._received: Callable[[int], None] | None = None
        self._failure: Exception | None = None
        self._moved: asyncio.Future | None = None
        self._idle_since = 0.0
        self._closer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        """Whether another call may be sent on it."""
        return self.kept and not self.transport.is_closing()

    def send(self, data: bytes, received: Callable[[int], None] | None) -> None:
        """Send a call, whose answer ``moved`` and ``body`` tell of."""
        self._busy = True
        self.status, self.whole = 0, False
        self._has_head, self._head_bytes = False, 0
        self._body = bytearray()
        self._received = received
        self.transport.write(data)

    async def moved(self) -> None:
        """Wait for more of the answer; raises ``AnswerLost`` or ``MalformedAnswer``."""
        if self._failure is not None:
            raise self._failure
        if self.whole:
            return
        self._moved = asyncio.get_running_loop().create_future()
        await self._moved
        if self._failure is not None and not self.whole:
            raise self._failure

    def body(self) -> bytes:
        """The body of a whole answer."""
        return bytes(self._body)

    def idle(self, now: float) -> None:
        """Note that nothing is due on it; it is closed when that lasts."""
        self._idle_since = now
        if self._closer is None:
            self._close_later(self.idle_seconds)

    def close(self) -> None:
        """Close it at once."""
        self.kept = False
        if self._closer is not None:
            self._closer.cancel()
            self._closer = None
        if self.transport is not None:
            self.transport.abort()

    def _close_later(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._closer = loop.call_later(seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._closer = None
        loop = asyncio.get_running_loop()
        left = self._idle_since + self.idle_seconds - loop.time()
        if self._busy:
            left = self.idle_seconds
        if left > 0:
            self._close_later(left)
        else:
            self.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport, and have the kernel notice a silent peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nothing was asked for end the connection."""
        if not self._busy:
            self.close()
            return
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(MalformedAnswer(f"no HTTP: {exc}"))
            return
        if not self._has_head and self._head_bytes > MOST_HEAD_BYTES:
            self._fail(MalformedAnswer(f"a head of over {MOST_HEAD_BYTES} bytes"))
        self._wake()

    def eof_received(self) -> bool:
        """Take the end for the body's where nothing else says where it is."""
        if self._busy and self._has_head and self._until_close:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer that is still due."""
        self.kept = False
        self._ended(self)
        if self._busy:
            why = f"connection lost: {exc or 'closed'}"
            self._fail(AnswerLost(why, self.status > 0))

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a head; one that nothing was asked for is the last."""
        if self.whole:
            self.kept = False
        self._until_close = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in where the body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._until_close = False

    def on_headers_complete(self) -> None:
        """Take in the status, but of an interim answer."""
        status = self._parser.get_status_code()
        if status >= 200 and not self.whole:
            self.status = status
            self._has_head = True
            self._until_close = self._until_close and status not in (204, 304)
            self.kept = self.kept and self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """Take in a part of the body."""
        if self.whole or self._failure is not None:
            return
        self._body += data
        if self._received is not None:
            self._received(len(data))
        if len(self._body) > MOST_BODY_BYTES:
            self._fail(MalformedAnswer(f"a body of over {MOST_BODY_BYTES} bytes"))

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._has_head and not self.whole:
            self._finish()

    def _finish(self) -> None:
        self.whole = True
        self._busy = False
        self._wake()

    def _fail(self, failure: Exception) -> None:
        if self._failure is None:
            self._failure = failure
        self._busy = False
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._moved is not None and not self._moved.done():
            self._moved.set_result(None)
