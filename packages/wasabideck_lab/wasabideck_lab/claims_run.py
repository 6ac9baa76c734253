"""Measures what it costs that claims which arrive together share a transaction."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp
from wasabideck_agent.claim_store import ClaimStore
from wasabideck_base.events import Clock, Events
from wasabideck_base.http import HttpClient
from wasabideck_base.table import Table
from wasabideck_policy.claims import Claim

from .faults import Faults
from .launcher import serve_standin
from .standin_platform import TableStandin

__all__ = ["run_claims"]


async def run_claims(rate: float, seconds: float, slow: float, senders: int) -> dict:
    """Take claims at a rate, from a table that answers after ``slow`` seconds."""
    standin = TableStandin(Faults(random.Random(1), {"slow": slow}))
    address, runner = await serve_standin(standin)
    async with aiohttp.ClientSession() as session:
        table = Table(HttpClient(address, 5.0, session))
        store = ClaimStore(table, Events("lab", Clock(), time.time))
        store.batch.senders = senders
        waits = await _take_all(store, int(rate * seconds), 1 / rate)
    await runner.cleanup()
    waits.sort()
    return {
        "rate": rate,
        "table_seconds": slow,
        "senders": senders,
        "claims": len(waits),
        "transactions": standin.writes,
        "p50_ms": round(1000 * waits[len(waits) // 2], 1),
        "p99_ms": round(1000 * waits[int(len(waits) * 0.99)], 1),
    }


async def _take_all(store: ClaimStore, count: int, gap: float) -> list[float]:
    async def take(number: int) -> float:
        begun = time.monotonic()
        claim = Claim("org-1", f"key-{number}", "digest", f"attempt-{number}", "vm")
        await store.take(claim)
        return time.monotonic() - begun

    begun = time.monotonic()
    tasks = []
    for number in range(count):
        await asyncio.sleep(max(0.0, begun + number * gap - time.monotonic()))
        tasks.append(asyncio.create_task(take(number)))
    return await asyncio.gather(*tasks)
