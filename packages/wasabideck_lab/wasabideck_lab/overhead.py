"""Measures start-up time, idle memory and the latency added to a direct call."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from .demo import (
    SERVICES,
    call_service,
    submit_ticket,
    wait_in_effect,
    wait_serving,
    write_first_ticket,
)
from .lab_fleet import LabFleet
from .process_usage import resident_bytes
from .random_weights import generate_weights

__all__ = ["measure_overhead"]

STARTS = 5
CALLS = 1000
SETTLE_SECONDS = 3.0
MAX_LATENCY_MICROS = 60_000_000


async def measure_overhead() -> dict:
    """Return the figures of one run; latencies in milliseconds, memory in bytes."""
    with tempfile.TemporaryDirectory() as folder:
        lab = LabFleet(Path(folder))
        await lab.start_platform()
        try:
            starts = await _measure_starts(lab)
            latencies = await _measure_latencies(lab, Path(folder))
        finally:
            await lab.close()
    return starts | latencies


async def _measure_starts(lab: LabFleet) -> dict:
    entry_seconds, agent_seconds = [], []
    for index in range(1, STARTS + 1):
        entry_seconds.append(
            await _measure_seconds(
                lambda vm=f"entry-{index}": lab.start_entry(vm, SERVICES)
            )
        )
        agent_seconds.append(
            await _measure_seconds(
                lambda vm=f"order-{index}": lab.start_plain_service_vm(vm, "orders")
            )
        )
    await asyncio.sleep(SETTLE_SECONDS)
    pids = {vm: process.subprocess.pid for vm, process in lab.processes.items()}
    return {
        "entry_start_s": sorted(entry_seconds),
        "agent_start_s": sorted(agent_seconds),
        "entry_resident": max(resident_bytes(pids[vm]) for vm in pids if "entry" in vm),
        "agent_resident": max(resident_bytes(pids[vm]) for vm in pids if "order" in vm),
    }


async def _measure_seconds(start: Callable[[], Awaitable]) -> float:
    started = time.perf_counter()
    await start()
    return round(time.perf_counter() - started, 3)


async def _measure_latencies(lab: LabFleet, folder: Path) -> dict:
    digest = lab.publish(*generate_weights("drafter", "v1", 8, 4096, 0))
    await lab.start_engine_vm("draft-1", "drafting")
    plain_vm = next(iter(lab.plain_services))
    lab.plain_services[plain_vm].call_seconds = 0.0
    server_address = lab.server_addresses[plain_vm]
    entry_address = lab.processes["entry-1"].http_address
    session = aiohttp.ClientSession(f"http://{entry_address}")
    async with session, aiohttp.ClientSession(server_address) as direct:
        await submit_ticket(session, write_first_ticket(folder, digest))
        await wait_in_effect(session, 1, 1)
        await wait_serving(session, 1 + STARTS)
        histograms = await _measure_interleaved(
            {
                "direct": lambda key: _call_directly(direct, key),
                "repeatable": lambda key: call_service(
                    session, "orders", "status", key, key
                ),
                "claimed": lambda key: call_service(
                    session, "orders", "print", key, key
                ),
            }
        )
    return {
        f"{name}_{quantile}_ms": histogram.get_value_at_percentile(float(quantile[1:]))
        / 1000
        for name, histogram in histograms.items()
        for quantile in ("p50", "p99")
    }


async def _measure_interleaved(
    calls: dict[str, Callable[[str], Awaitable]],
) -> dict[str, HdrHistogram]:
    """Return the latencies of each kind of call.

    The kinds alternate, so that all of them are measured under the same conditions of
    the machine.
    """
    histograms = {name: HdrHistogram(1, MAX_LATENCY_MICROS, 3) for name in calls}
    for index in range(CALLS):
        for name, send in calls.items():
            started = time.perf_counter()
            await send(f"{name}-{index}")
            histograms[name].record_value(int((time.perf_counter() - started) * 1e6))
    return histograms


async def _call_directly(session: aiohttp.ClientSession, key: str) -> None:
    headers = {"x-attempt": key, "idempotency-key": key}
    req = session.post("/v1/calls/status", data=key.encode(), headers=headers)
    async with req as response:
        await response.read()
