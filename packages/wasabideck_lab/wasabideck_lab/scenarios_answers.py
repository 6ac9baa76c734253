"""Fault scenarios about answers, claims and stops."""

from __future__ import annotations

import asyncio

from .demo import SERVICES, wait_serving
from .faults_run import Stage, scenario

__all__: list[str] = []

DRAFTS = ("draft-1", "draft-2", "draft-3")
ORDERS = ("order-1", "order-2", "order-3")
MOST_CRASHES = 2


@scenario("undisturbed")
async def undisturbed(stage: Stage) -> None:
    """No fault: every request is answered."""


@scenario("agents-killed")
async def agents_killed(stage: Stage) -> None:
    """One agent of each service dies for good, then another dies and comes back."""
    await asyncio.sleep(2)
    stage.kill("draft-1", "order-1")
    await asyncio.sleep(3)
    await _kill_and_restart(stage, "draft-2", "order-2")


@scenario("agents-restarted")
async def agents_restarted(stage: Stage) -> None:
    """Agents die, and others that know nothing stand at their addresses at once."""
    for vm in ("order-1", "order-2", "draft-1"):
        await asyncio.sleep(1.5)
        await _kill_and_restart(stage, vm)


@scenario("entry-killed")
async def entry_killed(stage: Stage) -> None:
    """An entry dies; its callers try again at others, with the same keys."""
    for vm in ("entry-1", "entry-2"):
        await asyncio.sleep(2.5)
        await _kill_and_restart(stage, vm)


@scenario("agents-frozen")
async def agents_frozen(stage: Stage) -> None:
    """Agents are paused, unaware, and wake with claims and requests in hand."""
    await asyncio.sleep(2)
    await stage.freeze(4, "order-1", "draft-1")
    await asyncio.sleep(1)
    await stage.freeze(2, "order-2", "draft-1")


@scenario("entry-frozen")
async def entry_frozen(stage: Stage) -> None:
    """An entry is paused; nothing moves through it, and everything does after."""
    await asyncio.sleep(2)
    await stage.freeze(4, "entry-1")


@scenario("links-silent")
async def links_silent(stage: Stage) -> None:
    """Open connections between entries and agents go silent for good, twice."""
    await stage.relay(*DRAFTS, *ORDERS)
    for _ in range(2):
        await asyncio.sleep(3)
        for relay in stage.relays.values():
            relay.silence()


@scenario("links-cut")
async def links_cut(stage: Stage) -> None:
    """Connections between entries and agents break, again and again."""
    await stage.relay(*DRAFTS, *ORDERS)
    await asyncio.sleep(2)
    for _ in range(20):
        await asyncio.sleep(0.3)
        stage.relays[stage.rng.choice(sorted(stage.relays))].cut()


@scenario("store-down")
async def store_down(stage: Stage) -> None:
    """The table answers 503 for a while, then is slow."""
    faults = stage.lab.table.faults.active
    await asyncio.sleep(2)
    faults["down"] = 1
    await asyncio.sleep(3)
    del faults["down"]
    faults["slow"] = 0.5
    await asyncio.sleep(2)
    del faults["slow"]


@scenario("store-loses-answers")
async def store_loses_answers(stage: Stage) -> None:
    """The table's answers are lost, of writes that stand and that come later."""
    faults = stage.lab.table.faults.active
    await asyncio.sleep(1)
    faults["lose_answer"] = 0.3
    await asyncio.sleep(3)
    faults["apply_late"] = 0.3
    await asyncio.sleep(3)
    faults.clear()


@scenario("server-fails-after")
async def server_fails_after(stage: Stage) -> None:
    """A plain service runs calls and answers 500: they did run."""
    for vm in ORDERS:
        stage.lab.plains[vm].faults.active["fail_after"] = 0.2
    await asyncio.sleep(6)
    for vm in ORDERS:
        stage.lab.plains[vm].faults.active.clear()


@scenario("same-key-twice")
async def same_key_twice(stage: Stage) -> None:
    """Callers send the same order through two entries at once, and once more."""
    async with stage.any_session() as session:
        for index in range(60):
            await asyncio.sleep(0.1)
            key = f"twice-{index}"
            same = (session, "orders", "print", f"body of {key}", key, True)
            await asyncio.gather(*(stage.traffic.send(*same) for _ in range(3)))
            await stage.traffic.send(*same)


@scenario("crashing-request")
async def crashing_request(stage: Stage) -> None:
    """A request crashes each server that runs it; its caller sends it again."""
    servers = [*stage.lab.engines.values(), *stage.lab.plains.values()]
    for server in servers:
        server.faults.active["crash_on"] = "boom"
    await asyncio.sleep(2)
    async with stage.any_session() as session:
        for index, (service, route) in enumerate(
            [("drafting", "brief"), ("orders", "status"), ("orders", "print")]
        ):
            for number in range(4):
                body = f"boom {service} {route}"
                key = f"boom-{index}"
                result = await stage.traffic.send(
                    session, service, route, body, key, again=number > 0
                )
                if result.outcome == "answered":
                    stage.problems.append(f"{body}: answered")
                await asyncio.sleep(0.3)
    _check_crashes(stage)


@scenario("rolling-stops")
async def rolling_stops(stage: Stage) -> None:
    """Every entry and agent is replaced under load, each by SIGTERM."""
    await _replace_all(stage)


@scenario("two-together")
async def two_together(stage: Stage) -> None:
    """A frozen agent while the store is down; then a killed entry and silence."""
    await stage.relay(*ORDERS)
    await asyncio.sleep(2)
    stage.lab.table.faults.active["down"] = 1
    await stage.freeze(2, "order-1", "draft-1")
    stage.lab.table.faults.active.clear()
    stage.lab.table.faults.active["lose_answer"] = 0.2
    for relay in stage.relays.values():
        relay.silence()
    await _kill_and_restart(stage, "entry-3")
    await _kill_and_restart(stage, "order-2", "draft-2")
    await asyncio.sleep(2)
    stage.lab.table.faults.active.clear()


async def _kill_and_restart(stage: Stage, *vms: str) -> None:
    for vm in vms:
        stage.lab.processes[vm].kill()
        await stage.lab.processes[vm].process.wait()
        await stage.lab.restart(vm)


async def _replace_all(stage: Stage) -> None:
    lab = stage.lab
    for vm in stage.entries():
        await lab.start_entry(f"{vm}b", SERVICES)
        await _retire(stage, vm)
    for vm in DRAFTS:
        await lab.start_engine_vm(f"{vm}b", "drafting")
        await _serving(stage)
        await _retire(stage, vm)
    for vm in ORDERS:
        await lab.start_plain_vm(f"{vm}b", "orders")
        await _serving(stage)
        await _retire(stage, vm)


async def _serving(stage: Stage) -> None:
    async with stage.session("entry-1b") as session:
        await wait_serving(session, len(DRAFTS) + len(ORDERS) + 1)


async def _retire(stage: Stage, vm: str) -> None:
    process = stage.lab.processes[vm]
    code = await process.stop()
    if code:
        stage.problems.append(f"{vm} exited with {code}")
    stage.lab.members.remove(vm)
    stage.lab.processes.pop(vm)


def _check_crashes(stage: Stage) -> None:
    servers = [*stage.lab.engines.values(), *stage.lab.plains.values()]
    bodies = [body for server in servers for body in server.crashes.bodies]
    for body in set(bodies):
        if bodies.count(body) > MOST_CRASHES:
            stage.problems.append(f"{body!r}: {bodies.count(body)} crashes")
