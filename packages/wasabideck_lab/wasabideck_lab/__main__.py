"""Command line of the lab: ``python -m wasabideck_lab COMMAND``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import orjson
from wasabideck_base.command_line import commands, run_commands
from wasabideck_base.process import run_process

from . import scenarios_answers, scenarios_tickets  # noqa: F401  (they register)
from .burst_ablation import ablation
from .burst_command import bursts
from .capacity import MEASUREMENTS, measure_all
from .claims_run import run_claims
from .demo import DemoFailed, run_demo
from .distribute_command import decisions, distribute
from .faults import FAULTS
from .faults_run import SCENARIOS, run_scenario
from .in_force import measure_in_force
from .load_command import load
from .losses import losses
from .overhead import measure_overhead
from .playground import run_playground
from .samples import write_samples

__all__ = ["main"]


@commands
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

    def playground(self, folder: str = "playground", seed: int = 0) -> None:
        """Run a small fleet until Ctrl-C, to try the commands on.

        Parameters
        ----------
        folder : str
            Folder that gets settings, tickets, access file and event files.
        seed : int
            Seed of the made-up weights.
        """
        run_process(lambda stop: run_playground(Path(folder), stop, seed))

    def write_samples(self, folder: str = "samples") -> None:
        """Write the sample settings of the two users' deployments.

        Parameters
        ----------
        folder : str
            Folder that gets one folder a deployment.
        """
        print(f"{write_samples(Path(folder))} files in {folder}")

    def list_faults(self) -> None:
        """List the faults that stand-ins can be switched to."""
        print(_faults_listed())

    def claims(
        self, rate: float = 300.0, seconds: float = 3.0, table_seconds: float = 0.02
    ) -> None:
        """Take claims with few or many transactions under way; their number and waits.

        Parameters
        ----------
        rate : float
            Claims a second at one agent.
        seconds : float
            How long.
        table_seconds : float
            What the table takes for one transaction.
        """
        for senders in (1, 2, 4, 1000):
            row = asyncio.run(run_claims(rate, seconds, table_seconds, senders))
            print(orjson.dumps(row).decode(), flush=True)

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

    ablation = staticmethod(ablation)
    bursts = staticmethod(bursts)
    distribute = staticmethod(distribute)
    decisions = staticmethod(decisions)
    load = staticmethod(load)
    losses = staticmethod(losses)

    def capacity(self, only: str = "all", json: bool = False) -> None:
        """Measure the slopes that docs/CAPACITY.md is worked out from.

        Parameters
        ----------
        only : str
            Name of one measurement, or ``all``.
        json : bool
            Print JSON.
        """
        names = list(MEASUREMENTS) if only == "all" else [only]
        for row in asyncio.run(measure_all(names)):
            print(orjson.dumps(row).decode() if json else row, flush=True)

    def in_force(self, json: bool = False) -> None:
        """Measure the time from a ticket's acceptance to in force, by fleet size.

        Parameters
        ----------
        json : bool
            Print JSON.
        """
        for row in asyncio.run(measure_in_force()):
            print(orjson.dumps(row).decode() if json else row, flush=True)

    def overhead(self, json: bool = False) -> None:
        """Measure start-up, idle memory and added latency of the path.

        Parameters
        ----------
        json : bool
            Print JSON.
        """
        row = asyncio.run(measure_overhead())
        print(orjson.dumps(row).decode() if json else row)


def main() -> None:
    """Run the lab's command line."""
    name = "python -m wasabideck_lab"
    run_commands(_Commands(), name, more_help=_faults_listed())


def _faults_listed() -> str:
    lines = (f"    {name:<14} {meaning}" for name, meaning in FAULTS.items())
    return "\n".join(["FAULTS", "    Switches of the stand-ins:", "", *lines])


if __name__ == "__main__":
    main()
