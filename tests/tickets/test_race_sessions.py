"""Golden files of whole sessions in which operators race one another.

The order in which the table carries their reads and writes out is drawn from a
seeded rng, so each session is the same in every run.
"""

import asyncio
import random

import pytest
from attrs import define, field
from fake_table import FakeTable
from wasabideck_base.ticket_store import accept_ticket, settle_ticket
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import Change, Ticket

NOW = 1_000.0


@define
class Turns:
    """Lets one waiting operation after the other go on, as the rng draws."""

    rng: random.Random
    waiting: list = field(factory=list)

    async def wait(self):
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn

    async def run(self, *operators):
        tasks = [asyncio.create_task(operator) for operator in operators]
        while not all(task.done() for task in tasks):
            await _let_all_reach_the_table()
            if self.waiting:
                index = self.rng.randrange(len(self.waiting))
                self.waiting.pop(index).set_result(None)


async def _let_all_reach_the_table():
    for _ in range(10):
        await asyncio.sleep(0)


@define
class Operator:
    """One operator's way to the table, which waits for its turn."""

    name: str
    table: FakeTable
    turns: Turns

    async def get(self, table, key):
        await self.turns.wait()
        return await self.table.get(table, key)

    async def transact(self, checks, writes):
        await self.turns.wait()
        self.table.log.append(f"{self.name} writes")
        return await self.table.transact(checks, writes)

    async def submit(self, number, version, *scopes):
        changes = tuple(Change(s, "model", "m", version, "d") for s in scopes)
        ticket = Ticket(number, changes)
        try:
            done = await accept_ticket(self, ticket, self.name, NOW)
            told = f"accepted as {done.sequence}" + (" before" if done.again else "")
        except WasabideckError as exc:
            told = f"{type(exc).__name__}: {exc}"
        self.table.log.append(f"{self.name} is told of {number}: {told}")

    async def ask(self, number):
        found = await settle_ticket(self, number)
        told = f"accepted as {found.sequence}" if found else "certainly not accepted"
        self.table.log.append(f"{self.name} asks for {number}: {told}")


@pytest.fixture
def stage(rng):
    table = FakeTable()
    turns = Turns(rng)
    people = [Operator(name, table, turns) for name in ("amal", "badr", "chai")]
    return table, turns, people


def _shown(table):
    state = {k: r["ticket"] for (t, k), r in sorted(table.rows.items()) if t == "state"}
    return {"session": table.log, "state": state}


def test_three_operators_one_number(stage, data_regression):
    """Three operators file ticket 7 at once, two of them the same file. One content
    stands; who filed another is told of the conflict."""
    table, turns, (amal, badr, chai) = stage
    asyncio.run(
        turns.run(
            amal.submit(7, "v1", "drafting"),
            badr.submit(7, "v2", "drafting"),
            chai.submit(7, "v1", "drafting"),
        )
    )
    data_regression.check(_shown(table))


def test_lower_numbers_on_touched_and_untouched_things(stage, data_regression):
    """Tickets 5, 6 and 7 come at once and overlap in what they touch. The newest
    holds each thing; a lower one that comes after it is refused, or had come before
    and was superseded."""
    table, turns, (amal, badr, chai) = stage
    asyncio.run(
        turns.run(
            amal.submit(5, "v5", "drafting", "replies"),
            badr.submit(6, "v6", "replies"),
            chai.submit(7, "v7", "drafting"),
        )
    )
    data_regression.check(_shown(table))


def test_a_lost_answer_amid_a_race(stage, data_regression):
    """One operator's write takes effect late, while another files and a third asks
    for its status. Nobody is told anything that a later line takes back."""
    table, turns, (amal, badr, chai) = stage
    table.faults.extend(["late", "down"])
    asyncio.run(turns.run(amal.submit(5, "v5", "drafting")))
    asyncio.run(turns.run(badr.submit(6, "v6", "drafting"), chai.ask(5)))
    table.apply_late()
    asyncio.run(turns.run(chai.ask(5), amal.submit(5, "v5", "drafting")))
    data_regression.check(_shown(table))
