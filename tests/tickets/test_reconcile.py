"""A server is brought to what its tickets declare, model and adapters together."""

import asyncio

import pytest
from attrs import define, field
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.reconciler import Reconciler
from wasabideck_base.ticket_replication import TicketReplication
from wasabideck_lab.random_weights import generate_weights
from wasabideck_policy.desired_weights import desired_weights
from wasabideck_policy.orders import Serving, expected_serving
from wasabideck_policy.tickets import Assignment, Change

WEIGHTS = {v: generate_weights("m", v, 2, 8, 0) for v in ("v1", "v2", "tone-1")}


def assignment(ticket, scope, version, slot="model"):
    change = Change(scope, slot, "m", version, WEIGHTS[version][0].digest)
    return Assignment(ticket, change, ticket)


@define
class Server:
    """Fake of the engine, orders, transfers, rows and metrics of one VM."""

    store: ChunkStore = field(factory=ChunkStore)
    serving: Serving = field(factory=Serving)
    started: list = field(factory=list)
    ordered: list = field(factory=list)
    rows: list = field(factory=list)
    may_transfer: asyncio.Event = field(factory=asyncio.Event)
    changed: asyncio.Condition = field(factory=asyncio.Condition)
    sources: dict = field(factory=dict)

    def emit(self, kind, /, **fields):
        pass

    def set(self, labels, value):
        pass

    @property
    def ticket_in_force(self):
        return self

    async def read_back(self):
        pass

    async def apply(self, desired, chunks, wait_for_turn):
        self.serving = expected_serving(desired)
        self.ordered.append((desired.ticket, desired.adapters, chunks))

    def add(self, delivery):
        self.rows.append((delivery.slot, delivery.ticket))

    async def write(self):
        async with self.changed:
            self.changed.notify_all()

    async def manifest(self, digest):
        return next(m for m, _ in WEIGHTS.values() if m.digest == digest)

    def make_transfer(self, manifest):
        server = self

        class Transfer:
            sources = {}

            async def run(self):
                server.started.append(manifest.version)
                await server.write()
                await server.may_transfer.wait()
                for digest, data in zip(
                    manifest.chunks, WEIGHTS[manifest.version][1], strict=True
                ):
                    server.store.add_chunk(digest, data, "")

        return Transfer()

    async def staged_chunks(self, digest):
        return set()

    async def stage_chunk(self, digest, index, data):
        pass

    async def wait_until(self, condition):
        async with self.changed:
            await asyncio.wait_for(self.changed.wait_for(condition), 10)


@pytest.fixture
def reconciler_parts():
    server = Server()
    ticket_replication = TicketReplication("vm-1", server)
    reconciler = Reconciler(
        "vm-1",
        "a",
        server,
        server,
        ticket_replication,
        server.manifest,
        server,
        server.store,
        server,
        server,
        server.make_transfer,
        None,
    )
    ticket_replication._startup_knowledge.sufficient = True
    return server, ticket_replication, reconciler


def test_a_ticket_for_other_servers_does_not_restart_a_transfer(reconciler_parts):
    """A transfer takes minutes, and every twelve seconds a ticket changes some other
    service. Each of these changes used to cancel and restart the transfer here, so the
    weights never took effect."""
    server, ticket_replication, reconciler = reconciler_parts

    async def run():
        ticket_replication.merge([assignment(1, "a", "v1")], 1)
        task = asyncio.create_task(reconciler.run())
        await server.wait_until(lambda: server.started)
        for ticket in (2, 3, 4):
            ticket_replication.merge([assignment(ticket, "other", "v2")], ticket)
            for _ in range(10):
                await asyncio.sleep(0)
        started_meanwhile = list(server.started)
        server.may_transfer.set()
        await server.wait_until(lambda: server.rows)
        task.cancel()
        return started_meanwhile

    assert asyncio.run(run()) == ["v1"]
    assert server.rows == [("model", 1)]


def test_a_newer_ticket_for_this_server_supersedes_the_transfer(reconciler_parts):
    server, ticket_replication, reconciler = reconciler_parts

    async def run():
        ticket_replication.merge([assignment(1, "a", "v1")], 1)
        task = asyncio.create_task(reconciler.run())
        await server.wait_until(lambda: server.started)
        ticket_replication.merge([assignment(2, "a/vm-1", "v2")], 2)
        await server.wait_until(lambda: server.started[-1] == "v2")
        server.may_transfer.set()
        await server.wait_until(lambda: server.rows)
        task.cancel()

    asyncio.run(run())
    assert [ticket for ticket, _, _ in server.ordered] == [2]


def test_a_model_and_its_adapters_are_ordered_together(reconciler_parts):
    """An adapter's ticket was accepted and shown as accepted, but never took effect:
    agents read only the slots ``model`` and ``standby``."""
    server, ticket_replication, reconciler = reconciler_parts
    server.may_transfer.set()

    async def run():
        ticket_replication.merge([assignment(1, "a", "v1")], 1)
        await reconciler._reconcile_once()
        ticket_replication.merge([assignment(2, "a", "tone-1", "adapter:tone")], 2)
        await reconciler._reconcile_once()
        ticket_replication.merge([Assignment(3, Change("a", "adapter:tone"), 3)], 3)
        await reconciler._reconcile_once()

    asyncio.run(run())
    tone = WEIGHTS["tone-1"][0].digest
    adapters = [(ticket, adapters) for ticket, adapters, _ in server.ordered]
    assert adapters == [(1, {}), (2, {"tone": tone}), (3, {})]
    assert server.ordered[1][2] == {WEIGHTS["v1"][0].digest: 2, tone: 2}
    assert server.rows == [("model", 1), ("adapter:tone", 2)]
    assert desired_weights(ticket_replication.state, "a", "vm-1").ticket == 3


def test_a_stop_ends_the_step_in_progress(reconciler_parts):
    """The log of a stopped agent ended in a traceback: its transfer continued after
    the loops were cancelled, and used a closed session."""
    server, ticket_replication, reconciler = reconciler_parts

    async def run():
        ticket_replication.merge([assignment(1, "a", "v1")], 1)
        task = asyncio.create_task(reconciler.run())
        await server.wait_until(lambda: server.started)
        task.cancel()
        await asyncio.wait({task})
        left = asyncio.all_tasks() - {asyncio.current_task()}
        return [task.get_coro().__qualname__ for task in left]

    assert asyncio.run(run()) == []
