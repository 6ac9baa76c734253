"""The command ``python -m wasabideck_lab load``."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterable

import orjson
from wasabideck_policy.load_balancing import POLICIES

from .load import LOAD_FAULTS, measure_load
from .load_workload import DEPLOYMENTS

__all__ = ["load"]


def load(
    deployment: str = "rent",
    policy: str = "all",
    burst: str | float = 1.0,
    faults: str = "none",
    seconds: float = 15.0,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Send open-loop load to a deployment, and print the results seen by callers.

    Parameters
    ----------
    deployment : str
        ``printing`` or ``rent``.
    policy : str
        Routing policies, separated by commas; ``all`` selects every policy.
    burst : str or float
        Arrival rate as a multiple of the capacity; several are separated by commas.
    faults : str
        Faults, separated by commas.
    seconds : float
        Duration of each run.
    seed : int
        Seed of the arrivals and the faults.
    json : bool
        Print one JSON object per run.
    """
    policies = list(POLICIES) if policy == "all" else _split_names(policy)
    _check_names("deployment", {deployment}, DEPLOYMENTS)
    _check_names("policy", set(policies), POLICIES)
    _check_names("faults", set(_split_names(faults)), LOAD_FAULTS)
    bursts = [float(value) for value in _split_names(burst)]
    for fault, multiple, name in itertools.product(
        _split_names(faults), bursts, policies
    ):
        row = measure_load(deployment, name, multiple, fault, seconds, seed)
        print(_format_row(asyncio.run(row), json), flush=True)


def _split_names(text: object) -> list[str]:
    # fire converts comma-separated values to a tuple.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    return [str(part) for part in parts]


def _check_names(option: str, names: set[str], known: Iterable[str]) -> None:
    if unknown := names - set(known):
        sys.exit(f"load: unknown {option} {sorted(unknown)}; known: {sorted(known)}")


def _format_row(row: dict, json: bool) -> str:
    if json:
        return orjson.dumps(row).decode()
    without_groups = {
        k: v for k, v in row.items() if k not in ("classes", "organisations")
    }
    lines = [str(without_groups)]
    for name, group in (row["classes"] | row["organisations"]).items():
        lines.append(f"  {name:<22} {group}")
    return "\n".join(lines)
