"""Faulty servers that send bytes without end that are no valid response."""

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

# More bytes than the head, an event or a late second response of a healthy server has.
MAX_SENT_BYTES = 4_000_000
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


class EndlessScript:
    """Script that sends a start, then the same bytes until the connection closes."""

    def __init__(self, start, repeated, interval=0.0):
        self.start, self.repeated, self.interval = start, repeated, interval
        self.sent = 0
        self.closed = asyncio.Event()

    async def __call__(self, head, writer):
        start = self.start
        writer.write(start % request_id(head) if b"%s" in start else start)
        try:
            while not writer.transport.is_closing():
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(self.interval)
        finally:
            self.closed.set()


@pytest.fixture(params=ENDLESS)
def endless(request):
    return EndlessScript(*ENDLESS[request.param])


def test_a_lookup_is_answered_by_another_server(play, endless):
    # Guards against a caller that waits until its timeout for an invalid response.
    async def scenario():
        entry = Entry(configuration(route(timeout_seconds=TIMEOUT)))
        await entry.add_server(endless)
        await entry.add_server(answers(b"sound"))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.send()
        async with asyncio.timeout(TIMEOUT / 2):
            status, _, body = await caller.read_response()
        assert (status, body) == (200, b"sound")
        await asyncio.wait_for(endless.closed.wait(), 1)
        assert endless.sent < MAX_SENT_BYTES

    play(scenario)


def test_a_request_that_may_run_once_fails_at_once_as_unknown(play, endless):
    # Guards against a response that claims that the request has not run, and against a
    # caller that waits until its timeout.
    async def scenario():
        entry = Entry(configuration(route(kind=Kind.UNSAFE, timeout_seconds=TIMEOUT)))
        await entry.add_server(endless)
        second = await entry.add_server(answers(b"sound"))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.send(method=b"POST")
        async with asyncio.timeout(TIMEOUT / 2):
            status, _, _ = await caller.read_response()
        assert status in (502, 504)
        assert second.requests == []
        assert endless.sent < MAX_SENT_BYTES

    play(scenario)


def test_a_stream_with_an_endless_event_moves_to_another_server(play):
    # Guards against an event that fills the entry's memory: its bytes show that the
    # server is responsive, but the caller receives none of them.
    bad = EndlessScript(STREAM_HEAD, b"x" * 500)

    async def scenario():
        stream = route(
            kind=Kind.STREAM, resumable=True, target_seconds=1.0, timeout_seconds=6.0
        )
        entry = Entry(configuration(stream, engine=ENGINE))
        await entry.add_server(bad, loaded=loaded(1))
        await entry.add_server(streams(event(1), event(2)), loaded=loaded(1))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.send(method=b"POST")
        async with asyncio.timeout(2):
            status, _, body = await caller.read_response()
        assert (status, body) == (200, event(1) + event(2))
        assert bad.sent < MAX_SENT_BYTES

    play(scenario)


def test_a_server_that_sends_its_head_byte_by_byte_counts_as_unresponsive(play):
    # Guards against a server that sends a head so slowly that no byte limit is reached,
    # and keeps callers waiting until their timeout.
    bad = EndlessScript(HEAD + b"X-Pad: ", b"x", interval=0.02)

    async def scenario():
        entry = Entry(configuration(route(timeout_seconds=6.0)))
        await entry.add_server(bad)
        await entry.add_server(answers(b"sound"))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.send()
        async with asyncio.timeout(3):
            status, _, body = await caller.read_response()
        assert (status, body) == (200, b"sound")

    play(scenario)


def test_a_body_without_end_is_aborted_at_the_timeout_of_the_route(play):
    # Guards against a caller that waits for longer, and against an aborted response
    # that looks complete.
    bad = EndlessScript(
        HEAD + b"X-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1f4\r\n" + b"x" * 500 + b"\r\n",
    )

    async def scenario():
        entry = Entry(configuration(route(timeout_seconds=1.0)))
        await entry.add_server(bad)
        caller = await entry.caller()
        await caller.send()
        with pytest.raises(asyncio.IncompleteReadError):
            async with asyncio.timeout(1.5):
                await caller.read_response()
        await asyncio.wait_for(bad.closed.wait(), 1)

    play(scenario)
