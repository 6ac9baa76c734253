"""Reads of the origin of weights over a link that is slow, or silent."""

import asyncio

import pytest
from test_store import BODY, SILENCE, serving
from wasabideck_adapter import engine as engine_module
from wasabideck_adapter.engine import OriginClient
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.http_pool import HttpPool, PooledClient


def piece_of(pieces, pause, whole):
    async def run():
        server, port = await serving(pieces, pause, whole)
        async with HttpPool() as pool:
            http = PooledClient(f"127.0.0.1:{port}", 3.0, pool)
            try:
                async with asyncio.timeout(10):
                    return await OriginClient(http).piece("m", 2, 0)
            finally:
                server.close()

    return asyncio.run(run())


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(engine_module, "PIECE_SECONDS", SILENCE)


def test_a_piece_that_moves_is_not_given_up():
    # Guards against pieces begun anew over a full link with most of their bytes there.
    assert piece_of(pieces=12, pause=SILENCE / 4, whole=True) == BODY


def test_a_piece_that_stands_still_is_given_up():
    # Guards against a transfer that waits for a connection that has gone dark.
    with pytest.raises(PlatformUnavailable):
        piece_of(pieces=3, pause=0.0, whole=False)
