"""Every caller gets the complete response to its own request, once."""

import asyncio

import pytest
from agent_entry_fakes import (
    FakeEngine,
    GatedEngine,
    answer,
    call,
    draft,
    make_caller,
    make_engine_agent,
    make_stream,
    make_target,
)
from wasabideck_agent import attempts
from wasabideck_agent.attempts import MAX_UNSENT_BYTES
from wasabideck_entry.call_runner import StreamEvent
from wasabideck_lab.relay import Relay
from wasabideck_policy.outcomes import Answered, Unknown
from wasabideck_wire import inner_pb2 as pb


@pytest.mark.parametrize("fault", ["stall_connections", "abort_connections"])
def test_a_stream_resumes_where_its_connection_was_lost(fault):
    """The connection stops transmitting, or breaks, after two words.

    The stream resumes on a new connection at the third word: no event is lost or sent
    twice. TCP itself detects a connection without data only after many minutes.
    """

    async def body():
        one = await make_engine_agent(engine=GatedEngine()).serve()
        relay = Relay(lambda: one.address)
        await relay.start()
        stream = make_stream(make_target(one, address=relay.address), draft(), one.now)
        offsets, text = [], b""
        one.engine.turn.release()
        async for event in stream.run():
            offsets.append(event.offset)
            text += event.piece.data
            if len(offsets) == 2:
                getattr(relay, fault)()
            one.engine.turn.release()
        assert offsets == [0, 1, 2, 3, 4, 5]
        assert text == b"w0 w1 w2 w3 "
        assert len(one.engine.jobs) == 1
        await relay.close()
        stream.channels.close(), one.close()

    asyncio.run(body())


def test_a_restarted_agent_does_not_report_an_earlier_attempt_as_not_run():
    """The agent dies with a request in progress, and another has its address now.

    The new agent does not know the attempt. It used to respond "never arrived, not
    run", which the caller would have received although the order may have run.
    """

    async def body():
        new = await make_engine_agent(incarnation="inc-2").serve()
        server = make_target(new)
        server.incarnation = "inc-1"
        stream = make_stream(server, draft(), new.now)
        stream.sent = True
        events = [event async for event in stream.run()]
        assert events[-1].final.outcome == pb.Final.UNKNOWN
        fresh = make_stream(server, draft("d2"), new.now)
        events = [event async for event in fresh.run()]
        assert events[-1].final.reason == "OtherIncarnation"
        assert new.engine.jobs == []
        new.close()

    asyncio.run(body())


def test_a_dead_agent_ends_the_wait_at_once():
    """The agent is killed with a request in progress, and nothing listens any more.

    The caller gets "outcome unknown" at once and not only at its deadline.
    """

    async def body():
        one = await make_engine_agent(engine=GatedEngine()).serve()
        stream = make_stream(make_target(one), draft(), one.now)
        outcome = None
        async for event in stream.run():
            if event.HasField("started"):
                one.close()
            outcome = event.final
        assert (outcome.outcome, outcome.reason) == (pb.Final.UNKNOWN, "AgentGone")

    asyncio.run(body())


def test_a_run_request_that_arrives_after_its_cancel_does_not_run():
    async def body():
        one = make_engine_agent()
        req = pb.CancelRequest(attempt="d1", incarnation="inc-1", not_after_ms=110_000)
        assert await one.runner.cancel(req)
        final = await one.run(draft())
        assert (final.outcome, final.reason) == (pb.Final.NOT_RUN, "Cancelled")
        assert one.engine.jobs == []

    asyncio.run(body())


def test_a_draft_continues_at_another_server_with_the_same_weights():
    """A server dies after two of four words were sent to the caller.

    Another server of the same manifest continues from there: the caller gets one
    complete answer of one version and does not notice the failover.
    """

    async def body():
        dying = await make_engine_agent("draft-1", engine_kw={"dies_at": 2}).serve()
        other = await make_engine_agent("draft-2").serve()
        caller = make_caller(make_target(dying), make_target(other))
        text, outcome = await answer(caller, call())
        assert (text, outcome) == (b"w0 w1 w2 w3 ", Answered())
        job = other.engine.jobs[0]
        assert (job.resume_from, job.prefix) == (2, b"w0 w1 ")
        dying.close(), other.close(), caller.channels.close()

    asyncio.run(body())


@pytest.mark.parametrize("known", [True, False])
def test_a_draft_is_never_made_of_two_versions(known):
    """The only other server has other weights; the entry may not know that yet.

    An answer made from two versions would be worse than none: the caller gets
    "outcome unknown" after the words that it has received.
    """

    async def body():
        dying = await make_engine_agent("draft-1", engine_kw={"dies_at": 2}).serve()
        other = await make_engine_agent("draft-2").serve()
        other.runner.serving = other.runner.serving.__class__(2, "d", "v2", "m2")
        seen = "m2" if known else "m1"
        caller = make_caller(make_target(dying), make_target(other, manifest=seen))
        text, outcome = await answer(caller, call())
        assert text == b"w0 w1 "
        assert isinstance(outcome, Unknown)
        assert other.engine.jobs == []
        dying.close(), other.close(), caller.channels.close()

    asyncio.run(body())


def test_a_refusal_after_an_attempt_that_may_have_run_is_unknown():
    """The first server dies while it runs the request; the second one refuses it.

    "Not run" is true of the second attempt only, but the last outcome used to be
    reported for the whole request.
    """

    async def body():
        dying = await make_engine_agent("draft-1", engine_kw={"dies_at": 0}).serve()
        full = await make_engine_agent("draft-2").serve()
        full.runner.admission.draining = True
        caller = make_caller(make_target(dying), make_target(full))
        _, outcome = await answer(caller, call())
        assert isinstance(outcome, Unknown)
        assert outcome.failure.kind == "Leaving"
        dying.close(), full.close(), caller.channels.close()

    asyncio.run(body())


def test_a_slow_reader_causes_backpressure_and_loses_nothing():
    """A caller does not read a long response for a while.

    The engine waits instead of filling the agent's memory, and the caller then gets
    every word.
    """

    async def body():
        words = 3000
        one = make_engine_agent(engine=FakeEngine(words=words, word="x" * 400))
        attempt = one.runner.start(draft())
        while attempt._unsent_bytes <= MAX_UNSENT_BYTES:
            await asyncio.sleep(0)
        for _ in range(50):
            await asyncio.sleep(0)
        assert one.engine.produced < words
        assert attempt._unsent_bytes < MAX_UNSENT_BYTES + 1000
        offset = 0
        with attempt.attach_reader(one.now):
            while await attempt.wait_for_event(offset, 1.0):
                attempt.mark_sent(offset)
                offset += 1
                if attempt.final and attempt.event(offset - 1).HasField("final"):
                    break
        assert offset == words + 2

    asyncio.run(body())


def test_events_of_ended_attempts_are_limited(monkeypatch):
    """Many long responses end fast, and each is kept for a minute for a resume.

    Above the limit the oldest are dropped. A reader that resumes one of them gets
    "unknown" and never a part of the response as if it were complete.
    """
    monkeypatch.setattr(attempts, "MAX_ENDED_BYTES", 2000)

    async def body():
        one = make_engine_agent(engine=FakeEngine(word="x" * 200))
        for number in range(4):
            await one.run(draft(f"d{number}"))
            one.now.at += 1
        one.runner.attempts.remove_expired(one.now.at)
        kept = [one.runner.attempts.get(f"d{n}").size > 0 for n in range(4)]
        assert kept == [False, False, True, True]
        server = make_target(await one.serve())
        stream = make_stream(server, draft("d0"), one.now)
        events = [event async for event in stream.run()]
        assert events[-1].final.reason == "EventsForgotten"
        one.close()

    asyncio.run(body())


def test_a_caller_that_disconnects_cancels_the_engines_work():
    async def body():
        one = await make_engine_agent(engine=GatedEngine()).serve()
        caller = make_caller(make_target(one), now=one.now)
        one.engine.turn.release()
        items = caller.run(call())
        async for item in items:
            if isinstance(item, StreamEvent):
                break
        await items.aclose()
        await caller.wait_for_cancels(2.0)
        assert len(one.engine.cancelled) == 1
        one.close(), caller.channels.close()

    asyncio.run(body())


def test_attempts_without_a_reader_are_stopped():
    """An entry dies with drafts in progress, so it never sends a cancel."""

    async def body():
        one = make_engine_agent(engine=GatedEngine())
        attempt = one.runner.start(draft())
        with attempt.attach_reader(one.now):
            await asyncio.sleep(0)
        while not attempt.started:
            await asyncio.sleep(0)
        await one.runner.stop_orphans()
        assert one.engine.cancelled == []
        one.now.at += 11
        await one.runner.stop_orphans()
        assert one.engine.cancelled == ["d1"]
        attempt.task.cancel()

    asyncio.run(body())
