"""Requests that are refused while they are read, and answers before them."""

import asyncio

from wasabideck_base.connection_budget import (
    BYTES_PER_MB,
    ConnectionBudget,
    ProcessLimits,
)
from wasabideck_base.kernel_buffers import KERNEL_BUFFER_BYTES
from wasabideck_policy.configuration import CallerLimits

from .conftest import Entry, answers, configuration, hangs, route

# Leaves all connections 8 MB.
SMALL = ProcessLimits(80 * BYTES_PER_MB, 1000)
BODY_BYTES = 4 << 20
LIMITS = CallerLimits(max_header_bytes=512)
HEAD = b"POST /a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: large\r\n"


def entry_with_small_budget():
    entry = Entry(configuration(route(timeout_seconds=5.0)))
    entry.caller_endpoint.budget = ConnectionBudget(SMALL)
    return entry


def test_a_request_that_is_turned_away_was_not_sent_and_its_refusal_says_so(play):
    # Guards against a refusal that promises that a request has not run although a
    # server has it, and against one that its caller cannot read.
    async def scenario():
        entry = entry_with_small_budget()
        server = await entry.add_server(answers(), answers())
        stalled = await entry.caller()
        head = HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
        stalled.writer.write(head + b"x" * (BODY_BYTES - 1))
        await stalled.writer.drain()
        while entry.caller_endpoint.budget.held_bytes < BODY_BYTES - 1:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        large = await entry.caller()
        large.writer.write(head + b"x" * BODY_BYTES)
        status, headers, _ = await stalled.read_response()
        assert status == 503
        assert float(headers[b"retry-after"]) > 0
        assert (await large.read_response())[0] == 200
        assert len(server.requests) == 1

    play(scenario)


def test_requests_before_a_malformed_one_are_answered_first(play):
    # Guards against a malformed request that cancels the one before it, which may run.
    async def scenario():
        entry = Entry(configuration(route()))
        await entry.add_server(answers(b"first"))
        caller = await entry.caller()
        await caller.send()
        caller.writer.write(b"no request\r\n\r\n")
        assert (await caller.read_response())[0] == 200
        status, headers, body = await caller.read_response()
        assert (status, headers[b"connection"]) == (400, b"close")
        assert body == b'{"error":"MalformedRequest"}'
        assert await caller.reader.read() == b""

    play(scenario)


def test_the_largest_legal_head_and_a_chunk_line_in_one_piece_are_accepted(play):
    # Guards against counting the end of a head as framing of the body behind it.
    async def scenario():
        lines = b"Transfer-Encoding: chunked\r\na: "
        padding = b"x" * (LIMITS.max_header_bytes - len(HEAD + lines) - 4)
        entry = Entry(configuration(route(), limits=LIMITS))
        await entry.add_server(answers())
        caller = await entry.caller()
        caller.writer.write(HEAD + lines + padding + b"\r\n\r\n00000001;a=b\r\n")
        await caller.writer.drain()
        await asyncio.sleep(0.05)
        caller.writer.write(b"x\r\n0\r\n\r\n")
        assert (await caller.read_response())[0] == 200

    play(scenario)


def test_folded_lines_and_large_trailers_are_refused(play):
    # Guards against parts of a message that no limit covers.
    async def scenario():
        entry = Entry(configuration(route()))
        folded = await entry.caller()
        folded.writer.write(b"GET /a HTTP/1.1\r\na: b\r\n c\r\n\r\n")
        assert (await folded.read_response())[0] == 400
        trailer = await entry.caller()
        trailer.writer.write(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\na: "
        )
        trailer.writer.write(b"x" * 20_000)
        assert (await trailer.read_response())[0] == 431

    play(scenario)


def test_a_stalled_body_does_not_delay_a_shutdown_and_is_refused(play):
    # Guards against a process that waits for a body that does not come until its time
    # to shut down is over, and then closes without an answer.
    async def scenario():
        entry = Entry(configuration(route()))
        endpoint = entry.caller_endpoint
        caller = await entry.caller()
        caller.writer.write(HEAD + b"Content-Length: 10\r\n\r\nshort")
        while not endpoint.is_busy():
            await asyncio.sleep(0.01)
        now = endpoint.clock()
        endpoint.clock = lambda: now + 3.0
        assert not endpoint.is_busy()
        endpoint.close()
        status, _, body = await caller.read_response()
        assert (status, body) == (503, b'{"error":"ShuttingDown"}')
        # The caller has read its answer and stays: the process need not wait for it.
        assert endpoint.connections
        assert not endpoint.is_answering()

    play(scenario)


def test_a_connection_that_waits_for_its_caller_to_read_is_not_busy(play):
    # Guards against a shutdown that waits for a caller that was refused and goes on
    # sending.
    async def scenario():
        entry = Entry(configuration(route()))
        caller = await entry.caller()
        caller.writer.write(b"no request\r\n\r\n" + b"x" * 100_000)
        assert (await caller.read_response())[0] == 400
        assert not entry.caller_endpoint.is_busy()

    play(scenario)


def test_unread_input_of_the_kernel_counts_while_reading_is_paused(play):
    # Guards against connections whose unread input fills the memory of the machine.
    async def scenario():
        entry = entry_with_small_budget()
        await entry.add_server(hangs)
        caller = await entry.caller()
        one = b"GET /a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n\r\n"
        caller.writer.write(one * 5)
        await asyncio.sleep(0.1)
        assert entry.caller_endpoint.budget.held_bytes > KERNEL_BUFFER_BYTES

    play(scenario)


def test_a_caller_that_leaves_while_its_input_waits_ends_its_request(play):
    # Guards against servers that work on for a caller whose close is not noticed, since
    # nothing is read from a connection on which enough requests wait.
    async def scenario():
        entry = Entry(configuration(route(timeout_seconds=8.0)))
        server = await entry.add_server(hangs)
        caller = await entry.caller()
        one = b"GET /a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n\r\n"
        caller.writer.write(one * 20)
        while not server.requests:
            await asyncio.sleep(0.01)
        caller.writer.close()
        await caller.writer.wait_closed()
        await asyncio.sleep(0.05)
        entry.caller_endpoint.sweep()
        await asyncio.wait_for(server.closed.wait(), 2)
        while entry.caller_endpoint.connections:
            await asyncio.sleep(0.01)

    play(scenario)
