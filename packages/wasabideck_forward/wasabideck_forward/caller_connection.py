"""Connection to one caller: reads complete requests, writes responses as they come."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable, Sequence
from http import HTTPStatus

import httptools
from attrs import define
from wasabideck_policy.configuration import CallerLimits

from .early_callers import EarlyCallers
from .http_heads import CallerRequest, HeadCodec, first_header

__all__ = ["CallerConnection", "CallerEndpoint"]

# Pipelined requests that may wait on a connection before reading from it is paused.
MAX_PIPELINED_REQUESTS = 4
# Added to the idle timeout announced to callers, so that a request sent at the last
# moment does not cross the close of the connection.
IDLE_GRACE_SECONDS = 1.0
_BODYLESS_STATUSES = frozenset((204, 304))
_CLOSED_POLL_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@define(eq=False)
class CallerEndpoint:
    """State that all connections accepted at one address share.

    Attributes
    ----------
    limits : callable
        Returns the limits that are in effect now.
    serve : callable
        Coroutine function that answers one request on its connection.
    draining : bool
        Whether connections are closed after their current request.
    early_callers : EarlyCallers or None
        Callers that connected while this process was starting.
    closed : bool
        Whether nothing more is read on any connection.
    """

    head_codec: HeadCodec
    clock: Callable[[], float]
    limits: Callable[[], CallerLimits]
    serve: Callable[[CallerRequest, CallerConnection], object]
    connections: set[CallerConnection]
    draining: bool = False
    early_callers: EarlyCallers | None = None
    closed: bool = False

    def close(self) -> None:
        """Read no more; close each connection once it has its last response."""
        self.draining = self.closed = True
        for conn in list(self.connections):
            conn.close_when_served()

    def sweep(self) -> None:
        """Close connections that are idle, or sending a request head, for too long."""
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.check_timeouts(now, limits)


class CallerConnection(asyncio.Protocol):
    """Reads a caller's requests one after the other and writes their responses.

    Attributes
    ----------
    head_written : bool
        Whether the head of the current response has been written.
    close_announced : bool
        Whether a response has announced that the connection will be closed because the
        process shuts down. Requests that were read nevertheless get an error.
    """

    def __init__(self, endpoint: CallerEndpoint):
        self._endpoint = endpoint
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pipelined: deque[CallerRequest] = deque()
        self._task: asyncio.Task | None = None
        self._idle_since = endpoint.clock()
        self._early_position: int | None = None
        self._reading_since: float | None = None
        self._in_headers = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()
        self._chunked = False
        self._keep_alive = True
        self._http10 = False
        self._rejected = False
        self.head_written = False
        self.close_announced = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        self._endpoint.connections.add(self)
        if self._endpoint.closed:
            transport.close()
            return
        early_callers = self._endpoint.early_callers
        if early_callers is not None:
            self._early_position = early_callers.assign_position(self._endpoint.clock())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that the caller no longer waits for."""
        self._endpoint.connections.discard(self)
        self._writable.set()
        if self._task:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Cancel the current request: the caller has disconnected.

        Callers do not half-close a connection. Waiting for the reset that follows the
        next write would keep a server working on a response that nobody reads.
        """
        if self._task:
            self._task.cancel()
        return False

    def pause_writing(self) -> None:  # noqa: D102
        self._writable.clear()

    def resume_writing(self) -> None:  # noqa: D102
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; answer 400 and close if they are no HTTP request."""
        if self._rejected:
            return
        if self._reading_since is None:
            # Empty lines between requests belong to none (RFC 9112, section 2.2).
            data = data.lstrip(b"\r\n")
            if not data:
                return
            self._reading_since = self._endpoint.clock()
            self._in_headers = True
        if self._in_headers:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "UpgradeNotOffered")
        except httptools.HttpParserError:
            self._reject(400, "MalformedRequest")
        if (
            self._in_headers
            and self._head_bytes > self._endpoint.limits().max_header_bytes
        ):
            self._reject(431, "HeadersTooLarge")

    # Callbacks of the parser

    def on_message_begin(self) -> None:  # noqa: D102
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._body_parts: list[bytes] = []
        self._body_bytes = 0
        self._in_headers = True
        if self._reading_since is None:
            self._reading_since = self._endpoint.clock()

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        # Ignores trailers, which come after the head: they are not used.
        if self._in_headers:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:  # noqa: D102
        self._in_headers = False
        self._head_bytes = 0
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        limits = self._endpoint.limits()
        if size + len(self._target) > limits.max_header_bytes:
            self._reject(431, "HeadersTooLarge")
            return
        length = first_header(self._headers, b"content-length")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            self._reject(413, "BodyTooLarge")
            return
        expects_continue = (
            first_header(self._headers, b"expect").lower() == b"100-continue"
        )
        if expects_continue and self._task is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:  # noqa: D102
        self._body_bytes += len(data)
        if self._body_bytes > self._endpoint.limits().max_body_bytes:
            self._reject(413, "BodyTooLarge")
            return
        self._body_parts.append(data)

    def on_message_complete(self) -> None:  # noqa: D102
        if self._rejected:
            return
        req = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            head=self._endpoint.head_codec.parse_request_head(self._headers),
            arrived_at=self._arrival_time(),
            keep_alive=self._parser.should_keep_alive(),
            http10=self._parser.get_http_version() == "1.0",
            body=b"".join(self._body_parts),
        )
        self._reading_since = None
        self._body_parts = []
        self._pipelined.append(req)
        if self._task is None:
            self._serve_next()
        elif len(self._pipelined) >= MAX_PIPELINED_REQUESTS:
            self._transport.pause_reading()

    def _arrival_time(self) -> float:
        """Return when the current request came, even if the process could not read it.

        The first request of a caller that connected while the process was starting
        arrived before it could be read.
        """
        if self._early_position is None:
            return self._reading_since
        position, self._early_position = self._early_position, None
        return self._endpoint.early_callers.arrival_time(position)

    # Methods that answer the current request

    def write_head(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        length: int | None,
        last: bool = False,
    ) -> None:
        """Write the head of the current response, chunked if its length is None."""
        self.head_written = True
        self._keep_alive = self._keep_alive and not last
        lines = [b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        self._chunked = False
        if length is not None:
            if status not in _BODYLESS_STATUSES:
                lines.append(b"Content-Length: %d" % length)
        elif self._http10:
            self._keep_alive = False
        else:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if self._keep_alive and self._endpoint.draining and not self._has_next:
            self._keep_alive = False
            self.close_announced = True
        if not self._keep_alive:
            lines.append(b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write_body(self, data: bytes) -> None:
        """Write a part of the body, and wait while the caller's buffers are full."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    def end_response(self) -> None:
        """End the current response as complete."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")

    def abort_response(self) -> None:
        """Close in the middle of a response, so that it does not look complete."""
        self._keep_alive = False
        self._transport.close()

    def close_when_served(self) -> None:
        """Read no more, and close after the response to the last request read."""
        if self._task is None:
            self._transport.close()
            return
        self._reading_since = None
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle, or its head incomplete, too long."""
        if self._task is not None:
            return
        if self._reading_since is not None:
            if (
                self._in_headers
                and now - self._reading_since > limits.header_timeout_seconds
            ):
                self._reject(408, "HeadersTooSlow")
            return
        idle = now - self._idle_since
        if (
            self._endpoint.draining
            or idle > limits.idle_timeout_seconds + IDLE_GRACE_SECONDS
        ):
            self._transport.close()

    def has_disconnected(self) -> bool:
        """Whether the caller has closed, even if the loop has not processed it yet.

        A loop that is behind runs its timers before it reads. The timer for an
        unresponsive server would start a hedged request for a caller that disconnected
        a second ago.
        """
        if self._transport.is_closing():
            return True
        poll = select.poll()
        poll.register(
            self._transport.get_extra_info("socket").fileno(), _CLOSED_POLL_EVENTS
        )
        return bool(poll.poll(0))

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self._reading_since is not None

    @property
    def _has_next(self) -> bool:
        """Whether another request has been read, or a part of one."""
        return bool(self._pipelined) or self._reading_since is not None

    def _serve_next(self) -> None:
        req = self._pipelined.popleft()
        if not self._endpoint.closed:
            self._transport.resume_reading()
        self.head_written = False
        self._keep_alive = req.keep_alive
        self._http10 = req.http10
        self._task = asyncio.create_task(self._endpoint.serve(req, self))
        self._task.add_done_callback(self._on_served)

    def _on_served(self, task: asyncio.Task) -> None:
        self._task = None
        self._idle_since = self._endpoint.clock()
        failed = task.cancelled() or task.exception() is not None
        may_continue = self._keep_alive or self.close_announced
        if failed or not may_continue or self._transport.is_closing():
            self._transport.close()
        elif self._pipelined:
            self._serve_next()
        elif not self._keep_alive or (self._endpoint.draining and not self._has_next):
            self._transport.close()
        if not task.cancelled() and task.exception() is not None:
            loop = task.get_loop()
            loop.call_exception_handler(
                {"message": "a request's task failed", "exception": task.exception()}
            )

    def _reject(self, status: int, kind: str) -> None:
        """Answer a request that cannot be served with an error, and close."""
        if self._rejected:
            return
        self._rejected = True
        if self._task is None and not self._transport.is_closing():
            body = b'{"error":"%s"}' % kind.encode()
            self._keep_alive = False
            headers = [(b"Content-Type", b"application/json")]
            self.write_head(status, headers, len(body))
            self._transport.write(body)
        self._transport.close()


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
