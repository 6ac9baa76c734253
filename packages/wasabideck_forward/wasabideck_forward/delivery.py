"""Passes responses on to callers: plain ones in full, streams event by event."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import TypeVar

from attrs import frozen
from wasabideck_policy.backends import Backend
from wasabideck_policy.configuration import Kind
from wasabideck_policy.outcomes import WasabideckError

from .caller_connection import CallerConnection
from .event_stream import Event, EventSplitter, EventTooLong
from .exchange import DeliveryProgress, Exchange
from .hedging import wait_ignoring_failover
from .http_heads import ResponseHead, ResponseUsage, end_to_end_headers, first_header
from .server_connection import AnswerBroken, FailoverRequested, ServerResponse

__all__ = [
    "ResponseMonitor",
    "ServerFailed",
    "deliver",
    "usable_head",
    "wait_for_start",
    "write_response",
]

T = TypeVar("T")

# A plain response up to this size is buffered until it is complete. If it is aborted,
# the caller can still get another server's response or an accurate error.
MAX_BUFFERED_BYTES = 256 * 1024
# A hedged request is sent when the server sent no data for this time, on any connection
# of this process. A plain request takes 22 ms of work and has a deadline of 0.6 s. An
# engine sends data at least once in each pass of its batch, every 50 to 150 ms, but may
# spend a second on reading waiting prompts first.
PLAIN_HEDGE_SECONDS = 0.25
FIRST_EVENT_HEDGE_SECONDS = 1.5
NEXT_EVENT_HEDGE_SECONDS = 0.7


class ServerFailed(WasabideckError):
    """A server responded that it could not or would not serve the request.

    Attributes
    ----------
    refused : bool
        Whether the server has not run the request.
    """

    status = 502

    def __init__(self, status: int, refused: bool):
        super().__init__(f"status {status}")
        self.response_status = status
        self.refused = refused


@frozen
class ResponseMonitor:
    """Callbacks and limits for waiting on a server's response.

    Attributes
    ----------
    accept_head : callable
        Receives the response's head; raises ``ServerFailed`` if it is of no use.
    wait_or_hedge : callable
        Takes a function that waits for the server, and whether the server is
        unresponsive. Continues to wait while another server is sought, and raises
        ``Replaced`` once that one has started to respond.
    link_unresponsive : callable
        Returns whether most servers of the server's data centre are unresponsive now.
    link_timeout : float
        Seconds that a started stream waits for its next byte in that case.
    """

    backend: Backend
    clock: Callable[[], float]
    accept_head: Callable[[ResponseHead], None]
    wait_or_hedge: Callable[[Callable[[], Awaitable], bool], Awaitable]
    link_unresponsive: Callable[[], bool]
    link_timeout: float


async def usable_head(
    exchange: Exchange, response: ServerResponse, monitor: ResponseMonitor
) -> ResponseHead:
    """Return a usable response's head; raises ``Replaced`` or ``ServerFailed``.

    The failures of ``ServerResponse`` are raised too.
    """

    async def read_head() -> ResponseHead:
        head = await response.read_head()
        monitor.accept_head(head)
        return head

    return await _wait_for_response(exchange, read_head, monitor)


async def wait_for_start(
    exchange: Exchange, response: ServerResponse, monitor: ResponseMonitor
) -> None:
    """Wait until a response starts that can be passed on; raises as ``usable_head``.

    A stream has started once it holds the event that follows the caller's last one. A
    failure is kept in case no server does better, and is raised as ``ServerFailed``.
    """
    head = await usable_head(exchange, response, monitor)
    if exchange.delivered.event_count and not _is_event_stream(head):
        raise ServerFailed(head.status, refused=False)
    last_event_id = exchange.delivered.last_event_id or exchange.req.head.last_event_id
    is_enough = (
        partial(_has_next_event, last_event_id) if _is_event_stream(head) else bool
    )
    received = await _wait_for_response(
        exchange, partial(response.peek, is_enough), monitor
    )
    if received and response.ended and not is_enough(received):
        raise AnswerBroken("the stream ended within its first event")
    if head.status >= 500:
        body, complete = await _read_buffered(response)
        if complete:
            _keep_fallback(exchange, head, body)
        raise ServerFailed(head.status, refused=False)


async def _wait_for_response(
    exchange: Exchange, wait: Callable[[], Awaitable[T]], monitor: ResponseMonitor
) -> T:
    if not exchange.may_use_another_server:
        return await wait()
    timeout = (
        PLAIN_HEDGE_SECONDS
        if exchange.route.kind is Kind.SAFE
        else FIRST_EVENT_HEDGE_SECONDS
    )
    return await _wait_with_hedge(wait, monitor, timeout)


async def deliver(
    exchange: Exchange,
    head: ResponseHead,
    response: ServerResponse,
    monitor: ResponseMonitor,
    caller: CallerConnection,
    on_first_event: Callable[[float], None],
) -> None:
    """Pass a response on to the caller; reports when the server's first event came.

    Raises
    ------
    AnswerBroken
        The response ended early; only complete events have been written.
    ServerFailed
        The response is a failure, and another server may do better.
    """
    if _is_event_stream(head):
        await _deliver_events(exchange, head, response, monitor, caller, on_first_event)
        return
    if exchange.delivered.event_count:
        # The caller has part of a stream, which only a stream can continue.
        raise ServerFailed(head.status, refused=False)
    await _deliver_plain(exchange, head, response, caller)


async def _deliver_plain(
    exchange: Exchange,
    head: ResponseHead,
    response: ServerResponse,
    caller: CallerConnection,
) -> None:
    usage = exchange.req.usage
    with _counting(usage) as held:
        body, complete = await _read_buffered(response, held)
        if not complete:
            await _stream_plain(head, body, response, caller)
            return
        if head.status >= 500 and exchange.route.idempotent:
            _keep_fallback(exchange, head, body)
            raise ServerFailed(head.status, refused=False)
        await write_response(caller, head, body)


def _keep_fallback(exchange: Exchange, head: ResponseHead, body: bytearray) -> None:
    exchange.delivered.fallback = (head, body)
    exchange.req.usage.add(len(body))


@contextmanager
def _counting(usage: ResponseUsage) -> Iterator[Callable[[int], None]]:
    """Count bytes as held until the block ends."""
    held = 0

    def count(size: int) -> None:
        nonlocal held
        held += size
        usage.add(size)

    try:
        yield count
    finally:
        usage.add(-held)


async def _read_buffered(
    response: ServerResponse, count: Callable[[int], None] = lambda size: None
) -> tuple[bytearray, bool]:
    """Return the body up to the buffer limit, and whether it is complete."""
    body = bytearray()
    while part := await response.read():
        body += part
        count(len(part))
        if len(body) > MAX_BUFFERED_BYTES:
            return body, False
    return body, True


def _is_event_stream(head: ResponseHead) -> bool:
    """Whether a response is a stream of events."""
    kind = first_header(head.headers, b"content-type")
    return head.status < 300 and kind.startswith(b"text/event-stream")


async def _stream_plain(
    head: ResponseHead,
    buffered: bytes,
    response: ServerResponse,
    caller: CallerConnection,
) -> None:
    length = first_header(head.headers, b"content-length")
    size = int(length) if length.isdigit() else None
    caller.write_head(head.status, end_to_end_headers(head.headers), size)
    await caller.write_body(buffered)
    while part := await response.read():
        await caller.write_body(part)
    caller.end_response()


async def write_response(
    caller: CallerConnection, head: ResponseHead, body: bytes
) -> None:
    """Write a server's complete response, unchanged."""
    length = len(body)
    if not body and first_header(head.headers, b"content-length").isdigit():
        # The response to HEAD states the length of the body that it omits.
        length = int(first_header(head.headers, b"content-length"))
    caller.write_head(head.status, end_to_end_headers(head.headers), length)
    await caller.write_body(body)
    caller.end_response()


async def _deliver_events(
    exchange: Exchange,
    head: ResponseHead,
    response: ServerResponse,
    monitor: ResponseMonitor,
    caller: CallerConnection,
    on_first_event: Callable[[float], None],
) -> None:
    delivered = exchange.delivered
    delivered.splitter.discard_partial()
    last_event_id = delivered.last_event_id or exchange.req.head.last_event_id
    awaiting_first = True
    while True:
        data = await _next_bytes(exchange, response, monitor, awaiting_first)
        if not data:
            break
        events = _feed_events(delivered.splitter, data)
        if events and awaiting_first:
            _check_follows(events[0], last_event_id)
            awaiting_first = False
            on_first_event(monitor.clock())
        if events:
            await _write_events(delivered, head, events, caller)
    if delivered.splitter.partial:
        raise AnswerBroken("the stream ended within an event")
    if not caller.head_written:
        caller.write_head(head.status, end_to_end_headers(head.headers), None)
    caller.end_response()


def _feed_events(splitter: EventSplitter, data: bytes) -> list[Event]:
    """Return the complete events; raises ``AnswerBroken`` if one is too long."""
    try:
        return splitter.feed(data)
    except EventTooLong as exc:
        raise AnswerBroken(str(exc)) from exc


async def _next_bytes(
    exchange: Exchange,
    response: ServerResponse,
    monitor: ResponseMonitor,
    awaiting_first: bool,
) -> bytes:
    if not exchange.may_use_another_server:
        return await wait_ignoring_failover(response.read)
    timeout = FIRST_EVENT_HEDGE_SECONDS if awaiting_first else NEXT_EVENT_HEDGE_SECONDS
    return await _wait_with_hedge(
        response.read, monitor, timeout, since_last_byte=not awaiting_first
    )


async def _write_events(
    delivered: DeliveryProgress,
    head: ResponseHead,
    events: list[Event],
    caller: CallerConnection,
) -> None:
    # The head is not written before the first event: until then another server may
    # still send the whole response, with its own head.
    if not caller.head_written:
        caller.write_head(head.status, end_to_end_headers(head.headers), None)
    # Counted before the write: once the data is in the transport's buffer, the caller
    # may receive it.
    delivered.event_count += len(events)
    delivered.last_event_id = delivered.splitter.last_event_id
    await caller.write_body(b"".join(event.data for event in events))


def _check_follows(event: Event, last_event_id: bytes) -> None:
    """Raise unless a resumed stream starts with the event after the caller's last one.

    A server that starts over would send events that the caller already has.
    """
    if not last_event_id.isdigit() or not event.event_id.isdigit():
        return
    if int(event.event_id) != int(last_event_id) + 1:
        raise AnswerBroken(
            f"resumed at event {event.event_id!r} after {last_event_id!r}"
        )


def _has_next_event(last_event_id: bytes, data: bytes) -> bool:
    """Whether a stream's first bytes hold an event that can go to the caller.

    Raises ``AnswerBroken`` if that event is not the one that follows.
    """
    events = _feed_events(EventSplitter(), data)
    for event in events:
        if event.event_id:
            _check_follows(event, last_event_id)
            return True
    return bool(events) and not last_event_id


async def _wait_with_hedge(
    wait: Callable[[], Awaitable[T]],
    monitor: ResponseMonitor,
    timeout: float,
    since_last_byte: bool = False,
) -> T:
    """Return the result of ``wait``; raises ``Replaced`` if another server responded.

    Parameters
    ----------
    timeout : float
        Seconds without data after which another server is sought.
    since_last_byte : bool
        Count the timeout from the last byte instead of from the last check. This is for
        started streams: they get data with each pass, and a caller that sees nothing
        disconnects after 2 s, of which another check would take up to 0.7. A queued
        request may get no data from a healthy server until it is started.
    """
    backend, clock = monitor.backend, monitor.clock
    started = clock()
    while True:
        try:
            async with asyncio.timeout(max(0.0, started + timeout - clock())):
                return await wait()
        except FailoverRequested:
            return await monitor.wait_or_hedge(wait, False)
        except TimeoutError:
            # An event loop that was suspended runs its timers before it reads data that
            # has arrived.
            await asyncio.sleep(0)
            if backend.last_received_at <= started:
                may_extend = since_last_byte and timeout < monitor.link_timeout
                if may_extend and monitor.link_unresponsive():
                    timeout = monitor.link_timeout
                    continue
                return await monitor.wait_or_hedge(wait, True)
        started = backend.last_received_at if since_last_byte else clock()
