"""Test helper: a region of entries with one store, all in one process."""

import asyncio
import contextlib
import random

import orjson
from virtual_time import VirtualTimeLoop
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.gossip import GossipService
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.membership import ENTRY, Member

REGION = "r"
CHECK_INTERVAL_SECONDS = 0.005


class Store:
    """Holds tables in memory, and records which process was sent which row."""

    def __init__(self):
        self.rows, self.version = {}, 1
        self.sent = []
        self.refused, self.unresponsive = set(), set()
        self.written = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = Row(table, key, value, self.version)
        self.written.set()
        self.written = asyncio.Event()

    def configure(self, number, **more):
        content = {"version": number, "routes": [], "services": [], **more}
        self.put("op", "config", orjson.dumps(content))

    def declare_version(self, number):
        self.put("op", "version/m", b'{"model":"m","version":%d}' % number)

    def recipients_of(self, key, version=None):
        """Return the VMs that were sent a row, once for each time."""
        version = self.rows["op", key].version if version is None else version
        return [vm for vm, row in self.sent if (row.key, row.version) == (key, version)]


class ProcessStore:
    """The store as seen by one process."""

    def __init__(self, store, vm):
        self.store, self.vm = store, vm
        self.follows = []

    def received_bytes(self, table):
        return 0

    async def read(self, table, key_prefix=""):
        changes = await self._changes(table, -1)
        rows = tuple(row for row in changes.rows if row.key.startswith(key_prefix))
        return RowChanges(rows, changes.version)

    async def wait_for_changes(self, table, after, wait):
        if table == "op":
            self.follows.append(after)
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            written = self.store.written
            changes = await self._changes(table, after)
            remaining = deadline - asyncio.get_running_loop().time()
            if changes.rows or remaining <= 0:
                return changes
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await written.wait()

    async def write(self, writes, expected=(), removed=()):
        await self._reach()
        for row in removed:
            self.store.rows.pop((row.table, row.key), None)
        for row in writes:
            self.store.put(row.table, row.key, row.value)

    async def _changes(self, table, after):
        await self._reach()
        found = [row for row in self.store.rows.values() if row.table == table]
        found = sorted((r for r in found if r.version > after), key=lambda r: r.version)
        self.store.sent += [(self.vm, row) for row in found]
        return RowChanges(tuple(found), self.store.version)

    async def _reach(self):
        if self.vm in self.store.unresponsive:
            await asyncio.Event().wait()
        if self.vm in self.store.refused:
            raise PlatformUnavailable("store", "away", False)


class Entry:
    """One entry, with its loops and its inner protocol."""

    def __init__(self, vm, store, seed, region=REGION, connect=ProcessStore):
        self.vm, self.store, self.region = vm, store, region
        self.connect = connect
        self.emitted, self.rng = [], random.Random(seed)

    async def start(self):
        clock = HybridClock()
        self.running = asyncio.Event()
        self.running.set()
        events = Events(self.vm, clock, lambda: 0.0)
        events.listeners.append(
            lambda kind, fields: self.emitted.append((kind, fields))
        )
        cfg = VMSettings(self.vm, "127.0.0.1", "dc", self.region, 1, StoreSettings(""))
        self.me = Member(self.vm, ENTRY, "", self.region)
        self.process_store = self.connect(self.store, self.vm)
        loop = asyncio.get_running_loop()
        self.state_sync = StateSync(
            cfg,
            self.me,
            DEPLOYMENT,
            self.process_store,
            Channels(clock),
            events,
            loop.time,
            self.rng,
        )
        self.server = InnerServer([_gated(self)])
        await self.server.start("127.0.0.1", 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.me = Member(self.vm, ENTRY, f"127.0.0.1:{port}", self.region)
        self.state_sync.me = self.me

    def run(self):
        self.tasks = [asyncio.create_task(step) for step in self.state_sync.loops()]

    def suspend(self):
        """Answer no call and stop all loops, as a suspended process would."""
        self.running.clear()
        for task in self.tasks:
            task.cancel()

    def stop(self):
        self.suspend()
        self.server.close()
        self.state_sync.channels.close()

    @property
    def number(self):
        """Number of the configuration in effect."""
        cfg = self.state_sync.cluster_state.configuration
        return cfg.number if cfg else 0

    def events_of(self, kind):
        return [fields for emitted, fields in self.emitted if emitted == kind]


def _gated(entry):
    class Gated(GossipService):
        async def Sync(self, stream):
            await entry.running.wait()
            await super().Sync(stream)

    return Gated(entry.state_sync.gossip)


async def wait_until(condition, seconds=3.0):
    """Wait until a condition holds; return how long that took, in seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
    return loop.time() - started_at


def run_region(scenario, size, seconds=10, start_seconds=3, virtual_time=False):
    """Run a scenario with a store and a region of entries that have all read it."""

    async def body():
        store = Store()
        store.configure(1)
        entries = [Entry(f"e{n}", store, n) for n in range(size)]
        for entry in entries:
            await entry.start()
        try:
            for entry in entries:
                entry.state_sync.gossip.members.update((e.vm, e.me) for e in entries)
                entry.run()
            await wait_until(lambda: all(e.number == 1 for e in entries), start_seconds)
            async with asyncio.timeout(seconds):
                await scenario(store, entries)
        finally:
            for entry in entries:
                entry.stop()

    loop_factory = VirtualTimeLoop if virtual_time else None
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(body())
