"""Fault scenarios about tickets, orders to engines and membership."""

from __future__ import annotations

import asyncio
import time

from .demo import SERVICES
from .faults_run import Stage, scenario
from .stage_tickets import (
    ask,
    expect,
    publish,
    report_in_force,
    submit_ticket,
    wait_in_force_everywhere,
    wait_until,
)

__all__: list[str] = []

FROZEN_SECONDS = 60.0
LEAVING_SECONDS = 3.0
LIST_LAG_SECONDS = 30.0
LATE_SECONDS = 3.0
SETTLE_SECONDS = 10.0
ROUNDS = 4
# Requests a second, so that the traffic lasts as long as the fault.
LEAVING_RATE = 30.0
ROLLING_RATE = 40.0
FROZEN_RATE = 15.0
ROLES = ("mixed", "decode", "mixed")


def _table_down(stage: Stage, down: bool) -> None:
    stage.lab.table.faults.active["down"] = int(down)


def _check_names(stage: Stage) -> None:
    """Each draft names the ticket and the version that made it, and they fit."""
    drafts = [r for r in stage.traffic.results if r.service == "drafting"]
    named = [r for r in drafts if r.outcome == "answered"]
    wrong = [r for r in named if r.version != f"v{r.ticket}"]
    expect(stage, not wrong, f"{len(wrong)} answers name another version's ticket")


def _check_orders(stage: Stage) -> None:
    """No engine was ordered while another order was on its way."""
    overlaps = sum(engine.overlaps for engine in stage.lab.engines.values())
    expect(stage, not overlaps, f"{overlaps} orders came while another was pending")


@scenario("operators-race")
async def operators_race(stage: Stage) -> None:
    """Three operators submit at once: same numbers, other content, lower numbers."""
    for first in range(2, 2 + 3 * ROUNDS, 3):
        numbers = [first, first + 1, first + 2]
        stage.rng.shuffle(numbers)
        jobs = [
            submit_ticket(stage, vm, number, f"v{number}")
            for vm, number in zip(stage.entries(), numbers, strict=True)
        ]
        # The highest number again, with other content, from everywhere.
        jobs += [
            submit_ticket(stage, vm, first + 2, engine_role=role)
            for vm, role in zip(stage.entries(), ROLES, strict=True)
        ]
        answers = await asyncio.gather(*jobs)
        titles = {answer.title for answer in answers if answer.status != 200}
        allowed = {"TicketConflict", "TicketSuperseded"}
        expect(stage, titles <= allowed, f"refusals {sorted(titles)}")
        expect(stage, any(a.status == 200 for a in answers), "nobody was accepted")
        await wait_in_force_everywhere(stage, first + 2)
    listed = [(await ask(stage, vm, "/v1/tickets")).body for vm in stage.entries()]
    expect(stage, listed[0] == listed[1] == listed[2], "the lists of tickets differ")
    _check_names(stage)
    _check_orders(stage)


@scenario("store-down-after-acceptance")
async def store_down_after_acceptance(stage: Stage) -> None:
    """The table goes down in the moment in which a ticket stands in it."""
    publish(stage, "v2")
    submitted = asyncio.create_task(submit_ticket(stage, "entry-2", 2))
    rows = stage.lab.table.rows["tickets"]
    while len(rows) < 2:
        await asyncio.sleep(0)
    _table_down(stage, True)
    await wait_in_force_everywhere(stage, 2)
    answer = await submitted
    expect(stage, answer.status == 200, f"the operator was told {answer}")
    refused = await submit_ticket(stage, "entry-1", 3)
    expect(stage, refused.title == "PlatformUnavailable", f"told {refused}")
    _table_down(stage, False)
    told = await report_in_force(stage, "entry-3", 2)
    await wait_until(lambda: _rows_of(stage, 2) == 3, SETTLE_SECONDS)
    told = await report_in_force(stage, "entry-3", 2)
    expect(stage, len(told) == 3, f"status names {told}")
    _check_names(stage)


def _rows_of(stage: Stage, number: int) -> int:
    keys = stage.lab.table.rows.get("deliveries", {})
    return sum(key.startswith(f"{number:020d}/") for key in keys)


@scenario("ticket-answer-lost")
async def ticket_answer_lost(stage: Stage) -> None:
    """Each answer of the table to a write is lost after the write took effect."""
    for number in range(2, 2 + ROUNDS):
        stage.lab.table.faults.active["lose_answer"] = 1
        answer = await submit_ticket(stage, stage.rng.choice(stage.entries()), number)
        del stage.lab.table.faults.active["lose_answer"]
        expect(stage, answer.status in (200, 503), f"told {answer}")
        status = await ask(stage, "entry-1", f"/v1/tickets/{number}/status")
        expect(stage, status.status == 200, f"status of {number}: {status}")
        await wait_in_force_everywhere(stage, number)
    _check_names(stage)


@scenario("ticket-applied-late")
async def ticket_applied_late(stage: Stage) -> None:
    """A ticket's write takes effect seconds after its answer was lost, or never."""
    faults = stage.lab.table.faults.active
    faults["apply_late"] = LATE_SECONDS
    first = await submit_ticket(stage, "entry-1", 2)
    del faults["apply_late"]
    expect(stage, first.title == "TicketUnknown", f"told {first}")
    status = await ask(stage, "entry-2", "/v1/tickets/2/status")
    expect(stage, status.title == "TicketUnheard", f"status {status}")
    await asyncio.sleep(LATE_SECONDS + 1)
    again = await ask(stage, "entry-3", "/v1/tickets/2/status")
    expect(stage, again.title == "TicketUnheard", f"changed its mind: {again}")
    faults["apply_late"] = LATE_SECONDS
    second = await submit_ticket(stage, "entry-1", 3)
    del faults["apply_late"]
    expect(stage, second.title == "TicketUnknown", f"told {second}")
    await wait_in_force_everywhere(stage, 3)
    status = await ask(stage, "entry-2", "/v1/tickets/3/status")
    expect(stage, status.status == 200, f"status {status}")
    _check_names(stage)


@scenario("frozen-agent")
async def frozen_agent(stage: Stage) -> None:
    """An agent is stopped for a minute, in which two tickets come."""
    await _freeze_through_tickets(stage, "draft-1")
    for engine in stage.lab.engines.values():
        expect(stage, engine.history == sorted(engine.history), f"{engine.history}")


@scenario("frozen-entry")
async def frozen_entry(stage: Stage) -> None:
    """An entry is stopped for a minute, in which two tickets come."""
    await _freeze_through_tickets(stage, "entry-1")
    asked = await ask(stage, "entry-1", "/v1/tickets/3/status")
    expect(stage, asked.status == 200, f"the thawed entry says {asked}")


async def _freeze_through_tickets(stage: Stage, vm: str) -> None:
    stage.traffic.rate = FROZEN_RATE
    process = stage.lab.processes[vm]
    frozen = frozenset({vm})
    process.freeze()
    begun = time.monotonic()
    try:
        for number in (2, 3):
            await submit_ticket(stage, "entry-2", number)
            await wait_in_force_everywhere(stage, number, without=frozen)
        await asyncio.sleep(begun + FROZEN_SECONDS - time.monotonic())
    finally:
        process.thaw()
    thawed = time.monotonic()
    await wait_in_force_everywhere(stage, 3)
    stage.figures["in_force_after_thaw"] = round(time.monotonic() - thawed, 3)
    # Whatever the thawed process still had in hand has come out by now.
    await asyncio.sleep(2)
    await wait_in_force_everywhere(stage, 3)
    _check_names(stage)


@scenario("new-vm-store-down")
async def new_vm_store_down(stage: Stage) -> None:
    """A VM starts with the table down, and one entry has the state of a minute ago."""
    stage.lab.processes["entry-1"].freeze()
    await submit_ticket(stage, "entry-2", 2)
    await wait_in_force_everywhere(stage, 2)
    _table_down(stage, True)
    stage.lab.processes["entry-1"].thaw()
    begun = time.monotonic()
    await stage.lab.start_engine_vm("draft-4", "drafting")
    engine = stage.lab.engines["draft-4"]
    served = await wait_until(lambda: engine.loaded.fence == 2, SETTLE_SECONDS)
    expect(stage, served, f"the new VM has {engine.loaded}")
    expect(stage, engine.history == [2], f"the new VM served {engine.history}")
    stage.figures["new_vm_in_force"] = round(time.monotonic() - begun, 3)
    _table_down(stage, False)
    _check_names(stage)


@scenario("order-answer-lost")
async def order_answer_lost(stage: Stage) -> None:
    """Every engine carries its order out, and then hangs up."""
    for engine in stage.lab.engines.values():
        engine.faults.active["lose_order"] = 1
    for number in range(2, 2 + ROUNDS):
        await submit_ticket(stage, stage.rng.choice(stage.entries()), number)
        await wait_in_force_everywhere(stage, number)
    _check_names(stage)
    _check_orders(stage)


@scenario("order-late-ignored-fence")
async def order_late_ignored_fence(stage: Stage) -> None:
    """An order takes effect late, on engines that ignore fencing numbers."""
    engines = stage.lab.engines.values()
    for engine in engines:
        engine.faults.active |= {"order_late": LATE_SECONDS, "ignore_fence": 1}
    await submit_ticket(stage, "entry-1", 2)
    await wait_until(
        lambda: all(e.orders and e.orders[-1]["fence"] == 2 for e in engines),
        SETTLE_SECONDS,
    )
    for engine in engines:
        del engine.faults.active["order_late"]
    await submit_ticket(stage, "entry-2", 3)
    await wait_in_force_everywhere(stage, 3)
    await asyncio.sleep(LATE_SECONDS + 1)
    await wait_in_force_everywhere(stage, 3)
    _check_names(stage)
    _check_orders(stage)


@scenario("agent-leaves-lagging-list")
async def agent_leaves_lagging_list(stage: Stage) -> None:
    """A backend server leaves under load; the platform's list goes on naming it."""
    stage.traffic.rate = LEAVING_RATE
    engine = stage.lab.engines["draft-1"]
    leaving = asyncio.create_task(stage.lab.processes["draft-1"].stop())
    await asyncio.sleep(LEAVING_SECONDS)
    runs = engine.runs.total()
    code = await leaving
    expect(stage, code == 0, f"draft-1 exited with {code}")
    await asyncio.sleep(LEAVING_SECONDS)
    more = engine.runs.total() - runs
    expect(stage, not more, f"{more} requests ran on a server that had left")
    drafts = sum(r.service == "drafting" for r in stage.traffic.results)
    stage.figures["drafts_ended"] = drafts
    await asyncio.sleep(LIST_LAG_SECONDS - 2 * LEAVING_SECONDS)
    expect(stage, engine.runs.total() == runs, "it got work while the list named it")
    stage.lab.members.remove("draft-1")


@scenario("rolling-replacement")
async def rolling_replacement(stage: Stage) -> None:
    """Every entry and every agent is replaced by a new VM, one after the other."""
    stage.traffic.rate = ROLLING_RATE
    for old, new in (("entry-1", "entry-4"), ("entry-2", "entry-5")):
        await stage.lab.start_entry(new, SERVICES)
        await _stop(stage, old)
    for index in (1, 2, 3):
        await stage.lab.start_engine_vm(f"draft-{index + 3}", "drafting")
        engine = stage.lab.engines[f"draft-{index + 3}"]
        await wait_until(lambda engine=engine: engine.loaded.fence, SETTLE_SECONDS)
        await _stop(stage, f"draft-{index}")
        await stage.lab.start_plain_vm(f"order-{index + 3}", "orders")
        await _stop(stage, f"order-{index}")
    await stage.lab.start_entry("entry-6", SERVICES)
    await _stop(stage, "entry-3")
    _check_names(stage)


async def _stop(stage: Stage, vm: str) -> None:
    code = await stage.lab.processes[vm].stop()
    expect(stage, code == 0, f"{vm} exited with {code}")
    stage.lab.members.remove(vm)
