"""Weights whose time is over leave their engine, whatever waits there."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from agent_fakes import MODEL, holds
from attrs import evolve
from wasabideck_agent.retirement import AHEAD_SECONDS, EMPTY_LOOK_SECONDS
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_policy.backends import Loaded
from wasabideck_policy.engine_state import EngineState, OrderAnswer

# How long a named version may take, here (seconds).
WITHIN = 1.0


@pytest.fixture
def agent(make_agent, engine):
    """An agent on the event loop's time, beside an engine that holds version 1."""
    made = make_agent()
    cfg = made.process.cfg
    made.process.cfg = evolve(cfg, bounds=evolve(cfg.bounds, version=WITHIN))
    engine.loaded = (Loaded("m", 1, 0, 4),)
    return made


@asynccontextmanager
async def running(agent):
    agent.process.clock = asyncio.get_running_loop().time
    task = asyncio.create_task(agent.run())
    try:
        yield agent.process.believer.beliefs
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def now():
    return asyncio.get_running_loop().time()


def test_nothing_is_begun_on_overdue_weights_where_no_entry_takes_it_back(
    agent, engine, origin
):
    # Guards against drafts begun too late when an entry's close comes late.
    async def scenario():
        origin.lacks = {2}
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            engine.waiting = 3
            await asyncio.sleep(WITHIN)
            engine.has_place()
        assert engine.begun == []
        assert engine.refused == 3

    asyncio.run(scenario())


def test_an_engine_that_has_newer_weights_in_time_just_loads_them(agent, engine):
    # Guards against a sound swap that loses what waits for it.
    async def scenario():
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            engine.waiting = 3
            await asyncio.sleep(WITHIN)
        assert holds(engine, 2)()
        assert (engine.orders, engine.waiting, engine.refused) == ([2], 3, 0)

    asyncio.run(scenario())


def test_newer_weights_are_loaded_after_the_old_ones_were_taken_out(
    agent, engine, origin
):
    # Guards against an engine that stays empty once its weights were retired.
    async def scenario():
        origin.lacks = {2}
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            await asyncio.sleep(WITHIN)
            assert engine.loaded == ()
            origin.lacks = set()
            async with asyncio.timeout(5.0):
                while not holds(engine, 2)():
                    await asyncio.sleep(0.05)
        assert engine.orders == [-2, 2]

    asyncio.run(scenario())


def test_weights_stay_while_the_age_of_newer_ones_is_a_guess(agent, engine, origin):
    # Guards against an agent that starts and empties a sound engine seconds too early.
    async def scenario():
        origin.lacks = {2}
        async with running(agent) as beliefs:
            beliefs.began = now()
            beliefs.name_version("m", 2, now() - 2 * WITHIN, False, now())
            await asyncio.sleep(WITHIN / 2)
            assert engine.orders == []
            beliefs.date_version("m", 2, now() - WITHIN)
            await asyncio.sleep(0.2)
            assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_engine_that_does_not_answer_is_asked_again(agent, engine, origin):
    # Guards against weights that stay because one order was lost.
    async def scenario():
        origin.lacks = {2}
        unload, failures = engine.unload, []

        async def failing(*args):
            if len(failures) < 2:
                failures.append(args)
                raise PlatformUnavailable("engine", "no answer", True)
            return await unload(*args)

        engine.unload = failing
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            await asyncio.sleep(WITHIN)
        assert engine.loaded == ()

    asyncio.run(scenario())


def test_an_engine_that_loads_already_gets_no_other_order(agent, engine):
    # Guards against newer weights that are thrown away while they are being loaded.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 2, now() - WITHIN)
        engine.loading, engine.looks = (2, {}), 100
        await agent.retirement.look(now())
        assert engine.orders == []

    asyncio.run(scenario())


def test_a_version_that_is_over_when_it_is_whole_is_not_loaded(agent, engine):
    # Guards against overdue weights that come into force at the end of a long transfer.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        manifest = await agent.manifests.get("m", 2)
        beliefs.name_version("m", 2, now() - 2 * WITHIN)
        beliefs.name_version("m", 3, now() - WITHIN)
        assert await agent._gather(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())


def test_a_version_that_ends_during_its_load_is_not_loaded(agent, engine):
    # Guards against what waits for a load beginning on weights that are over by then.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        manifest = await agent.manifests.get("m", 2)
        beliefs.name_version("m", 2, now())
        beliefs.name_version("m", 3, now())
        engine.running = 1
        assert await agent._gather(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []
        engine.running = 0
        await agent._swap(MODEL, manifest)
        assert engine.orders == [2]

    asyncio.run(scenario())


def test_newer_weights_that_are_being_ordered_are_waited_for(agent, engine):
    # Guards against an engine that is emptied while its newer weights are checked.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 2, now() - WITHIN + 0.4)
        agent.retirement.loading = True
        await agent.retirement.look(now())
        assert engine.orders == []
        beliefs.date_version("m", 2, now() - WITHIN + 0.2)
        await agent.retirement.look(now())
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_engine_that_hangs_is_asked_anew(agent, engine, origin):
    # Guards against one call without an answer that outlasts the weights' time.
    async def scenario():
        origin.lacks = {2}
        unload, hung = engine.unload, []

        async def hanging(*args):
            if not hung:
                hung.append(args)
                await asyncio.sleep(60.0)
            return await unload(*args)

        engine.unload = hanging
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            await asyncio.sleep(WITHIN)
        assert engine.loaded == ()

    asyncio.run(scenario())


def test_entries_hear_at_once_that_an_engine_takes_nothing_more(agent, engine, origin):
    # Guards against requests that are sent to an engine which refuses all of them.
    async def scenario():
        told = []
        agent.tell = lambda state: told.append(agent.describe(state)[:2])
        agent.process.clock = now
        agent.process.believer.beliefs.name_version("m", 2, now() - WITHIN)
        await agent.retirement.look(now())
        assert told == [(1, False)]

    asyncio.run(scenario())


def test_an_agent_stays_until_its_engine_has_no_overdue_weights(agent, engine, origin):
    # Guards against an engine that keeps old weights for good without its agent.
    async def scenario():
        origin.lacks = {2}
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now())
            began = now()
            await agent.retirement.leave(5.0)
            assert engine.loaded == ()
            assert WITHIN / 2 < now() - began < WITHIN

    asyncio.run(scenario())


def test_an_agent_whose_time_ends_first_takes_the_weights_out_then(agent, engine):
    # Guards against an agent that is killed with old weights still in its engine.
    async def scenario():
        agent.process.clock = now
        agent.process.believer.beliefs.name_version("m", 2, now())
        await agent.retirement.leave(0.2)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_agent_whose_engine_has_the_newest_weights_leaves_at_once(agent, engine):
    # Guards against every stop of an agent lasting for its whole grace.
    async def scenario():
        agent.process.clock = now
        began = now()
        await agent.retirement.leave(5.0)
        assert now() - began < 0.5
        assert engine.orders == []

    asyncio.run(scenario())


def test_what_an_engine_is_loading_is_looked_at_when_it_is_loaded(agent, engine):
    # Guards against overdue weights that come in by an order that is in progress.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 2, now() - 2 * WITHIN)
        beliefs.name_version("m", 3, now() - WITHIN)
        engine.loaded, engine.loading, engine.looks = (), (2, {}), 100
        await agent.retirement.look(now())
        engine.loaded, engine.loading = (Loaded("m", 2, 0, 4),), None
        await agent.retirement.look(now())
        assert engine.orders == [-3]

    asyncio.run(scenario())


def test_overdue_weights_that_come_into_an_empty_engine_leave_it_again(agent, engine):
    # Guards against an engine that was empty once and is never looked at again.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 2, now() - 2 * WITHIN)
        beliefs.name_version("m", 3, now() - WITHIN)
        engine.loaded = ()
        await agent.retirement.look(now())
        engine.loaded = (Loaded("m", 2, 0, 4),)
        await asyncio.sleep(EMPTY_LOOK_SECONDS)
        await agent.retirement.look(now())
        assert engine.orders == [-3]

    asyncio.run(scenario())


def test_a_version_that_is_over_after_its_check_is_not_loaded(agent, engine):
    # Guards against a check that takes so long that another version is due after it.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        manifest = await agent.manifests.get("m", 2)
        beliefs.name_version("m", 2, now())
        assert await agent._gather(MODEL, manifest)
        read = engine.staged_piece

        async def read_slowly(model, index):
            beliefs.name_version("m", 3, now() - WITHIN)
            return await read(model, index)

        engine.staged_piece = read_slowly
        engine.loaded = ()
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())


def test_an_agent_stays_while_its_engine_loads(agent, engine):
    # Guards against a version that comes in overtaken with nobody beside its engine.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 3, now())
        engine.loaded, engine.loading, engine.looks = (), (2, {}), 10_000
        leaving = asyncio.create_task(agent.retirement.leave(3.0))
        await asyncio.sleep(0.2)
        assert not leaving.done()
        engine.loaded, engine.loading = (Loaded("m", 3, 0, 4),), None
        await asyncio.wait_for(leaving, 1.0)

    asyncio.run(scenario())


def test_an_agent_that_stops_tries_more_than_once(agent, engine):
    # Guards against one lost order that leaves old weights behind for good.
    async def scenario():
        agent.process.clock = now
        unload, failures = engine.unload, []

        async def failing(*args):
            if not failures:
                failures.append(args)
                raise PlatformUnavailable("engine", "no answer", True)
            return await unload(*args)

        engine.unload = failing
        agent.process.believer.beliefs.name_version("m", 2, now())
        await agent.retirement.leave(0.4)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_agent_beside_an_engine_that_is_down_leaves_where_no_version_was_named(
    agent, engine
):
    # Guards against stops that wait beside a dead engine for nothing.
    async def scenario():
        agent.process.clock = now

        async def down():
            raise PlatformUnavailable("engine", "down", False)

        engine.state = down
        began = now()
        await agent.retirement.leave(5.0)
        assert now() - began < 0.5

    asyncio.run(scenario())


def test_an_engine_that_refuses_is_not_flooded(agent, engine, origin):
    # Guards against an order every 0.05 s for as long as an engine refuses it.
    async def scenario():
        origin.lacks, refused = {2}, []

        async def refusing(*args):
            refused.append(args)
            return OrderAnswer.REFUSED

        engine.unload = refusing
        async with running(agent) as beliefs:
            beliefs.name_version("m", 2, now() - WITHIN)
            await asyncio.sleep(1.0)
        assert 2 <= len(refused) <= 6

    asyncio.run(scenario())


def test_an_agent_tells_only_of_versions_whose_end_it_knows(agent, engine):
    # Guards against entries that rely on an agent which only guesses a version's age.
    beliefs = agent.process.believer.beliefs
    beliefs.name_version("m", 2, 0.0, False, 0.0)
    state = EngineState((Loaded("m", 1, 0, 4),), busy=False, born=1)
    assert agent.describe(state)[3] == 1
    beliefs.date_version("m", 2, 0.0)
    assert agent.describe(state)[3] == 2


def test_a_version_that_stays_without_a_date_counts_in_the_end(agent, engine):
    # Guards against overdue weights where all processes start anew beside live engines.
    async def scenario():
        heard_at = now()
        beliefs = agent.process.believer.beliefs
        beliefs.name_version("m", 2, heard_at - 2 * WITHIN, False, heard_at)
        counts_at = heard_at + agent.process.cfg.bounds.stable - AHEAD_SECONDS
        await agent.retirement.look(counts_at - 0.01)
        assert engine.orders == []
        await agent.retirement.look(counts_at + 0.01)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_a_whole_version_is_loaded_when_the_old_weights_are_out(agent, engine, origin):
    # Guards against an engine that stays empty for the newest version with another one,
    # which may serve for seconds, whole beside it.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        manifest = await agent.manifests.get("m", 2)
        beliefs.name_version("m", 2, now() - WITHIN)
        beliefs.name_version("m", 3, now() + 1.0)
        assert await agent._gather(MODEL, manifest)
        agent._born, agent._serves = engine.born, 1
        engine.loading, engine.looks, engine.loaded = None, 0, ()
        state, looks = engine.state, []

        async def draining():
            looks.append(1)
            found = await state()
            return evolve(found, busy=len(looks) < 6)

        engine.state = draining
        await agent._swap(MODEL, manifest)
        assert engine.orders == [2]

    asyncio.run(scenario())


def test_an_agent_that_starts_loads_no_version_that_may_be_over(agent, engine):
    # Guards against an overtaken version in an empty engine where all processes start
    # anew, and none knows how long ago the newest one was named.
    async def scenario():
        agent.process.clock = now
        beliefs = agent.process.believer.beliefs
        beliefs.began = now()
        manifest = await agent.manifests.get("m", 2)
        beliefs.name_version("m", 2, now() - 2 * WITHIN)
        beliefs.name_version("m", 3, now() - 2 * WITHIN, False, now())
        engine.loaded = ()
        assert await agent._gather(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())
