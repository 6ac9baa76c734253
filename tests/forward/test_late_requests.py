"""Late requests, streams of draining servers, and waits for unresponsive links."""

import asyncio

from wasabideck_forward.delivery import NEXT_EVENT_HEDGE_SECONDS
from wasabideck_policy.configuration import Kind
from wasabideck_policy.engine_report import EngineReport
from wasabideck_policy.placement import Urgency
from wasabideck_policy.rollout_waves import DRAIN_SECONDS

from .conftest import (
    ENGINE,
    Entry,
    answers,
    configuration,
    event,
    hangs,
    loaded,
    route,
    streams,
)

STREAM = {
    "kind": Kind.STREAM,
    "resumable": True,
    "target_seconds": 1.0,
    "timeout_seconds": 6.0,
}


def report(entry, name, serving):
    """Have a server's agent report whether it accepts requests."""
    backend = entry.cluster_state.backends.get(name)
    message = EngineReport(backend.listed.address, 1, serving, 1, 0, 0.0, 1)
    backend.apply_report(message, asyncio.get_running_loop().time())


def test_a_pipelined_request_whose_time_is_up_is_not_sent(play):
    # Guards against requests that reach a server after their time limit, because they
    # waited behind another one on their connection.
    async def scenario():
        entry = Entry(
            configuration(
                route("/slow", timeout_seconds=2.0, max_attempts=1),
                route("/short", timeout_seconds=0.1, max_attempts=1),
            )
        )
        released = asyncio.Event()

        async def answer_when_released(head, writer):
            await released.wait()
            await answers(b"slow")(head, writer)

        server = await entry.add_server(answer_when_released, answers(b"short"))
        caller = await entry.caller()
        await caller.send(path=b"/slow")
        await caller.send(path=b"/short", name=b"behind")
        await asyncio.sleep(0.15)
        released.set()
        assert (await caller.read_response())[0] == 200
        status, _, body = await caller.read_response()
        assert (status, body) == (503, b'{"error":"NeverSent"}')
        assert len(server.requests) == 1

    play(scenario)


def test_a_long_stream_of_a_draining_server_is_resumed_elsewhere(play):
    # A server drains to load newer weights. It finished all its requests first, and its
    # longest stream kept all its other slots idle for two seconds.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        draining = await entry.add_server(
            streams(event(1), *[b": \n\n"] * 60, event(2), interval=0.05),
            loaded=loaded(1),
        )
        other = await entry.add_server(streams(event(2)), loaded=loaded(1))
        entry.cluster_state.backends.get("i-1").in_progress = 5
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        report(entry, "i-0", serving=False)
        for _ in range(int(DRAIN_SECONDS / 0.1) - 2):
            await asyncio.sleep(0.1)
            report(entry, "i-0", serving=False)
        assert not other.requests
        status, _, body = await caller.read_response()
        assert status == 200
        assert body.startswith(event(1)) and body.endswith(event(2))
        assert b"Last-Event-Id: 1" in other.requests[0]
        assert len(draining.requests) == 1

    play(scenario)


def test_a_stream_stays_where_no_other_server_can_resume_it(play):
    # All servers drain at the same time: a stream that is taken off its server would
    # end early.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        parts = (event(1), *[b": \n\n"] * 30, event(2))
        await entry.add_server(streams(*parts, interval=0.05), loaded=loaded(1))
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        for _ in range(12):
            report(entry, "i-0", serving=False)
            await asyncio.sleep(0.1)
        status, _, body = await caller.read_response()
        assert (status, body) == (200, b"".join(parts))

    play(scenario)


def test_late_requests_are_sent_one_after_the_other(play):
    # Three callers retry after an outage, judged by their remaining time. They were all
    # sent at once, filled the engine, and made the requests after them late.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(
            answers(), hangs, hangs, hangs, hangs, slots=32, loaded=loaded(1)
        )
        first = await entry.caller()
        await first.send(b"X-Deadline-Ms: 6000", method=b"POST", body=b"prompt")
        await first.read_response()
        callers = [await entry.caller() for _ in range(3)]
        for n, caller in enumerate(callers):
            name = b"back-%d" % n
            await caller.send(
                b"X-Deadline-Ms: 3000", method=b"POST", body=b"prompt", name=name
            )
        await asyncio.sleep(0.3)
        print([x for x in entry.log])
        print(server.requests)
        assert len(server.requests) == 2
        assert b"X-Request-Priority: %d\r\n" % Urgency.LATE in server.requests[1]
        fresh = await entry.caller()
        await fresh.send(b"X-Deadline-Ms: 5500", method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        assert b"X-Request-Priority: %d\r\n" % Urgency.IN_TIME in server.requests[2]

    play(scenario)


def test_the_next_late_request_is_sent_when_a_caller_disconnects(play):
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(
            answers(), hangs, hangs, slots=32, loaded=loaded(1)
        )
        first = await entry.caller()
        await first.send(b"X-Deadline-Ms: 6000", method=b"POST", body=b"prompt")
        await first.read_response()
        callers = [await entry.caller() for _ in range(2)]
        for n, caller in enumerate(callers):
            name = b"back-%d" % n
            await caller.send(
                b"X-Deadline-Ms: 3000", method=b"POST", body=b"prompt", name=name
            )
            await asyncio.sleep(0.05)
        assert len(server.requests) == 2
        callers[0].writer.close()
        await asyncio.sleep(0.3)
        assert len(server.requests) == 3

    play(scenario)


def test_a_stream_waits_while_its_whole_data_centre_is_unresponsive(play):
    # A configuration of 300 KB goes to all entries of a region and congests the link
    # from the region of its store for 1.5 s. Streams over it were abandoned after
    # 0.7 s. The next server, behind the same link, was unreachable, and they ended.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        interval = NEXT_EVENT_HEDGE_SECONDS + 0.4
        slow = streams(event(1), event(2), interval=interval)
        served = [await entry.add_server(slow, loaded=loaded(1)) for _ in range(3)]
        callers = [await entry.caller() for _ in range(3)]
        for n, caller in enumerate(callers):
            name = b"req-%d" % n
            await caller.send(method=b"POST", body=b"prompt", name=name)
            await asyncio.sleep(0.01)
        for caller in callers:
            assert (await caller.read_response())[2] == event(1) + event(2)
        assert sum(len(server.requests) for server in served) == 3

    play(scenario)


def test_unreachable_servers_are_no_attempts(play):
    # Nothing was sent to them. A started stream ended because the only other server
    # that it could be sent to was behind the same congested link.
    async def scenario():
        entry = Entry(configuration(route(**STREAM, max_attempts=2), engine=ENGINE))
        await entry.add_server(streams(event(1), then="reset"), loaded=loaded(1))
        unreachable = await entry.add_server(hangs, loaded=loaded(1))
        remote = await entry.add_server(streams(event(2)), loaded=loaded(1))
        unreachable.listener.close()
        entry.cluster_state.backends.get("i-1").in_progress = 4
        entry.cluster_state.backends.get("i-2").in_progress = 6
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"prompt")
        assert (await caller.read_response())[2] == event(1) + event(2)
        assert len(remote.requests) == 1

    play(scenario)


def test_a_request_waits_for_the_first_configuration(play):
    # An entry accepts callers as soon as it starts. Callers that came before it had a
    # configuration were refused; they had retried once already, and did not again.
    async def scenario():
        entry = Entry(configuration(route()))
        entry.cluster_state.servers_known = False
        await entry.add_server(answers())
        caller = await entry.caller()
        await caller.send()
        await asyncio.sleep(0.1)
        entry.cluster_state.servers_known = True
        assert (await caller.read_response())[0] == 200

    play(scenario)
