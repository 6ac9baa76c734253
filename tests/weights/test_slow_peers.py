"""Chunks that a VM with a slow link has to fetch into its region."""

import pytest
from wasabideck_policy.fetch_policy import (
    MIN_OVERDUE_SECONDS,
    OVERDUE_COPY_RATIO,
    may_fetch_from_outside,
)
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.transfer_view import (
    FetchLimits,
    TransferView,
    record_holdings,
    set_members,
)

CHUNKS = 48
SLOT_SECONDS = 0.1
OVERDUE_SECONDS = OVERDUE_COPY_RATIO * CHUNKS * SLOT_SECONDS


@pytest.fixture
def view():
    """The view of a transfer of a VM with three other VMs in its region."""
    digests = [f"d{i}" for i in range(CHUNKS)]
    made = TransferView(
        "a",
        digests,
        0.0,
        "r",
        limits=FetchLimits(slot_seconds=SLOT_SECONDS, stall_seconds=2.0),
    )
    local = [Member(vm, AGENT, f"{vm}:1", "r", "dc") for vm in "bcd"]
    set_members(made, "m", [*local, Member("far", AGENT, "far:1", "r2", "dc2")])
    return made


def second_in_rank(view):
    return next(i for i in range(CHUNKS) if view.region_fetchers.positions[i] == 1)


def progress_slowly(view, until):
    """Record one new chunk of the slow VM per second, so there is always progress."""
    held, now = 0, 0.0
    while now < until:
        held = held << 1 | 1
        record_holdings(view, "b", held, now)
        now += 1.0


def test_the_next_in_rank_fetches_what_a_slow_vm_does_not(view):
    # Guards against a region that waits for a VM whose link is reduced to a quarter of
    # its rate. The others of its region had all chunks but its own after five seconds,
    # and the last of them after nine: each chunk counted as progress, so that no other
    # VM fetched the missing ones.
    index = second_in_rank(view)
    progress_slowly(view, OVERDUE_SECONDS + 0.2)
    assert not may_fetch_from_outside(
        view, view.region_fetchers, index, OVERDUE_SECONDS - 0.1
    )
    assert may_fetch_from_outside(
        view, view.region_fetchers, index, OVERDUE_SECONDS + 0.1
    )


def test_later_vms_in_rank_wait_longer_than_the_second(view):
    third = next(i for i in range(CHUNKS) if view.region_fetchers.positions[i] == 2)
    progress_slowly(view, 3 * OVERDUE_SECONDS + 1.0)
    assert not may_fetch_from_outside(
        view, view.region_fetchers, third, 3 * OVERDUE_SECONDS - 0.1
    )
    assert may_fetch_from_outside(
        view, view.region_fetchers, third, 3 * OVERDUE_SECONDS + 0.1
    )


def test_on_a_fast_link_latency_does_not_make_a_vm_overdue(view):
    view.limits = FetchLimits(slot_seconds=0.001, stall_seconds=2.0)
    index = second_in_rank(view)
    progress_slowly(view, 1.0)
    assert not may_fetch_from_outside(
        view, view.region_fetchers, index, MIN_OVERDUE_SECONDS - 0.1
    )
