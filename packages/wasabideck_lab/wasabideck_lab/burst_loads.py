"""Loads of the burst model, and the command that compares policies under them."""

from __future__ import annotations

from statistics import mean, stdev

import orjson
from wasabideck_policy.rollout_waves import DRAIN_SECONDS, rollout_delay

from .burst_model import BurstModel, DraftKind, Phase, simulate
from .burst_policies import POLICIES

__all__ = ["LOADS", "bursts"]

# Statements, explanations and summaries that a terminal's invoicing desk requests.
INVOICING_KINDS = (
    DraftKind(36.0, 2.4, 0.6, 0.505, 1290, 101),
    DraftKind(27.2, 2.0, 0.49, 0.404, 787, 101),
    DraftKind(25.3, 1.5, 0.37, 0.404, 607, 70),
)
ENGINES = 12


def _swap_delays(engines: int, spare_seconds: float) -> tuple[float, ...]:
    """Return when each engine stops for a swap, in seconds, as its agent decides.

    Parameters
    ----------
    spare_seconds : float
        Time that is left for the swaps of all engines.
    """
    vms = [f"vm-{i}" for i in range(engines)]
    return tuple(rollout_delay(vm, 2, vms, 0.3, spare_seconds) for vm in vms)


_RAMP_UP = (Phase(0.0, 0.55), Phase(6.0, 0.7), Phase(7.5, 0.85), Phase(9.0))
_NEW_ENGINES = tuple(Phase(6.5 + 0.25 * i, 1.0, 5 + i) for i in range(8))

LOADS: dict[str, BurstModel] = {
    # Traffic reaches its full rate before the added engines hold weights.
    "added-late": BurstModel(
        INVOICING_KINDS,
        (*_RAMP_UP, Phase(10.5, 1.0, 9), Phase(12.0, 1.0, 12)),
        seconds=18.0,
    ),
    # Engines are replaced one by one; each new engine starts empty.
    "replaced": BurstModel(
        INVOICING_KINDS,
        (Phase(0.0, 0.5), Phase(4.0, 0.8, 5), Phase(5.5, 1.0, 4), *_NEW_ENGINES),
        seconds=14.0,
    ),
    # There are two thirds of the engines that the traffic needs.
    "too-few": BurstModel(
        INVOICING_KINDS, (Phase(0.0, 0.6, 8), Phase(2.0, 1.0, 8)), seconds=14.0
    ),
    "enough": BurstModel(
        INVOICING_KINDS, (Phase(0.0, 0.6, 10), Phase(2.0, 1.0, 10)), seconds=16.0
    ),
    # All engines load newer weights within two seconds.
    "swap": BurstModel(
        INVOICING_KINDS,
        (
            Phase(0.0, 0.6, ENGINES),
            Phase(2.0, 1.0, ENGINES),
            Phase(6.0, 1.0, ENGINES, _swap_delays(ENGINES, 2.0)),
        ),
        seconds=16.0,
        drain_seconds=DRAIN_SECONDS,
    ),
    # All engines lose power and are available again after 1.8 s.
    "outage": BurstModel(
        INVOICING_KINDS,
        (
            Phase(0.0, 0.6, ENGINES),
            Phase(2.0, 1.0, ENGINES),
            Phase(8.0, 1.0, 0),
            Phase(9.8, 1.0, ENGINES),
        ),
        seconds=20.0,
    ),
}


def bursts(load: str = "all", seeds: int = 8, json: bool = False) -> None:
    """Compare policies under modelled loads by the fraction of the value they earn.

    Parameters
    ----------
    load : str
        Name of one load, or ``all``.
    seeds : int
        Number of seeds for each pair of load and policy, at least two.
    json : bool
        Print one JSON object per pair.
    """
    names = list(LOADS) if load == "all" else [load]
    for name in names:
        for policy in POLICIES:
            row = _compare(name, policy, max(seeds, 2))
            print(orjson.dumps(row).decode() if json else _format_row(row), flush=True)


def _compare(load: str, policy: str, seeds: int) -> dict:
    results = [simulate(LOADS[load], POLICIES[policy], seed) for seed in range(seeds)]
    earned = [result.earned for result in results]
    worst = [result.worst for result in results]
    return {
        "load": load,
        "policy": policy,
        "seeds": seeds,
        "earned": round(mean(earned), 3),
        "earned_spread": round(stdev(earned), 3),
        "worst": round(mean(worst), 3),
        "worst_spread": round(stdev(worst), 3),
        "in_time": round(mean(result.in_time for result in results), 3),
        "late": round(mean(result.late for result in results), 3),
        "lost": round(mean(result.lost for result in results), 3),
    }


def _format_row(row: dict) -> str:
    return (
        f"{row['load']:<11} {row['policy']:<18} "
        f"earned {row['earned']:.3f} +-{row['earned_spread']:.3f}  "
        f"worst {row['worst']:.3f} +-{row['worst_spread']:.3f}  "
        f"in time {row['in_time']:.3f}  late {row['late']:.3f}  lost {row['lost']:.3f}"
    )
