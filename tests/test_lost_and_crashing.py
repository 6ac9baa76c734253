"""Requests that crash their servers, and non-repeatable orders whose agent is lost."""

import asyncio

import pytest
from agent_entry_fakes import (
    FakeAgent,
    FakePlain,
    FakeTable,
    GatedEngine,
    answer,
    call,
    draft,
    make_caller,
    make_engine_agent,
    make_target,
    order,
)
from wasabideck_policy.outcomes import Answered, NotRun, Unknown
from wasabideck_policy.quarantine import Quarantine


def test_a_crashing_request_is_quarantined_after_two_crashes():
    """A request crashes each server that runs it; its caller retries it through another
    entry each time. Two servers crash, the third doesn't run it, and further retries
    are refused immediately and finally.
    """

    async def body():
        agents = [
            await make_engine_agent(f"draft-{i}", engine_kw={"dies_at": 0}).serve()
            for i in (1, 2, 3)
        ]
        shared = Quarantine()  # stands for the gossip between the entries
        outcomes = []
        for _ in range(3):
            caller = make_caller(*map(make_target, agents), quarantine=shared)
            outcomes.append((await answer(caller, call()))[1])
            caller.channels.close()
        crashes = sum(agent.runner.crash_count for agent in agents)
        assert crashes == 2
        assert isinstance(outcomes[0], Unknown)
        assert [o.failure.kind for o in outcomes[1:]] == ["Quarantined"] * 2
        assert all(isinstance(o, NotRun) and not o.retry_after for o in outcomes[1:])
        for agent in agents:
            agent.close()

    asyncio.run(body())


def test_a_suspected_request_runs_alone():
    """A request was running when its server crashed; another may be the cause.

    It runs again, but alone: if it crashes that server too, it affects no others.
    """

    async def body():
        one = make_engine_agent(engine=GatedEngine())
        first = one.runner.start(draft("d1"))
        suspect = one.runner.start(draft("d2", b"suspect", alone=True))
        later = one.runner.start(draft("d3", b"later"))
        while not first.started:
            await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        assert not suspect.started and not later.started
        for _ in range(5):
            one.engine.turn.release()
        await one.final(first)
        while not suspect.started:
            await asyncio.sleep(0)
        assert not later.started
        for _ in range(10):
            one.engine.turn.release()
        await one.final(later)
        assert suspect.ended_at is not None

    asyncio.run(body())


@pytest.mark.parametrize("moment", ["before the claim", "in the run", "recorded"])
def test_the_claim_decides_the_outcome_of_an_order_whose_agent_is_lost(moment):
    """An agent that has an order is lost; it may only be suspended.

    Before the claim, the attempt is barred and another server runs the order; the first
    agent must not run it when it resumes. Once the order is recorded, the caller gets
    the stored receipt. In between, the outcome is unknown.
    """

    async def body():
        hold = asyncio.Event()
        held, table = FakeTable(), FakeTable()
        one = FakeAgent("order-1", held, plain=FakePlain())
        two = FakeAgent("order-2", table, plain=FakePlain(), incarnation="inc-2")
        held.rows = table.rows
        if moment == "before the claim":
            held.hold = hold
        else:
            one.plain.hold = hold
        await one.serve()
        await two.serve()
        servers = make_target(one), make_target(two)
        caller = make_caller(*servers, table=table)
        response = asyncio.create_task(answer(caller, call(False, key="k1")))
        await (held if moment == "before the claim" else one.plain).entered.wait()
        one.server.close()
        if moment == "recorded":
            hold.set()
        text, outcome = await response
        hold.set()
        for attempt in one.runner.attempts.in_progress():
            await one.final(attempt)
        runs = one.plain.runs.get("k1", 0) + two.plain.runs.get("k1", 0)
        assert runs == 1
        assert isinstance(outcome, Unknown if moment == "in the run" else Answered)
        assert text == (b"" if moment == "in the run" else b"receipt of k1")
        one.close(), two.close(), caller.channels.close()

    asyncio.run(body())


def test_a_barred_order_does_not_run_when_its_agent_resumes():
    """The only server's agent is suspended before it claims an order, and the caller
    gets "not run". The agent resumes before the deadline, and still has the order.

    Its attempt is barred in the claim's row, so it is cancelled; a retry may run.
    """

    async def body():
        held, table = FakeTable(hold=asyncio.Event()), FakeTable()
        held.rows = table.rows
        one = await FakeAgent("order-1", held, plain=FakePlain()).serve()
        caller = make_caller(make_target(one), table=table)
        response = asyncio.create_task(answer(caller, call(False, key="k1")))
        await held.entered.wait()
        attempt = one.runner.attempts.in_progress()[0]
        with attempt.attach_reader(one.now):
            one.server.close()
            _, outcome = await response
            held.hold.set()
            final = await one.final(attempt)
        assert isinstance(outcome, NotRun) and outcome.settled
        assert (final.reason, one.plain.runs) == ("Cancelled", {})
        assert (await one.run(order("a2", digest="digest"))).settled is False
        assert one.plain.runs == {"k1": 1}
        one.close(), caller.channels.close()

    asyncio.run(body())


def test_a_retried_order_is_unknown_if_its_first_attempt_may_have_run():
    """An entry that has an order is killed; the caller retries the key elsewhere.

    The store is down, so this attempt does not run. The caller would take "not run" for
    the outcome of the order, but its first attempt may have printed it.
    """

    async def body():
        caller = make_caller()
        _, first = await answer(caller, call(repeatable=False))
        _, again = await answer(caller, call(repeatable=False, is_retry=True))
        assert isinstance(first, NotRun)
        assert isinstance(again, Unknown)

    asyncio.run(body())
