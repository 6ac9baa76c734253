"""Ticket state between processes, over the real inner protocol on loopback."""

import asyncio

from fake_table import FakeTable
from grpclib.testing import ChannelFor
from wasabideck_base.events import Clock, Events
from wasabideck_base.spread import PeersService, Spread
from wasabideck_policy.tickets import Assignment, Change


def make_spread(vm, now):
    return Spread(vm, Events(vm, Clock(), lambda: 0.0), clock=lambda: now[0])


def assignment(number, scope="a"):
    return Assignment(number, Change(scope, "model", "m", f"v{number}", "d"), number)


def poll(spread, head, *rows):
    """Have a process read a table with these rows and this newest ticket."""
    table = FakeTable()
    table.rows["head", "head"] = {"sequence": head, "newest": head}
    for row in rows:
        table.rows["state", str(row.change.key)] = {
            "sequence": row.sequence,
            "ticket": row.ticket,
            "change": {"scope": row.change.scope, "slot": "model"},
        }
    return spread.poll(table)


async def sync(asker, answerer, listed=3):
    async with ChannelFor([PeersService(answerer, lambda req: None)]) as channel:
        await asker.sync(answerer.vm, channel, listed)


def test_a_push_alone_does_not_open_a_starting_process():
    """A VM starts, and one new ticket for another service is pushed to it. Taken
    for the whole state, it would say that no ticket names the VM's own service."""
    now = [100.0]
    new, old = make_spread("new", now), make_spread("old", now)

    async def run():
        async with ChannelFor([PeersService(new, lambda req: None)]) as channel:
            await old.push(channel, [assignment(9, "b")])

    asyncio.run(run())
    assert len(new.state) == 1
    assert not new.heard


def test_a_thawed_peer_is_no_witness_alone():
    """An entry was frozen for a minute; a starting VM asks it first, with the table
    down, and would load what was superseded meanwhile."""
    now = [100.0]
    new, thawed, awake = (make_spread(vm, now) for vm in ("new", "thawed", "awake"))

    async def run():
        await poll(thawed, 1, assignment(1))
        now[0] += 60.0
        await poll(awake, 2, assignment(2))
        now[0] += 10.0
        await sync(new, thawed)
        assert not new.heard
        await sync(new, awake)

    asyncio.run(run())
    assert new.heard
    assert new.state.newest(assignment(2).change.key).ticket == 2


def test_a_scan_that_lags_behind_the_head_is_read_again():
    """The head says that ticket 2 is there, the scan does not show it yet. Taken as
    read, it would never be scanned again, and the VM would stay at ticket 1."""
    now = [100.0]
    spread = make_spread("vm", now)

    async def run():
        await poll(spread, 2, assignment(1))
        assert not spread.heard
        await poll(spread, 2, assignment(2))

    asyncio.run(run())
    assert spread.heard
    assert spread.state.newest(assignment(2).change.key).ticket == 2


def test_a_lost_push_is_made_up_for_by_a_comparison():
    now = [100.0]
    one, other = make_spread("one", now), make_spread("other", now)

    async def run():
        await poll(one, 3, assignment(1, "a"), assignment(2, "b"), assignment(3, "c"))
        # Ticket 2's push got lost, ticket 3's came.
        other.merge([assignment(1, "a"), assignment(3, "c")])
        await sync(other, one)

    asyncio.run(run())
    assert other.state.state_hash() == one.state.state_hash()
    assert other.state.sequence == 3
