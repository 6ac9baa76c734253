"""An agent beside a sound engine that stands still for a moment, and then continues."""

import asyncio
from contextlib import asynccontextmanager
from functools import partial

import pytest
from agent_fakes import MODEL, FakeEngine, holds
from attrs import evolve
from virtual_time import run_in_virtual_time
from wasabideck_policy.backends import LoadedLayers

# Seconds within which a declared version has to be in effect.
WITHIN = 1.0
SILENCE_SECONDS = 1.3


class SilentEngine(FakeEngine):
    """Reads the calls made during a silence after it, in order, and then goes on.

    Attributes
    ----------
    reads_closed : bool
        Whether it also reads calls that the agent has given up meanwhile.
    silent_from : str
        Call with which its next silence begins, before that call is read.
    """

    def __init__(self, reads_closed=True):
        super().__init__()
        self.silent, self.unread, self.reads_closed = False, [], reads_closed
        self.silent_from = ""

    async def _answer(self, name, call):
        if name == self.silent_from:
            self.silent, self.silent_from = True, ""
        if not self.silent:
            return await call()
        answer = asyncio.get_running_loop().create_future()
        self.unread.append((name, call, answer))
        return await answer

    async def read_state(self):
        return await self._answer("read_state", super().read_state)

    async def stage_chunk(self, *args, **kw):
        return await self._answer(
            "stage_chunk", partial(super().stage_chunk, *args, **kw)
        )

    async def load(self, *args, **kw):
        return await self._answer("load", partial(super().load, *args, **kw))

    async def unload(self, *args, **kw):
        return await self._answer("unload", partial(super().unload, *args, **kw))

    async def until_called(self, name):
        """Wait until a call waits to be read, and has not been given up."""
        async with asyncio.timeout(5.0):
            while not any(n == name and not a.done() for n, _, a in self.unread):
                await asyncio.sleep(0.01)

    def wake(self):
        """Read the calls in order, and then start the waiting requests."""
        self.silent = False
        for _, call, answer in self.unread:
            if answer.done() and not self.reads_closed:
                continue
            # None of these calls waits for anything.
            try:
                call().send(None)
            except StopIteration as result:
                if not answer.done():
                    answer.set_result(result.value)
        self.unread.clear()
        self.start_waiting()


@pytest.fixture
def engine(request):
    """An engine that holds version 1 and can stand still."""
    made = SilentEngine(getattr(request, "param", True))
    made.loaded = (LoadedLayers("m", 1, 0, 4),)
    return made


@pytest.fixture
def agent(make_agent):
    """An agent on the event loop's time."""
    made = make_agent()
    cfg = made.process.cfg
    limits = evolve(cfg.limits, version_deadline_seconds=WITHIN)
    made.process.cfg = evolve(cfg, limits=limits)
    return made


@asynccontextmanager
async def running(agent):
    agent.process.clock = now
    task = asyncio.create_task(agent.run())
    try:
        yield agent.process.state_sync.cluster_state
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


reads_or_drops_closed = pytest.mark.parametrize(
    "engine", [True, False], ids=["reads_closed", "drops_closed"], indirect=True
)


def now():
    return asyncio.get_running_loop().time()


async def until(condition):
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


@reads_or_drops_closed
def test_no_request_starts_on_expired_weights_when_a_silent_engine_continues(
    agent, engine, origin
):
    # Guards against waiting requests that start on weights that expired in a silence,
    # because the order to unload these is sent only once the engine answers again.
    async def scenario():
        origin.missing_versions, engine.waiting = {2}, 3
        async with running(agent) as cluster_state:
            await until(lambda: engine.state_calls)
            engine.silent, expires_at = True, now() + WITHIN
            cluster_state.declare_version("m", 2, now())
            await engine.until_called("unload")
            await asyncio.sleep(max(0.0, expires_at + 0.3 - now()))
            engine.wake()
            assert engine.started_on == []
            assert engine.orders == [-2]

    run_in_virtual_time(scenario())


@reads_or_drops_closed
def test_an_order_to_unload_that_is_read_after_a_silence_is_accepted_once(
    agent, engine, origin
):
    # Guards against a repeated order that unloads the weights loaded after the first.
    async def scenario():
        origin.missing_versions = {2}
        async with running(agent) as cluster_state:
            await until(lambda: engine.state_calls)
            engine.silent_from = "unload"
            cluster_state.declare_version("m", 2, now())
            await engine.until_called("unload")
            origin.missing_versions = set()
            await asyncio.sleep(SILENCE_SECONDS)
            engine.wake()
            await until(holds(engine, 2))
            await asyncio.sleep(0.5)
        assert engine.orders == [-2, 2]

    run_in_virtual_time(scenario())


def test_an_order_to_load_that_is_read_after_a_silence_is_sent_once(agent, engine):
    # Guards against a second order, or an unloaded engine, after a late answer.
    async def scenario():
        engine.silent_from = "load"
        async with running(agent) as cluster_state:
            cluster_state.declare_version("m", 2, now() + SILENCE_SECONDS)
            await engine.until_called("load")
            await asyncio.sleep(SILENCE_SECONDS)
            engine.wake()
            await until(holds(engine, 2))
            await asyncio.sleep(0.5)
        assert engine.orders == [2]
        assert len(engine.load_calls) == 1

    run_in_virtual_time(scenario())


def test_a_superseded_version_is_not_loaded_after_a_silence_in_which_it_expired(
    agent, engine
):
    # Guards against requests that wait for a load and start on weights that expired
    # while the engine stood still with the order unread.
    async def scenario():
        agent.process.clock = now
        cluster_state = agent.process.state_sync.cluster_state
        manifest = await agent.manifests.get("m", 2)
        cluster_state.declare_version("m", 2, now())
        cluster_state.declare_version("m", 3, now())
        expires_at = now() + WITHIN
        assert await agent._fetch_and_stage(MODEL, manifest)
        engine.silent_from, engine.waiting = "load", 3
        tasks = [
            asyncio.create_task(agent._swap(MODEL, manifest)),
            asyncio.create_task(agent.retirement.run()),
        ]
        await engine.until_called("load")
        await asyncio.sleep(max(0.0, expires_at + 0.3 - now()))
        engine.wake()
        while engine.loading:
            await engine.read_state()
        engine.start_waiting()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert engine.started_on == []

    run_in_virtual_time(scenario())
