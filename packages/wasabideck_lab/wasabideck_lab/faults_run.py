"""Runs fault scenarios against the real binaries, and audits them."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from attrs import asdict, define, evolve, field

from .audit import Audit, audit
from .demo import SERVICES, first_ticket, submit, wait_in_force, wait_serving
from .launcher import Lab
from .relay import Relay
from .traffic import Traffic
from .weights import make_weights

__all__ = ["SCENARIOS", "Stage", "run_scenario", "scenario"]

REQUESTS = 1000
CHUNKS = 32
CHUNK_BYTES = 4096
# Long enough that every fault strikes requests in progress.
TOKEN_SECONDS = 0.02
PLAIN_SECONDS = 0.1

Scenario = Callable[["Stage"], Awaitable[None]]

SCENARIOS: dict[str, Scenario] = {}


@define
class Stage:
    """A fleet that serves ticket 1, and the traffic that runs while faults strike.

    Attributes
    ----------
    expected_dead : set of str
        VMs that a scenario ended itself, so that their exit code does not count.
    """

    lab: Lab
    traffic: Traffic
    rng: random.Random
    folder: Path
    expected_dead: set[str] = field(factory=set)
    problems: list[str] = field(factory=list)
    figures: dict[str, float] = field(factory=dict)
    relays: dict[str, Relay] = field(factory=dict)

    async def relay(self, *vms: str) -> None:
        """Put a relay before agents; entries hear its address from the list."""
        for vm in vms:
            relay = Relay(lambda vm=vm: self.lab.processes[vm].inner)
            await relay.start()
            self.relays[vm] = relay
            self.lab.members.put(evolve(self.lab.member(vm), address=relay.address))

    def kill(self, *vms: str) -> None:
        """End VMs' processes at once."""
        for vm in vms:
            self.expected_dead.add(vm)
            self.lab.processes[vm].kill()

    async def freeze(self, seconds: float, *vms: str) -> None:
        """Stop VMs' processes for a while, without ending them."""
        for vm in vms:
            self.lab.processes[vm].freeze()
        await asyncio.sleep(seconds)
        for vm in vms:
            self.lab.processes[vm].thaw()

    def entries(self) -> list[str]:
        """Names of the entries that run."""
        return sorted(vm for vm in self.lab.processes if vm.startswith("entry"))

    def any_session(self) -> aiohttp.ClientSession:
        """A client session for traffic through any entry."""
        return aiohttp.ClientSession()

    def session(self, vm: str = "entry-1") -> aiohttp.ClientSession:
        """A client session towards one entry."""
        return aiohttp.ClientSession(f"http://{self.lab.processes[vm].http}")


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario under a name."""

    def register(function: Scenario) -> Scenario:
        SCENARIOS[name] = function
        return function

    return register


async def run_scenario(
    name: str, seed: int, requests: int = REQUESTS, rate: float = 100.0
) -> dict:
    """Run one scenario under traffic; its audit as a dict, with ``clean``."""
    with tempfile.TemporaryDirectory() as folder:
        stage = await _set_up(Path(folder), seed, rate)
        try:
            running = asyncio.create_task(stage.traffic.run(requests))
            await SCENARIOS[name](stage)
            await running
            found = audit(stage.lab, stage.traffic.results)
        finally:
            codes = await stage.lab.close()
            for relay in stage.relays.values():
                await relay.close()
    return _shown(name, seed, found, stage, codes)


def _shown(name: str, seed: int, found: Audit, stage: Stage, codes: dict) -> dict:
    for vm, code in codes.items():
        if code and vm not in stage.expected_dead:
            stage.problems.append(f"{vm} exited with {code}")
    clean = found.clean and not stage.problems
    row = {"scenario": name, "seed": seed, "clean": clean} | asdict(found)
    return row | {"problems": stage.problems, "figures": stage.figures}


async def _set_up(folder: Path, seed: int, rate: float) -> Stage:
    lab = Lab(folder, seed, token_seconds=TOKEN_SECONDS, plain_seconds=PLAIN_SECONDS)
    await lab.start_platform()
    digest = lab.publish(*make_weights("drafter", "v1", CHUNKS, CHUNK_BYTES, seed))
    await asyncio.gather(*(lab.start_entry(f"entry-{i}", SERVICES) for i in (1, 2, 3)))
    await asyncio.gather(
        *(lab.start_engine_vm(f"draft-{i}", "drafting") for i in (1, 2, 3)),
        *(lab.start_plain_vm(f"order-{i}", "orders") for i in (1, 2, 3)),
    )
    rng = random.Random(seed)

    def addresses() -> list[str]:
        entries = (p for vm, p in lab.processes.items() if vm.startswith("entry"))
        return [p.http for p in entries if p.process.returncode is None]

    stage = Stage(lab, Traffic(addresses, rng, rate), rng, folder)
    async with stage.session() as session:
        await submit(session, first_ticket(folder, digest))
        await wait_in_force(session, 1, 3)
    for vm in stage.entries():
        async with stage.session(vm) as session:
            await wait_serving(session, 6)
    return stage
