"""Reads of chunks from the origin over a slow or an unresponsive connection."""

import asyncio

import pytest
from test_store import BODY, IDLE_TIMEOUT_SECONDS, start_slow_server
from wasabideck_adapter import engine as engine_module
from wasabideck_adapter.engine import OriginClient
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.http_responses import PlatformUnavailable


def read_chunk(parts, interval, complete):
    async def run():
        server, port = await start_slow_server(parts, interval, complete)
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            try:
                async with asyncio.timeout(10):
                    return await OriginClient(http).chunk("m", 2, 0)
            finally:
                server.close()

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def short_idle_timeout(monkeypatch):
    monkeypatch.setattr(
        engine_module, "CHUNK_IDLE_TIMEOUT_SECONDS", IDLE_TIMEOUT_SECONDS
    )


def test_read_that_makes_progress_is_not_cancelled():
    # Guards against reads that are cancelled on a saturated link with most of the chunk
    # received, and then started anew.
    assert (
        read_chunk(parts=12, interval=IDLE_TIMEOUT_SECONDS / 4, complete=True) == BODY
    )


def test_read_without_progress_is_cancelled():
    # Guards against a transfer that waits on an unresponsive connection.
    with pytest.raises(PlatformUnavailable):
        read_chunk(parts=3, interval=0.0, complete=False)
