"""Which weights a request is begun on, seen by callers and by servers."""

import asyncio

import pytest
from wasabideck_forward.server_pool import ServerPool, Unreachable
from wasabideck_policy.configuration import Kind
from wasabideck_policy.engine_news import EngineNews

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
# What ``Entry`` gives servers to come to a named version (seconds).
WITHIN = 8.0


def named_ago(entry, number, seconds):
    """Have a version named so many seconds ago."""
    now = asyncio.get_running_loop().time()
    entry.beliefs.name_version(ENGINE.model, number, now - seconds)


def tells(entry, name, version, serving=True, ready_in=0.0, named=2):
    """Have a server's agent tell which version it begins requests on."""
    backend = entry.beliefs.backends.get(name)
    news = EngineNews(backend.listed.address, version, serving, 0, 0, ready_in, named)
    backend.hear(news, asyncio.get_running_loop().time())
    entry.dispatch.wake()


def test_a_server_without_an_agent_gets_nothing_that_could_wait_there_too_long(play):
    # Guards against a queue that nobody beside the server ends with its weights' time.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        alone = await entry.add_server(streams(event(1)), loaded=loaded(1))
        attended = await entry.add_server(
            *[streams(event(1))] * 3, loaded=loaded(1), slots=32
        )
        entry.beliefs.backends.get("i-1").in_progress = 5
        named_ago(entry, 2, WITHIN - 0.8)
        tells(entry, "i-1", 1)
        for _ in range(3):
            caller = await entry.caller()
            await caller.ask(method=b"POST", body=b"prompt")
            assert (await caller.answer())[0] == 200
        assert (len(alone.requests), len(attended.requests)) == (0, 3)

    play(scenario)


def test_an_agent_that_has_not_heard_of_the_newer_version_holds_nothing(play):
    # Guards against taking any agent's word for one that ends its engine's weights.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(streams(event(1)), loaded=loaded(1))
        named_ago(entry, 2, WITHIN - 0.8)
        tells(entry, "i-0", 1, named=1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        assert (await caller.answer())[0] == 503
        assert server.requests == []

    play(scenario)


def queues(seconds, begun, *pieces):
    """A server that begins a request after a while in its queue."""

    async def script(head, writer):
        await asyncio.sleep(seconds)
        begun.append(asyncio.get_running_loop().time())
        await streams(*pieces)(head, writer)

    return script


def test_what_waits_at_a_server_is_not_begun_on_weights_that_are_over(play):
    # Seen: drafts were written by version 1, begun up to 53 ms after it was over. They
    # had been sent in time, and waited 0.3 and 0.8 s at servers that seemed to have a
    # place. Cause: an entry looked at the time when it sent, and never again; how long
    # a request waits elsewhere was a guess of 0.2 s. Proof: the servers' own times of
    # arrival and beginning, and this server, which begins whatever it still has.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        begun = []
        full = await entry.add_server(queues(1.2, begun, event(1)), loaded=loaded(1))
        newer = await entry.add_server(streams(event(1), event(2)))
        named_ago(entry, 2, WITHIN - 0.5)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        assert len(full.requests) == 1
        tells(entry, "i-1", 2)
        status, _, body = await caller.answer()
        assert begun == []
        assert (status, body) == (200, event(1) + event(2))
        assert b"X-Expect-Version: 2\r\n" in newer.requests[0]

    play(scenario)


def test_what_was_sent_early_to_a_server_without_an_agent_is_taken_back(play):
    # Guards against a wait that outlasts the time in which such a server gets nothing.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        begun = []
        alone = await entry.add_server(queues(2.0, begun, event(1)), loaded=loaded(1))
        await entry.add_server(streams(event(1), event(2)))
        named_ago(entry, 2, WITHIN - 1.2)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(1.0)
        assert len(alone.requests) == 1
        tells(entry, "i-1", 2)
        assert (await caller.answer())[::2] == (200, event(1) + event(2))
        assert begun == []

    play(scenario)


def test_what_a_server_begins_on_the_newer_weights_stays_there(play):
    # The server has been ordered to load version 2: what waits there is begun on it.
    # Taken back, it would lose its place, and be refused where no other serves yet.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        begun = []
        await entry.add_server(queues(1.0, begun, event(1)), loaded=loaded(1))
        named_ago(entry, 2, WITHIN - 0.5)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        tells(entry, "i-0", 2, serving=False, ready_in=0.8)
        assert (await caller.answer())[::2] == (200, event(1))

    play(scenario)


def test_the_way_to_a_server_is_tried_before_it_gets_what_it_may_begin_too_late(play):
    # Seen: drafts were taken back 0.2 s before version 1 was over, and begun on it up
    # to 0.3 s after. The link to the server's VM was full of chunks: what was sent came
    # 1.5 s later, and the close behind it. A kept connection shows nothing of that.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        far = await entry.add_server(streams(event(1)), loaded=loaded(1))
        await entry.add_server(streams(event(1), event(2)), loaded=loaded(1))
        entry.beliefs.backends.get("i-1").in_progress = 5
        named_ago(entry, 2, WITHIN - 0.8)
        tells(entry, "i-0", 1)
        tells(entry, "i-1", 1)
        connect = ServerPool._connect

        async def full_link(pool, backend, within):
            if backend.server == "i-0":
                await asyncio.sleep(min(1.5, within))
                raise Unreachable(backend.server, "no connection in time")
            return await connect(pool, backend, within)

        idle = await connect(entry.pool, entry.beliefs.backends.get("i-0"), 1.0)
        entry.pool.give_back(entry.beliefs.backends.get("i-0"), idle)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(ServerPool, "_connect", full_link)
            caller = await entry.caller()
            await caller.ask(method=b"POST", body=b"prompt")
            async with asyncio.timeout(0.5):
                assert (await caller.answer())[::2] == (200, event(1) + event(2))
        assert far.requests == []

    play(scenario)


def test_word_of_a_server_that_was_listed_anew_counts_for_what_waits_there(play):
    # The server's entry lapsed for a moment and came back. Its agent's word went to the
    # new entry, and what waited there was judged by the old one and taken back.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(queues(1.0, [], event(1)), loaded=loaded(1))
        named_ago(entry, 2, WITHIN - 0.5)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        backends = entry.beliefs.backends
        listed = backends.get("i-0").listed
        backends.remove(["i-0"], asyncio.get_running_loop().time())
        backends.take(listed)
        tells(entry, "i-0", 2, serving=False, ready_in=0.8)
        assert (await caller.answer())[::2] == (200, event(1))

    play(scenario)


def test_what_a_server_that_has_left_the_list_still_works_off_stays_there(play):
    # A version is due for ever once it was. A server of that version leaves the list
    # and works its queue off: nothing there is on weights that are over.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(queues(0.4, [], event(1)), loaded=loaded(2))
        named_ago(entry, 2, WITHIN + 5.0)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        entry.beliefs.backends.remove(["i-0"], asyncio.get_running_loop().time())
        assert (await caller.answer())[::2] == (200, event(1))

    play(scenario)


def test_a_server_is_asked_for_the_version_that_it_holds(play):
    # Versions 2 and 3 were named two seconds apart, version 2 is due, and a server has
    # version 3 already. Asked for version 2 exactly, it would refuse.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        server = await entry.add_server(streams(event(1)), loaded=loaded(3))
        named_ago(entry, 2, WITHIN + 0.5)
        named_ago(entry, 3, WITHIN - 1.5)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        assert (await caller.answer())[0] == 200
        assert b"X-Expect-Version: 3\r\n" in server.requests[0]

    play(scenario)


def test_an_answers_head_is_no_sign_that_a_request_has_begun(play):
    async def head_alone(head, writer):
        await streams(then="hang")(head, writer)

    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(head_alone, loaded=loaded(1))
        await entry.add_server(streams(event(1)))
        named_ago(entry, 2, WITHIN - 0.5)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        tells(entry, "i-1", 2)
        async with asyncio.timeout(1.0):
            assert (await caller.answer())[::2] == (200, event(1))

    play(scenario)


def test_what_was_taken_back_waits_for_newer_weights_that_are_soon_there(play):
    # At the end of a version's time hardly any server has the next one yet. What was
    # taken back from a queue then was failed, with a server back 0.2 s later.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        full = await entry.add_server(hangs, loaded=loaded(1))
        await entry.add_server(streams(event(1)))
        named_ago(entry, 2, WITHIN - 0.3)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        tells(entry, "i-1", 1, serving=False, ready_in=0.6)
        await full.closed.wait()
        await asyncio.sleep(0.2)
        tells(entry, "i-1", 2)
        assert (await caller.answer())[::2] == (200, event(1))

    play(scenario)


def test_what_was_taken_back_and_finds_no_server_may_have_run(play):
    # It may have begun the moment before its connection was closed: an answer that
    # promises that it has not run would be a guess. The server did nothing wrong, and
    # is not passed over for it.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        # With room for all of them: what has no place at once is not sent.
        scripts = (hangs, hangs, hangs, hangs)
        await entry.add_server(*scripts, slots=32, loaded=loaded(1))
        named_ago(entry, 2, WITHIN - 0.3)
        tells(entry, "i-0", 1)
        callers = [await entry.caller() for _ in range(4)]
        for caller in callers:
            await caller.ask(method=b"POST", body=b"prompt")
        for caller in callers:
            assert (await caller.answer())[0] == 502
        why = [told["why"] for kind, told in entry.log if kind == "attempt.failed"]
        assert why == ["Recalled: i-0: version 1, 2 is due"] * 4
        now = asyncio.get_running_loop().time()
        assert not entry.dispatch.outliers.out("i-0", now)

    play(scenario)


def test_what_has_begun_ends_on_the_weights_that_it_began_with(play):
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        slow = streams(event(1), event(2), event(3), pause=0.3)
        await entry.add_server(slow, loaded=loaded(1))
        newer = await entry.add_server(streams(event(1)))
        named_ago(entry, 2, WITHIN - 0.5)
        tells(entry, "i-0", 1)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        await asyncio.sleep(0.1)
        tells(entry, "i-1", 2)
        status, _, body = await caller.answer()
        assert (status, body) == (200, event(1) + event(2) + event(3))
        assert newer.requests == []

    play(scenario)


def test_a_requests_line_says_which_weights_it_was_sent_to(play):
    # A caller got an answer of weights that were over. The line of its request named
    # the server alone, and left open whether the entry knew how little time it had.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        await entry.add_server(streams(event(1)), loaded=loaded(1))
        named_ago(entry, 2, WITHIN - 5.0)
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"prompt")
        assert (await caller.answer())[0] == 200
        await asyncio.sleep(0)
        [told] = [told for kind, told in entry.log if kind == "request.ended"]
        assert told["weights"] == 1
        assert told["over_in"] == pytest.approx(5.0, abs=0.5)

    play(scenario)
