"""Builds an agent beside an engine, an origin and a store that tests control."""

import asyncio
import contextlib
import hashlib
import random
from types import SimpleNamespace

from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import ChunksService
from wasabideck_agent.delivery_log import DeliveryLog
from wasabideck_agent.delivery_tracker import DeliveryTracker
from wasabideck_agent.engine_agent import EngineAgent
from wasabideck_agent.links import Link, Links
from wasabideck_agent.listed_peers import ListedPeers
from wasabideck_agent.peer_calls import grpc_calls
from wasabideck_agent.staging import Staging
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.rows import Row, RowChanges, WriteConflict
from wasabideck_base.version_confirmation import VersionConfirmation
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.backends import ListedServer, LoadedLayers
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.configuration import (
    Configuration,
    EngineModel,
    OriginServer,
    Service,
)
from wasabideck_policy.engine_state import EngineState, OrderResponse
from wasabideck_policy.manifests import Manifest

CHUNKS = 8
MODEL = EngineModel(
    "m", 4, 0.007, 0.0, 30_000.0, layers=4, chunks=CHUNKS, chunk_bytes=8
)


def chunk_bytes(version, index):
    return b"v%d-%05d" % (version, index)


def digest(data):
    return hashlib.sha256(data).hexdigest()


class FakeOrigin:
    """Serves every version; can be down, lack versions, or send corrupt chunks once."""

    def __init__(self):
        self.reads, self.down, self.corrupt_chunks = [], False, set()
        self.missing_versions = set()

    async def read_manifest(self, model, version):
        if self.down or version in self.missing_versions:
            raise PlatformUnavailable("origin", "down", False)
        digests = tuple(digest(chunk_bytes(version, i)) for i in range(CHUNKS))
        return Manifest(model, str(version), 8, 8 * CHUNKS, digests)

    async def chunk(self, model, version, index):
        self.reads.append((version, index))
        if self.down or version in self.missing_versions:
            raise PlatformUnavailable("origin", "down", False)
        if (version, index) in self.corrupt_chunks:
            self.corrupt_chunks.discard((version, index))
            return b"spoilt!!"
        return chunk_bytes(version, index)


class FakeEngine:
    """Loads the staged chunks without verification, some polls after the order."""

    def __init__(self):
        self.chunks, self.loaded, self.orders, self.load_calls = {}, (), [], []
        self.loading, self.polls_left, self.born = None, 0, 1
        self.state_calls = self.chunk_reads = 0
        self.waiting, self.running, self.refused, self.started_on = 0, 0, 0, []

    async def read_state(self):
        self.state_calls += 1
        if self.loading:
            self.polls_left -= 1
            if self.polls_left <= 0:
                version, chunks = self.loading
                good = all(
                    chunks.get(i) == chunk_bytes(version, i) for i in range(CHUNKS)
                )
                assert good, "loaded a chunk that was missing, corrupt or of another"
                self.loaded, self.loading = (LoadedLayers("m", version, 0, 4),), None
        return EngineState(
            self.loaded,
            self.loading is not None,
            accepted_orders=len(self.orders),
            running=self.running,
            waiting=self.waiting,
            started_at_ms=self.born,
        )

    async def stage_chunk(self, model, index, data):
        self.chunks[index] = data

    async def staged_chunks(self, model):
        return sorted(self.chunks)

    async def staged_chunk(self, model, index):
        self.chunk_reads += 1
        return self.chunks.get(index)

    async def load(self, model, version, queue, accepted):
        self.load_calls.append(version)
        if self.loading or accepted != len(self.orders):
            return OrderResponse.REFUSED
        self.orders.append(version)
        self.loading, self.polls_left = (version, dict(self.chunks)), 3
        return OrderResponse.STARTED

    async def unload(self, model, version, accepted):
        if self.loading or accepted != len(self.orders):
            return OrderResponse.REFUSED
        self.orders.append(-version)
        self.loaded = ()
        self.refused, self.waiting = self.refused + self.waiting, 0
        return OrderResponse.STARTED

    def start_waiting(self):
        """Start the waiting requests on the weights that are loaded."""
        if self.loaded and not self.loading:
            self.started_on += [self.loaded[0].version] * self.waiting
            self.waiting = 0


class FakeStore:
    def __init__(self):
        self.rows, self.listed = {}, []

    async def read(self, table):
        return RowChanges(tuple(Row(table, ip, b"", 1) for ip in self.listed), 1)

    async def write(self, writes, expected=()):
        if any(row.version == 0 and row.key in self.rows for row in expected):
            raise WriteConflict(expected[0].key)
        self.rows.update({w.key: w.value for w in writes})


def new_agent(engine, origin, rows):
    cfg = VMSettings("vm", "127.0.0.1", "dc", "r", 0, StoreSettings(""), service="s")
    clock = [0.0]
    events = Events("vm", HybridClock(), lambda: 0.0)
    cluster_state = ClusterState(0.0, complete_until=float("inf"))
    cluster_state.configuration = Configuration(
        1,
        {},
        {
            "s": Service("s", engine=MODEL),
            "o": Service("o", origin=OriginServer("o:1", "dc", 1.0)),
        },
    )

    async def read_members():
        return None

    async def read_versions():
        raise PlatformUnavailable("store", "down", False)

    state_sync = SimpleNamespace(
        cluster_state=cluster_state,
        confirmation=VersionConfirmation(
            cluster_state,
            read_versions,
            lambda: process.cfg.limits,
            lambda: process.clock(),
            events,
            random.Random(1),
        ),
        gossip=SimpleNamespace(members={}),
        read_members=read_members,
        store=rows,
    )
    process = SimpleNamespace(
        cfg=cfg,
        events=events,
        session=None,
        channels=Channels(HybridClock()),
        state_sync=state_sync,
        clock=lambda: clock[0],
        rng=random.Random(1),
    )
    store = ChunkStore()
    links = Links(Link(), Link(), Link())
    deployment = SimpleNamespace(
        open_origin=lambda session, address: origin,
        servers_table="servers",
        parse_listed_server=lambda row: ListedServer(
            row.key, "s", f"{row.key}:1", "dc"
        ),
    )
    made = EngineAgent(
        process,
        deployment,
        engine,
        store,
        ChunksService(store, links, 3),
        links,
        Staging(engine, store, events),
        DeliveryTracker("vm", "s", DeliveryLog(rows), events),
        ListedPeers(process, deployment),
        None,
        grpc_calls(process.channels),
    )
    process.time = clock
    made.staging.boot_clock = lambda: clock[0]
    return made


def step_until(agent, until):
    """Take steps until a condition holds; each advances the time by a second."""

    async def run():
        async with asyncio.timeout(20):
            while not until():
                agent.process.time[0] += 1.0
                await agent.step()

    asyncio.run(run())


def step_until_through_outages(agent, until):
    """Take steps like the agent's main loop, also while the origin is unreachable."""

    async def run():
        async with asyncio.timeout(20):
            while not until():
                agent.process.time[0] += 0.2
                # A step that fetches chunks that nobody has would never end.
                with contextlib.suppress(PlatformUnavailable, TimeoutError):
                    async with asyncio.timeout(2.5):
                        await agent.step()

    asyncio.run(run())


def holds(engine, version):
    return lambda: engine.loaded == (LoadedLayers("m", version, 0, 4),)
