"""Golden files of sessions in which several operators submit tickets concurrently.

A seeded rng draws the order in which the table executes their reads and writes, so
that each session is the same in every run.
"""

import asyncio
import random

import pytest
from attrs import define, field
from fake_table import FakeTable
from wasabideck_base.ticket_store import accept_ticket, resolve_acceptance
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import Change, Ticket

NOW = 1_000.0


@define
class Scheduler:
    """Runs the waiting table operations one by one, in an order drawn by the rng."""

    rng: random.Random
    waiting: list = field(factory=list)

    async def wait(self):
        scheduled = asyncio.get_running_loop().create_future()
        self.waiting.append(scheduled)
        await scheduled

    async def run(self, *sessions):
        tasks = [asyncio.create_task(session) for session in sessions]
        while not all(task.done() for task in tasks):
            await _run_until_all_wait()
            if self.waiting:
                index = self.rng.randrange(len(self.waiting))
                self.waiting.pop(index).set_result(None)


async def _run_until_all_wait():
    for _ in range(10):
        await asyncio.sleep(0)


@define
class Operator:
    """An operator's table client; each operation waits until it is scheduled."""

    name: str
    table: FakeTable
    scheduler: Scheduler

    async def get(self, table, key):
        await self.scheduler.wait()
        return await self.table.get(table, key)

    async def transact(self, checks, writes):
        await self.scheduler.wait()
        self.table.log.append(f"{self.name} writes")
        return await self.table.transact(checks, writes)

    async def submit(self, number, version, *scopes):
        changes = tuple(Change(s, "model", "m", version, "d") for s in scopes)
        ticket = Ticket(number, changes)
        try:
            done = await accept_ticket(self, ticket, self.name, NOW)
            result = f"accepted as {done.sequence}" + (
                " before" if done.already_accepted else ""
            )
        except WasabideckError as exc:
            result = f"{type(exc).__name__}: {exc}"
        self.table.log.append(f"{self.name} is told of {number}: {result}")

    async def query_status(self, number):
        found = await resolve_acceptance(self, number)
        result = f"accepted as {found.sequence}" if found else "certainly not accepted"
        self.table.log.append(f"{self.name} asks for {number}: {result}")


@pytest.fixture
def race(rng):
    table = FakeTable()
    scheduler = Scheduler(rng)
    operators = [Operator(name, table, scheduler) for name in ("amal", "badr", "chai")]
    return table, scheduler, operators


def _log_and_state(table):
    state = {k: r["ticket"] for (t, k), r in sorted(table.rows.items()) if t == "state"}
    return {"session": table.log, "state": state}


def test_three_operators_one_number(race, data_regression):
    """Three operators submit ticket 7 concurrently, two of them with the same content.
    One content is accepted; a submission with the other ends as a conflict."""
    table, scheduler, (amal, badr, chai) = race
    asyncio.run(
        scheduler.run(
            amal.submit(7, "v1", "drafting"),
            badr.submit(7, "v2", "drafting"),
            chai.submit(7, "v1", "drafting"),
        )
    )
    data_regression.check(_log_and_state(table))


def test_lower_numbers_on_changed_and_unchanged_keys(race, data_regression):
    """Tickets 5, 6 and 7 are submitted concurrently and overlap in what they change.
    Each key ends with the newest ticket; a lower ticket is refused after it, or was
    accepted before it and is superseded."""
    table, scheduler, (amal, badr, chai) = race
    asyncio.run(
        scheduler.run(
            amal.submit(5, "v5", "drafting", "replies"),
            badr.submit(6, "v6", "replies"),
            chai.submit(7, "v7", "drafting"),
        )
    )
    data_regression.check(_log_and_state(table))


def test_lost_response_during_a_race(race, data_regression):
    """One operator's write is delayed, while another operator submits a ticket and a
    third queries the status. No result may be contradicted by a later one."""
    table, scheduler, (amal, badr, chai) = race
    table.faults.extend(["late", "down"])
    asyncio.run(scheduler.run(amal.submit(5, "v5", "drafting")))
    asyncio.run(scheduler.run(badr.submit(6, "v6", "drafting"), chai.query_status(5)))
    table.apply_late()
    asyncio.run(scheduler.run(chai.query_status(5), amal.submit(5, "v5", "drafting")))
    data_regression.check(_log_and_state(table))
