"""Runs fault scenarios against the real binaries and audits the results."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from attrs import asdict, define, evolve, field

from .audit import Audit, audit
from .caller_traffic import Traffic
from .demo import (
    SERVICES,
    submit_ticket,
    wait_in_effect,
    wait_serving,
    write_first_ticket,
)
from .lab_fleet import LabFleet
from .random_weights import generate_weights
from .relay import Relay

__all__ = ["SCENARIOS", "ScenarioContext", "run_scenario", "register_scenario"]

REQUESTS = 1000
CHUNKS = 32
CHUNK_BYTES = 4096
# Requests take long enough that every fault affects requests in progress.
TOKEN_SECONDS = 0.02
PLAIN_SECONDS = 0.1

Scenario = Callable[["ScenarioContext"], Awaitable[None]]

SCENARIOS: dict[str, Scenario] = {}


@define
class ScenarioContext:
    """A fleet with ticket 1 in effect, and the traffic sent while faults are active.

    Attributes
    ----------
    killed : set of str
        VMs whose processes the scenario killed. Their exit codes are ignored.
    problems : list of str
        Descriptions of what went wrong. A scenario with problems is not clean.
    figures : dict of str to float
        Measurements of a scenario, by name.
    relays : dict of str to Relay
        Relays in front of agents, by VM.
    """

    lab: LabFleet
    traffic: Traffic
    rng: random.Random
    folder: Path
    killed: set[str] = field(factory=set)
    problems: list[str] = field(factory=list)
    figures: dict[str, float] = field(factory=dict)
    relays: dict[str, Relay] = field(factory=dict)

    async def insert_relays(self, *vms: str) -> None:
        """Put a relay in front of agents, and replace their addresses on the list."""
        for vm in vms:
            relay = Relay(lambda vm=vm: self.lab.processes[vm].inner_address)
            await relay.start()
            self.relays[vm] = relay
            self.lab.members.put_member(
                evolve(self.lab.listed_member(vm), address=relay.address)
            )

    def kill(self, *vms: str) -> None:
        """Kill the processes of VMs."""
        for vm in vms:
            self.killed.add(vm)
            self.lab.processes[vm].kill()

    async def suspend(self, seconds: float, *vms: str) -> None:
        """Suspend the processes of VMs for some seconds."""
        for vm in vms:
            self.lab.processes[vm].suspend()
        await asyncio.sleep(seconds)
        for vm in vms:
            self.lab.processes[vm].resume()

    def entry_vms(self) -> list[str]:
        """Return the VM names of all entries."""
        return sorted(vm for vm in self.lab.processes if vm.startswith("entry"))

    def unbound_session(self) -> aiohttp.ClientSession:
        """Return a client session for requests to any entry."""
        return aiohttp.ClientSession()

    def entry_session(self, vm: str = "entry-1") -> aiohttp.ClientSession:
        """Return a client session for requests to one entry."""
        return aiohttp.ClientSession(f"http://{self.lab.processes[vm].http_address}")


def register_scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Return a decorator that registers a scenario under a name."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        return function

    return register


async def run_scenario(
    name: str, seed: int, requests: int = REQUESTS, rate: float = 100.0
) -> dict:
    """Run one scenario under traffic, and return its audit as a row with ``clean``."""
    with tempfile.TemporaryDirectory() as folder:
        context = await _start_context(Path(folder), seed, rate)
        try:
            running = asyncio.create_task(context.traffic.run(requests))
            await SCENARIOS[name](context)
            await running
            result = audit(context.lab, context.traffic.results)
        finally:
            exit_codes = await context.lab.close()
            for relay in context.relays.values():
                await relay.close()
    return _result_row(name, seed, result, context, exit_codes)


def _result_row(
    name: str, seed: int, result: Audit, context: ScenarioContext, exit_codes: dict
) -> dict:
    for vm, code in exit_codes.items():
        if code and vm not in context.killed:
            context.problems.append(f"{vm} exited with {code}")
    clean = result.clean and not context.problems
    row = {"scenario": name, "seed": seed, "clean": clean} | asdict(result)
    return row | {"problems": context.problems, "figures": context.figures}


async def _start_context(folder: Path, seed: int, rate: float) -> ScenarioContext:
    lab = LabFleet(
        folder, seed, token_seconds=TOKEN_SECONDS, plain_seconds=PLAIN_SECONDS
    )
    await lab.start_platform()
    digest = lab.publish(*generate_weights("drafter", "v1", CHUNKS, CHUNK_BYTES, seed))
    await asyncio.gather(*(lab.start_entry(f"entry-{i}", SERVICES) for i in (1, 2, 3)))
    await asyncio.gather(
        *(lab.start_engine_vm(f"draft-{i}", "drafting") for i in (1, 2, 3)),
        *(lab.start_plain_service_vm(f"order-{i}", "orders") for i in (1, 2, 3)),
    )
    rng = random.Random(seed)

    def entry_addresses() -> list[str]:
        entries = (p for vm, p in lab.processes.items() if vm.startswith("entry"))
        return [p.http_address for p in entries if p.subprocess.returncode is None]

    context = ScenarioContext(lab, Traffic(entry_addresses, rng, rate), rng, folder)
    async with context.entry_session() as session:
        await submit_ticket(session, write_first_ticket(folder, digest))
        await wait_in_effect(session, 1, 3)
    for vm in context.entry_vms():
        async with context.entry_session(vm) as session:
            await wait_serving(session, 6)
    return context
