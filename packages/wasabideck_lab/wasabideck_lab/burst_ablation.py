"""Ablation study of the burst model: switches off one mechanism at a time.

The drop in the score shows what the mechanism contributes under the modelled loads.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from statistics import mean

from attrs import evolve, frozen
from wasabideck_policy import placement
from wasabideck_policy.in_time_share import InTimeShare
from wasabideck_policy.late_requests import LateRequestLimiter

from .burst_loads import LOADS
from .burst_model import BurstModel, DraftKind, simulate
from .burst_policies import ProductPolicy
from .engine_model import EngineCosts

__all__ = ["ablation"]

# Weights in a load's score: of the whole load, and of its two worst windows.
WHOLE_WEIGHT, WORST_WEIGHT = 0.4, 0.6
PREVIOUS_REPORT_INTERVAL_SECONDS = 0.25
NO_DRAIN_LIMIT_SECONDS = float("inf")


@frozen
class Switch:
    """How the model is run without one mechanism.

    Attributes
    ----------
    owner, name, value : object, str, object
        Object, name and new value of the attribute to replace. An empty name replaces
        none.
    change_load : callable
        Returns a load without the mechanism.
    """

    owner: object = None
    name: str = ""
    value: object = None
    change_load: Callable[[BurstModel], BurstModel] = lambda load: load


def _always(*args: object) -> bool:
    return True


def _swap_simultaneously(load: BurstModel) -> BurstModel:
    phases = [evolve(p, swap_delays=(0.0,) * len(p.swap_delays)) for p in load.phases]
    return evolve(load, phases=phases)


# The keys name the mechanism that is switched off, and are printed.
SWITCHES: Mapping[str, Switch] = {
    "nothing": Switch(),
    "draws: all compared": Switch(placement, "SAMPLED_SERVERS", 99),
    "draws: one": Switch(placement, "SAMPLED_SERVERS", 1),
    # The decay of reported loads with their age.
    "fading of what was told": Switch(placement, "LOAD_DECAY_SECONDS", 1e6),
    # The allowance for requests that competing entries send at the same time.
    "herd": Switch(placement, "MAX_COMPETING_RATIO", 0.0),
    "own region first": Switch(placement, "REMOTE_COST_RATIO", 0.0),
    "unread prompts": Switch(placement, "UNREAD_PROMPT_REQUESTS", 0.0),
    # The limit on requests that are counted as in time.
    "not ahead of two slots": Switch(placement, "MAX_IN_TIME_RATIO", 9.0),
    "limit of queues": Switch(placement, "MAX_QUEUE_RATIO", 9.0),
    # The limit on the share of requests that are sent ahead of others.
    "sent ahead (all are)": Switch(InTimeShare, "draw_sent_ahead", _always),
    # The limit on late requests that are sent at the same time.
    "late ones in turn": Switch(LateRequestLimiter, "may_send", _always),
    # The shorter interval between engine reports.
    "news ten times a second": Switch(
        change_load=lambda load: evolve(
            load, report_interval_seconds=PREVIOUS_REPORT_INTERVAL_SECONDS
        )
    ),
    # The migration of running streams off an engine that is about to swap.
    "streams leave a swap": Switch(
        change_load=lambda load: evolve(load, drain_seconds=NO_DRAIN_LIMIT_SECONDS)
    ),
    # The swaps in waves: without them, all engines swap simultaneously.
    "waves": Switch(change_load=_swap_simultaneously),
}

# Briefs, notes and replies of a printing desk, which has shorter target times and
# faster engines.
_PRINTING_KINDS = (
    DraftKind(40.0, 2.4, 0.61, 0.406, 1290, 126),
    DraftKind(28.8, 2.1, 0.52, 0.406, 787, 126),
    DraftKind(31.0, 1.4, 0.35, 0.305, 607, 72),
)
_PRINTING_COSTS = EngineCosts(
    step_seconds=0.0074, prompt_tokens_per_second=31_900.0, steps_per_pass=6
)


def ablation(seeds: int = 6, desk: str = "invoicing") -> None:
    """Switch one mechanism off at a time and print the value earned under each load.

    Parameters
    ----------
    seeds : int
        Number of seeds with which each load is simulated.
    desk : str
        Desk whose drafts are simulated: ``invoicing`` or ``printing``.
    """
    print(f"{'without':<26}{'all':>7}", *(f"{name:>15}" for name in LOADS))
    for name, switch in SWITCHES.items():
        with _switched_off(switch):
            rows = [
                _mean_scores(switch.change_load(_load_of_desk(desk, load)), seeds)
                for load in LOADS
            ]
        score = mean(WHOLE_WEIGHT * row[0] + WORST_WEIGHT * row[1] for row in rows)
        cells = (f"{earned:>9.3f} {worst:.3f}" for earned, worst in rows)
        print(f"{name:<26}{score:>7.3f}", *cells, flush=True)


def _load_of_desk(desk: str, load: str) -> BurstModel:
    if desk == "invoicing":
        return LOADS[load]
    return evolve(
        LOADS[load],
        kinds=_PRINTING_KINDS,
        costs=_PRINTING_COSTS,
        max_event_interval_seconds=0.3,
        caller_timeout_seconds=2.4,
    )


@contextmanager
def _switched_off(switch: Switch) -> Iterator[None]:
    if not switch.name:
        yield
        return
    original = getattr(switch.owner, switch.name)
    setattr(switch.owner, switch.name, switch.value)
    try:
        yield
    finally:
        setattr(switch.owner, switch.name, original)


def _mean_scores(load: BurstModel, seeds: int) -> tuple[float, float]:
    results = [simulate(load, ProductPolicy, seed) for seed in range(seeds)]
    return mean(r.earned for r in results), mean(r.worst for r in results)
