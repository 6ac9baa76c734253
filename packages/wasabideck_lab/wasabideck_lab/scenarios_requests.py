"""Fault scenarios about responses, claims and the termination of processes."""

from __future__ import annotations

import asyncio

from .demo import SERVICES, wait_serving
from .fault_scenarios import ScenarioContext, register_scenario

__all__: list[str] = []

DRAFTING_VMS = ("draft-1", "draft-2", "draft-3")
ORDERS_VMS = ("order-1", "order-2", "order-3")
MAX_CRASHES_PER_REQUEST = 2


@register_scenario("undisturbed")
async def undisturbed(context: ScenarioContext) -> None:
    """Inject no fault: every request is answered."""


@register_scenario("agents-killed")
async def agents_killed(context: ScenarioContext) -> None:
    """Kill one agent of each service; then kill another one of each and restart it."""
    await asyncio.sleep(2)
    context.kill("draft-1", "order-1")
    await asyncio.sleep(3)
    await _kill_and_restart(context, "draft-2", "order-2")


@register_scenario("agents-restarted")
async def agents_restarted(context: ScenarioContext) -> None:
    """Kill agents, and at once start new ones without state at their addresses."""
    for vm in ("order-1", "order-2", "draft-1"):
        await asyncio.sleep(1.5)
        await _kill_and_restart(context, vm)


@register_scenario("entry-killed")
async def entry_killed(context: ScenarioContext) -> None:
    """Kill an entry: its callers retry at other entries with the same keys."""
    for vm in ("entry-1", "entry-2"):
        await asyncio.sleep(2.5)
        await _kill_and_restart(context, vm)


@register_scenario("agents-frozen")
async def agents_frozen(context: ScenarioContext) -> None:
    """Suspend agents: they resume with claims and requests still in progress."""
    await asyncio.sleep(2)
    await context.suspend(4, "order-1", "draft-1")
    await asyncio.sleep(1)
    await context.suspend(2, "order-2", "draft-1")


@register_scenario("entry-frozen")
async def entry_frozen(context: ScenarioContext) -> None:
    """Suspend an entry: its requests stop, and all of them continue when it resumes."""
    await asyncio.sleep(2)
    await context.suspend(4, "entry-1")


@register_scenario("links-silent")
async def links_silent(context: ScenarioContext) -> None:
    """Stall the open connections between entries and agents permanently, twice."""
    await context.insert_relays(*DRAFTING_VMS, *ORDERS_VMS)
    for _ in range(2):
        await asyncio.sleep(3)
        for relay in context.relays.values():
            relay.stall_connections()


@register_scenario("links-cut")
async def links_cut(context: ScenarioContext) -> None:
    """Abort connections between entries and agents repeatedly."""
    await context.insert_relays(*DRAFTING_VMS, *ORDERS_VMS)
    await asyncio.sleep(2)
    for _ in range(20):
        await asyncio.sleep(0.3)
        context.relays[context.rng.choice(sorted(context.relays))].abort_connections()


@register_scenario("store-down")
async def store_down(context: ScenarioContext) -> None:
    """Make the table respond 503 for some seconds, then slowly."""
    faults = context.lab.table.faults.active
    await asyncio.sleep(2)
    faults["down"] = 1
    await asyncio.sleep(3)
    del faults["down"]
    faults["slow"] = 0.5
    await asyncio.sleep(2)
    del faults["slow"]


@register_scenario("store-loses-answers")
async def store_loses_answers(context: ScenarioContext) -> None:
    """Lose responses to table writes; the writes take effect at once, later delayed."""
    faults = context.lab.table.faults.active
    await asyncio.sleep(1)
    faults["lose_answer"] = 0.3
    await asyncio.sleep(3)
    faults["apply_late"] = 0.3
    await asyncio.sleep(3)
    faults.clear()


@register_scenario("server-fails-after")
async def server_fails_after(context: ScenarioContext) -> None:
    """Make a plain service respond 500 to calls after it has executed them."""
    for vm in ORDERS_VMS:
        context.lab.plain_services[vm].faults.active["fail_after"] = 0.2
    await asyncio.sleep(6)
    for vm in ORDERS_VMS:
        context.lab.plain_services[vm].faults.active.clear()


@register_scenario("same-key-twice")
async def same_key_twice(context: ScenarioContext) -> None:
    """Send the same order three times at once through any entries, then once more."""
    async with context.unbound_session() as session:
        for index in range(60):
            await asyncio.sleep(0.1)
            key = f"twice-{index}"
            order = (session, "orders", "print", f"body of {key}", key, True)
            await asyncio.gather(*(context.traffic.send(*order) for _ in range(3)))
            await context.traffic.send(*order)


@register_scenario("crashing-request")
async def crashing_request(context: ScenarioContext) -> None:
    """Send requests that crash each server that runs them, and retry each request."""
    servers = [*context.lab.engines.values(), *context.lab.plain_services.values()]
    for server in servers:
        server.faults.active["crash_on"] = "boom"
    await asyncio.sleep(2)
    async with context.unbound_session() as session:
        for index, (service, route) in enumerate(
            [("drafting", "brief"), ("orders", "status"), ("orders", "print")]
        ):
            for attempt in range(4):
                body = f"boom {service} {route}"
                key = f"boom-{index}"
                result = await context.traffic.send(
                    session, service, route, body, key, is_retry=attempt > 0
                )
                if result.outcome == "answered":
                    context.problems.append(f"{body}: answered")
                await asyncio.sleep(0.3)
    _check_crashes(context)


@register_scenario("rolling-stops")
async def rolling_stops(context: ScenarioContext) -> None:
    """Replace every entry and agent under load, stopping the old ones with SIGTERM."""
    await _replace_all_processes(context)


@register_scenario("two-together")
async def two_together(context: ScenarioContext) -> None:
    """Suspend agents while the table is down.

    Then kill an entry and agents while connections stall and table responses are lost.
    """
    await context.insert_relays(*ORDERS_VMS)
    await asyncio.sleep(2)
    context.lab.table.faults.active["down"] = 1
    await context.suspend(2, "order-1", "draft-1")
    context.lab.table.faults.active.clear()
    context.lab.table.faults.active["lose_answer"] = 0.2
    for relay in context.relays.values():
        relay.stall_connections()
    await _kill_and_restart(context, "entry-3")
    await _kill_and_restart(context, "order-2", "draft-2")
    await asyncio.sleep(2)
    context.lab.table.faults.active.clear()


async def _kill_and_restart(context: ScenarioContext, *vms: str) -> None:
    for vm in vms:
        context.lab.processes[vm].kill()
        await context.lab.processes[vm].subprocess.wait()
        await context.lab.restart(vm)


async def _replace_all_processes(context: ScenarioContext) -> None:
    lab = context.lab
    for vm in context.entry_vms():
        await lab.start_entry(f"{vm}b", SERVICES)
        await _stop_and_remove(context, vm)
    for vm in DRAFTING_VMS:
        await lab.start_engine_vm(f"{vm}b", "drafting")
        await _wait_until_serving(context)
        await _stop_and_remove(context, vm)
    for vm in ORDERS_VMS:
        await lab.start_plain_service_vm(f"{vm}b", "orders")
        await _wait_until_serving(context)
        await _stop_and_remove(context, vm)


async def _wait_until_serving(context: ScenarioContext) -> None:
    async with context.entry_session("entry-1b") as session:
        await wait_serving(session, len(DRAFTING_VMS) + len(ORDERS_VMS) + 1)


async def _stop_and_remove(context: ScenarioContext, vm: str) -> None:
    process = context.lab.processes[vm]
    exit_code = await process.stop()
    if exit_code:
        context.problems.append(f"{vm} exited with {exit_code}")
    context.lab.members.remove_member(vm)
    context.lab.processes.pop(vm)


def _check_crashes(context: ScenarioContext) -> None:
    servers = [*context.lab.engines.values(), *context.lab.plain_services.values()]
    bodies = [body for server in servers for body in server.crash_simulator.bodies]
    for body in set(bodies):
        if bodies.count(body) > MAX_CRASHES_PER_REQUEST:
            context.problems.append(f"{body!r}: {bodies.count(body)} crashes")
