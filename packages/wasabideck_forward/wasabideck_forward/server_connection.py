"""Connection to a backend server that carries one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import httptools
from wasabideck_policy.outcomes import WasabideckError

from .http_heads import (
    HeadCodec,
    ResponseHead,
    ResponseUsage,
    announces_close,
    ends_with_connection,
    keep_alive_seconds,
)

__all__ = ["ServerResponse", "AnswerBroken", "FailoverRequested", "ServerConnection"]

# A connection whose peer acknowledges no data within this time is closed. Without it, a
# network partition would keep the connection open for many minutes.
USER_TIMEOUT_MS = 3000
# Maximum responses to earlier requests that may precede the response to the current
# one. The connection is closed after more of them.
MAX_STALE_RESPONSES = 2
# Maximum bytes of a response that are buffered for a slow caller before reading from
# the server is paused.
MAX_BUFFERED_BYTES = 256 * 1024
# Maximum size of a body that is copied behind its head, to be written with one call.
MAX_JOINED_BYTES = 16 * 1024
# Maximum bytes received before the head of a response is complete: bytes of the head,
# of interim responses and of responses to earlier requests. A faulty server may send
# them without end.
MAX_BYTES_BEFORE_HEAD = 256 * 1024


class AnswerBroken(WasabideckError):
    """The connection was lost or a protocol error occurred before the response ended.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    """

    status = 502

    def __init__(self, why: str, sent: bool = True):
        super().__init__(why)
        self.sent = sent


class FailoverRequested(Exception):
    """The request should fail over to another server before it ends at this one."""


class ServerResponse:
    """A server's response while it is received.

    Attributes
    ----------
    head : ResponseHead or None
        The head, once the headers are complete.
    started : bool
        Whether bytes of the body were received: the server has started the request.
    ended : bool
        Whether the whole response was received.
    failure : WasabideckError or None
        Why no more data will be received.
    """

    def __init__(
        self, request_id: str, bodyless: bool, usage: ResponseUsage | None = None
    ):
        self.request_id = request_id
        self.bodyless = bodyless
        self._usage = usage or ResponseUsage()
        self.head: ResponseHead | None = None
        self.started = False
        self.ended = False
        self.failure: WasabideckError | None = None
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._failover_requested = False
        self.resume_reading: Callable[[], None] = lambda: None

    async def read_head(self) -> ResponseHead:
        """Wait for the head and return it; raise the failure passed to ``fail``."""
        while self.head is None:
            if self.failure:
                raise self.failure
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end.

        Raises the failure passed to ``fail``, and ``FailoverRequested`` once after a
        call of ``request_failover``.
        """
        while not self._parts:
            # Checks the failure before the end: data received after a failure is
            # discarded, so its end is not the end of a complete response.
            if self.failure:
                raise self.failure
            if self.ended:
                return b""
            if self._failover_requested:
                self._failover_requested = False
                raise FailoverRequested("the server is shutting down")
            await self._wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        self._usage.add(-len(data))
        self.resume_reading()
        return data

    def add(self, data: bytes) -> bool:
        """Append bytes of the body, and return whether more may be buffered."""
        if self.failure:
            # The outcome is decided: the request must not count as started after it.
            return True
        self.started = True
        self._parts.append(data)
        self._buffered_bytes += len(data)
        self._usage.add(len(data))
        self.wake()
        return self._buffered_bytes < MAX_BUFFERED_BYTES

    async def peek(self, enough: Callable[[bytes], bool]) -> bytes:
        """Wait for enough bytes, and return them without removing them from the buffer.

        Returns fewer bytes if the body ends or the buffer is full. Raises the failure
        passed to ``fail``.
        """
        while not enough(data := b"".join(self._parts)):
            if self.failure:
                raise self.failure
            if self.ended or self._buffered_bytes >= MAX_BUFFERED_BYTES:
                break
            await self._wait()
        return data

    def discard(self) -> None:
        """Release what was received and not read."""
        self._usage.add(-self._buffered_bytes)
        self._parts.clear()
        self._buffered_bytes = 0

    def request_failover(self) -> None:
        """Have the reader find another server, while this one continues."""
        self._failover_requested = True
        self.wake()

    def fail(self, failure: WasabideckError) -> None:
        """Record that no more data will be received, and why."""
        if not self.ended and self.failure is None:
            self.failure = failure
            self.wake()

    def wake(self) -> None:
        """Wake the task that waits for this response."""
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter


class ServerConnection(asyncio.Protocol):
    """A connection to one server, used by one request at a time.

    Attributes
    ----------
    last_used_at : float
        When a response last ended on it, or when it was created, in seconds.
    unused : bool
        Whether no request has been answered on it yet.
    """

    def __init__(
        self,
        head_codec: HeadCodec,
        clock: Callable[[], float],
        record_received: Callable[[float], None],
    ):
        self._head_codec = head_codec
        self._clock = clock
        self._record_received = record_received
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._response: ServerResponse | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._skipping_stale = False
        self._stale_responses = 0
        self._bytes_before_head = 0
        self._body_ends_at_close = False
        self._not_reusable = False
        self._idle_timeout_seconds: float | None = None
        self.last_used_at = clock()
        self.unused = True

    # Methods for the owner of the connection

    def send(
        self, head: bytes, body: bytes | bytearray, response: ServerResponse
    ) -> None:
        """Send a request, whose response is added to ``response``."""
        self._response = response
        self._bytes_before_head = 0
        response.resume_reading = self._resume_reading
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
            return
        # Not joined with the head, which would copy it.
        self._transport.write(head)
        self._transport.write(body)

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._response is None
            and not self._not_reusable
            and self._transport is not None
            and not self._transport.is_closing()
            # If the server answered a long request early, a part of its body may
            # still have to be sent.
            and self._transport.get_write_buffer_size() == 0
        )

    def idle_timeout_seconds(self) -> float | None:
        """Return how long the server keeps it idle; None if the server did not say."""
        return self._idle_timeout_seconds

    def close(self) -> None:
        """Abort it, which also stops the server's work on the current request."""
        self._not_reusable = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the transport, and the timeout for unacknowledged data."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is in progress."""
        response = self._response
        if response is None:
            # A second response to the last request. It belongs to no request, and the
            # bytes after it could be taken for the response to the next request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"invalid HTTP: {exc}")
            return
        if response.head is not None:
            self._record_received(self._clock())
            return
        # Bytes before the complete head are no sign that the server works: a server
        # that sends its head byte by byte would keep the caller waiting.
        self._bytes_before_head += len(data)
        if self._bytes_before_head > MAX_BYTES_BEFORE_HEAD:
            self._fail(f"over {MAX_BYTES_BEFORE_HEAD} bytes without a complete head")

    def eof_received(self) -> bool:
        """End a body of unknown length, which ends where the connection ends."""
        if self._body_ends_at_close and self._response and not self._skipping_stale:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response that is not complete."""
        self._not_reusable = True
        if self._response is not None:
            self._fail(f"connection lost: {exc or 'closed by the server'}")

    # Callbacks of the parser

    def on_message_begin(self) -> None:  # noqa: D102
        self._headers = []
        if self._response is None:
            self._not_reusable = True

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:  # noqa: D102
        response = self._response
        status = self._parser.get_status_code()
        if response is None or status < 200:
            return
        head = self._head_codec.parse_response_head(status, self._headers)
        if head.request_id != response.request_id and not self._accepts_unidentified(
            head
        ):
            self._skipping_stale = True
            return
        self._skipping_stale = False
        self._idle_timeout_seconds = keep_alive_seconds(self._headers)
        if announces_close(self._headers):
            self._not_reusable = True
        response.head = head
        self._body_ends_at_close = ends_with_connection(self._headers)
        self._not_reusable = self._not_reusable or self._body_ends_at_close
        response.wake()
        if response.bodyless:
            self._finish()

    def on_body(self, data: bytes) -> None:  # noqa: D102
        if self._response is None or self._skipping_stale:
            return
        if not self._response.add(data):
            self._transport.pause_reading()

    def on_message_complete(self) -> None:  # noqa: D102
        if self._response is None or self._parser.get_status_code() < 200:
            return
        if self._skipping_stale:
            self._skip_stale()
            return
        self._finish()

    def _accepts_unidentified(self, head: ResponseHead) -> bool:
        """Whether a response without a request id belongs to the current request.

        On a new connection there was no earlier request that it could belong to.
        """
        return self.unused and not head.request_id

    def _skip_stale(self) -> None:
        """Discard a late second response to an earlier request."""
        self._skipping_stale = False
        self._not_reusable = True
        self._stale_responses += 1
        if self._stale_responses > MAX_STALE_RESPONSES:
            self._fail("too many responses to other requests")

    def _finish(self) -> None:
        response, self._response = self._response, None
        self.unused = False
        self.last_used_at = self._clock()
        response.ended = True
        response.wake()

    def _fail(self, why: str) -> None:
        response, self._response = self._response, None
        if response is not None:
            response.fail(AnswerBroken(why))
        self.close()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
