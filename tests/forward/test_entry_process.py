"""How the parts of an entry are assembled."""

import asyncio
import random

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.early_listener import EarlyListener
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_process import VMProcess
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_forward.entry_process import _assemble, _dispatch_limits
from wasabideck_forward.forwarder import RECALL_INTERVAL_SECONDS, Forwarder
from wasabideck_policy.membership import ENTRY, Member


@pytest.fixture
def process():
    cfg = VMSettings(
        "vm",
        "127.0.0.1",
        "dc",
        "r",
        0,
        StoreSettings(""),
        caller_address="127.0.0.1:0",
        health_check_address="127.0.0.1:0",
    )
    me = Member("vm", ENTRY, "127.0.0.1:1", "r")
    events, channels = Events("vm", HybridClock(), lambda: 0.0), Channels(HybridClock())
    clock, rng = lambda: 1000.0, random.Random(1)
    state_sync = StateSync(cfg, me, DEPLOYMENT, None, channels, events, clock, rng)
    stop = asyncio.Event()
    return VMProcess(cfg, events, None, channels, state_sync, clock, rng, stop)


def test_requests_are_recalled_before_their_weights_expire(process):
    # Guards against requests that start on expired weights because they are recalled
    # too late: the check runs at intervals, and the close takes time to reach the
    # server.
    limits = _dispatch_limits(process.cfg)
    assert (
        limits.max_queue_age_seconds
        < limits.max_send_age_seconds
        < limits.max_start_age_seconds
    )
    assert (
        limits.max_start_age_seconds + 3 * RECALL_INTERVAL_SECONDS
        < process.cfg.limits.version_deadline_seconds
    )


def test_a_running_entry_checks_for_requests_to_recall(process, monkeypatch):
    checking = asyncio.Event()

    async def run_recalls(forwarder):
        checking.set()

    monkeypatch.setattr(Forwarder, "run_recalls", run_recalls)

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
        process.start_loop(fails())
        async with asyncio.timeout(5):
            await process.stop.wait()

    asyncio.run(run())
