"""Requests that crash their servers are quarantined; other requests are not."""

import asyncio

import pytest
from wasabideck_policy.configuration import Kind
from wasabideck_policy.quarantine import MAX_CRASHES

from .conftest import Entry, answers, configuration, reset, resets, route


async def _add_crashing(entry):
    """Add a server that terminates at the first request that it starts."""

    async def crash(head, writer):
        server.listener.close()
        reset(writer)

    server = await entry.add_server(crash)
    return server


async def _wait_for_events(entry, kind, times):
    """Wait until this many events of a kind were logged."""
    while sum(k == kind for k, _ in entry.log) < times:
        await asyncio.sleep(0)


def _prefer(entry, server):
    """Have the next request sent to this server, by making all others full."""
    for name in entry.cluster_state.backends.names():
        entry.cluster_state.backends.get(name).in_progress = (
            0 if name == server else 100
        )


@pytest.mark.parametrize("kind", [Kind.UNSAFE, Kind.SAFE])
def test_a_request_that_crashed_two_servers_is_not_sent_to_a_third(play, kind):
    # All drafts on a server end at once, then all on the next, and so on: a request
    # crashes any server that runs it, and its caller retries it as a new request at
    # this entry or another one, each time at a healthy server.
    async def scenario():
        entry = Entry(configuration(route(kind=kind, max_attempts=1)))
        for crash in range(MAX_CRASHES):
            await _add_crashing(entry)
            _prefer(entry, f"i-{crash}")
            caller = await entry.caller()
            await caller.send(method=b"POST", body=b"poison", name=b"r%d" % crash)
            assert (await caller.read_response())[0] == 502
            await _wait_for_events(entry, "server.died", crash + 1)
        third = await entry.add_server(answers())
        _prefer(entry, f"i-{MAX_CRASHES}")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"poison", name=b"again")
        status, headers, body = await caller.read_response()
        assert (status, body) == (503, b'{"error":"Quarantined"}')
        assert float(headers[b"retry-after"]) > 100
        assert third.requests == []
        await caller.send(method=b"POST", body=b"sound", name=b"other")
        assert (await caller.read_response())[0] == 200

    play(scenario)


def test_a_lost_response_is_no_crash(play):
    # A link loses responses for a while. The servers keep running, and a caller that
    # loses two responses must not be quarantined for crashing servers.
    async def scenario():
        entry = Entry(configuration(route(kind=Kind.UNSAFE, max_attempts=1)))
        for number in range(MAX_CRASHES + 1):
            await entry.add_server(resets)
            _prefer(entry, f"i-{number}")
            caller = await entry.caller()
            await caller.send(method=b"POST", body=b"order", name=b"r%d" % number)
            assert (await caller.read_response())[0] == 502
            while entry.dispatcher.crash_detector._probing:
                await asyncio.sleep(0)
        await entry.add_server(answers(b"done"))
        _prefer(entry, f"i-{MAX_CRASHES + 1}")
        caller = await entry.caller()
        await caller.send(method=b"POST", body=b"order", name=b"last")
        assert (await caller.read_response())[2] == b"done"

    play(scenario)
