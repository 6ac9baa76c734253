"""Command line of the lab: ``python -m wasabideck_lab COMMAND``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import orjson
from wasabideck_base.command_line import commands, run_commands
from wasabideck_base.process import run_process

from . import scenarios_requests, scenarios_tickets  # noqa: F401  (registers scenarios)
from .burst_ablation import ablation
from .burst_loads import bursts
from .capacity import MEASUREMENTS, measure_all
from .claim_batching import run_claims
from .crash_series import crash_series
from .demo import DemoFailed, run_demo
from .distribute_command import decisions, distribute
from .fault_scenarios import SCENARIOS, run_scenario
from .faults import FAULTS
from .load_command import load
from .overhead import measure_overhead
from .playground import run_playground
from .request_outcomes import losses
from .sample_settings import write_samples
from .time_to_effect import measure_time_to_effect

__all__ = ["main"]


@commands
class _Commands:
    """Stand-in servers, load generator and experiments; not part of a release."""

    def demo(self) -> None:
        """Run a rollout and two requests on a built-in fleet and print a report."""
        try:
            code = run_demo()
        except DemoFailed as exc:
            sys.exit(f"demo: failed: {exc}")
        if code:
            sys.exit(code)

    def playground(self, folder: str = "playground", seed: int = 0) -> None:
        """Run a small fleet until Ctrl-C, for trying out the commands.

        Parameters
        ----------
        folder : str
            Folder to write settings, tickets, access file and event files to.
        seed : int
            Seed of the generated weights.
        """
        run_process(lambda stop: run_playground(Path(folder), stop, seed))

    def write_samples(self, folder: str = "samples") -> None:
        """Write the sample settings of the two sample deployments.

        Parameters
        ----------
        folder : str
            Folder to write one subfolder per deployment to.
        """
        print(f"{write_samples(Path(folder))} files in {folder}")

    def list_faults(self) -> None:
        """List the faults that can be switched on in stand-ins."""
        print(_faults_help())

    def claims(
        self, rate: float = 300.0, seconds: float = 3.0, table_seconds: float = 0.02
    ) -> None:
        """Take claims with few or many concurrent transactions, and print latencies.

        Parameters
        ----------
        rate : float
            Claims per second at one agent.
        seconds : float
            Duration of each run.
        table_seconds : float
            Duration of one transaction at the table.
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
        """Run fault scenarios against the real binaries, and audit the results.

        Parameters
        ----------
        scenario : str
            Name of one scenario, or ``all``.
        seed : int
            Seed of the traffic and the faults.
        requests : int
            Requests sent while the faults are active.
        json : bool
            Print one JSON object per scenario.
        """
        names = sorted(SCENARIOS) if scenario == "all" else [scenario]
        unknown = set(names) - SCENARIOS.keys()
        if unknown:
            sys.exit(
                f"faults: no scenario {sorted(unknown)}; known: {sorted(SCENARIOS)}"
            )
        failed = 0
        for name in names:
            row = asyncio.run(run_scenario(name, seed, requests))
            failed += not row["clean"]
            print(orjson.dumps(row).decode() if json else row, flush=True)
        if failed:
            sys.exit(f"faults: {failed} scenarios have violations or problems")

    ablation = staticmethod(ablation)
    bursts = staticmethod(bursts)
    crash_series = staticmethod(crash_series)
    distribute = staticmethod(distribute)
    decisions = staticmethod(decisions)
    load = staticmethod(load)
    losses = staticmethod(losses)

    def capacity(self, only: str = "all", json: bool = False) -> None:
        """Measure the slopes from which docs/CAPACITY.md is calculated.

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
        """Measure the time from a ticket's acceptance to in effect, by fleet size.

        Parameters
        ----------
        json : bool
            Print JSON.
        """
        for row in asyncio.run(measure_time_to_effect()):
            print(orjson.dumps(row).decode() if json else row, flush=True)

    def overhead(self, json: bool = False) -> None:
        """Measure start-up time, idle memory and the latency added by the request path.

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
    run_commands(_Commands(), name, more_help=_faults_help())


def _faults_help() -> str:
    lines = (f"    {name:<14} {effect}" for name, effect in FAULTS.items())
    return "\n".join(
        ["FAULTS", "    Faults that stand-ins can be switched to:", "", *lines]
    )


if __name__ == "__main__":
    main()
