"""One caller's connection: requests are read whole, answers written as they come."""

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
from .messages import CallerRequest, Wire, header_of

__all__ = ["CallerConnection", "Front"]

# Requests that a caller sent ahead of their turn before reading pauses.
MOST_AHEAD = 4
# A connection is closed a little after the time that callers are told, so that a
# request sent at the last moment does not cross the close (seconds).
IDLE_SLACK_SECONDS = 1.0
_BODYLESS = frozenset((204, 304))
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@define(eq=False)
class Front:
    """What all callers' connections of a process share.

    Attributes
    ----------
    limits : callable
        The limits in force now.
    serve : callable
        Coroutine function that answers one request on its connection.
    closing : bool
        Whether connections are closed after their present request.
    early : EarlyCallers or None
        Those who waited for this process to start, until they are all taken.
    """

    wire: Wire
    clock: Callable[[], float]
    limits: Callable[[], CallerLimits]
    serve: Callable[[CallerRequest, CallerConnection], object]
    connections: set[CallerConnection]
    closing: bool = False
    early: EarlyCallers | None = None

    def sweep(self) -> None:
        """Close connections that are idle, or slow to send a head, for too long."""
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.check_times(now, limits)


class CallerConnection(asyncio.Protocol):
    """Reads a caller's requests one after the other and writes their answers.

    Attributes
    ----------
    begun : bool
        Whether the present answer's head has been written.
    """

    def __init__(self, front: Front):
        self._front = front
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._ahead: deque[CallerRequest] = deque()
        self._task: asyncio.Task | None = None
        self._idle_since = front.clock()
        self._place: int | None = None
        self._reading_since: float | None = None
        self._in_headers = False
        self._head_bytes = 0
        self._body_bytes = 0
        self._writable = asyncio.Event()
        self._writable.set()
        self._chunked = False
        self._keep = True
        self._http10 = False
        self._refused = False
        self.begun = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        self._front.connections.add(self)
        early = self._front.early
        if early is not None:
            self._place = early.take(self._front.clock())

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._front.connections.discard(self)
        self._writable.set()
        if self._task:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Take the caller's end for its leaving: its work ends at once.

        Callers do not half-close; waiting for the reset that the next write brings
        would keep a server at work for nobody.
        """
        if self._task:
            self._task.cancel()
        return False

    def pause_writing(self) -> None:  # noqa: D102
        self._writable.clear()

    def resume_writing(self) -> None:  # noqa: D102
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Parse what came; what is no request is answered 400 and ends it."""
        if self._refused:
            return
        if self._reading_since is None:
            self._reading_since = self._front.clock()
            self._in_headers = True
        if self._in_headers:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "UpgradeNotOffered")
        except httptools.HttpParserError:
            self._refuse(400, "MalformedRequest")
        if self._in_headers and self._head_bytes > self._front.limits().header_bytes:
            self._refuse(431, "HeadersTooLarge")

    # Callbacks of the parser

    def on_message_begin(self) -> None:  # noqa: D102
        self._headers: list[tuple[bytes, bytes]] = []
        self._target = b""
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._in_headers = True
        if self._reading_since is None:
            self._reading_since = self._front.clock()

    def on_url(self, url: bytes) -> None:  # noqa: D102
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        # Trailers come after the head; nothing here has a use for them.
        if self._in_headers:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:  # noqa: D102
        self._in_headers = False
        self._head_bytes = 0
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        limits = self._front.limits()
        if size + len(self._target) > limits.header_bytes:
            self._refuse(431, "HeadersTooLarge")
            return
        length = header_of(self._headers, b"content-length")
        if length.isdigit() and int(length) > limits.body_bytes:
            self._refuse(413, "BodyTooLarge")
            return
        waits = header_of(self._headers, b"expect").lower() == b"100-continue"
        if waits and self._task is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:  # noqa: D102
        self._body_bytes += len(data)
        if self._body_bytes > self._front.limits().body_bytes:
            self._refuse(413, "BodyTooLarge")
            return
        self._parts.append(data)

    def on_message_complete(self) -> None:  # noqa: D102
        if self._refused:
            return
        req = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            head=self._front.wire.read_request(self._headers),
            arrived=self._arrived(),
            keep_alive=self._parser.should_keep_alive(),
            http10=self._parser.get_http_version() == "1.0",
            body=b"".join(self._parts),
        )
        self._reading_since = None
        self._parts = []
        self._ahead.append(req)
        if self._task is None:
            self._serve_next()
        elif len(self._ahead) >= MOST_AHEAD:
            self._transport.pause_reading()

    def _arrived(self) -> float:
        """When the present request came, also when nothing could read it then."""
        if self._place is None:
            return self._reading_since
        place, self._place = self._place, None
        return self._front.early.arrived(place)

    # What answers the present request

    def write_head(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        length: int | None,
        last: bool = False,
    ) -> None:
        """Write the head of the present answer; without a length it is in chunks."""
        self.begun = True
        self._keep = self._keep and not last and not self._front.closing
        lines = [b"HTTP/1.1 %d %s" % (status, _reason(status))]
        lines += [name + b": " + value for name, value in headers]
        self._chunked = False
        if length is not None:
            if status not in _BODYLESS:
                lines.append(b"Content-Length: %d" % length)
        elif self._http10:
            self._keep = False
        else:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked")
        if not self._keep:
            lines.append(b"Connection: close")
        self._transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    async def write_body(self, data: bytes) -> None:
        """Write a part of the body, and wait while the caller does not read."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    def end(self) -> None:
        """End the present answer as complete."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")

    def break_off(self) -> None:
        """Close in the middle of an answer, so that it does not look complete."""
        self._keep = False
        self._transport.close()

    def check_times(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle, or its head incomplete, too long."""
        if self._task is not None:
            return
        if self._reading_since is not None:
            if self._in_headers and now - self._reading_since > limits.header_seconds:
                self._refuse(408, "HeadersTooSlow")
            return
        idle = now - self._idle_since
        if self._front.closing or idle > limits.idle_seconds + IDLE_SLACK_SECONDS:
            self._transport.close()

    def has_left(self) -> bool:
        """Whether the caller has closed, also when this loop has not come to it yet.

        A loop that is behind runs its timers before it reads: a server that fell
        silent would be replaced for a caller that left a second ago.
        """
        if self._transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), _CLOSED)
        return bool(poll.poll(0))

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._task is not None or self._reading_since is not None

    def _serve_next(self) -> None:
        req = self._ahead.popleft()
        self._transport.resume_reading()
        self.begun = False
        self._keep = req.keep_alive
        self._http10 = req.http10
        self._task = asyncio.create_task(self._front.serve(req, self))
        self._task.add_done_callback(self._served)

    def _served(self, task: asyncio.Task) -> None:
        self._task = None
        self._idle_since = self._front.clock()
        failed = task.cancelled() or task.exception() is not None
        if failed or not self._keep:
            self._transport.close()
        elif self._ahead:
            self._serve_next()
        if not task.cancelled() and task.exception() is not None:
            loop = task.get_loop()
            loop.call_exception_handler(
                {"message": "a request's task failed", "exception": task.exception()}
            )

    def _refuse(self, status: int, kind: str) -> None:
        """Answer what cannot be served as it is, and close."""
        if self._refused:
            return
        self._refused = True
        if self._task is None and not self._transport.is_closing():
            body = b'{"error":"%s"}' % kind.encode()
            self._keep = False
            headers = [(b"Content-Type", b"application/json")]
            self.write_head(status, headers, len(body))
            self._transport.write(body)
        self._transport.close()


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
