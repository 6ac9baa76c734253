"""Which weights a request starts on, as callers and servers observe it."""

import asyncio

import pytest
from wasabideck_forward.server_pool import ServerPool, Unreachable
from wasabideck_policy.configuration import Kind
from wasabideck_policy.engine_report import EngineReport

from .conftest import (
    ENGINE,
    Entry,
    configuration,
    event,
    hangs,
    loaded,
    route,
    streams,
)

STREAM = {"kind": Kind.STREAM, "resumable": True}
# Time that ``Entry`` allows servers to change to a declared version.
VERSION_SECONDS = 8.0


def declare_ago(entry, number, seconds):
    """Declare a version as of a number of seconds ago."""
    now = asyncio.get_running_loop().time()
    entry.cluster_state.declare_version(ENGINE.model, number, now - seconds)


def send_report(entry, name, version, serving=True, ready_in=0.0, newest_version=2):
    """Report, as a server's agent does, on which version it starts requests."""
    backend = entry.cluster_state.backends.get(name)
    report = EngineReport(
        backend.listed.address, version, serving, 0, 0, ready_in, newest_version
    )
    backend.apply_report(report, asyncio.get_running_loop().time())
    entry.dispatcher.wake()


def test_a_server_without_an_agent_gets_no_request_that_could_wait_too_long(play):
    # Guards against requests in the queue of a server without an agent: no process
    # beside the server removes them when its weights expire.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        unattended = await entry.add_server(streams(event(1)), loaded=loaded(1))
        attended = await entry.add_server(
            *[streams(event(1))] * 3, loaded=loaded(1), slots=32
        )
        entry.cluster_state.backends.get("i-1").in_progress = 5
        declare_ago(entry, 2, VERSION_SECONDS - 0.8)
        send_report(entry, "i-1", 1)
        for _ in range(3):
            caller = await entry.caller()
            await caller.send(method=b"POST", body=b"prompt")
            assert (await caller.read_response())[0] == 200
        assert (len(unattended.requests), len(attended.requests)) == (0, 3)

    play(scenario)


def test_no_late_request_if_the_agent_does_not_know_the_newer_version(play):
    # Guards against relying on an agent that has not received the declaration of the
    # newer version, and so does not stop its engine's weights when they expire.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(streams(event(1)), loaded=loaded(1))
        declare_ago(entry, 2, VERSION_SECONDS - 0.8)
        send_report(entry, "i-0", 1, newest_version=1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[0] == 503
        assert server.requests == []

    play(scenario)


def queues(seconds, started, *events):
    """Return a script that starts a request after some seconds in a queue."""

    async def script(head, writer):
        await asyncio.sleep(seconds)
        started.append(asyncio.get_running_loop().time())
        await streams(*events)(head, writer)

    return script


def test_a_request_queued_at_a_server_does_not_start_on_expired_weights(play):
    # Guards against an entry that checks the expiry of weights only when it sends.
    # Requests that were sent in time waited 0.3 and 0.8 s, instead of the assumed
    # 0.2 s, at servers that seemed to have a free slot, and started up to 53 ms after
    # version 1 had expired. The server of this test starts every request it still has.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        started = []
        full = await entry.add_server(queues(1.2, started, event(1)), loaded=loaded(1))
        newer = await entry.add_server(streams(event(1), event(2)))
        declare_ago(entry, 2, VERSION_SECONDS - 0.5)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        assert len(full.requests) == 1
        send_report(entry, "i-1", 2)
        status, _, body = await caller.read_response()
        assert started == []
        assert (status, body) == (200, event(1) + event(2))
        assert b"X-Expect-Version: 2\r\n" in newer.requests[0]

    play(scenario)


def test_a_request_sent_early_to_a_server_without_an_agent_is_recalled(play):
    # Guards against a request that waits longer than the margin before the expiry in
    # which such a server gets no requests.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        started = []
        unattended = await entry.add_server(
            queues(2.0, started, event(1)), loaded=loaded(1)
        )
        await entry.add_server(streams(event(1), event(2)))
        declare_ago(entry, 2, VERSION_SECONDS - 1.2)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(1.0)
        assert len(unattended.requests) == 1
        send_report(entry, "i-1", 2)
        assert (await caller.read_response())[::2] == (200, event(1) + event(2))
        assert started == []

    play(scenario)


def test_a_request_that_will_start_on_the_newer_weights_is_not_recalled(play):
    # The server has been ordered to load version 2, and its queued requests will start
    # on it. Guards against a recalled request that loses its position in the queue, and
    # is refused because no other server serves version 2 yet.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        started = []
        await entry.add_server(queues(1.0, started, event(1)), loaded=loaded(1))
        declare_ago(entry, 2, VERSION_SECONDS - 0.5)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        send_report(entry, "i-0", 2, serving=False, ready_in=0.8)
        assert (await caller.read_response())[::2] == (200, event(1))

    play(scenario)


def test_a_request_that_may_start_too_late_is_sent_on_a_new_connection(play):
    # Guards against a request on an idle connection over a congested link. Requests
    # were recalled 0.2 s before version 1 expired, and started on it up to 0.3 s after:
    # the link to the server's VM was full of chunks, so that the request and the close
    # after it arrived 1.5 s late. An idle connection does not show that.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        unreachable = await entry.add_server(streams(event(1)), loaded=loaded(1))
        await entry.add_server(streams(event(1), event(2)), loaded=loaded(1))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        declare_ago(entry, 2, VERSION_SECONDS - 0.8)
        send_report(entry, "i-0", 1)
        send_report(entry, "i-1", 1)
        connect = ServerPool._connect

        async def connect_over_full_link(pool, backend, timeout_seconds):
            if backend.server == "i-0":
                await asyncio.sleep(min(1.5, timeout_seconds))
                raise Unreachable(backend.server, "no connection in time")
            return await connect(pool, backend, timeout_seconds)

        idle = await connect(entry.pool, entry.cluster_state.backends.get("i-0"), 1.0)
        entry.pool.release(entry.cluster_state.backends.get("i-0"), idle)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ServerPool, "_connect", connect_over_full_link)
            caller = await entry.caller()
            await caller.send(method=b"POST", body=b"prompt")
            async with asyncio.timeout(0.5):
                assert (await caller.read_response())[::2] == (200, event(1) + event(2))
        assert unreachable.requests == []

    play(scenario)


def test_a_report_on_a_relisted_server_applies_to_requests_queued_there(play):
    # The server is removed from the list for a moment and added again. Guards against
    # reports that update only the new backend, while queued requests are checked
    # against the old one and recalled.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(queues(1.0, [], event(1)), loaded=loaded(1))
        declare_ago(entry, 2, VERSION_SECONDS - 0.5)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        backends = entry.cluster_state.backends
        listed = backends.get("i-0").listed
        backends.remove(["i-0"], asyncio.get_running_loop().time())
        backends.update(listed)
        send_report(entry, "i-0", 2, serving=False, ready_in=0.8)
        assert (await caller.read_response())[::2] == (200, event(1))

    play(scenario)


def test_a_request_queued_at_a_server_that_was_unlisted_is_not_recalled(play):
    # A server with the required version is removed from the list and still processes
    # its queue. A version stays required for ever once it was: none of the requests
    # there are on expired weights.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(queues(0.4, [], event(1)), loaded=loaded(2))
        declare_ago(entry, 2, VERSION_SECONDS + 5.0)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        entry.cluster_state.backends.remove(["i-0"], asyncio.get_running_loop().time())
        assert (await caller.read_response())[::2] == (200, event(1))

    play(scenario)


def test_a_request_expects_the_version_that_the_server_has_loaded(play):
    # Versions 2 and 3 were declared two seconds apart, version 2 is required, and the
    # server has loaded version 3. It would refuse a request that expects version 2.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(streams(event(1)), loaded=loaded(3))
        declare_ago(entry, 2, VERSION_SECONDS + 0.5)
        declare_ago(entry, 3, VERSION_SECONDS - 1.5)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[0] == 200
        assert b"X-Expect-Version: 3\r\n" in server.requests[0]

    play(scenario)


def test_the_head_of_a_response_does_not_show_that_a_request_has_started(play):
    async def head_only(head, writer):
        await streams(then="hang")(head, writer)

    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(head_only, loaded=loaded(1))
        await entry.add_server(streams(event(1)))
        declare_ago(entry, 2, VERSION_SECONDS - 0.5)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        send_report(entry, "i-1", 2)
        async with asyncio.timeout(1.0):
            assert (await caller.read_response())[::2] == (200, event(1))

    play(scenario)


def test_a_recalled_request_waits_for_a_server_that_soon_has_newer_weights(play):
    # Guards against recalled requests that fail when a version expires and hardly any
    # server has loaded the next one yet, although a server is ready 0.2 s later.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        full = await entry.add_server(hangs, loaded=loaded(1))
        await entry.add_server(streams(event(1)))
        declare_ago(entry, 2, VERSION_SECONDS - 0.3)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        send_report(entry, "i-1", 1, serving=False, ready_in=0.6)
        await full.closed.wait()
        await asyncio.sleep(0.2)
        send_report(entry, "i-1", 2)
        assert (await caller.read_response())[::2] == (200, event(1))

    play(scenario)


def test_a_recalled_request_without_another_server_fails_as_possibly_run(play):
    # The request may have started just before its connection was closed, so the
    # response must not claim that it has not run. The server is not at fault, and is
    # not ejected as an outlier.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        # Enough slots for all requests: one without a free slot is not sent.
        scripts = (hangs, hangs, hangs, hangs)
        await entry.add_server(*scripts, slots=32, loaded=loaded(1))
        declare_ago(entry, 2, VERSION_SECONDS - 0.3)
        send_report(entry, "i-0", 1)
        callers = [await entry.caller() for _ in range(4)]
        for caller in callers:
            await caller.send(method=b"POST", body=b"prompt")
        for caller in callers:
            assert (await caller.read_response())[0] == 502
        why = [fields["why"] for kind, fields in entry.log if kind == "attempt.failed"]
        assert why == ["Recalled: i-0: version 1, 2 is due"] * 4
        now = asyncio.get_running_loop().time()
        assert not entry.dispatcher.outliers.is_ejected("i-0", now)

    play(scenario)


def test_a_started_request_ends_on_the_weights_that_it_started_on(play):
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        slow = streams(event(1), event(2), event(3), interval=0.3)
        await entry.add_server(slow, loaded=loaded(1))
        newer = await entry.add_server(streams(event(1)))
        declare_ago(entry, 2, VERSION_SECONDS - 0.5)
        send_report(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        send_report(entry, "i-1", 2)
        status, _, body = await caller.read_response()
        assert (status, body) == (200, event(1) + event(2) + event(3))
        assert newer.requests == []

    play(scenario)


def test_the_end_event_of_a_request_has_the_weights_it_was_sent_to(play):
    # Guards against an event that names only the server. When a caller received a
    # response from expired weights, the event did not show whether the entry knew how
    # little time was left.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(streams(event(1)), loaded=loaded(1))
        declare_ago(entry, 2, VERSION_SECONDS - 5.0)
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[0] == 200
        await asyncio.sleep(0)
        [fields] = [fields for kind, fields in entry.log if kind == "request.ended"]
        assert fields["weights"] == 1
        assert fields["over_in"] == pytest.approx(5.0, abs=0.5)

    play(scenario)
