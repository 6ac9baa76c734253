"""Measurements of a rollout from events, metrics, rows and the stand-ins' counters."""

from __future__ import annotations

import math
from collections import defaultdict

import aiohttp
import orjson

from .process_usage import cpu_seconds
from .rollout import Run

__all__ = [
    "byte_increase",
    "count_per_chunk",
    "delivery_rows",
    "first_transfer_started_at",
    "fleet_cpu_seconds",
    "link_bytes",
    "mixed_models",
    "origin_copies",
    "p99_ratio",
    "region_copies",
    "verified_at",
]


def delivery_rows(run: Run, ticket: int) -> dict[str, dict]:
    """Return the delivery rows of a ticket by VM."""
    rows = run.lab.table.rows.get("deliveries", {}).values()
    return {row["vm"]: row for row in rows if row["ticket"] == ticket}


def verified_at(run: Run) -> dict[str, float]:
    """Return the wall time at which each running VM had verified version 2."""
    return _event_times(run, "transfer.verified")


def first_transfer_started_at(run: Run) -> float:
    """Return the wall time at which the first transfer of version 2 started.

    Only running VMs are considered.
    """
    return min(_event_times(run, "transfer.begun").values())


def _event_times(run: Run, kind: str) -> dict[str, float]:
    """Return the wall time of an event of ticket 2 at each running VM."""
    rows = _events(run, kind)
    return {row["vm"]: row["timestamp"] for row in rows if row["ticket"] == 2}


def count_per_chunk(run: Run, count_name: str) -> float:
    """Return the mean of a ``transfer.ended`` count per chunk that a VM fetched."""
    digest = run.manifest.digest
    rows = _events(run, "transfer.ended")
    values = [row[count_name] for row in rows if row["manifest"] == digest]
    return round(sum(values) / max(len(values) * run.plan.chunks, 1), 2)


def _events(run: Run, kind: str) -> list[dict]:
    """Return the events of a kind from the event files of the running VMs."""
    events = []
    quoted_kind = f'"{kind}"'.encode()
    for vm in run.vms:
        if vm in run.killed:
            continue
        for line in run.lab.processes[vm].events_path.read_bytes().splitlines():
            if quoted_kind in line:
                events.append(orjson.loads(line))
    return events


async def link_bytes(run: Run) -> dict[str, dict[str, float]]:
    """Return the weight bytes transferred by each running agent, by link."""
    bytes_by_vm: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    async with aiohttp.ClientSession() as session:
        for vm in sorted(set(run.vms) - run.killed):
            url = f"http://{run.lab.processes[vm].http_address}/metrics"
            async with session.get(url) as response:
                text = await response.text()
            for line in text.splitlines():
                if line.startswith("wasabideck_weight_link_bytes_total{"):
                    name = line.split('"')[1]
                    bytes_by_vm[vm][name] = float(line.rsplit(" ", 1)[1])
    return bytes_by_vm


def fleet_cpu_seconds(run: Run) -> float:
    """Return the CPU time that the running agents have used."""
    running = set(run.vms) - run.killed
    return sum(cpu_seconds(run.lab.processes[vm].subprocess.pid) for vm in running)


def byte_increase(before: dict | None, after: dict) -> dict:
    """Return the increase of the byte count of each link."""
    before = before or defaultdict(float)
    return {name: after[name] - before[name] for name in ("up", "down", "region")}


def origin_copies(run: Run) -> float:
    """Return the number of copies of the version that were read from the origin."""
    reads = run.lab.weights.chunk_reads
    return sum(reads[digest] for digest in run.manifest.chunks) / run.plan.chunks


def region_copies(run: Run) -> float:
    """Return the copies carried by the busiest link between two regions.

    The copies are computed from the delivery rows.
    """
    region_by_vm = {vm: run.region_of(index) for index, vm in enumerate(run.vms)}
    carried_bytes: dict[tuple[str, str], int] = defaultdict(int)
    for vm, row in delivery_rows(run, 2).items():
        for source, size in row["sources"].items():
            source_region = region_by_vm.get(source, "region-1")
            if source_region != region_by_vm[vm]:
                carried_bytes[source_region, region_by_vm[vm]] += size
    return max(carried_bytes.values(), default=0) / run.plan.copy_bytes


def p99_ratio(run: Run, window: tuple[float, float]) -> float | None:
    """Return the p99 of live requests in a window over the p99 before the window.

    The window is given in monotonic time.
    """
    start, end = window
    results = run.traffic.results
    before = [
        r.duration_seconds for r in results if r.started_at + r.duration_seconds < start
    ]
    during = [r.duration_seconds for r in results if start <= r.started_at <= end]
    if not before or not during:
        return None
    return round(_p99(during) / _p99(before), 3)


def _p99(values: list[float]) -> float:
    return sorted(values)[math.ceil(0.99 * len(values)) - 1]


async def mixed_models(run: Run) -> int:
    """Return how many partial or mixed models engine stand-ins were ordered to load."""
    mixed_count = 0
    async with aiohttp.ClientSession() as session:
        for url in run.engine_host_urls:
            async with session.get(f"{url}/books") as response:
                records = await response.json()
            mixed_count += sum(row["mixed"] for row in records.values())
    return mixed_count
