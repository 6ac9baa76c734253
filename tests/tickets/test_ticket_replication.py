"""Replication of the ticket state over the inner protocol on the loopback interface."""

import asyncio

from fake_table import FakeTable
from grpclib.testing import ChannelFor
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_policy.tickets import Assignment, Change


def make_replication(vm, now):
    return TicketReplication(
        vm, Events(vm, HybridClock(), lambda: 0.0), clock=lambda: now[0]
    )


def assignment(number, scope="a"):
    return Assignment(number, Change(scope, "model", "m", f"v{number}", "d"), number)


def poll(replication, head, *rows):
    """Let a process poll a table with a newest ticket and some rows."""
    table = FakeTable()
    table.rows["head", "head"] = {"sequence": head, "newest": head}
    for row in rows:
        table.rows["state", str(row.change.key)] = {
            "sequence": row.sequence,
            "ticket": row.ticket,
            "change": {"scope": row.change.scope, "slot": "model"},
        }
    return replication.poll(table)


async def sync(client, server, entry_count=3):
    async with ChannelFor([PeersService(server, lambda req: None)]) as channel:
        await client.sync(server.vm, channel, entry_count)


def test_push_alone_does_not_make_a_starting_process_ready():
    """A VM starts, and a ticket for another service is pushed to it. If it took this
    for the whole state, it would assume that no ticket exists for its own service."""
    now = [100.0]
    new, old = make_replication("new", now), make_replication("old", now)

    async def run():
        async with ChannelFor([PeersService(new, lambda req: None)]) as channel:
            await old.push(channel, [assignment(9, "b")])

    asyncio.run(run())
    assert len(new.state) == 1
    assert not new.ready


def test_state_of_one_formerly_suspended_peer_is_not_sufficient():
    """An entry was suspended for a minute, and the table is down. A starting VM that
    queries this entry first must not load weights that were superseded meanwhile."""
    now = [100.0]
    new, suspended, awake = (
        make_replication(vm, now) for vm in ("new", "thawed", "awake")
    )

    async def run():
        await poll(suspended, 1, assignment(1))
        now[0] += 60.0
        await poll(awake, 2, assignment(2))
        now[0] += 10.0
        await sync(new, suspended)
        assert not new.ready
        await sync(new, awake)

    asyncio.run(run())
    assert new.ready
    assert new.state.newest(assignment(2).change.key).ticket == 2


def test_scan_that_lags_behind_the_head_is_repeated():
    """The head row includes ticket 2, but the scan doesn't return it yet. If ticket 2
    counted as read, it would never be read, and the VM would stay at ticket 1."""
    now = [100.0]
    replication = make_replication("vm", now)

    async def run():
        await poll(replication, 2, assignment(1))
        assert not replication.ready
        await poll(replication, 2, assignment(2))

    asyncio.run(run())
    assert replication.ready
    assert replication.state.newest(assignment(2).change.key).ticket == 2


def test_comparison_repairs_a_lost_push():
    now = [100.0]
    one, other = make_replication("one", now), make_replication("other", now)

    async def run():
        await poll(one, 3, assignment(1, "a"), assignment(2, "b"), assignment(3, "c"))
        # The push of ticket 2 was lost, that of ticket 3 was received.
        other.merge([assignment(1, "a"), assignment(3, "c")])
        await sync(other, one)

    asyncio.run(run())
    assert other.state.state_hash() == one.state.state_hash()
    assert other.state.sequence == 3
