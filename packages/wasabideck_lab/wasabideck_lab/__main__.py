"""Command line of the lab: ``python -m wasabideck_lab COMMAND``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import fire
import orjson

from . import scenarios_answers, scenarios_tickets  # noqa: F401  (they register)
from .demo import DemoFailed, run_demo
from .distribute import POLICIES, Plan, run_distribute
from .faults import FAULTS
from .faults_run import SCENARIOS, run_scenario
from .plot import draw

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

    def distribute(
        self,
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
        names = policy if isinstance(policy, tuple) else str(policy).split(",")
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


def main() -> None:
    """Run the lab's command line."""
    fire.Fire(_Commands(), name="python -m wasabideck_lab")


if __name__ == "__main__":
    main()
