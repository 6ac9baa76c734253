"""The command ``python -m wasabideck_lab load``."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterable

import orjson
from wasabideck_policy.routing import POLICIES

from .load import LOAD_FAULTS, run_load
from .load_mix import DEPLOYMENTS

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
    """Drive a deployment with an open loop, and print what callers saw.

    Parameters
    ----------
    deployment : str
        ``printing`` or ``rent``.
    policy : str
        Routing policies, with commas between them; ``all`` is every one.
    burst : str or float
        Arrivals over capacity; several with commas between them.
    faults : str
        Faults, with commas between them.
    seconds : float
        Length of each run.
    seed : int
        Seed of arrivals and faults.
    json : bool
        Print one JSON object a run.
    """
    policies = list(POLICIES) if policy == "all" else _names(policy)
    _check("deployment", {deployment}, DEPLOYMENTS)
    _check("policy", set(policies), POLICIES)
    _check("faults", set(_names(faults)), LOAD_FAULTS)
    bursts = [float(value) for value in _names(burst)]
    for fault, times, name in itertools.product(_names(faults), bursts, policies):
        row = run_load(deployment, name, times, fault, seconds, seed)
        print(_shown(asyncio.run(row), json), flush=True)


def _names(text: object) -> list[str]:
    # fire makes a tuple of values with commas between them.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    return [str(part) for part in parts]


def _check(what: str, names: set[str], known: Iterable[str]) -> None:
    if unknown := names - set(known):
        sys.exit(f"load: no {what} {sorted(unknown)}; {sorted(known)}")


def _shown(row: dict, json: bool) -> str:
    if json:
        return orjson.dumps(row).decode()
    short = {k: v for k, v in row.items() if k not in ("classes", "organisations")}
    lines = [str(short)]
    for name, group in (row["classes"] | row["organisations"]).items():
        lines.append(f"  {name:<22} {group}")
    return "\n".join(lines)
