"""Which weights a request is begun on, seen by callers and by servers."""

import asyncio

import pytest
from wasabideck_policy.configuration import Kind
from wasabideck_policy.engine_news import EngineNews

from .conftest import ENGINE, Entry, configuration, event, loaded, route, streams

STREAM = {"kind": Kind.STREAM, "resumable": True}
# What ``Entry`` gives servers to come to a named version (seconds).
WITHIN = 8.0


def named_ago(entry, number, seconds):
    """Have a version named so many seconds ago."""
    now = asyncio.get_running_loop().time()
    entry.beliefs.name_version(ENGINE.model, number, now - seconds)


def tells(entry, name, version):
    """Have a server's agent tell which version it holds and serves."""
    backend = entry.beliefs.backends.get(name)
    news = EngineNews(backend.listed.address, version, True, 0, 0, named=version)
    backend.hear(news, asyncio.get_running_loop().time())
    entry.forwarder.wake()


def queues(seconds, begun, *pieces):
    """A server that begins a request after a while in its queue."""

    async def script(head, writer):
        await asyncio.sleep(seconds)
        begun.append(asyncio.get_running_loop().time())
        await streams(*pieces)(head, writer)

    return script


def test_what_waits_at_a_server_is_not_begun_on_weights_that_are_over(play):
    # A caller's draft was written by version 1, begun after version 1 was over. It had
    # been sent in time, to a server that seemed to have a place, and waited there for
    # half a second and more. The entry had looked at the time when it sent the draft,
    # and never again: how long it would wait elsewhere was a guess.
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        begun = []
        full = await entry.add_server(queues(1.2, begun, event(1)), loaded=loaded(1))
        newer = await entry.add_server(streams(event(1), event(2)))
        named_ago(entry, 2, WITHIN - 0.5)
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


def test_what_has_begun_ends_on_the_weights_that_it_began_with(play):
    async def scenario():
        entry = Entry(configuration(route(**STREAM), engine=ENGINE))
        slow = streams(event(1), event(2), event(3), pause=0.3)
        await entry.add_server(slow, loaded=loaded(1))
        newer = await entry.add_server(streams(event(1)))
        named_ago(entry, 2, WITHIN - 0.5)
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
