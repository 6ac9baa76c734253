"""Command line of the lab: ``python -m wasabideck_lab COMMAND``."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Iterable

import fire
import orjson
from wasabideck_policy.routing import POLICIES

from . import scenarios_answers, scenarios_tickets  # noqa: F401  (they register)
from .demo import DemoFailed, run_demo
from .faults import FAULTS
from .faults_run import SCENARIOS, run_scenario
from .load import LOAD_FAULTS, run_load
from .load_mix import DEPLOYMENTS

__all__ = ["main"]


class _Commands:
    """Stand-ins, load generator and experiments; not shipped."""

    def demo(self) -> None:
        """Run the main job on an embedded default and print its report."""
        try:
            code = run_demo()
        except DemoFailed as exc:
            sys.exit(f"demo: failed: {exc}")
        if code:
            sys.exit(code)

    def list_faults(self) -> None:
        """List the faults that stand-ins can be switched to."""
        for name, meaning in FAULTS.items():
            print(f"{name:<14} {meaning}")

    def faults(
        self,
        scenario: str = "all",
        seed: int = 1,
        requests: int = 1000,
        json: bool = False,
    ) -> None:
        """Run fault scenarios against the real binaries, and audit them.

        Parameters
        ----------
        scenario : str
            Name of one scenario, or ``all``.
        seed : int
            Seed of the traffic and the faults.
        requests : int
            Requests sent while the faults strike.
        json : bool
            Print one JSON object a scenario.
        """
        names = sorted(SCENARIOS) if scenario == "all" else [scenario]
        unknown = set(names) - SCENARIOS.keys()
        if unknown:
            sys.exit(f"faults: no scenario {sorted(unknown)}; {sorted(SCENARIOS)}")
        dirty = 0
        for name in names:
            row = asyncio.run(run_scenario(name, seed, requests))
            dirty += not row["clean"]
            print(orjson.dumps(row).decode() if json else row, flush=True)
        if dirty:
            sys.exit(f"faults: {dirty} scenarios are not clean")

    def load(
        self,
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


def main() -> None:
    """Run the lab's command line."""
    fire.Fire(_Commands(), name="python -m wasabideck_lab")


if __name__ == "__main__":
    main()
