"""A request that crashes the servers that run it is stopped; others are not."""

import asyncio

import pytest
from wasabideck_policy.configuration import Kind
from wasabideck_policy.quarantine import MOST_CRASHES

from .conftest import Entry, answers, configuration, reset, resets, route


async def _add_crashing(entry):
    """Add a server that ends with the first request that it begins."""

    async def crash(head, writer):
        server.listener.close()
        reset(writer)

    server = await entry.add_server(crash)
    return server


async def _seen(entry, kind, times):
    """Wait until an event was written so often."""
    while sum(k == kind for k, _ in entry.log) < times:
        await asyncio.sleep(0)


def _prefer(entry, server):
    """Have the next request go to this server: all others are full."""
    for name in entry.beliefs.backends.names():
        entry.beliefs.backends.get(name).in_progress = 0 if name == server else 100


@pytest.mark.parametrize("kind", [Kind.UNSAFE, Kind.SAFE])
def test_what_crashed_two_servers_reaches_no_third(play, kind):
    # All drafts on a server end at once, then all on the next, and so on: one request
    # crashes whatever runs it, its caller sends it again, each time as a new request
    # to another entry or this one, and each time it is given to a fresh server.
    async def scenario():
        entry = Entry(configuration(route(kind=kind, attempts=1)))
        for crash in range(MOST_CRASHES):
            await _add_crashing(entry)
            _prefer(entry, f"i-{crash}")
            caller = await entry.caller()
            await caller.ask(method=b"POST", body=b"poison", name=b"r%d" % crash)
            assert (await caller.answer())[0] == 502
            await _seen(entry, "server.died", crash + 1)
        third = await entry.add_server(answers())
        _prefer(entry, f"i-{MOST_CRASHES}")
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"poison", name=b"again")
        status, headers, body = await caller.answer()
        assert (status, body) == (503, b'{"error":"Quarantined"}')
        assert float(headers[b"retry-after"]) > 100
        assert third.requests == []
        await caller.ask(method=b"POST", body=b"sound", name=b"other")
        assert (await caller.answer())[0] == 200

    play(scenario)


def test_a_lost_answer_is_no_crash(play):
    # A link loses answers for a while. The servers live, and a caller whose order was
    # unlucky twice must not be held for one who crashes servers.
    async def scenario():
        entry = Entry(configuration(route(kind=Kind.UNSAFE, attempts=1)))
        for number in range(MOST_CRASHES + 1):
            await entry.add_server(resets)
            _prefer(entry, f"i-{number}")
            caller = await entry.caller()
            await caller.ask(method=b"POST", body=b"order", name=b"r%d" % number)
            assert (await caller.answer())[0] == 502
            while entry.dispatch.crashes._looking:
                await asyncio.sleep(0)
        await entry.add_server(answers(b"done"))
        _prefer(entry, f"i-{MOST_CRASHES + 1}")
        caller = await entry.caller()
        await caller.ask(method=b"POST", body=b"order", name=b"last")
        assert (await caller.answer())[2] == b"done"

    play(scenario)
