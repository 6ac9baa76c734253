"""Servers of a service swap in turn, and a floor of them goes on serving."""

import pytest
from wasabideck_policy.turns import SLOT_SECONDS, WAVES, may_swap, own_turn

STEP = 0.05


def _roll_out(servers, swap_seconds):
    """Most servers that were down at once, and when the last one had swapped."""
    vms = [f"vm-{i}" for i in range(servers)]
    back_at, now, most = {}, 0.0, 0
    while len(back_at) < servers or now < max(back_at.values()):
        for vm in vms:
            down = {other for other, at in back_at.items() if at > now}
            serving = servers - 1 - len(down - {vm})
            if vm in back_at or not own_turn(vm, 7, vms, now):
                continue
            if may_swap(servers - 1, serving):
                back_at[vm] = now + swap_seconds
        most = max(most, sum(at > now for at in back_at.values()))
        now += STEP
    return most, now


@pytest.mark.parametrize("servers", [1, 2, 3, 8, 40])
@pytest.mark.parametrize("swap_seconds", [0.05, 2.0])
def test_a_floor_of_servers_goes_on_serving(servers, swap_seconds):
    most, _ = _roll_out(servers, swap_seconds)
    assert most <= max(1, servers // WAVES)


def test_short_swaps_of_a_large_service_take_one_round():
    _, took = _roll_out(40, 0.05)
    assert took <= WAVES * SLOT_SECONDS + 2 * STEP
