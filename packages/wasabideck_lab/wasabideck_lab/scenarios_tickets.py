"""Fault scenarios about tickets, orders to engines and the membership list."""

from __future__ import annotations

import asyncio
import time

from .demo import SERVICES
from .fault_scenarios import ScenarioContext, register_scenario
from .ticket_steps import (
    expect,
    publish,
    query_entry,
    submit_ticket,
    vms_in_effect,
    wait_in_effect_everywhere,
    wait_until,
)

__all__: list[str] = []

SUSPENSION_SECONDS = 60.0
SHUTDOWN_SECONDS = 3.0
MEMBERS_LAG_SECONDS = 30.0
EFFECT_DELAY_SECONDS = 3.0
MAX_SETTLE_SECONDS = 10.0
TICKET_ROUNDS = 4
# Request rates of the scenarios, so low that the traffic lasts as long as the fault.
SHUTDOWN_REQUESTS_PER_SECOND = 30.0
REPLACEMENT_REQUESTS_PER_SECOND = 40.0
SUSPENSION_REQUESTS_PER_SECOND = 15.0
ENGINE_ROLES = ("mixed", "decode", "mixed")


def _set_table_down(context: ScenarioContext, is_down: bool) -> None:
    context.lab.table.faults.active["down"] = int(is_down)


def _check_versions(context: ScenarioContext) -> None:
    """Check that the version of each drafting response belongs to its stated ticket."""
    drafting = [r for r in context.traffic.results if r.service == "drafting"]
    answered = [r for r in drafting if r.outcome == "answered"]
    wrong = [r for r in answered if r.version != f"v{r.ticket}"]
    expect(
        context,
        not wrong,
        f"{len(wrong)} responses state the ticket of another version",
    )


def _check_order_overlaps(context: ScenarioContext) -> None:
    """Check that no engine received an order while another order was pending."""
    overlapping = sum(
        engine.overlapping_orders for engine in context.lab.engines.values()
    )
    expect(
        context,
        not overlapping,
        f"{overlapping} orders were received while another was pending",
    )


@register_scenario("operators-race")
async def operators_race(context: ScenarioContext) -> None:
    """Submit tickets at three entries at once.

    Some have lower numbers than accepted ones, and some have equal numbers but
    different content.
    """
    for first in range(2, 2 + 3 * TICKET_ROUNDS, 3):
        numbers = [first, first + 1, first + 2]
        context.rng.shuffle(numbers)
        submissions = [
            submit_ticket(context, vm, number, f"v{number}")
            for vm, number in zip(context.entry_vms(), numbers, strict=True)
        ]
        # Submits the highest number again at every entry, with different content.
        submissions += [
            submit_ticket(context, vm, first + 2, engine_role=role)
            for vm, role in zip(context.entry_vms(), ENGINE_ROLES, strict=True)
        ]
        responses = await asyncio.gather(*submissions)
        titles = {response.title for response in responses if response.status != 200}
        allowed = {"TicketConflict", "TicketSuperseded"}
        expect(context, titles <= allowed, f"unexpected refusals {sorted(titles)}")
        expect(
            context, any(a.status == 200 for a in responses), "no ticket was accepted"
        )
        await wait_in_effect_everywhere(context, first + 2)
    ticket_lists = [
        (await query_entry(context, vm, "/v1/tickets")).body
        for vm in context.entry_vms()
    ]
    expect(
        context,
        ticket_lists[0] == ticket_lists[1] == ticket_lists[2],
        "the entries list different tickets",
    )
    _check_versions(context)
    _check_order_overlaps(context)


@register_scenario("store-down-after-acceptance")
async def store_down_after_acceptance(context: ScenarioContext) -> None:
    """Make the table unavailable as soon as it contains a new ticket."""
    publish(context, "v2")
    submitted = asyncio.create_task(submit_ticket(context, "entry-2", 2))
    rows = context.lab.table.rows["tickets"]
    while len(rows) < 2:
        await asyncio.sleep(0)
    _set_table_down(context, True)
    await wait_in_effect_everywhere(context, 2)
    response = await submitted
    expect(
        context,
        response.status == 200,
        f"unexpected response to the operator: {response}",
    )
    refused = await submit_ticket(context, "entry-1", 3)
    expect(
        context,
        refused.title == "PlatformUnavailable",
        f"unexpected response: {refused}",
    )
    _set_table_down(context, False)
    vms = await vms_in_effect(context, "entry-3", 2)
    await wait_until(lambda: _delivery_count(context, 2) == 3, MAX_SETTLE_SECONDS)
    vms = await vms_in_effect(context, "entry-3", 2)
    expect(context, len(vms) == 3, f"the status lists {vms}")
    _check_versions(context)


def _delivery_count(context: ScenarioContext, number: int) -> int:
    delivery_rows = context.lab.table.rows.get("deliveries", {})
    return sum(key.startswith(f"{number:020d}/") for key in delivery_rows)


@register_scenario("ticket-answer-lost")
async def ticket_answer_lost(context: ScenarioContext) -> None:
    """Lose each response of the table to a write, after the write has taken effect."""
    for number in range(2, 2 + TICKET_ROUNDS):
        context.lab.table.faults.active["lose_answer"] = 1
        response = await submit_ticket(
            context, context.rng.choice(context.entry_vms()), number
        )
        del context.lab.table.faults.active["lose_answer"]
        expect(
            context, response.status in (200, 503), f"unexpected response: {response}"
        )
        status = await query_entry(context, "entry-1", f"/v1/tickets/{number}/status")
        expect(
            context,
            status.status == 200,
            f"unexpected status of ticket {number}: {status}",
        )
        await wait_in_effect_everywhere(context, number)
    _check_versions(context)


@register_scenario("ticket-applied-late")
async def ticket_applied_late(context: ScenarioContext) -> None:
    """Lose the response to a ticket's write, and delay the write by seconds.

    If the checks of the delayed write then fail, it never takes effect.
    """
    faults = context.lab.table.faults.active
    faults["apply_late"] = EFFECT_DELAY_SECONDS
    first = await submit_ticket(context, "entry-1", 2)
    del faults["apply_late"]
    expect(context, first.title == "TicketUnknown", f"unexpected response: {first}")
    status = await query_entry(context, "entry-2", "/v1/tickets/2/status")
    expect(context, status.title == "TicketUnheard", f"unexpected status: {status}")
    await asyncio.sleep(EFFECT_DELAY_SECONDS + 1)
    later_status = await query_entry(context, "entry-3", "/v1/tickets/2/status")
    expect(
        context,
        later_status.title == "TicketUnheard",
        f"the status changed: {later_status}",
    )
    faults["apply_late"] = EFFECT_DELAY_SECONDS
    second = await submit_ticket(context, "entry-1", 3)
    del faults["apply_late"]
    expect(context, second.title == "TicketUnknown", f"unexpected response: {second}")
    await wait_in_effect_everywhere(context, 3)
    status = await query_entry(context, "entry-2", "/v1/tickets/3/status")
    expect(context, status.status == 200, f"unexpected status: {status}")
    _check_versions(context)


@register_scenario("frozen-agent")
async def frozen_agent(context: ScenarioContext) -> None:
    """Suspend an agent for a minute, during which two tickets are submitted."""
    await _suspend_during_tickets(context, "draft-1")
    for engine in context.lab.engines.values():
        expect(
            context,
            engine.history == sorted(engine.history),
            f"orders executed out of sequence: {engine.history}",
        )


@register_scenario("frozen-entry")
async def frozen_entry(context: ScenarioContext) -> None:
    """Suspend an entry for a minute, during which two tickets are submitted."""
    await _suspend_during_tickets(context, "entry-1")
    status = await query_entry(context, "entry-1", "/v1/tickets/3/status")
    expect(
        context,
        status.status == 200,
        f"unexpected response of the resumed entry: {status}",
    )


async def _suspend_during_tickets(context: ScenarioContext, vm: str) -> None:
    context.traffic.requests_per_second = SUSPENSION_REQUESTS_PER_SECOND
    process = context.lab.processes[vm]
    suspended = frozenset({vm})
    process.suspend()
    started = time.monotonic()
    try:
        for number in (2, 3):
            await submit_ticket(context, "entry-2", number)
            await wait_in_effect_everywhere(context, number, excluded=suspended)
        await asyncio.sleep(started + SUSPENSION_SECONDS - time.monotonic())
    finally:
        process.resume()
    resumed = time.monotonic()
    await wait_in_effect_everywhere(context, 3)
    context.figures["in_force_after_thaw"] = round(time.monotonic() - resumed, 3)
    # Gives the resumed process time to complete the work that it had in progress.
    await asyncio.sleep(2)
    await wait_in_effect_everywhere(context, 3)
    _check_versions(context)


@register_scenario("new-vm-store-down")
async def new_vm_store_down(context: ScenarioContext) -> None:
    """Start a VM while the table is down and one entry has outdated cluster state."""
    context.lab.processes["entry-1"].suspend()
    await submit_ticket(context, "entry-2", 2)
    await wait_in_effect_everywhere(context, 2)
    _set_table_down(context, True)
    context.lab.processes["entry-1"].resume()
    started = time.monotonic()
    await context.lab.start_engine_vm("draft-4", "drafting")
    engine = context.lab.engines["draft-4"]
    has_loaded = await wait_until(lambda: engine.loaded.fence == 2, MAX_SETTLE_SECONDS)
    expect(context, has_loaded, f"the new VM has loaded {engine.loaded}")
    expect(
        context, engine.history == [2], f"the new VM executed orders {engine.history}"
    )
    context.figures["new_vm_in_force"] = round(time.monotonic() - started, 3)
    _set_table_down(context, False)
    _check_versions(context)


@register_scenario("order-answer-lost")
async def order_answer_lost(context: ScenarioContext) -> None:
    """Make every engine close the connection after it has executed an order."""
    for engine in context.lab.engines.values():
        engine.faults.active["lose_order"] = 1
    for number in range(2, 2 + TICKET_ROUNDS):
        await submit_ticket(context, context.rng.choice(context.entry_vms()), number)
        await wait_in_effect_everywhere(context, number)
    _check_versions(context)
    _check_order_overlaps(context)


@register_scenario("order-late-ignored-fence")
async def order_late_ignored_fence(context: ScenarioContext) -> None:
    """Delay an order on engines that ignore fencing tokens."""
    engines = context.lab.engines.values()
    for engine in engines:
        engine.faults.active |= {"order_late": EFFECT_DELAY_SECONDS, "ignore_fence": 1}
    await submit_ticket(context, "entry-1", 2)
    await wait_until(
        lambda: all(
            e.received_orders and e.received_orders[-1]["fence"] == 2 for e in engines
        ),
        MAX_SETTLE_SECONDS,
    )
    for engine in engines:
        del engine.faults.active["order_late"]
    await submit_ticket(context, "entry-2", 3)
    await wait_in_effect_everywhere(context, 3)
    await asyncio.sleep(EFFECT_DELAY_SECONDS + 1)
    await wait_in_effect_everywhere(context, 3)
    _check_versions(context)
    _check_order_overlaps(context)


@register_scenario("agent-leaves-lagging-list")
async def agent_leaves_lagging_list(context: ScenarioContext) -> None:
    """Shut down a backend server under load; the membership list still contains it."""
    context.traffic.requests_per_second = SHUTDOWN_REQUESTS_PER_SECOND
    engine = context.lab.engines["draft-1"]
    shutdown = asyncio.create_task(context.lab.processes["draft-1"].stop())
    await asyncio.sleep(SHUTDOWN_SECONDS)
    runs = engine.runs_by_attempt.total()
    exit_code = await shutdown
    expect(context, exit_code == 0, f"draft-1 exited with {exit_code}")
    await asyncio.sleep(SHUTDOWN_SECONDS)
    further_runs = engine.runs_by_attempt.total() - runs
    expect(
        context,
        not further_runs,
        f"{further_runs} requests ran on a server that had shut down",
    )
    drafting = sum(r.service == "drafting" for r in context.traffic.results)
    context.figures["drafts_ended"] = drafting
    await asyncio.sleep(MEMBERS_LAG_SECONDS - 2 * SHUTDOWN_SECONDS)
    expect(
        context,
        engine.runs_by_attempt.total() == runs,
        "requests ran on the stopped server while the list contained it",
    )
    context.lab.members.remove_member("draft-1")


@register_scenario("rolling-replacement")
async def rolling_replacement(context: ScenarioContext) -> None:
    """Replace every entry and every agent by a new VM, one after the other."""
    context.traffic.requests_per_second = REPLACEMENT_REQUESTS_PER_SECOND
    for old, new in (("entry-1", "entry-4"), ("entry-2", "entry-5")):
        await context.lab.start_entry(new, SERVICES)
        await _stop_and_remove(context, old)
    for index in (1, 2, 3):
        await context.lab.start_engine_vm(f"draft-{index + 3}", "drafting")
        engine = context.lab.engines[f"draft-{index + 3}"]
        await wait_until(lambda engine=engine: engine.loaded.fence, MAX_SETTLE_SECONDS)
        await _stop_and_remove(context, f"draft-{index}")
        await context.lab.start_plain_service_vm(f"order-{index + 3}", "orders")
        await _stop_and_remove(context, f"order-{index}")
    await context.lab.start_entry("entry-6", SERVICES)
    await _stop_and_remove(context, "entry-3")
    _check_versions(context)


async def _stop_and_remove(context: ScenarioContext, vm: str) -> None:
    exit_code = await context.lab.processes[vm].stop()
    expect(context, exit_code == 0, f"{vm} exited with {exit_code}")
    context.lab.members.remove_member(vm)
