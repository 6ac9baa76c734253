"""Servers in trouble that send bytes that are no answer, until the caller closes."""

import asyncio

import pytest
from wasabideck_policy.configuration import Kind

from .conftest import (
    ENGINE,
    Entry,
    answers,
    configuration,
    event,
    loaded,
    request_id,
    route,
    streams,
)

# More than a sound server's head, event or late answer to an earlier request holds.
PLENTY_BYTES = 4_000_000
TIMEOUT = 2.0

HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\nX-Request-Id: %s\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Wait\r\nX-Pad: " + b"x" * 500 + b"\r\n\r\n"
FOREIGN = HEAD + b"X-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "headers": (HEAD, b"X-Pad: " + b"x" * 500 + b"\r\n"),
    "one-header": (HEAD + b"X-Pad: ", b"x" * 500),
    "status-line": (b"HTTP/1.1 200 ", b"O" * 500),
    "interim-answers": (b"", INTERIM),
    "foreign-body": (FOREIGN, b"1f4\r\n" + b"x" * 500 + b"\r\n"),
    "no-http": (b"", b"\x00" * 500),
}


class Endless:
    """Sends a beginning, and then the same bytes until its connection closes."""

    def __init__(self, begin, more, pause=0.0):
        self.begin, self.more, self.pause = begin, more, pause
        self.sent = 0
        self.closed = asyncio.Event()

    async def __call__(self, head, writer):
        begin = self.begin
        writer.write(begin % request_id(head) if b"%s" in begin else begin)
        try:
            while not writer.transport.is_closing():
                writer.write(self.more)
                self.sent += len(self.more)
                await writer.drain()
                await asyncio.sleep(self.pause)
        finally:
            self.closed.set()


@pytest.fixture(params=ENDLESS)
def endless(request):
    return Endless(*ENDLESS[request.param])


def test_a_lookup_is_answered_by_another_server(play, endless):
    # Guards against a caller that waits out its time for bytes that are no answer.
    async def scenario():
        entry = Entry(configuration(route(timeout=TIMEOUT)))
        await entry.add_server(endless)
        await entry.add_server(answers(b"sound"))
        entry.beliefs.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.ask()
        async with asyncio.timeout(TIMEOUT / 2):
            status, _, body = await caller.answer()
        assert (status, body) == (200, b"sound")
        await asyncio.wait_for(endless.closed.wait(), 1)
        assert endless.sent < PLENTY_BYTES

    play(scenario)


def test_what_may_run_once_is_told_at_once_that_nobody_knows(play, endless):
    # Guards against a promise that it has not run, and against a wait for nothing.
    async def scenario():
        entry = Entry(configuration(route(kind=Kind.UNSAFE, timeout=TIMEOUT)))
        await entry.add_server(endless)
        second = await entry.add_server(answers(b"sound"))
        entry.beliefs.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.ask(method=b"POST")
        async with asyncio.timeout(TIMEOUT / 2):
            status, _, _ = await caller.answer()
        assert status in (502, 504)
        assert second.requests == []
        assert endless.sent < PLENTY_BYTES

    play(scenario)


def test_an_event_without_end_is_left_for_another_server(play):
    # Guards against an event that fills the entry's memory, while its bytes look like
    # signs of life and the caller sees none of them.
    bad = Endless(STREAM_HEAD, b"x" * 500)

    async def scenario():
        stream = route(kind=Kind.STREAM, resumable=True, goal=1.0, timeout=6.0)
        entry = Entry(configuration(stream, engine=ENGINE))
        await entry.add_server(bad, loaded=loaded(1))
        await entry.add_server(streams(event(1), event(2)), loaded=loaded(1))
        entry.beliefs.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.ask(method=b"POST")
        async with asyncio.timeout(2):
            status, _, body = await caller.answer()
        assert (status, body) == (200, event(1) + event(2))
        assert bad.sent < PLENTY_BYTES

    play(scenario)


def test_a_head_that_comes_byte_by_byte_is_no_sign_of_life(play):
    # Guards against a server that drips a head, below every limit of bytes, and keeps
    # callers for all of their time.
    bad = Endless(HEAD + b"X-Pad: ", b"x", pause=0.02)

    async def scenario():
        entry = Entry(configuration(route(timeout=6.0)))
        await entry.add_server(bad)
        await entry.add_server(answers(b"sound"))
        entry.beliefs.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.ask()
        async with asyncio.timeout(3):
            status, _, body = await caller.answer()
        assert (status, body) == (200, b"sound")

    play(scenario)


def test_a_body_without_end_ends_with_the_routes_time(play):
    # Guards against a caller that is kept for longer, and against a half that looks
    # whole.
    bad = Endless(
        HEAD + b"X-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1f4\r\n" + b"x" * 500 + b"\r\n",
    )

    async def scenario():
        entry = Entry(configuration(route(timeout=1.0)))
        await entry.add_server(bad)
        caller = await entry.caller()
        await caller.ask()
        with pytest.raises(asyncio.IncompleteReadError):
            async with asyncio.timeout(1.5):
                await caller.answer()
        await asyncio.wait_for(bad.closed.wait(), 1)

    play(scenario)
