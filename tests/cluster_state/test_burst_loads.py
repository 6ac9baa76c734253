"""Loads of one kind of request (drafts), with and without each mechanism.

In these loads, the engines of a deployment have a fifth more capacity than the traffic
needs: before added engines hold weights, while engines are replaced or swap weights,
and after an outage of everything. The modelled engines follow their published costs.
"""

import pytest
from attrs import evolve
from wasabideck_lab.burst_loads import LOADS
from wasabideck_lab.burst_model import simulate
from wasabideck_lab.burst_policies import (
    LeastInProgressPolicy,
    ProductPolicy,
    RoundRobinPolicy,
)
from wasabideck_policy import placement
from wasabideck_policy.late_requests import LateRequestLimiter
from wasabideck_policy.rollout_waves import DRAIN_SECONDS, rollout_delay

SEEDS = range(5)


def mean(load, policy, name):
    results = [simulate(load, policy, seed) for seed in SEEDS]
    return sum(getattr(result, name) for result in results) / len(results)


@pytest.mark.parametrize("load", ["added-late", "too-few", "replaced"])
def test_under_overload_more_requests_are_in_time_than_with_plain_policies(load):
    in_time = mean(LOADS[load], ProductPolicy, "in_time")
    for plain in (RoundRobinPolicy, LeastInProgressPolicy):
        assert in_time > mean(LOADS[load], plain, "in_time") + 0.01


def test_an_empty_engine_is_not_overloaded_with_prompts(monkeypatch):
    # Engines are replaced one after the other, and the first new one is ready while the
    # others are full. All entries see an empty engine; it gets a batch of prompts
    # within 0.3 s, reads them for 0.8 s, and all of these requests are late.
    weighted = mean(LOADS["replaced"], ProductPolicy, "in_time")
    monkeypatch.setattr(placement, "UNREAD_PROMPT_REQUESTS", 0.0)
    assert weighted > mean(LOADS["replaced"], ProductPolicy, "in_time") + 0.02


def test_late_requests_after_an_outage_do_not_delay_others_for_long(monkeypatch):
    # Everything loses power for two seconds. Requests that waited meanwhile, or were
    # aborted, arrive at once, take all slots of the restarted engines, and make the
    # following requests late. The windows start at the end of the outage.
    def after():
        results = [
            simulate(LOADS["outage"], ProductPolicy, seed).windows for seed in SEEDS
        ]
        return sum(sum(windows[5:8]) / 3 for windows in results) / len(results)

    limited = after()
    monkeypatch.setattr(
        LateRequestLimiter, "may_send", lambda lane, engines, entries: True
    )
    assert limited > after() + 0.05


def test_a_swap_costs_less_if_long_streams_continue_elsewhere():
    # All engines stop to load newer weights. Each first completes its streams, and the
    # longest of them keeps 15 slots idle for two seconds.
    ending = evolve(LOADS["swap"], drain_seconds=float("inf"))
    moving = LOADS["swap"]
    assert (
        mean(moving, ProductPolicy, "worst")
        > mean(ending, ProductPolicy, "worst") + 0.05
    )


def test_staggered_swaps_cost_less_in_the_worst_seconds():
    # All engines receive the newer weights at the same time, and would all stop at
    # once.
    staggered = LOADS["swap"]
    calm, busier, swap = staggered.phases
    at_once = evolve(
        staggered,
        phases=(calm, busier, evolve(swap, swap_delays=(0.0,) * swap.engines)),
    )
    assert mean(staggered, ProductPolicy, "worst") > mean(
        at_once, ProductPolicy, "worst"
    )


VMS = [f"vm-{i}" for i in range(12)]


def delays(spare, vms=VMS):
    return sorted({rollout_delay(vm, 2, vms, 0.3, spare) for vm in vms})


def test_rollout_waves_fit_into_the_remaining_time():
    assert delays(0.0) == delays(-3.0) == [0.0]
    assert len(delays(2.0)) == 2
    for spare in (0.5, 2.0, 5.0, 60.0):
        assert delays(spare)[-1] <= spare


def test_rollout_waves_have_equal_sizes_and_follow_each_other():
    each = [rollout_delay(vm, 2, VMS, 0.3, 2.0) for vm in VMS]
    assert each.count(0.0) == len(VMS) // 2
    assert delays(2.0)[1] > DRAIN_SECONDS + 0.3
    assert delays(60.0, ["vm-0"]) == [0.0]
