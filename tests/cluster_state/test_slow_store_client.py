"""Calls of the store's client while the store, or one connection to it, is slow."""

import asyncio

import pytest
from region_of_entries import Store
from store_server import StoreServer
from virtual_time import run_in_virtual_time
from wasabideck_adapter.store import READ_HEDGE_SECONDS, StoreClient
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.rows import RowWrite

CALL_SECONDS = 4.0


def run_client(scenario):
    """Run a scenario with a client and the store's server."""

    async def body():
        server = StoreServer(Store())
        server.store.configure(1)
        address = await server.start()
        async with HttpPool() as pool:
            client = StoreClient(PooledClient(address, CALL_SECONDS, pool))
            await scenario(client, server)
        await server.close()

    run_in_virtual_time(body())


def now():
    return asyncio.get_running_loop().time()


@pytest.mark.parametrize("delay", [1.47, 2.0, 5.0, 12.0])
def test_late_response_to_a_read_is_not_lost(delay):
    # Guards against a process that never reads a table of a store which responds
    # later than the process waits, and asks for it again and again.
    async def scenario(client, server):
        server.delay = delay
        started_at = now()
        changes = await client.read("op")
        assert [row.key for row in changes.rows] == ["config"]
        assert now() - started_at <= delay + 0.1
        assert len(server.calls) <= 1 + delay / READ_HEDGE_SECONDS

    run_client(scenario)


@pytest.mark.parametrize("delay", [0.0, 2.0])
def test_read_on_a_silent_connection_is_answered_on_another(delay):
    # Guards against a read that waits for the end of a connection that went silent.
    async def scenario(client, server):
        await client.read("op")
        server.silence_open_connections()
        server.delay = delay
        started_at = now()
        await client.read("op")
        assert now() - started_at <= READ_HEDGE_SECONDS + delay + 0.1

    run_client(scenario)


@pytest.mark.parametrize("delay", [1.47, 5.0])
def test_change_is_reported_once_however_late(delay):
    # Guards against a held call that is given up while its response is on the way.
    async def scenario(client, server):
        version = (await client.read("op")).version
        server.delay = delay
        pending = asyncio.create_task(client.wait_for_changes("op", version, 1.0))
        await asyncio.sleep(0.9)
        server.store.configure(2)
        changes = await pending
        assert [row.version for row in changes.rows] == [version + 1]
        assert len(server.calls) == 2

    run_client(scenario)


def test_write_is_not_repeated_while_its_response_is_late():
    # Guards against writes that fill the queue of a store which is slow already.
    async def scenario(client, server):
        server.delay = 5.0
        await client.write([RowWrite("members", "vm", b"{}")])
        assert len(server.calls) == 1

    run_client(scenario)


def test_write_is_not_sent_on_a_connection_that_may_be_silent():
    # Guards against a row that is written late: a write is not repeated beside itself.
    async def scenario(client, server):
        await client.read("op")
        server.silence_open_connections()
        started_at = now()
        await client.write([RowWrite("members", "vm", b"{}")])
        assert now() - started_at < 0.1

    run_client(scenario)
