"""Start-up, idle memory, and the path's added latency over a direct call."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from .demo import SERVICES, call, first_ticket, submit, wait_in_force, wait_serving
from .launcher import Lab
from .process_usage import resident_bytes
from .weights import make_weights

__all__ = ["measure_overhead"]

STARTS = 5
CALLS = 1000
SETTLE_SECONDS = 3.0
MOST_MICROS = 60_000_000


async def measure_overhead() -> dict:
    """Figures of one run; latencies in milliseconds, memory in bytes."""
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(Path(folder))
        await lab.start_platform()
        try:
            starts = await _starts(lab)
            path = await _latencies(lab, Path(folder))
        finally:
            await lab.close()
    return starts | path


async def _starts(lab: Lab) -> dict:
    entry, agent = [], []
    for index in range(1, STARTS + 1):
        entry.append(
            await _timed(lambda vm=f"entry-{index}": lab.start_entry(vm, SERVICES))
        )
        agent.append(
            await _timed(lambda vm=f"order-{index}": lab.start_plain_vm(vm, "orders"))
        )
    await asyncio.sleep(SETTLE_SECONDS)
    pids = {vm: process.process.pid for vm, process in lab.processes.items()}
    return {
        "entry_start_s": sorted(entry),
        "agent_start_s": sorted(agent),
        "entry_resident": max(resident_bytes(pids[vm]) for vm in pids if "entry" in vm),
        "agent_resident": max(resident_bytes(pids[vm]) for vm in pids if "order" in vm),
    }


async def _timed(start: Callable[[], Awaitable]) -> float:
    begun = time.perf_counter()
    await start()
    return round(time.perf_counter() - begun, 3)


async def _latencies(lab: Lab, folder: Path) -> dict:
    digest = lab.publish(*make_weights("drafter", "v1", 8, 4096, 0))
    await lab.start_engine_vm("draft-1", "drafting")
    plain = next(iter(lab.plains))
    lab.plains[plain].seconds = 0.0
    base = lab.server_addresses[plain]
    through = lab.processes["entry-1"].http
    session = aiohttp.ClientSession(f"http://{through}")
    async with session, aiohttp.ClientSession(base) as direct:
        await submit(session, first_ticket(folder, digest))
        await wait_in_force(session, 1, 1)
        await wait_serving(session, 1 + STARTS)
        histograms = await _interleaved(
            {
                "direct": lambda key: _direct(direct, key),
                "repeatable": lambda key: call(session, "orders", "status", key, key),
                "claimed": lambda key: call(session, "orders", "print", key, key),
            }
        )
    return {
        f"{name}_{quantile}_ms": histogram.get_value_at_percentile(float(quantile[1:]))
        / 1000
        for name, histogram in histograms.items()
        for quantile in ("p50", "p99")
    }


async def _interleaved(
    calls: dict[str, Callable[[str], Awaitable]],
) -> dict[str, HdrHistogram]:
    """Latencies of each kind of call, taken in turn so that all see one machine."""
    found = {name: HdrHistogram(1, MOST_MICROS, 3) for name in calls}
    for index in range(CALLS):
        for name, make in calls.items():
            begun = time.perf_counter()
            await make(f"{name}-{index}")
            found[name].record_value(int((time.perf_counter() - begun) * 1e6))
    return found


async def _direct(session: aiohttp.ClientSession, key: str) -> None:
    headers = {"x-attempt": key, "idempotency-key": key}
    req = session.post("/v1/calls/status", data=key.encode(), headers=headers)
    async with req as answer:
        await answer.read()
