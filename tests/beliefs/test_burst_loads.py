"""Loads of one desk's drafts, each with what it is answered by and without it.

The loads are those of a fleet whose engines carry the traffic with a fifth to spare: in
the seconds before added engines hold weights, while engines are replaced or swap
weights, and after everything was gone. Engines follow their published costs.
"""

import pytest
from attrs import evolve
from wasabideck_lab.burst_command import LOADS
from wasabideck_lab.burst_model import play
from wasabideck_lab.burst_policies import LeastInProgress, Product, RoundRobin
from wasabideck_policy import placement
from wasabideck_policy.late_lane import LateLane
from wasabideck_policy.waves import DRAIN_SECONDS, wave_delay

SEEDS = range(5)


def mean(load, policy, part):
    plays = [play(load, policy, seed) for seed in SEEDS]
    return sum(getattr(result, part) for result in plays) / len(plays)


@pytest.mark.parametrize("load", ["added-late", "too-few", "replaced"])
def test_under_too_much_load_more_is_in_time_than_with_plain_policies(load):
    in_time = mean(LOADS[load], Product, "in_time")
    for plain in (RoundRobin, LeastInProgress):
        assert in_time > mean(LOADS[load], plain, "in_time") + 0.01


def test_an_empty_engine_is_not_buried_under_prompts(monkeypatch):
    # Engines are replaced one after the other, and the first of the new ones is back
    # while the others are full. All entries see an empty engine; it gets a batch of
    # prompts within 0.3 s, reads them for 0.8 s, and each of its callers is late.
    counted = mean(LOADS["replaced"], Product, "in_time")
    monkeypatch.setattr(placement, "UNREAD_WEIGHT", 0.0)
    assert counted > mean(LOADS["replaced"], Product, "in_time") + 0.02


def test_what_an_outage_made_late_holds_up_nobody_for_long(monkeypatch):
    # Everything loses power for two seconds. Whoever waited meanwhile, or was cut off,
    # comes at once, takes all places of the engines that are back, and makes those
    # late that come after. Window by window from the end of the outage on.
    def after():
        plays = [play(LOADS["outage"], Product, seed).windows for seed in SEEDS]
        return sum(sum(windows[5:8]) / 3 for windows in plays) / len(plays)

    one_by_one = after()
    monkeypatch.setattr(LateLane, "has_room", lambda lane, engines, entries: True)
    assert one_by_one > after() + 0.05


def test_a_swap_costs_less_when_long_streams_go_on_elsewhere():
    # All engines stop for newer weights. Each ends the streams that it has first, and
    # the longest of them keeps 15 idle places for two seconds.
    ending = evolve(LOADS["swap"], drain_seconds=float("inf"))
    moving = LOADS["swap"]
    assert mean(moving, Product, "worst") > mean(ending, Product, "worst") + 0.05


def test_engines_that_stop_in_turns_lose_less_in_the_worst_seconds():
    # They have the newer weights at the same moment, and all stop at once.
    in_turns = LOADS["swap"]
    calm, busier, swap = in_turns.phases
    at_once = evolve(
        in_turns, phases=(calm, busier, evolve(swap, swaps=(0.0,) * swap.engines))
    )
    assert mean(in_turns, Product, "worst") > mean(at_once, Product, "worst")


VMS = [f"vm-{i}" for i in range(12)]


def delays(spare, vms=VMS):
    return sorted({wave_delay(vm, 2, vms, 0.3, spare) for vm in vms})


def test_waves_fit_into_the_time_that_is_left():
    assert delays(0.0) == delays(-3.0) == [0.0]
    assert len(delays(2.0)) == 2
    for spare in (0.5, 2.0, 5.0, 60.0):
        assert delays(spare)[-1] <= spare


def test_waves_are_of_the_same_size_and_come_after_each_other():
    each = [wave_delay(vm, 2, VMS, 0.3, 2.0) for vm in VMS]
    assert each.count(0.0) == len(VMS) // 2
    assert delays(2.0)[1] > DRAIN_SECONDS + 0.3
    assert delays(60.0, ["vm-0"]) == [0.0]
