"""Responses of servers that become unresponsive although they are healthy."""

import asyncio
import os
import socket
import time
from types import SimpleNamespace

import pytest
from wasabideck_forward.delivery import (
    FIRST_EVENT_HEDGE_SECONDS,
    NEXT_EVENT_HEDGE_SECONDS,
    PLAIN_HEDGE_SECONDS,
)
from wasabideck_forward.hedging import Replaced, wait_or_hedge
from wasabideck_forward.recall import Recalled
from wasabideck_forward.server_connection import ServerResponse
from wasabideck_policy.configuration import Kind
from wasabideck_policy.engine_report import EngineReport
from wasabideck_policy.late_requests import LateRequestLimiter
from wasabideck_policy.rollout_waves import DRAIN_SECONDS

from .conftest import (
    ENGINE,
    Entry,
    answers,
    configuration,
    event,
    hangs,
    loaded,
    refuses,
    route,
    streams,
)

STREAM = {
    "kind": Kind.STREAM,
    "resumable": True,
    "target_seconds": 1.0,
    "timeout_seconds": 6.0,
}
UNRESPONSIVE_SECONDS = NEXT_EVENT_HEDGE_SECONDS + 0.8


async def no_other_server(entry):
    """Add nothing: the unresponsive server is the only one."""


async def full(entry):
    await entry.add_server(refuses(), loaded=loaded(1))


async def unreachable(entry):
    server = await entry.add_server(hangs, loaded=loaded(1))
    server.listener.close()


async def also_unresponsive(entry):
    await entry.add_server(hangs, loaded=loaded(1))


async def reset_at_once(entry):
    await entry.add_server(streams(then="reset"), loaded=loaded(1))


def after(seconds, script):
    """Return a script that responds after a delay."""

    async def later(head, writer):
        await asyncio.sleep(seconds)
        await script(head, writer)

    return later


async def unresponsive_server(entry, script):
    """Add a server that gets the first request and sends no data for a while."""
    return await entry.add_server(script, loaded=loaded(1))


def keep_from(entry, name):
    """Have the first request sent to another server than this one."""
    if backend := entry.cluster_state.backends.get(name):
        backend.in_progress = 5


@pytest.mark.parametrize(
    "other", [no_other_server, full, unreachable, also_unresponsive, reset_at_once]
)
def test_a_stream_is_kept_until_another_server_resumes_it(play, other):
    # Guards against cutting off a caller in the middle of a response that was on its
    # way.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        slow = streams(event(1), event(2), interval=UNRESPONSIVE_SECONDS)
        server = await unresponsive_server(entry, slow)
        await other(entry)
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        status, _, body = await caller.read_response()
        assert (status, body) == (200, event(1) + event(2))
        assert len(server.requests) == 1

    play(scenario)


def test_an_unresponsive_server_is_closed_once_another_resumes_its_stream(play):
    # Guards against two servers working on one stream after a failover.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        first = await unresponsive_server(entry, streams(event(1), then="hang"))
        other = await entry.add_server(
            streams(event(2), event(3), interval=0.3), loaded=loaded(1)
        )
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[2] == event(1) + event(2) + event(3)
        assert b"Last-Event-Id: 1" in other.requests[0]
        assert first.closed.is_set()

    play(scenario)


def test_a_hedged_request_is_ended_when_the_first_server_continues(play):
    # Guards against a second server working on a stream that nobody reads from it.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        slow = streams(
            event(1), event(2), event(3), interval=NEXT_EVENT_HEDGE_SECONDS + 0.3
        )
        await unresponsive_server(entry, slow)
        other = await entry.add_server(hangs, hangs, loaded=loaded(1))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[2] == event(1) + event(2) + event(3)
        await asyncio.wait_for(other.closed.wait(), 1.0)

    play(scenario)


def test_both_servers_of_a_hedged_request_stop_when_the_caller_disconnects(play):
    # Guards against servers working for nobody while a stream has two of them.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        first = await unresponsive_server(entry, streams(event(1), then="hang"))
        other = await entry.add_server(hangs, loaded=loaded(1))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        while not other.requests:
            await asyncio.sleep(0.01)
        caller.writer.close()
        await asyncio.wait_for(first.closed.wait(), 0.5)
        await asyncio.wait_for(other.closed.wait(), 0.5)
        assert entry.cluster_state.backends.get("i-0").in_progress == 0

    play(scenario)


def test_a_stream_stays_at_a_draining_server_that_has_no_replacement(play):
    # Guards against cutting off a caller by leaving a draining server too early.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        parts = (event(1), *[b": \n\n"] * 40, event(2))
        await unresponsive_server(entry, streams(*parts, interval=0.05))
        await full(entry)
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        backend = entry.cluster_state.backends.get("i-0")
        for _ in range(int(DRAIN_SECONDS / 0.1) + 4):
            report = EngineReport(backend.listed.address, 1, False, 1, 0, 0.0, 1)
            backend.apply_report(report, asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
        status, _, body = await caller.read_response()
        assert (status, body) == (200, b"".join(parts))

    play(scenario)


@pytest.mark.parametrize(
    "other", [no_other_server, full, unreachable, also_unresponsive]
)
def test_a_lookup_is_not_failed_while_its_server_may_still_respond(play, other):
    # Guards against an error of the entry for a lookup that a slow server answers.
    async def scenario():
        entry = Entry(configuration(route()))
        await unresponsive_server(
            entry, after(PLAIN_HEDGE_SECONDS + 0.3, answers(b"late"))
        )
        await other(entry)
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send()
        status, _, body = await caller.read_response()
        assert (status, body) == (200, b"late")

    play(scenario)


@pytest.mark.parametrize(
    "other", [no_other_server, full, unreachable, also_unresponsive]
)
def test_a_draft_is_not_failed_while_its_server_may_still_start_it(play, other):
    # Guards against an error of the entry for a draft that waits in an engine's queue.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await unresponsive_server(
            entry, after(FIRST_EVENT_HEDGE_SECONDS + 0.4, streams(event(1)))
        )
        await other(entry)
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        status, _, body = await caller.read_response()
        assert (status, body) == (200, event(1))

    play(scenario)


def test_an_unresponsive_server_is_closed_at_once_when_its_weights_expire(play):
    # Guards against starting a request on old weights during the search for another
    # server.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        first = await unresponsive_server(entry, hangs)
        other = await entry.add_server(hangs, loaded=loaded(2))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        while not other.requests:
            await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        entry.cluster_state.declare_version(ENGINE.model, 2, now - 60)
        await asyncio.wait_for(first.closed.wait(), 0.3)
        assert not other.closed.is_set()

    play(scenario)


@pytest.mark.parametrize("wait", [ServerResponse.read, lambda a: a.peek(bool)])
def test_a_recalled_response_is_not_an_empty_complete_one(play, wait):
    # Guards against passing on an empty response as complete after a recall.
    async def scenario():
        answer = ServerResponse("req-1", bodyless=False)
        answer.fail(Recalled("version 1, 2 is due"))
        answer.add(event(1))
        answer.ended = True
        with pytest.raises(Recalled):
            await wait(answer)

    play(scenario)


@pytest.mark.parametrize("cancels", [1, 2])
@pytest.mark.parametrize("steps", [0, 1, 2, 3, 4])
def test_a_found_replacement_is_ended_when_the_request_is_cancelled(
    play, steps, cancels
):
    # Guards against a server working for nobody after the caller disconnected during a
    # failover.
    async def scenario():
        found = SimpleNamespace(backend=SimpleNamespace(server="i-1"))
        made, owned, ended = [], [], []
        go = asyncio.Event()

        async def find():
            await go.wait()
            made.append(found)
            return found

        async def request():
            try:
                await wait_or_hedge(asyncio.Event().wait, find, ended.append, print)
            except Replaced as exc:
                owned.append(exc.attempt)

        task = asyncio.create_task(request())
        await asyncio.sleep(0.01)
        go.set()
        for _ in range(steps):
            await asyncio.sleep(0)
        for _ in range(cancels):
            task.cancel()
            await asyncio.sleep(0)
        await asyncio.wait({task})
        await asyncio.sleep(0.01)
        assert owned + ended == made

    play(scenario)


@pytest.mark.parametrize("status", [b"404 Not Found", b"302 Found"])
def test_a_replacement_may_respond_without_content(play, status):
    # Guards against a caller waiting for a dead server when a response is available.
    async def scenario():
        entry = Entry(configuration(route()))
        await unresponsive_server(entry, hangs)
        await entry.add_server(answers(b"", status))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send()
        assert (await caller.read_response())[0] == int(status[:3])
        assert not entry.dispatcher.outliers._records.get("i-1")

    play(scenario)


def test_a_replacements_failure_is_passed_on_if_the_first_stays_unresponsive(play):
    # Guards against an error of the entry instead of the failure that a server sent.
    async def scenario():
        entry = Entry(configuration(route(timeout_seconds=0.8)))
        await unresponsive_server(entry, hangs)
        await entry.add_server(answers(b"its own", b"500 Internal Server Error"))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send()
        status, _, body = await caller.read_response()
        assert (status, body) == (500, b"its own")

    play(scenario)


def test_a_late_request_that_may_not_be_sent_costs_no_retry(play):
    # Guards against using up a service's retry budget for a request that is not sent.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await unresponsive_server(entry, hangs)
        await entry.add_server(hangs, loaded=loaded(1))
        keep_from(entry, "i-1")
        share = entry.dispatcher._retry_limit("s")
        late = entry.dispatcher._late_limiter
        entry.dispatcher._late_limiter = SimpleNamespace(
            may_send=lambda engines, entries: False,
            try_enqueue=lambda request, seconds, now: False,
            record_started=late.record_started,
            record_ended=late.record_ended,
        )
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(FIRST_EVENT_HEDGE_SECONDS + 1.0)
        assert len(entry.servers[1].requests) == 0
        assert share._retries == 0

    play(scenario)


def test_a_started_stream_is_not_counted_among_waiting_late_requests():
    # Guards against refusing late requests because of one that its first server
    # answers.
    limiter = LateRequestLimiter()
    assert limiter.try_enqueue("first", 1.0, 0.0)
    assert not limiter.try_enqueue("second", 1.0, 0.0)
    limiter.record_started("first")
    assert limiter.try_enqueue("second", 1.0, 0.0)


def test_a_refusal_during_the_search_for_another_server_is_no_failure(play):
    # Guards against leaving out a healthy server for its refusals.
    async def scenario():
        entry = Entry(configuration(route()))
        await unresponsive_server(entry, after(PLAIN_HEDGE_SECONDS + 0.2, refuses()))
        await entry.add_server(after(0.4, answers(b"other")))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send()
        assert (await caller.read_response())[2] == b"other"
        assert not entry.dispatcher.outliers._records.get("i-0")

    play(scenario)


def test_a_draining_server_that_aborts_a_stream_has_failed(play):
    # Guards against ignoring a failure because the server was to be replaced anyway.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await unresponsive_server(entry, streams(event(1), interval=0.4, then="reset"))
        slow = after(0.7, streams(event(2), event(3)))
        await entry.add_server(slow, loaded=loaded(1))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        (request,) = entry.forwarder.attempts.in_flight._requests
        request.response.request_failover()
        assert (await caller.read_response())[2] == event(1) + event(2) + event(3)
        assert entry.dispatcher.outliers._records.get("i-0")

    play(scenario)


def test_a_suspended_event_loop_does_not_make_a_server_unresponsive(play):
    # Guards against spending retries, after this process was suspended, on a response
    # that has arrived.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        loop, (stop, wakeup) = asyncio.get_running_loop(), socket.socketpair()
        server_side = []

        def suspend_loop():
            loop.remove_reader(wakeup)
            os.write(server_side[0], b"%x\r\n%s\r\n" % (len(event(2)), event(2)))
            time.sleep(NEXT_EVENT_HEDGE_SECONDS + 0.2)

        async def script(head, writer):
            server_side.append(writer.get_extra_info("socket").fileno())
            begun = asyncio.create_task(streams(event(1), then="hang")(head, writer))
            await asyncio.sleep(1.3)
            begun.cancel()
            writer.write(b"0\r\n\r\n")

        loop.add_reader(wakeup, suspend_loop)
        await unresponsive_server(entry, script)
        await entry.add_server(hangs, loaded=loaded(1))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.2)
        stop.send(b"x")
        assert (await caller.read_response())[2] == event(1) + event(2)
        assert entry.dispatcher._retry_limit("s")._retries == 0

    play(scenario)


@pytest.mark.parametrize(
    "script",
    [
        streams(event(1), then="reset"),
        streams(b": begun\n\n", then="reset"),
        streams(event(2)[:-3], then="reset"),
        streams(event(2)[:-3]),
        answers(b"plain"),
    ],
    ids=["begins anew", "comment", "half an event", "ends in an event", "plain"],
)
def test_a_server_is_left_only_for_an_event_that_continues_the_stream(play, script):
    # Guards against leaving a healthy server for one that can't continue the stream.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        interval = NEXT_EVENT_HEDGE_SECONDS + 0.2
        await unresponsive_server(entry, streams(event(1), event(2), interval=interval))
        await entry.add_server(script, loaded=loaded(1))
        keep_from(entry, "i-1")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[2] == event(1) + event(2)
        assert len(entry.servers[1].requests) == 1

    play(scenario)
