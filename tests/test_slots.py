"""The agent's slots, with a clock that the test advances."""

import asyncio

import pytest
from wasabideck_agent.attempts import Attempt
from wasabideck_agent.slots import Slot, Slots
from wasabideck_policy.admission import AdmissionControl
from wasabideck_wire import inner_pb2 as pb


@pytest.fixture
def now():
    return [0.0]


@pytest.fixture
def slots(now):
    admission = AdmissionControl(capacity=1, service_seconds=1.0, accepting=True)
    return Slots(admission, lambda: now[0])


def attempt(name, deadline=100.0, priority=1):
    return Attempt(pb.RunRequest(attempt=name, priority=priority), deadline)


async def run_ready_tasks():
    """Let every task run that is ready."""
    for _ in range(10):
        await asyncio.sleep(0)


def test_a_slot_assigned_to_a_cancelled_attempt_is_reassigned(slots):
    # The second attempt is cancelled at the moment at which the first ends. The slot
    # must not be lost, or the server would stay idle forever.
    async def session():
        async with Slot(slots, attempt("first")):
            second = asyncio.create_task(slots.acquire(attempt("second")))
            third = asyncio.create_task(slots.acquire(attempt("third")))
            await run_ready_tasks()
        second.cancel()
        await run_ready_tasks()
        assert third.done() and third.result() is None
        assert slots.admission.running == 1

    asyncio.run(session())


def test_an_attempt_that_cannot_end_in_time_is_refused_before_its_deadline(slots, now):
    # The request ahead takes longer than any before it. If the second one waited until
    # its deadline, its caller would have no time left to retry elsewhere.
    async def session():
        async with Slot(slots, attempt("long")):
            late = asyncio.create_task(slots.acquire(attempt("late", deadline=3.0)))
            await run_ready_tasks()
            now[0] = 2.5
            slots.assign()
            await run_ready_tasks()
            assert late.done()
        return late.result()

    refusal = asyncio.run(session())
    assert refusal.failure.kind == "Overloaded"
    assert refusal.retry_after > 0


def test_requests_wait_while_none_is_accepted_and_run_when_they_are(slots):
    async def session():
        slots.admission.accepting = False
        waiting = asyncio.create_task(slots.acquire(attempt("first")))
        await run_ready_tasks()
        assert not waiting.done()
        slots.admission.accepting = True
        assert await waiting is None

    asyncio.run(session())
