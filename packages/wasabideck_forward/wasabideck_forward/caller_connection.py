"""Connection to one caller: reads complete requests, writes responses as they come."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from collections.abc import Callable, Sequence
from http import HTTPStatus

import httptools
from attrs import define, field, frozen
from wasabideck_base.connection_budget import (
    ACCEPTED_CONNECTION_BYTES,
    RELEASE_SECONDS,
    ConnectionBudget,
    Limit,
    Usage,
)
from wasabideck_base.kernel_buffers import KERNEL_BUFFER_BYTES
from wasabideck_policy.configuration import CallerLimits

from .early_callers import EarlyCallers
from .http_heads import (
    REPORTED_BYTES,
    CallerRequest,
    HeadCodec,
    HeaderBlock,
    first_header,
)

__all__ = ["CallerConnection", "CallerEndpoint"]

# Pipelined requests that may wait on a connection before reading from it is paused.
MAX_PIPELINED_REQUESTS = 4
# Added to the idle timeout announced to callers, so that a request sent at the last
# moment does not cross the close of the connection.
IDLE_GRACE_SECONDS = 1.0
# Bytes that are parsed at once. The parser cannot be paused, and this many may contain
# dozens of requests.
PARSED_BYTES = 1024
# Headers and chunks that are parsed before other connections have their turn. Each of
# them may have a few bytes only.
MAX_PARTS_AT_ONCE = 256
# Memory of a parsed request beside its headers and body, and of one that is served.
REQUEST_BYTES = 10 * 1024
SERVED_REQUEST_BYTES = 24 * 1024
# Time without a byte after which a body, or a response that is not read, is given up.
STALL_SECONDS = 60.0
# Maximum time and bytes for which input is discarded after the last response. A close
# with unread bytes would reset the connection, and the caller might lose the response.
LINGER_SECONDS = 10.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
# Retry-After of a request that is refused because connections hold too much memory.
OVERLOADED_RETRY_SECONDS = 1.0
# Time without a byte after which a shutdown does not wait for a request any longer, and
# the Retry-After of its refusal: other entries can take it immediately.
DRAIN_STALL_SECONDS = 2.0
SHUTDOWN_RETRY_SECONDS = 0.1
# Limits that requests are rejected for, by the status of the error response.
LIMIT_OF_STATUS = {408: Limit.TIME, 413: Limit.SIZE, 431: Limit.SIZE}
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
    budget : ConnectionBudget
        Memory and sockets of all connections of the process.
    listener : str
        Name of the address in the budget.
    """

    head_codec: HeadCodec
    clock: Callable[[], float]
    limits: Callable[[], CallerLimits]
    serve: Callable[[CallerRequest, CallerConnection], object]
    connections: set[CallerConnection]
    draining: bool = False
    early_callers: EarlyCallers | None = None
    closed: bool = False
    budget: ConnectionBudget = field(factory=ConnectionBudget)
    listener: str = "callers"

    def close(self) -> None:
        """Read no more; close each connection once it has its last response."""
        self.draining = self.closed = True
        for conn in list(self.connections):
            conn.close_when_served()

    def is_busy(self) -> bool:
        """Whether a request is being read or answered on any connection."""
        now = self.clock()
        return any(conn.is_busy(now) for conn in self.connections)

    def is_answering(self) -> bool:
        """Whether a response has not been written completely on any connection."""
        return any(conn.is_answering for conn in self.connections)

    def sweep(self) -> None:
        """Close connections that are idle, or sending a request head, for too long."""
        now = self.clock()
        limits = self.limits()
        for conn in list(self.connections):
            conn.check_timeouts(now, limits)


@frozen
class _Rejection:
    """The error response to a request that could not be read."""

    status: int
    kind: str
    retry_seconds: float


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
        self._current: CallerRequest | None = None
        self._task: asyncio.Task | None = None
        self._usage: Usage | None = None
        self._idle_since = endpoint.clock()
        self._early_position: int | None = None
        self._reading_since: float | None = None
        self._unparsed = b""
        self._reading_paused = False
        self._parts = 0
        self._reads_on = False
        self._in_headers = False
        self._message_ended = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._target = b""
        self._headers = HeaderBlock()
        self._content_length = 0
        self._body = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unwritten_bytes = 0
        self._chunked = False
        self._keep_alive = True
        self._http10 = False
        self._input_ended = False
        self._discarded_bytes = 0
        self._rejection: _Rejection | None = None
        self._lingering_since: float | None = None
        self.head_written = False
        self.close_announced = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        endpoint, now = self._endpoint, self._endpoint.clock()
        endpoint.connections.add(self)
        self._usage = endpoint.budget.open(
            endpoint.listener, self._turn_away, now, self._report_now
        )
        if endpoint.closed:
            transport.close()
            return
        if endpoint.early_callers is not None:
            self._early_position = endpoint.early_callers.assign_position(now)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that the caller no longer waits for."""
        self._endpoint.connections.discard(self)
        self._drop_input()
        self._writable.set()
        if self._task:
            self._task.cancel()
        # The task ends in the next iterations of the loop.
        loop = asyncio.get_running_loop()
        loop.call_later(RELEASE_SECONDS, self._endpoint.budget.release, self._usage)

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
        self._report(self._endpoint.clock())

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; answer 400 and close if they are no HTTP request."""
        now = self._endpoint.clock()
        self._usage.progress_at = now
        if self._input_ended:
            self._discard(len(data))
            return
        self._unparsed = self._unparsed + data if self._unparsed else data
        self._parse(now)
        self._report(now)
        if self._endpoint.budget.is_exhausted and not self._transport.is_closing():
            self._pause_reading()
            self._read_on_later()

    def _read_on_later(self) -> None:
        """Go on when other connections had their turn, and released their memory."""
        if self._reads_on:
            return
        self._reads_on = True
        seconds = RELEASE_SECONDS if self._endpoint.budget.is_exhausted else 0.0
        asyncio.get_running_loop().call_later(seconds, self._read_on)

    def _read_on(self) -> None:
        self._reads_on = False
        if self._transport.is_closing() or self._endpoint.closed:
            return
        if self._input_ended:
            self._resume_reading()
        now = self._endpoint.clock()
        self._parse(now)
        self._report(now)

    def _parse(self, now: float) -> None:
        """Parse a part of what was received, until enough requests wait."""
        data, position = memoryview(self._unparsed), 0
        self._parts = 0
        while (
            position < len(data)
            and self._may_parse()
            and self._parts < MAX_PARTS_AT_ONCE
        ):
            size = min(len(data) - position, self._parsable_bytes())
            self._parse_part(data[position : position + size], now)
            position += size
        if self._input_ended:
            self._unparsed = b""
            self._discard(len(data) - position)
            return
        if position:
            self._unparsed = bytes(data[position:])
        if self._transport.is_closing():
            return
        if self._unparsed or not self._may_parse():
            self._pause_reading()
            if self._may_parse():
                self._read_on_later()
        elif not self._endpoint.closed:
            self._resume_reading()

    def _may_parse(self) -> bool:
        return not self._input_ended and len(self._pipelined) < MAX_PIPELINED_REQUESTS

    def _parsable_bytes(self) -> int:
        """Return how many bytes cannot contain more than a few requests."""
        if self._in_headers or self._reading_since is None:
            return PARSED_BYTES
        return max(PARSED_BYTES, self._content_length - len(self._body))

    def _parse_part(self, data: bytes | memoryview, now: float) -> None:
        if self._reading_since is None:
            # Empty lines between requests belong to none (RFC 9112, section 2.2).
            data = bytes(data).lstrip(b"\r\n")
            if not data:
                return
            self._reading_since = now
            self._in_headers = True
        self._message_ended = False
        began_in_head, received = self._in_headers, len(self._body)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "UpgradeNotOffered")
        except httptools.HttpParserError:
            self._reject(400, "MalformedRequest")
        if self._input_ended or self._reading_since is None or self._message_ended:
            return
        if self._in_headers or not began_in_head:
            self._count_overhead(len(data), len(self._body) - received)

    def _count_overhead(self, size: int, body_bytes: int) -> None:
        """Count bytes that belong to a head, or to the framing of a chunked body.

        The parser keeps a trailer until its line ends, so this bounds it as well.
        """
        if self._in_headers:
            self._head_bytes += size
        elif body_bytes:
            self._framing_bytes = 0
        else:
            self._framing_bytes += size
        overhead = max(self._head_bytes, self._framing_bytes)
        if overhead > self._endpoint.limits().max_header_bytes:
            self._reject(431, "HeadersTooLarge")

    def _discard(self, size: int) -> None:
        """Count input that is not used: the last request was read or rejected."""
        self._discarded_bytes += size
        if self._discarded_bytes <= MAX_LINGER_BYTES or self._transport.is_closing():
            return
        if self._lingering_since is not None:
            self._abort()
        else:
            self._pause_reading()

    # Callbacks of the parser

    def on_message_begin(self) -> None:  # noqa: D102
        if self._input_ended:
            return
        self._headers = HeaderBlock()
        self._target = b""
        self._body = bytearray()
        self._content_length = 0
        self._head_bytes = self._framing_bytes = 0
        self._in_headers = True
        if self._reading_since is None:
            self._reading_since = self._endpoint.clock()

    def on_url(self, url: bytes) -> None:  # noqa: D102
        if not self._input_ended:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._parts += 1
        # Ignores trailers, which come after the head: they are not used.
        if self._in_headers and not self._input_ended:
            self._headers.append(name, value)

    def on_headers_complete(self) -> None:  # noqa: D102
        if self._input_ended:
            return
        self._in_headers = False
        self._head_bytes = 0
        limits = self._endpoint.limits()
        if self._headers.size + len(self._target) > limits.max_header_bytes:
            self._reject(431, "HeadersTooLarge")
            return
        length = first_header(self._headers, b"content-length")
        self._content_length = int(length) if length.isdigit() else 0
        if self._content_length > limits.max_body_bytes:
            self._reject(413, "BodyTooLarge")
            return
        if self._parser.should_upgrade():
            self._reject(400, "UpgradeNotOffered")
            return
        expects_continue = (
            first_header(self._headers, b"expect").lower() == b"100-continue"
        )
        if expects_continue and self._task is None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:  # noqa: D102
        self._parts += 1
        if self._input_ended:
            return
        if len(self._body) + len(data) > self._endpoint.limits().max_body_bytes:
            self._reject(413, "BodyTooLarge")
            return
        self._body += data

    def on_message_complete(self) -> None:  # noqa: D102
        if self._input_ended:
            return
        req = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            head=self._endpoint.head_codec.parse_request_head(self._headers),
            arrived_at=self._arrival_time(),
            keep_alive=self._parser.should_keep_alive(),
            http10=self._parser.get_http_version() == "1.0",
            body=self._body,
        )
        self._reading_since = None
        self._message_ended = True
        self._input_ended = not req.keep_alive
        self._drop_message()
        self._pipelined.append(req)
        if self._task is None:
            self._serve_next()

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
        if self._transport.get_write_buffer_size() > REPORTED_BYTES:
            self._report(self._endpoint.clock())
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
        if self._task is None and self._reading_since is not None:
            self._reject(503, "ShuttingDown", SHUTDOWN_RETRY_SECONDS)
            return
        if self._task is None:
            if self._lingering_since is None:
                self._transport.close()
            return
        self._reading_since = None
        if self._may_parse():
            # The rest of a request that is not served any more.
            self._unparsed = b""
        if not self._transport.is_closing():
            self._pause_reading()

    def check_timeouts(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it is idle, stalled, or its head incomplete."""
        self._report(now)
        stalled = now - self._usage.progress_at > STALL_SECONDS
        if self._lingering_since is not None:
            if now - self._lingering_since > LINGER_SECONDS:
                self._abort()
        elif stalled and self._unwritten_bytes:
            self._record_limit(Limit.TIME)
            self._abort()
        elif self._reading_paused and self.has_disconnected():
            # Its close is not noticed otherwise while nothing is read.
            self._abort()
        elif self._task is None and self._reading_since is not None:
            self._check_reading(now, limits, stalled)
        elif self._task is None:
            idle = now - self._idle_since
            if (
                self._endpoint.draining
                or idle > limits.idle_timeout_seconds + IDLE_GRACE_SECONDS
            ):
                self._transport.close()

    def _check_reading(self, now: float, limits: CallerLimits, stalled: bool) -> None:
        if (
            self._in_headers
            and now - self._reading_since > limits.header_timeout_seconds
        ):
            self._reject(408, "HeadersTooSlow")
        elif stalled and not self._in_headers:
            self._reject(408, "BodyTooSlow")

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

    def is_busy(self, now: float) -> bool:
        """Whether a request is being answered, or read without a stall."""
        stalled = now - self._usage.progress_at > DRAIN_STALL_SECONDS
        is_read = self._reading_since is not None and not stalled
        return self._task is not None or is_read

    @property
    def is_answering(self) -> bool:
        """Whether a request is served, or its response has not been written."""
        return self._task is not None or self._transport.get_write_buffer_size() > 0

    @property
    def _has_next(self) -> bool:
        """Whether another request has been read, or a part of one."""
        received = bool(self._unparsed) or self._reading_since is not None
        return bool(self._pipelined) or received

    def _serve_next(self) -> None:
        req = self._current = self._pipelined.popleft()
        req.usage.on_change = self._report_now
        req.usage.on_sockets = self._report_sockets
        self.head_written = False
        self._keep_alive = req.keep_alive
        self._http10 = req.http10
        self._task = asyncio.create_task(self._serve(req))
        self._task.add_done_callback(self._on_served)

    async def _serve(self, req: CallerRequest) -> None:
        await self._endpoint.serve(req, self)
        # The next request is served once the caller reads.
        await self._writable.wait()

    def _on_served(self, task: asyncio.Task) -> None:
        self._current.usage.on_sockets = lambda sockets: None
        self._report_sockets(0)
        self._task = self._current = None
        self._idle_since = self._endpoint.clock()
        failed = task.cancelled() or task.exception() is not None
        may_continue = self._keep_alive or self.close_announced
        if failed or self._transport.is_closing():
            self._transport.close()
        elif not may_continue:
            self._close_after_response()
        else:
            self._endpoint.budget.record_answered(self._usage)
            self._continue()
        self._report(self._idle_since)
        if not task.cancelled() and task.exception() is not None:
            loop = task.get_loop()
            loop.call_exception_handler(
                {"message": "a request's task failed", "exception": task.exception()}
            )

    def _continue(self) -> None:
        """Go on with what the caller sent after the request that was served."""
        if self._pipelined:
            self._serve_next()
        if not self._input_ended:
            self._parse(self._idle_since)
        if self._task is not None:
            return
        if self._rejection is not None:
            self._answer_rejection()
        elif not self._keep_alive or (self._endpoint.draining and not self._has_next):
            self._close_after_response()

    def _reject(self, status: int, kind: str, retry_seconds: float = 0.0) -> None:
        """Answer a request that cannot be served with an error, and close.

        Requests before it are answered first.
        """
        if self._input_ended:
            return
        self._input_ended = True
        self._reading_since = None
        self._drop_message()
        self._rejection = _Rejection(status, kind, retry_seconds)
        if limit := LIMIT_OF_STATUS.get(status):
            self._record_limit(limit)
        if self._task is None:
            self._answer_rejection()

    def _answer_rejection(self) -> None:
        if self._transport.is_closing():
            return
        rejection = self._rejection
        body = b'{"error":"%s"}' % rejection.kind.encode()
        self._keep_alive = False
        headers = [(b"Content-Type", b"application/json")]
        if rejection.retry_seconds:
            headers.append((b"Retry-After", b"%.2f" % rejection.retry_seconds))
        self.write_head(rejection.status, headers, len(body))
        self._transport.write(body)
        self._close_after_response()

    def _close_after_response(self) -> None:
        """Close the connection so that the caller can read its last response."""
        if self._transport.is_closing() or self._lingering_since is not None:
            return
        has_more_input = self._discarded_bytes > 0 or self._has_next
        if not (has_more_input or self._rejection):
            self._transport.close()
            return
        now = self._endpoint.clock()
        self._lingering_since = now
        self._input_ended = True
        self._reading_since = None
        self._unparsed = b""
        self._drop_message()
        self._transport.write_eof()
        self._resume_reading()
        self._report(now)

    def _drop_message(self) -> None:
        """Release what was read of a message."""
        self._headers = HeaderBlock()
        self._target = b""
        self._body = bytearray()
        self._content_length = 0

    def _pause_reading(self) -> None:
        self._reading_paused = True
        self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._reading_paused = False
        self._transport.resume_reading()

    # The process's budget for connections

    def _turn_away(self, lingers: bool) -> None:
        """End the connection because all connections hold too much.

        A request that is served may be running at a server, so the close promises
        nothing. One that is being read has not run.
        """
        closing = self._transport.is_closing() or self._lingering_since is not None
        if closing or self._task is not None:
            self._abort()
        elif self._reading_since is None:
            self._transport.close()
        else:
            self._reject(503, "Overloaded", OVERLOADED_RETRY_SECONDS)
            if not lingers:
                self._close_or_abort()
        self._report(self._endpoint.clock())

    def _record_limit(self, limit: Limit) -> None:
        now = self._endpoint.clock()
        self._endpoint.budget.on_turned_away(self._usage, limit, now)

    def _close_or_abort(self) -> None:
        if self._transport.get_write_buffer_size():
            self._abort()
        else:
            self._transport.close()

    def _abort(self) -> None:
        self._transport.abort()
        self._drop_input()
        self._endpoint.budget.abort(self._usage)

    def _drop_input(self) -> None:
        self._input_ended = True
        self._unparsed = b""
        self._pipelined.clear()
        self._drop_message()

    def _report_now(self) -> None:
        self._report(self._endpoint.clock())

    def _report_sockets(self, sockets: int) -> None:
        now = self._endpoint.clock()
        self._endpoint.budget.use_sockets(self._usage, 1 + sockets, now)

    def _report(self, now: float) -> None:
        """Report to the budget what the connection holds, and whether it stalls."""
        usage, req = self._usage, self._current
        unwritten = self._transport.get_write_buffer_size()
        if unwritten < self._unwritten_bytes:
            usage.progress_at = now
        self._unwritten_bytes = unwritten
        waits_here = req is not None or self._reads_on
        usage.waits_for_peer = unwritten > 0 or not waits_here
        held = ACCEPTED_CONNECTION_BYTES + unwritten + len(self._unparsed)
        held += self._headers.size + len(self._target) + len(self._body)
        if self._pipelined:
            held += sum(map(_request_bytes, self._pipelined))
        if self._reading_paused:
            held += KERNEL_BUFFER_BYTES
        if req is not None:
            held += SERVED_REQUEST_BYTES + _request_bytes(req) + req.usage.held_bytes
        self._endpoint.budget.report(usage, held, now)


def _request_bytes(req: CallerRequest) -> int:
    return REQUEST_BYTES + len(req.target) + req.headers.size + len(req.body)


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
