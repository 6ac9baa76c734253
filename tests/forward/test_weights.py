"""Which weights a request is begun on, seen by callers and by servers."""

import asyncio

import pytest
from wasabideck_policy.configuration import Kind

from .conftest import ENGINE, Entry, configuration, event, loaded, route, streams

STREAM = {"kind": Kind.STREAM, "resumable": True}
# What ``Entry`` gives servers to come to a named version (seconds).
WITHIN = 8.0


def named_ago(entry, number, seconds):
    """Have a version named so many seconds ago."""
    now = asyncio.get_running_loop().time()
    entry.beliefs.name_version(ENGINE.model, number, now - seconds)


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
