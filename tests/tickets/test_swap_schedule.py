"""Servers of a service swap in turn, and a minimum of them keeps serving."""

import asyncio
import random

import pytest
from wasabideck_agent.swap_scheduler import SwapScheduler
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.swap_schedule import (
    MAX_SWAP_WAVES,
    SLOT_SECONDS,
    in_own_slot,
    may_swap,
)

STEP = 0.05


def _roll_out(servers, swap_seconds):
    """Return the maximum of servers down at once, and the end of the last swap."""
    vms = [f"vm-{i}" for i in range(servers)]
    back_at, now, max_down = {}, 0.0, 0
    while len(back_at) < servers or now < max(back_at.values()):
        for vm in vms:
            down = {other for other, at in back_at.items() if at > now}
            serving = servers - 1 - len(down - {vm})
            if vm in back_at or not in_own_slot(vm, 7, vms, now):
                continue
            if may_swap(servers - 1, serving):
                back_at[vm] = now + swap_seconds
        max_down = max(max_down, sum(at > now for at in back_at.values()))
        now += STEP
    return max_down, now


@pytest.mark.parametrize("servers", [1, 2, 3, 8, 40])
@pytest.mark.parametrize("swap_seconds", [0.05, 2.0])
def test_a_minimum_of_servers_keeps_serving(servers, swap_seconds):
    max_down, _ = _roll_out(servers, swap_seconds)
    assert max_down <= max(1, servers // MAX_SWAP_WAVES)


def test_short_swaps_of_a_large_service_take_one_round():
    _, took = _roll_out(40, 0.05)
    assert took <= MAX_SWAP_WAVES * SLOT_SECONDS + 2 * STEP


@pytest.mark.parametrize("wall", [0.0, 0.25, 0.5])
def test_a_frozen_server_does_not_delay_the_others(wall):
    """One of three servers is frozen. A ticket took effect on the others only after
    6.8 s: each waited the maximum time for the frozen one to serve again."""
    now = [wall]

    async def query(peer):
        if peer.vm == "frozen":
            now[0] += 0.5
            return None
        return True

    async def sleep(seconds):
        now[0] += seconds

    peers = [Member(vm, AGENT, "h:1") for vm in ("frozen", "other")]
    scheduler = SwapScheduler(
        "me",
        lambda: peers,
        query,
        random.Random(1),
        clock=lambda: now[0],
        wall=lambda: now[0],
        sleep=sleep,
    )
    asyncio.run(scheduler.wait(7, 0.05))
    assert now[0] - wall < 1.8


def test_a_server_that_reports_that_it_does_not_serve_is_waited_for():
    now = [0.0]

    async def query(peer):
        return now[0] > 1.5

    async def sleep(seconds):
        now[0] += seconds

    scheduler = SwapScheduler(
        "me",
        lambda: [Member("other", AGENT, "h:1")],
        query,
        random.Random(1),
        clock=lambda: now[0],
        wall=lambda: now[0],
        sleep=sleep,
    )
    asyncio.run(scheduler.wait(7, 0.05))
    assert now[0] > 1.5
