"""What an agent does while the store responds late, or to nobody."""

import asyncio

import pytest
from virtual_time import run_in_virtual_time
from wasabideck_agent.delivery_log import DeliveryLog
from wasabideck_agent.delivery_tracker import MAX_WAIT_SECONDS, DeliveryTracker
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.patient_call import PatientCall

RESPONSE_SECONDS = 5.0


class SlowStore:
    """Takes some seconds for each write."""

    def __init__(self):
        self.written, self.calls = [], 0

    async def write(self, writes, expected=(), removed=()):
        self.calls += 1
        await asyncio.sleep(RESPONSE_SECONDS)
        self.written += [write.key for write in writes]


def now():
    return asyncio.get_running_loop().time()


def test_report_of_a_delivery_does_not_delay_the_next_one():
    # Guards against an agent that does nothing for its engine while the store, which
    # responds late, takes the row of the last delivery.
    async def scenario():
        store = SlowStore()
        tracker = DeliveryTracker(
            "vm", "s", DeliveryLog(store), Events("vm", HybridClock(), lambda: 0.0)
        )
        tracker.record_start(1, 1.0)
        tracker.record_verified(1, 2.0)
        tracker.record_in_effect("m", 1, None, 1, 3.0)
        started_at = now()
        await tracker.write()
        assert now() - started_at <= MAX_WAIT_SECONDS + 0.01
        await tracker.write()
        await asyncio.sleep(RESPONSE_SECONDS)
        assert len(store.written) == store.calls == 1

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("waits", [1, 3])
def test_call_outlasts_those_who_wait_for_it(waits):
    # Guards against a list that is never read, as each reader gives up its own call.
    calls, done = [], []

    async def call():
        calls.append(now())
        await asyncio.sleep(RESPONSE_SECONDS)
        done.append(now())

    async def scenario():
        patient = PatientCall(call)
        for _ in range(waits):
            await patient.wait(1.0)
        await asyncio.sleep(RESPONSE_SECONDS)
        assert len(calls) == len(done) == 1
        await patient.wait(1.0)
        assert len(calls) == 2

    run_in_virtual_time(scenario())
