"""Passes a server's answer on: plain ones whole, streams event by event."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from attrs import frozen
from wasabideck_policy.backends import Backend
from wasabideck_policy.configuration import Kind
from wasabideck_policy.outcomes import WasabideckError

from .caller_connection import CallerConnection
from .event_stream import Event, EventSplitter, EventTooLong
from .exchange import Delivered, Exchange
from .messages import AnswerHead, header_of, passed_on
from .server_connection import Answer, AnswerBroken, LeaveAsked
from .takeover import undisturbed

__all__ = [
    "Listening",
    "ServerFailed",
    "beginning",
    "deliver",
    "head_of",
    "write_whole",
]

T = TypeVar("T")

# A plain answer up to this size is held until it is whole, so that one that breaks
# off can still become another server's answer or an honest failure.
HELD_BYTES = 256 * 1024
# Another server is looked for when not a byte came for so long from the one that has
# the request, on any connection of this process (seconds): a plain request's work is
# 22 ms and its deadline 0.6 s; an engine tells at least at each pass of its batch, 50
# to 150 ms, but may read waiting prompts for a second first.
SILENT_PLAIN = 0.25
SILENT_FIRST = 1.5
SILENT_NEXT = 0.7


class ServerFailed(WasabideckError):
    """A server answered that it could not, or would not, serve the request.

    Attributes
    ----------
    refused : bool
        It has not run the request.
    """

    status = 502

    def __init__(self, status: int, refused: bool):
        super().__init__(f"status {status}")
        self.answer_status = status
        self.refused = refused


@frozen
class Listening:
    """How a server is listened to.

    Attributes
    ----------
    took_head : callable
        Told of the answer's head; raises ``ServerFailed`` for one of no use.
    or_replaced : callable
        Given what waits for the server, and whether it is silent: waits on while
        another one is looked for, and raises ``Replaced`` once that has begun.
    way_silent : callable
        Whether most servers of its data centre are silent now.
    way_patience : float
        How long a begun stream waits for its next byte then, seconds.
    """

    backend: Backend
    clock: Callable[[], float]
    took_head: Callable[[AnswerHead], None]
    or_replaced: Callable[[Callable[[], Awaitable], bool], Awaitable]
    way_silent: Callable[[], bool]
    way_patience: float


async def head_of(
    exchange: Exchange, answer: Answer, listening: Listening
) -> AnswerHead:
    """An answer's head; raises ``Replaced``, and as ``Answer`` and ``took_head``."""

    async def useful() -> AnswerHead:
        head = await answer.headers()
        listening.took_head(head)
        return head

    return await _heard(exchange, useful, listening)


async def beginning(exchange: Exchange, answer: Answer, listening: Listening) -> None:
    """Wait until an answer begins that can be passed on; raises as ``head_of``.

    A stream has begun with an event that follows what the caller has. A failure is
    kept for when no server does better, and raised as ``ServerFailed``.
    """
    head = await head_of(exchange, answer, listening)
    if exchange.delivered.events and not _streamed(head):
        raise ServerFailed(head.status, refused=False)
    after = exchange.delivered.last_event or exchange.req.head.last_event
    enough = partial(_goes_on, after) if _streamed(head) else bool
    begun = await _heard(exchange, partial(answer.arrived, enough), listening)
    if begun and answer.ended and not enough(begun):
        raise AnswerBroken("the stream ended within its first event")
    if head.status >= 500:
        body, whole = await _held(answer)
        if whole:
            exchange.delivered.fallback = (head, body)
        raise ServerFailed(head.status, refused=False)


async def _heard(
    exchange: Exchange, wait: Callable[[], Awaitable[T]], listening: Listening
) -> T:
    if not exchange.replaceable:
        return await wait()
    patience = SILENT_PLAIN if exchange.route.kind is Kind.SAFE else SILENT_FIRST
    return await _patiently(wait, listening, patience)


async def deliver(
    exchange: Exchange,
    head: AnswerHead,
    answer: Answer,
    listening: Listening,
    caller: CallerConnection,
    first_event: Callable[[float], None],
) -> None:
    """Pass an answer on to the caller; tells when this server's first event came.

    Raises
    ------
    AnswerBroken
        It ended early; what had been written stays whole events.
    ServerFailed
        It is a failure that another server may do better.
    """
    if _streamed(head):
        await _deliver_events(exchange, head, answer, listening, caller, first_event)
        return
    if exchange.delivered.events:
        # Half of a stream is with the caller: nothing else can go on behind it.
        raise ServerFailed(head.status, refused=False)
    await _deliver_plain(exchange, head, answer, caller)


async def _deliver_plain(
    exchange: Exchange, head: AnswerHead, answer: Answer, caller: CallerConnection
) -> None:
    body, whole = await _held(answer)
    if not whole:
        await _pass_through(head, body, answer, caller)
        return
    if head.status >= 500 and exchange.route.idempotent:
        exchange.delivered.fallback = (head, body)
        raise ServerFailed(head.status, refused=False)
    await write_whole(caller, head, body)


async def _held(answer: Answer) -> tuple[bytes, bool]:
    """A body as far as it may be held, and whether that is all of it."""
    body = bytearray()
    while part := await answer.read():
        body += part
        if len(body) > HELD_BYTES:
            return bytes(body), False
    return bytes(body), True


def _streamed(head: AnswerHead) -> bool:
    """Whether an answer is a stream of events."""
    kind = header_of(head.headers, b"content-type")
    return head.status < 300 and kind.startswith(b"text/event-stream")


async def _pass_through(
    head: AnswerHead, begun: bytes, answer: Answer, caller: CallerConnection
) -> None:
    length = header_of(head.headers, b"content-length")
    size = int(length) if length.isdigit() else None
    caller.write_head(head.status, passed_on(head.headers), size)
    await caller.write_body(begun)
    while part := await answer.read():
        await caller.write_body(part)
    caller.end()


async def write_whole(caller: CallerConnection, head: AnswerHead, body: bytes) -> None:
    """Write a server's whole answer, unchanged."""
    length = len(body)
    if not body and header_of(head.headers, b"content-length").isdigit():
        # The answer to HEAD names the length of what it leaves out.
        length = int(header_of(head.headers, b"content-length"))
    caller.write_head(head.status, passed_on(head.headers), length)
    await caller.write_body(body)
    caller.end()


async def _deliver_events(
    exchange: Exchange,
    head: AnswerHead,
    answer: Answer,
    listening: Listening,
    caller: CallerConnection,
    first_event: Callable[[float], None],
) -> None:
    delivered = exchange.delivered
    delivered.splitter.restart()
    after = delivered.last_event or exchange.req.head.last_event
    first = True
    while True:
        data = await _next_bytes(exchange, answer, listening, first)
        if not data:
            break
        events = _events_of(delivered.splitter, data)
        if events and first:
            _check_follows(events[0], after)
            first = False
            first_event(listening.clock())
        if events:
            await _write_events(delivered, head, events, caller)
    if delivered.splitter.partial:
        raise AnswerBroken("the stream ended within an event")
    if not caller.begun:
        caller.write_head(head.status, passed_on(head.headers), None)
    caller.end()


def _events_of(splitter: EventSplitter, data: bytes) -> list[Event]:
    """The events that are whole now; raises ``AnswerBroken`` when none will be."""
    try:
        return splitter.feed(data)
    except EventTooLong as exc:
        raise AnswerBroken(str(exc)) from exc


async def _next_bytes(
    exchange: Exchange, answer: Answer, listening: Listening, first: bool
) -> bytes:
    if not exchange.replaceable:
        return await undisturbed(answer.read)
    patience = SILENT_FIRST if first else SILENT_NEXT
    return await _patiently(answer.read, listening, patience, from_byte=not first)


async def _write_events(
    delivered: Delivered,
    head: AnswerHead,
    events: list[Event],
    caller: CallerConnection,
) -> None:
    # The head waits for the first event: until then another server may still give
    # the whole answer, with a head of its own.
    if not caller.begun:
        caller.write_head(head.status, passed_on(head.headers), None)
    # Counted first: once it is in the transport's buffer the caller may have it.
    delivered.events += len(events)
    delivered.last_event = delivered.splitter.last_id
    await caller.write_body(b"".join(event.data for event in events))


def _check_follows(event: Event, after: bytes) -> None:
    """Raise unless a stream that goes on begins with the event after the last one.

    A server that begins anew would send again what the caller has already.
    """
    if not after.isdigit() or not event.event_id.isdigit():
        return
    if int(event.event_id) != int(after) + 1:
        raise AnswerBroken(f"went on at event {event.event_id!r} after {after!r}")


def _goes_on(after: bytes, data: bytes) -> bool:
    """Whether a stream's first bytes hold an event that can go to the caller.

    Raises ``AnswerBroken`` when that is not the one that follows.
    """
    events = _events_of(EventSplitter(), data)
    for event in events:
        if event.event_id:
            _check_follows(event, after)
            return True
    return bool(events) and not after


async def _patiently(
    wait: Callable[[], Awaitable[T]],
    listening: Listening,
    patience: float,
    from_byte: bool = False,
) -> T:
    """What ``wait`` gives; raises ``Replaced`` when another server has taken over.

    Parameters
    ----------
    patience : float
        Seconds of silence after which another server is looked for.
    from_byte : bool
        Count the silence from the last byte, not from when it was last looked for
        one. For streams that have begun: they are heard with each pass, and a caller
        that sees nothing leaves after 2 s, of which looking again cost up to 0.7. What
        waits in a queue may hear nothing at a sound server until its turn comes.
    """
    backend, clock = listening.backend, listening.clock
    begun = clock()
    while True:
        try:
            async with asyncio.timeout(max(0.0, begun + patience - clock())):
                return await wait()
        except LeaveAsked:
            return await listening.or_replaced(wait, False)
        except TimeoutError:
            # A loop that stood still runs its timers before it reads what has come.
            await asyncio.sleep(0)
            if backend.heard_at <= begun:
                longer = from_byte and patience < listening.way_patience
                if longer and listening.way_silent():
                    patience = listening.way_patience
                    continue
                return await listening.or_replaced(wait, True)
        begun = backend.heard_at if from_byte else clock()
