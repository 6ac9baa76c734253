"""The agent's slots, with a clock that the test moves."""

import asyncio

import pytest
from wasabideck_agent.attempts import Attempt
from wasabideck_agent.slots import Slot, Slots
from wasabideck_policy.admission import Gate
from wasabideck_wire import inner_pb2 as pb


@pytest.fixture
def now():
    return [0.0]


@pytest.fixture
def slots(now):
    gate = Gate(capacity=1, service_time=1.0, open=True)
    return Slots(gate, lambda: now[0])


def attempt(name, deadline=100.0, priority=1):
    return Attempt(pb.RunRequest(attempt=name, priority=priority), deadline)


async def turns():
    """Let every task run that can."""
    for _ in range(10):
        await asyncio.sleep(0)


def test_a_slot_given_to_an_attempt_that_was_cancelled_is_passed_on(slots):
    # The caller of the second gives up in the very moment in which the first ends.
    # Its slot would be lost, and the server idle for good.
    async def session():
        async with Slot(slots, attempt("first")):
            second = asyncio.create_task(slots.take(attempt("second")))
            third = asyncio.create_task(slots.take(attempt("third")))
            await turns()
        second.cancel()
        await turns()
        assert third.done() and third.result() is None
        assert slots.gate.running == 1

    asyncio.run(session())


def test_who_can_no_longer_end_in_time_is_told_before_its_deadline(slots, now):
    # The answer before it takes longer than any so far. Held until the deadline, the
    # caller would have no time left to ask elsewhere.
    async def session():
        async with Slot(slots, attempt("long")):
            late = asyncio.create_task(slots.take(attempt("late", deadline=3.0)))
            await turns()
            now[0] = 2.5
            slots.give()
            await turns()
            assert late.done()
        return late.result()

    refusal = asyncio.run(session())
    assert refusal.failure.kind == "Overloaded"
    assert refusal.retry_after > 0


def test_nothing_runs_while_the_gate_is_closed_and_all_when_it_opens(slots):
    async def session():
        slots.gate.open = False
        waiting = asyncio.create_task(slots.take(attempt("first")))
        await turns()
        assert not waiting.done()
        slots.gate.open = True
        assert await waiting is None

    asyncio.run(session())
