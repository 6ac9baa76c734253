"""An agent unloads expired weights from its engine, whatever waits there."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from agent_fakes import MODEL, holds
from attrs import evolve
from wasabideck_agent.retirement import RECHECK_DELAY_SECONDS, UNLOAD_LEAD_SECONDS
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_policy.backends import LoadedLayers
from wasabideck_policy.engine_state import EngineState, OrderResponse

# Seconds within which a declared version has to be in effect.
WITHIN = 1.0


@pytest.fixture
def agent(make_agent, engine):
    """An agent on the event loop's time, beside an engine that holds version 1."""
    made = make_agent()
    cfg = made.process.cfg
    made.process.cfg = evolve(
        cfg, limits=evolve(cfg.limits, version_deadline_seconds=WITHIN)
    )
    engine.loaded = (LoadedLayers("m", 1, 0, 4),)
    return made


@asynccontextmanager
async def running(agent):
    agent.process.clock = asyncio.get_running_loop().time
    task = asyncio.create_task(agent.run())
    try:
        yield agent.process.state_sync.cluster_state
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def now():
    return asyncio.get_running_loop().time()


def test_no_request_starts_on_expired_weights_if_no_entry_recalls_it(
    agent, engine, origin
):
    # Guards against requests that start too late because an entry's cancel is late.
    async def scenario():
        origin.missing_versions = {2}
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            engine.waiting = 3
            await asyncio.sleep(WITHIN)
            engine.start_waiting()
        assert engine.started_on == []
        assert engine.refused == 3

    asyncio.run(scenario())


def test_newer_weights_that_are_complete_in_time_are_loaded_directly(agent, engine):
    # Guards against a regular swap that loses the requests that wait for it.
    async def scenario():
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            engine.waiting = 3
            await asyncio.sleep(WITHIN)
        assert holds(engine, 2)()
        assert (engine.orders, engine.waiting, engine.refused) == ([2], 3, 0)

    asyncio.run(scenario())


def test_newer_weights_are_loaded_after_the_old_ones_were_unloaded(
    agent, engine, origin
):
    # Guards against an engine that stays empty after its weights were unloaded.
    async def scenario():
        origin.missing_versions = {2}
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            await asyncio.sleep(WITHIN)
            assert engine.loaded == ()
            origin.missing_versions = set()
            async with asyncio.timeout(5.0):
                while not holds(engine, 2)():
                    await asyncio.sleep(0.05)
        assert engine.orders == [-2, 2]

    asyncio.run(scenario())


def test_weights_stay_while_the_age_of_newer_ones_is_estimated(agent, engine, origin):
    # Guards against a starting agent that empties a healthy engine seconds too early.
    async def scenario():
        origin.missing_versions = {2}
        async with running(agent) as cluster_state:
            cluster_state.started_at = now()
            cluster_state.declare_version("m", 2, now() - 2 * WITHIN, False, now())
            await asyncio.sleep(WITHIN / 2)
            assert engine.orders == []
            cluster_state.record_declaration_time("m", 2, now() - WITHIN)
            await asyncio.sleep(0.2)
            assert engine.orders == [-2]

    asyncio.run(scenario())


def test_a_failed_order_to_unload_is_repeated(agent, engine, origin):
    # Guards against weights that stay loaded because one order was lost.
    async def scenario():
        origin.missing_versions = {2}
        unload, failures = engine.unload, []

        async def failing(*args):
            if len(failures) < 2:
                failures.append(args)
                raise PlatformUnavailable("engine", "no answer", True)
            return await unload(*args)

        engine.unload = failing
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            await asyncio.sleep(WITHIN)
        assert engine.loaded == ()

    asyncio.run(scenario())


def test_a_loading_engine_gets_no_other_order(agent, engine):
    # Guards against newer weights that are discarded while they are being loaded.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 2, now() - WITHIN)
        engine.loading, engine.polls_left = (2, {}), 100
        await agent.retirement.check(now())
        assert engine.orders == []

    asyncio.run(scenario())


def test_a_version_expired_when_it_is_complete_is_not_loaded(agent, engine):
    # Guards against expired weights that take effect at the end of a long transfer.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now() - 2 * WITHIN)
        cluster_state.declare_version("m", 3, now() - WITHIN)
        assert await agent._fetch_and_stage(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())


def test_a_version_that_expires_during_its_load_is_not_loaded(agent, engine):
    # Guards against requests that wait for a load and start on weights expired by then.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now())
        cluster_state.declare_version("m", 3, now())
        engine.running = 1
        assert await agent._fetch_and_stage(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []
        engine.running = 0
        await agent._swap(MODEL, manifest)
        assert engine.orders == [2]

    asyncio.run(scenario())


def test_unloading_waits_for_an_order_that_is_being_prepared(agent, engine):
    # Guards against an engine that is emptied while its newer weights are verified.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 2, now() - WITHIN + 0.4)
        agent.retirement.loading = True
        await agent.retirement.check(now())
        assert engine.orders == []
        cluster_state.record_declaration_time("m", 2, now() - WITHIN + 0.2)
        await agent.retirement.check(now())
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_order_to_unload_that_hangs_is_repeated(agent, engine, origin):
    # Guards against one call without a reply that lasts beyond the weights' expiry.
    async def scenario():
        origin.missing_versions = {2}
        unload, hung = engine.unload, []

        async def hanging(*args):
            if not hung:
                hung.append(args)
                await asyncio.sleep(60.0)
            return await unload(*args)

        engine.unload = hanging
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            await asyncio.sleep(WITHIN)
        assert engine.loaded == ()

    asyncio.run(scenario())


def test_unloading_is_reported_to_entries_immediately(agent, engine, origin):
    # Guards against requests that are sent to an engine which refuses all of them.
    async def scenario():
        reported = []
        agent.send_report = lambda state: reported.append(agent.describe(state)[:2])
        agent.process.clock = now
        agent.process.state_sync.cluster_state.declare_version("m", 2, now() - WITHIN)
        await agent.retirement.check(now())
        assert reported == [(1, False)]

    asyncio.run(scenario())


def test_an_agent_drains_until_its_engine_has_no_expired_weights(agent, engine, origin):
    # Guards against an engine that keeps old weights for good without its agent.
    async def scenario():
        origin.missing_versions = {2}
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now())
            began = now()
            await agent.retirement.drain(5.0)
            assert engine.loaded == ()
            assert WITHIN / 2 < now() - began < WITHIN

    asyncio.run(scenario())


def test_an_agent_unloads_the_weights_at_the_end_of_its_grace_period(agent, engine):
    # Guards against an agent that is killed while old weights are still loaded.
    async def scenario():
        agent.process.clock = now
        agent.process.state_sync.cluster_state.declare_version("m", 2, now())
        await agent.retirement.drain(0.2)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_agent_whose_engine_has_the_newest_weights_stops_at_once(agent, engine):
    # Guards against shutdowns of agents that always take the whole grace period.
    async def scenario():
        agent.process.clock = now
        began = now()
        await agent.retirement.drain(5.0)
        assert now() - began < 0.5
        assert engine.orders == []

    asyncio.run(scenario())


def test_weights_are_checked_again_after_a_load_in_progress(agent, engine):
    # Guards against expired weights that are loaded by an order in progress.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 2, now() - 2 * WITHIN)
        cluster_state.declare_version("m", 3, now() - WITHIN)
        engine.loaded, engine.loading, engine.polls_left = (), (2, {}), 100
        await agent.retirement.check(now())
        engine.loaded, engine.loading = (LoadedLayers("m", 2, 0, 4),), None
        await agent.retirement.check(now())
        assert engine.orders == [-3]

    asyncio.run(scenario())


def test_expired_weights_loaded_into_an_empty_engine_are_unloaded(agent, engine):
    # Guards against an engine that was empty once and is never checked again.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 2, now() - 2 * WITHIN)
        cluster_state.declare_version("m", 3, now() - WITHIN)
        engine.loaded = ()
        await agent.retirement.check(now())
        engine.loaded = (LoadedLayers("m", 2, 0, 4),)
        await asyncio.sleep(RECHECK_DELAY_SECONDS)
        await agent.retirement.check(now())
        assert engine.orders == [-3]

    asyncio.run(scenario())


def test_a_version_that_expires_during_its_verification_is_not_loaded(agent, engine):
    # Guards against a verification that takes until another version is due.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now())
        assert await agent._fetch_and_stage(MODEL, manifest)
        read = engine.staged_chunk

        async def read_slowly(model, index):
            cluster_state.declare_version("m", 3, now() - WITHIN)
            return await read(model, index)

        engine.staged_chunk = read_slowly
        engine.loaded = ()
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())


def test_an_agent_drains_while_its_engine_loads(agent, engine):
    # Guards against a superseded version that is loaded after the agent has stopped.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 3, now())
        engine.loaded, engine.loading, engine.polls_left = (), (2, {}), 10_000
        draining = asyncio.create_task(agent.retirement.drain(3.0))
        await asyncio.sleep(0.2)
        assert not draining.done()
        engine.loaded, engine.loading = (LoadedLayers("m", 3, 0, 4),), None
        await asyncio.wait_for(draining, 1.0)

    asyncio.run(scenario())


def test_an_agent_that_stops_retries_the_order(agent, engine):
    # Guards against one lost order that leaves old weights loaded for good.
    async def scenario():
        agent.process.clock = now
        unload, failures = engine.unload, []

        async def failing(*args):
            if not failures:
                failures.append(args)
                raise PlatformUnavailable("engine", "no answer", True)
            return await unload(*args)

        engine.unload = failing
        agent.process.state_sync.cluster_state.declare_version("m", 2, now())
        await agent.retirement.drain(0.4)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_an_agent_beside_a_dead_engine_stops_at_once_without_a_declaration(
    agent, engine
):
    # Guards against shutdowns that wait beside a dead engine without a reason.
    async def scenario():
        agent.process.clock = now

        async def down():
            raise PlatformUnavailable("engine", "down", False)

        engine.read_state = down
        began = now()
        await agent.retirement.drain(5.0)
        assert now() - began < 0.5

    asyncio.run(scenario())


def test_an_engine_that_refuses_orders_gets_few_of_them(agent, engine, origin):
    # Guards against an order every 0.05 s for as long as an engine refuses it.
    async def scenario():
        origin.missing_versions, refused = {2}, []

        async def refusing(*args):
            refused.append(args)
            return OrderResponse.REFUSED

        engine.unload = refusing
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now() - WITHIN)
            await asyncio.sleep(1.0)
        assert 2 <= len(refused) <= 6

    asyncio.run(scenario())


def test_an_agent_reports_only_versions_whose_expiry_it_knows(agent, engine):
    # Guards against entries that rely on an agent which only estimates a version's age.
    cluster_state = agent.process.state_sync.cluster_state
    cluster_state.declare_version("m", 2, 0.0, False, 0.0)
    state = EngineState(
        (LoadedLayers("m", 1, 0, 4),), order_in_progress=False, started_at_ms=1
    )
    assert agent.describe(state)[3] == 1
    cluster_state.record_declaration_time("m", 2, 0.0)
    assert agent.describe(state)[3] == 2


def test_a_version_without_a_declaration_time_is_due_after_the_stable_time(
    agent, engine
):
    # Guards against expired weights when all processes restart beside running engines.
    async def scenario():
        heard_at = now()
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.declare_version("m", 2, heard_at - 2 * WITHIN, False, heard_at)
        counts_at = (
            heard_at
            + agent.process.cfg.limits.disturbance_hold_seconds
            - UNLOAD_LEAD_SECONDS
        )
        await agent.retirement.check(counts_at - 0.01)
        assert engine.orders == []
        await agent.retirement.check(counts_at + 0.01)
        assert engine.orders == [-2]

    asyncio.run(scenario())


def test_a_complete_version_is_loaded_once_the_old_weights_are_unloaded(
    agent, engine, origin
):
    # Guards against an engine that stays empty until the newest version is complete,
    # although another one is complete that may serve for seconds.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now() - WITHIN)
        cluster_state.declare_version("m", 3, now() + 1.0)
        assert await agent._fetch_and_stage(MODEL, manifest)
        agent._engine_start, agent._served_version = engine.born, 1
        engine.loading, engine.polls_left, engine.loaded = None, 0, ()
        state, polls = engine.read_state, []

        async def draining():
            polls.append(1)
            found = await state()
            return evolve(found, order_in_progress=len(polls) < 6)

        engine.read_state = draining
        await agent._swap(MODEL, manifest)
        assert engine.orders == [2]

    asyncio.run(scenario())


def test_a_starting_agent_loads_no_version_that_may_have_expired(agent, engine):
    # Guards against a superseded version in an empty engine when all processes restart
    # and none knows how long ago the newest version was declared.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        cluster_state.started_at = now()
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now() - 2 * WITHIN)
        cluster_state.declare_version("m", 3, now() - 2 * WITHIN, False, now())
        engine.loaded = ()
        assert await agent._fetch_and_stage(MODEL, manifest)
        await agent._swap(MODEL, manifest)
        assert engine.orders == []

    asyncio.run(scenario())
