"""Calls that may not be repeated run at most once, and "not run" is always true."""

import asyncio

import pytest
from agent_entry_fakes import FakeAgent, FakePlain, FakeTable, order
from wasabideck_agent.runs_service import RunsService
from wasabideck_base.claim_rows import stored_response
from wasabideck_base.server_clients import ServerDied, ServerFailed, ServerRefused
from wasabideck_policy.claims import Claim, claim_key
from wasabideck_wire import inner_pb2 as pb

ANSWERED, NOT_RUN, UNKNOWN = pb.Final.ANSWERED, pb.Final.NOT_RUN, pb.Final.UNKNOWN


def agent(table=None, vm="order-1", **kw):
    return FakeAgent(vm, table or FakeTable(), plain=kw.pop("plain", FakePlain()), **kw)


def row(table, key="k1"):
    return Claim(**table.rows[claim_key("org-1", key)])


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    ("end", "outcome", "state"),
    [
        # The service recorded the order and then responded 500, or its connection
        # broke. After a "not run" the caller would order the banners again.
        (ServerFailed("url", "status 500"), UNKNOWN, "running"),
        (ServerDied("url", "reset"), UNKNOWN, "running"),
        # The call certainly did not run: its claim is released, so the key is free.
        (ServerRefused("url", "refused", 1.0), NOT_RUN, "released"),
    ],
)
def test_a_failure_is_reported_as_not_run_only_if_that_is_certain(end, outcome, state):
    async def body():
        one = agent(plain=FakePlain(ends=[end]))
        final = await one.run(order())
        assert (final.outcome, row(one.table).state) == (outcome, state)
        assert final.settled == (outcome == NOT_RUN)

    asyncio.run(body())


@pytest.mark.parametrize("plan", [["lost"], ["late"], ["late", "lost"], ["late"] * 2])
def test_a_claim_whose_response_was_lost_runs_at_most_once(plan):
    """The table applies the claim but its response is lost, or applies it late.

    The order must not run twice, a "not run" must be true, and an attempt that never
    ran must not keep the key: retries would get "unknown" forever. Cause: the first
    version abandoned the lost claim without resolving it.
    """

    async def body():
        one = agent(FakeTable(plan=list(plan)))
        first = await one.run(order("a1"))
        one.table.apply_late()
        await wait_until(lambda: not one.runner.at_most_once.claims.pending_releases)
        runs = one.plain.runs.get("k1", 0)
        assert runs == (first.outcome == ANSWERED)
        second = await one.run(order("a2"))
        one.table.apply_late()
        assert second.outcome == ANSWERED
        assert one.plain.runs == {"k1": 1}
        assert second.replayed == (first.outcome == ANSWERED)

    asyncio.run(body())


def test_an_order_is_refused_if_the_store_is_down_before_the_claim():
    async def body():
        one = agent(FakeTable(plan=["down"]))
        final = await one.run(order())
        assert (final.outcome, one.plain.runs) == (NOT_RUN, {})
        assert final.retry_after_ms > 0

    asyncio.run(body())


def test_a_store_that_is_down_after_the_run_does_not_delay_the_answer():
    """The table becomes unavailable while the order runs.

    The caller gets its receipt at once. The answer is stored when the table is
    available again, and retries get it. This fails if storing is tried only once.
    """

    async def body():
        one = agent(FakeTable(plan=["ok", "down", "lost", "down"]))
        assert (await one.run(order())).outcome == ANSWERED
        await wait_until(lambda: not one.runner.at_most_once.pending_records)
        assert stored_response(row(one.table)) == b"receipt of k1"
        again = await one.run(order("a2"))
        assert (again.replayed, one.plain.runs) == (True, {"k1": 1})

    asyncio.run(body())


def test_a_cancel_while_the_claim_is_being_written_frees_the_key():
    """A caller disconnects while its order is being claimed.

    The outcome is "not run", and nothing ran, but the claim still takes effect. The
    caller's retry must run; it used to get "unknown" forever.
    """

    async def body():
        one = agent(FakeTable(hold=asyncio.Event()))
        attempt = one.runner.start(order())
        with attempt.attach_reader(one.now):
            await one.table.entered.wait()
            assert await one.runner.cancel(pb.CancelRequest(attempt="a1"))
            one.table.hold.set()
            await wait_until(
                lambda: one.table.rows and row(one.table).state == "released"
            )
        assert (await one.run(order("a2"))).outcome == ANSWERED
        assert one.plain.runs == {"k1": 1}

    asyncio.run(body())


def test_a_cancel_after_the_start_is_not_reported_as_not_run():
    async def body():
        one = agent(plain=FakePlain(hold=asyncio.Event()))
        attempt = one.runner.start(order())
        with attempt.attach_reader(one.now):
            await one.plain.entered.wait()
            assert not await one.runner.cancel(pb.CancelRequest(attempt="a1"))
            one.plain.hold.set()
            assert (await one.final(attempt)).outcome == ANSWERED

    asyncio.run(body())


def test_a_holder_that_resumes_after_the_deadline_releases_its_claim():
    """An agent is suspended after its claim took effect, until after the deadline.

    Its caller got "unknown" long before and ordered elsewhere by telephone. When the
    agent resumes, a late run would print the banner twice.
    """

    async def body():
        one = agent(FakeTable(hold=asyncio.Event()))
        attempt = one.runner.start(order())
        with attempt.attach_reader(one.now):
            await one.table.entered.wait()
            one.now.at += 60
            one.table.hold.set()
            assert (await one.final(attempt)).reason == "DeadlinePassed"
        assert (one.plain.runs, row(one.table).state) == ({}, "released")

    asyncio.run(body())


def test_an_order_whose_entry_died_does_not_start():
    """The entry dies while an order waits; its caller retries at another entry.

    The retry is refused because all slots are taken, and gets "not run". If the first
    attempt, which nobody reads any more, started after that, this would be false.
    """

    async def body():
        one = agent()
        final = await one.final(one.runner.start(order()))
        assert (final.reason, one.plain.runs) == ("NoReader", {})

    asyncio.run(body())


def test_a_key_at_two_agents_runs_at_one_and_is_answered_by_both():
    """A caller sends its order through two entries at once, to two servers.

    One agent runs it. The other gets the receipt from the holder over the inner
    protocol and returns it, instead of "unknown" or a second banner.
    """

    async def body():
        table = FakeTable()
        plain = FakePlain(hold=asyncio.Event())
        one = await agent(table, plain=plain).serve()
        two = await agent(table, vm="order-2", incarnation="inc-2").serve()
        first = asyncio.create_task(one.run(order("a1")))
        await plain.entered.wait()
        second = asyncio.create_task(two.run(order("a2", incarnation="inc-2")))
        await wait_until(lambda: one.runner.open_streams)
        plain.hold.set()
        assert (await first).outcome == ANSWERED
        assert (await second).replayed
        assert two.runner.attempts.get("a2").answer() == b"receipt of k1"
        assert (plain.runs, two.plain.runs) == ({"k1": 1}, {})
        one.close(), two.close()

    asyncio.run(body())


@pytest.mark.parametrize("restarted", [False, True])
def test_the_outcome_is_unknown_when_the_holder_has_died(restarted):
    """The agent that holds the claim dies; another may have its address now.

    It is unknown whether the order ran. That the new agent does not know the attempt
    must not be taken for "not run".
    """

    async def body():
        table = FakeTable()
        holder = await agent(table).serve()
        held = Claim("org-1", "k1", b"20 banners".hex(), "a1", "order-1")
        table.rows[claim_key("org-1", "k1")] = {
            **{k: getattr(held, k) for k in held.__slots__ if k != "__weakref__"},
            "address": holder.address,
            "incarnation": "inc-0",
        }
        if not restarted:
            holder.close()
        two = await agent(table, vm="order-2").serve()
        final = await two.run(order("a2"))
        assert (final.outcome, two.plain.runs) == (UNKNOWN, {})
        holder.close(), two.close()

    asyncio.run(body())


def test_a_query_for_an_unknown_attempt_does_not_report_it_as_not_run():
    """A holder is queried for an attempt that it does not know, soon after its start.

    A query by the attempt's own entry may bar it; one by another agent may not.
    """

    async def body():
        one = agent()
        one.now.at = 1.0
        req = pb.ResumeRequest(attempt="a1", incarnation="inc-1", watch=True)
        assert RunsService(one.runner)._resolve_unknown(req).failure.kind == "Forgotten"
        assert (await one.run(order())).outcome == ANSWERED

    asyncio.run(body())


def test_the_same_key_with_another_body_is_refused():
    async def body():
        one = agent()
        await one.run(order("a1"))
        await wait_until(lambda: not one.runner.at_most_once.pending_records)
        other = await one.run(order("a2", body=b"30 banners"))
        assert (other.outcome, other.reason) == (NOT_RUN, "KeyReused")
        assert one.plain.runs == {"k1": 1}

    asyncio.run(body())


def test_organisations_never_share_a_claim():
    """Key ``b/c`` of organisation ``a`` and key ``c`` of ``a/b`` once shared a row."""
    assert claim_key("a", "b/c") != claim_key("a/b", "c")


def test_claims_that_arrive_together_share_a_transaction():
    async def body():
        one = agent(FakeTable(hold=asyncio.Event()))
        store = one.runner.at_most_once.claims
        claims = [Claim("org-1", f"k{i}", "d", f"a{i}", "vm") for i in range(20)]
        takes = [asyncio.create_task(store.acquire(claim)) for claim in claims]
        await one.table.entered.wait()
        one.table.hold.set()
        decisions = await asyncio.gather(*takes)
        assert {decision.action for decision in decisions} == {"run"}
        assert one.table.transactions <= store.batch.max_senders + 1
        assert len(one.table.rows) == 20

    asyncio.run(body())
