"""Chunks that a VM with a narrow link was to bring into its region."""

import pytest
from wasabideck_policy.distribution import (
    OVERDUE_COPIES,
    OVERDUE_FLOOR_SECONDS,
    may_reach_out,
)
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.views import Limits, View, hear, set_members

CHUNKS = 48
SLOT = 0.1
OVERDUE = OVERDUE_COPIES * CHUNKS * SLOT


@pytest.fixture
def view():
    """A VM's view of a transfer beside three others of its region."""
    digests = [f"d{i}" for i in range(CHUNKS)]
    made = View("a", digests, 0.0, "r", limits=Limits(slot=SLOT, patience=2.0))
    near = [Member(vm, AGENT, f"{vm}:1", "r", "dc") for vm in "bcd"]
    set_members(made, "m", [*near, Member("far", AGENT, "far:1", "r2", "dc2")])
    return made


def second_in_rank(view):
    return next(i for i in range(CHUNKS) if view.bringers.places[i] == 1)


def trickle(view, until):
    """One chunk of the slow VM comes every second: there is always some progress."""
    held, now = 0, 0.0
    while now < until:
        held = held << 1 | 1
        hear(view, "b", held, now)
        now += 1.0


def test_the_next_in_rank_brings_what_a_slow_vm_does_not(view):
    # A VM's link narrows to a quarter. The others of its region had all but its chunks
    # after five seconds, and had the last of them from it after nine: each one that
    # came was progress, and nobody stepped in.
    index = second_in_rank(view)
    trickle(view, OVERDUE + 0.2)
    assert not may_reach_out(view, view.bringers, index, OVERDUE - 0.1)
    assert may_reach_out(view, view.bringers, index, OVERDUE + 0.1)


def test_the_others_in_rank_leave_it_to_the_second_at_first(view):
    third = next(i for i in range(CHUNKS) if view.bringers.places[i] == 2)
    trickle(view, 3 * OVERDUE + 1.0)
    assert not may_reach_out(view, view.bringers, third, 3 * OVERDUE - 0.1)
    assert may_reach_out(view, view.bringers, third, 3 * OVERDUE + 0.1)


def test_on_a_fast_link_nobody_is_late_within_its_latencies(view):
    view.limits = Limits(slot=0.001, patience=2.0)
    index = second_in_rank(view)
    trickle(view, 1.0)
    assert not may_reach_out(view, view.bringers, index, OVERDUE_FLOOR_SECONDS - 0.1)
