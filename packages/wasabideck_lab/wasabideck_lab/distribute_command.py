"""Commands ``distribute`` and ``decisions``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import orjson

from .decisions import measure_decisions
from .distribute import POLICIES, run_distribute
from .plot import draw
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
    """Roll weights out to N replicas over paced links, and measure it.

    Parameters
    ----------
    replicas, regions : int
        Agents that are started, and the regions that they are spread over.
    profile : str
        ``time`` or ``origin-bytes``.
    policy : str
        ``swarm``, a baseline (``origin``, ``tree``, ``random``), several with
        commas between them, or ``all``.
    faults : str
        Such as ``kill=0.1,corrupt=0.01``: share of agents killed, and of the
        chunks sent with a flipped byte.
    copy_seconds : float
        Time in which a machine's link carries one copy.
    json : bool
        Print one JSON object a run.
    plot : str
        File for a picture (SVG) of replicas over time.
    """
    shares = [fault.split("=") for fault in faults.split(",") if fault]
    struck = {name: float(share) for name, share in shares}
    if unknown := set(struck) - {"kill", "corrupt"}:
        sys.exit(f"distribute: no fault {sorted(unknown)}; kill, corrupt")
    names = policy.split(",")
    names = POLICIES if policy == "all" else names
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
            **struck,
        )
        rows.append(asyncio.run(run_distribute(plan)))
        shown = {k: v for k, v in rows[-1].items() if k != "curve"}
        print(orjson.dumps(shown).decode() if json else shown, flush=True)
    if plot:
        Path(plot).write_text(draw(rows))


def decisions(seed: int = 1, json: bool = False) -> None:
    """Measure what the decisions of one transfer cost, at 16 to 2,100 known VMs."""
    for row in measure_decisions(seed):
        print(orjson.dumps(row).decode() if json else row, flush=True)
