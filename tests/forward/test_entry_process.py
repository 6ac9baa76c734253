"""How the parts of an entry are assembled."""

import asyncio
import random

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.believer import Believer
from wasabideck_base.channels import Channels
from wasabideck_base.early_listener import EarlyListener
from wasabideck_base.events import Clock, Events
from wasabideck_base.node import NodeSettings, StoreSettings
from wasabideck_base.node_process import NodeProcess
from wasabideck_forward.entry_process import _assemble, _bounds
from wasabideck_forward.forwarder import LOOK_SECONDS, Forwarder
from wasabideck_policy.membership import ENTRY, Member


@pytest.fixture
def process():
    cfg = NodeSettings(
        "vm",
        "127.0.0.1",
        "dc",
        "r",
        0,
        StoreSettings(""),
        front="127.0.0.1:0",
        ready="127.0.0.1:0",
    )
    me = Member("vm", ENTRY, "127.0.0.1:1", "r")
    events, channels = Events("vm", Clock(), lambda: 0.0), Channels(Clock())
    clock, rng = lambda: 1000.0, random.Random(1)
    believer = Believer(cfg, me, DEPLOYMENT, None, channels, events, clock, rng)
    stop = asyncio.Event()
    return NodeProcess(cfg, events, None, channels, believer, clock, rng, stop)


def test_requests_are_recalled_before_their_weights_expire(process):
    # Guards against requests that start on expired weights because they are recalled
    # too late: the check runs at intervals, and the close takes time to reach the
    # server.
    bounds = _bounds(process.cfg)
    assert bounds.queue_seconds < bounds.version_seconds < bounds.begin_seconds
    assert bounds.begin_seconds + 3 * LOOK_SECONDS < process.cfg.bounds.version


def test_a_running_entry_checks_for_requests_to_recall(process, monkeypatch):
    checking = asyncio.Event()

    async def keep_taking_back(forwarder):
        checking.set()

    monkeypatch.setattr(Forwarder, "keep_taking_back", keep_taking_back)

    async def run():
        entry = _assemble(process, DEPLOYMENT)
        serving = asyncio.create_task(entry.serve(EarlyListener("127.0.0.1:0")))
        async with asyncio.timeout(5):
            await checking.wait()
        serving.cancel()

    asyncio.run(run())


def test_a_loop_that_fails_ends_the_process(process):
    # Guards against a process that continues without one of its loops, such as the one
    # that recalls requests from servers whose weights are about to expire.
    async def fails():
        raise ValueError("broken")

    async def run():
        process.keep(fails())
        async with asyncio.timeout(5):
            await process.stop.wait()

    asyncio.run(run())
