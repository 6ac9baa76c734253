"""Commands ``distribute`` and ``decision_costs``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import orjson

from .decision_costs import measure_decisions
from .distribute import DISTRIBUTION_POLICIES, run_distribute
from .plot import draw_svg
from .rollout import Plan

__all__ = ["decisions", "distribute"]


def distribute(
    replicas: int = 8,
    regions: int = 1,
    profile: str = "time",
    policy: str = "swarm",
    faults: str = "",
    seed: int = 1,
    chunks: int = 128,
    copy_seconds: float = 16.0,
    json: bool = False,
    plot: str = "",
) -> None:
    """Roll out weights to N replicas over rate-limited links, and measure it.

    Parameters
    ----------
    replicas, regions : int
        Number of agents, and number of regions that they are distributed over.
    profile : str
        ``time`` or ``origin-bytes``.
    policy : str
        ``swarm``, a baseline (``origin``, ``tree``, ``random``), several of them
        separated by commas, or ``all``.
    faults : str
        For example ``kill=0.1,corrupt=0.01``: fraction of the agents that are killed,
        and fraction of the chunks that are sent with a flipped byte.
    copy_seconds : float
        Time in which the link of a VM carries one copy of the weights.
    json : bool
        Print one JSON object per run.
    plot : str
        Path of an SVG file to write, with a plot of verified replicas over time.
    """
    name_values = [fault.split("=") for fault in faults.split(",") if fault]
    fault_fractions = {name: float(fraction) for name, fraction in name_values}
    if unknown := set(fault_fractions) - {"kill", "corrupt"}:
        sys.exit(f"distribute: unknown faults {sorted(unknown)}; known: kill, corrupt")
    names = policy.split(",")
    names = DISTRIBUTION_POLICIES if policy == "all" else names
    rows = []
    for name in names:
        plan = Plan(
            replicas,
            regions,
            profile,
            name,
            seed,
            chunks,
            copy_seconds=copy_seconds,
            **fault_fractions,
        )
        rows.append(asyncio.run(run_distribute(plan)))
        without_curve = {k: v for k, v in rows[-1].items() if k != "curve"}
        print(
            orjson.dumps(without_curve).decode() if json else without_curve, flush=True
        )
    if plot:
        Path(plot).write_text(draw_svg(rows))


def decisions(seed: int = 1, json: bool = False) -> None:
    """Measure the cost of the decisions of one transfer, with 16 to 2,100 known VMs."""
    for row in measure_decisions(seed):
        print(orjson.dumps(row).decode() if json else row, flush=True)
