"""Measures the latency of claims that arrive together and share a transaction."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp
from wasabideck_agent.claim_store import ClaimStore
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.http_client import HttpClient
from wasabideck_base.table import Table
from wasabideck_policy.claims import Claim

from .faults import FaultInjector
from .lab_fleet import serve_standin
from .standin_platform import TableStandin

__all__ = ["run_claims"]


async def run_claims(
    rate: float, seconds: float, table_seconds: float, senders: int
) -> dict:
    """Take claims at a constant rate from a slow table, and return the latencies.

    Parameters
    ----------
    rate : float
        Claims per second.
    seconds : float
        Time for which claims are sent.
    table_seconds : float
        Time that the table takes for each response.
    senders : int
        Maximum number of concurrent transactions.
    """
    standin = TableStandin(FaultInjector(random.Random(1), {"slow": table_seconds}))
    address, runner = await serve_standin(standin)
    async with aiohttp.ClientSession() as session:
        table = Table(HttpClient(address, 5.0, session))
        store = ClaimStore(table, Events("lab", HybridClock(), time.time))
        store.batch.max_senders = senders
        latencies = await _take_all(store, int(rate * seconds), 1 / rate)
    await runner.cleanup()
    latencies.sort()
    return {
        "rate": rate,
        "table_seconds": table_seconds,
        "senders": senders,
        "claims": len(latencies),
        "transactions": standin.writes,
        "p50_ms": round(1000 * latencies[len(latencies) // 2], 1),
        "p99_ms": round(1000 * latencies[int(len(latencies) * 0.99)], 1),
    }


async def _take_all(store: ClaimStore, count: int, interval: float) -> list[float]:
    async def take(number: int) -> float:
        started = time.monotonic()
        claim = Claim("org-1", f"key-{number}", "digest", f"attempt-{number}", "vm")
        await store.acquire(claim)
        return time.monotonic() - started

    started = time.monotonic()
    tasks = []
    for number in range(count):
        await asyncio.sleep(max(0.0, started + number * interval - time.monotonic()))
        tasks.append(asyncio.create_task(take(number)))
    return await asyncio.gather(*tasks)
