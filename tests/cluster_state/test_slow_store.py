"""How soon entries act on a change while the store responds slowly."""

import asyncio
import random

import orjson
import pytest
from region_of_entries import Entry, Store, wait_until
from store_server import StoreServer
from virtual_time import run_in_virtual_time
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_adapter.store import StoreClient
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.vm_settings import DeploymentLimits

LIMITS = DeploymentLimits()
DEADLINE_SECONDS = LIMITS.configuration_deadline_seconds
HOLD_SECONDS = LIMITS.disturbance_hold_seconds
CALL_SECONDS = 4.0
CHANGES = 8
START_SECONDS = 30.0
SERVERS_TABLE = DEPLOYMENT.servers_table
SERVER = {"service": "s", "addr": "10.0.0.9:1", "state": "ready"}


class Region:
    """Entries of one or several regions that reach one store over HTTP."""

    def __init__(self, server, address):
        self.server, self.store = server, server.store
        self.address = address
        self.pools, self.entries, self.started_at = [], {}, {}

    def connect(self, store, vm):
        pool = HttpPool()
        self.pools.append(pool)
        return StoreClient(PooledClient(self.address, CALL_SECONDS, pool))

    async def start(self, vm, region):
        entry = Entry(vm, self.store, len(self.started_at), region, self.connect)
        await entry.start()
        self.entries[vm] = entry
        self.started_at[vm] = asyncio.get_running_loop().time()
        for other in self.entries.values():
            other.state_sync.gossip.members[vm] = entry.me
        entry.state_sync.gossip.members.update(
            (e.vm, e.me) for e in self.entries.values()
        )
        entry.run()

    def stop(self, vm):
        self.entries.pop(vm).stop()

    async def close(self):
        for vm in list(self.entries):
            self.stop(vm)
        for pool in self.pools:
            pool.close()
        await self.server.close()


def run_regions(scenario, sizes):
    """Run a scenario with regions of entries that have all read the store."""

    async def body():
        store = Store()
        store.configure(1)
        server = StoreServer(store)
        region = Region(server, await server.start())
        try:
            for index, size in enumerate(sizes):
                for n in range(size):
                    await region.start(f"e{index}-{n}", f"r{index}")
            await wait_until(
                lambda: all(e.number == 1 for e in region.entries.values()),
                START_SECONDS,
            )
            await asyncio.sleep(2 * HOLD_SECONDS)
            await scenario(region)
        finally:
            await region.close()

    run_in_virtual_time(body())


async def change_one_after_another(region, late, delay):
    """Write configurations; record entries that lack one when it has to be in effect.

    The operator's write is answered as slowly as a read, and the next one follows at
    once.
    """
    checks = []

    async def check(number):
        await asyncio.sleep(delay + DEADLINE_SECONDS)
        now = asyncio.get_running_loop().time()
        late.extend(
            (number, entry.vm, entry.number)
            for entry in region.entries.values()
            if entry.number < number
            and now - region.started_at[entry.vm] > HOLD_SECONDS
        )

    for number in range(2, 2 + CHANGES):
        region.store.configure(number)
        checks.append(asyncio.create_task(check(number)))
        await asyncio.sleep(delay)
    await asyncio.gather(*checks)


async def restart_in_turn(region, seed):
    """Stop entries one after the other; each starts again after two seconds."""
    rng = random.Random(seed)
    for vm in rng.sample(sorted(region.entries), len(region.entries)):
        region_name = region.entries[vm].region
        region.stop(vm)
        await asyncio.sleep(1.3)
        asyncio.get_running_loop().call_later(
            0.7, lambda *a: asyncio.ensure_future(region.start(*a)), vm, region_name
        )


@pytest.mark.parametrize("delay", [1.2, 1.47, 2.0, 5.0])
@pytest.mark.parametrize("sizes", [(3,), (6,), (3, 6), (2, 4, 6)])
def test_changes_take_effect_in_time_while_the_store_is_slow(sizes, delay):
    # Guards against requests handled by a configuration that was replaced seconds ago:
    # a store that responds late is taken for one that does not respond.
    late = []

    async def scenario(region):
        region.server.delay = delay
        await change_one_after_another(region, late, delay)

    run_regions(scenario, sizes)
    assert not late, late


@pytest.mark.parametrize(
    ("delay", "seed"),
    [(1.2, 1), (1.47, 1), (2.0, 1), (3.0, 2), (5.0, 1), (5.0, 4), (5.0, 9)],
)
def test_changes_take_effect_in_time_while_entries_restart_beside_a_slow_store(
    delay, seed
):
    # Guards against followers that lose their readers one after the other, and begin
    # to read a slow store anew each time.
    late = []

    async def scenario(region):
        region.server.delay = delay
        restarts = asyncio.create_task(restart_in_turn(region, seed))
        await change_one_after_another(region, late, delay)
        await restarts

    run_regions(scenario, (6,))
    assert not late, late


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("delay", [1.47, 2.0, 5.0])
def test_changes_take_effect_in_time_in_three_regions_whose_entries_restart(
    delay, seed
):
    # Guards against regions that learn of a change later than the one whose readers
    # stay, while a process that begins knows what its region knew before.
    late = []

    async def scenario(region):
        region.server.delay = delay
        restarts = asyncio.create_task(restart_in_turn(region, seed))
        await change_one_after_another(region, late, delay)
        await restarts

    run_regions(scenario, (2, 4, 6))
    assert not late, late


@pytest.mark.parametrize("delay", [0.005, 0.7, 1.2, 2.0])
@pytest.mark.parametrize("size", [1, 3, 6])
def test_change_takes_effect_in_time_after_open_connections_fell_silent(size, delay):
    # Guards against an old configuration or server list at entries whose connections to
    # the store went silent without a reset: each looks like one without changes.
    late = []

    async def scenario(region):
        region.server.delay = delay
        await asyncio.sleep(4 * HOLD_SECONDS)
        region.server.silence_open_connections()
        await asyncio.sleep(1.0)
        region.store.configure(2)
        region.store.put(SERVERS_TABLE, "i-1", orjson.dumps(SERVER))
        await asyncio.sleep(max(HOLD_SECONDS - 1.0, delay + DEADLINE_SECONDS) + delay)
        for entry in region.entries.values():
            names = entry.state_sync.cluster_state.backends.names()
            if entry.number != 2 or "i-1" not in names:
                late.append((entry.vm, entry.number, names))

    run_regions(scenario, (size,))
    assert not late, late
