"""What the books say of a rollout: events, links, rows, and the stand-ins' counts."""

from __future__ import annotations

import math
from collections import defaultdict

import aiohttp
import orjson

from .process_usage import cpu_seconds
from .rollout import Run

__all__ = [
    "begun_at",
    "delivery_rows",
    "fleet_cpu_seconds",
    "grown",
    "link_bytes",
    "mixed_models",
    "origin_copies",
    "p99_ratio",
    "per_chunk",
    "region_copies",
    "verified_at",
]


def delivery_rows(run: Run, ticket: int) -> dict[str, dict]:
    """Delivery rows of a ticket, by VM."""
    rows = run.lab.table.rows.get("deliveries", {}).values()
    return {row["vm"]: row for row in rows if row["ticket"] == ticket}


def verified_at(run: Run) -> dict[str, float]:
    """Wall time at which each living VM had verified version 2."""
    return _when(run, "transfer.verified")


def begun_at(run: Run) -> float:
    """Wall time at which the first living VM began its transfer of version 2."""
    return min(_when(run, "transfer.begun").values())


def _when(run: Run, kind: str) -> dict[str, float]:
    """Wall time of an event of ticket 2 at each living VM."""
    rows = _events(run, kind)
    return {row["vm"]: row["timestamp"] for row in rows if row["ticket"] == 2}


def per_chunk(run: Run, what: str) -> float:
    """How often something happened for each chunk that a VM fetched."""
    digest = run.manifest.digest
    rows = _events(run, "transfer.ended")
    counts = [row[what] for row in rows if row["manifest"] == digest]
    return round(sum(counts) / max(len(counts) * run.plan.chunks, 1), 2)


def _events(run: Run, kind: str) -> list[dict]:
    """The living VMs' events of a kind, from the files that they write."""
    found = []
    mark = f'"{kind}"'.encode()
    for vm in run.vms:
        if vm in run.killed:
            continue
        for line in run.lab.processes[vm].events.read_bytes().splitlines():
            if mark in line:
                found.append(orjson.loads(line))
    return found


async def link_bytes(run: Run) -> dict[str, dict[str, float]]:
    """Weight bytes that each living agent's links have carried."""
    found: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    async with aiohttp.ClientSession() as session:
        for vm in sorted(set(run.vms) - run.killed):
            url = f"http://{run.lab.processes[vm].http}/metrics"
            async with session.get(url) as answer:
                text = await answer.text()
            for line in text.splitlines():
                if line.startswith("wasabideck_weight_link_bytes_total{"):
                    name = line.split('"')[1]
                    found[vm][name] = float(line.rsplit(" ", 1)[1])
    return found


def fleet_cpu_seconds(run: Run) -> float:
    """Processor time that the living agents have used."""
    alive = set(run.vms) - run.killed
    return sum(cpu_seconds(run.lab.processes[vm].process.pid) for vm in alive)


def grown(before: dict | None, after: dict) -> dict:
    """Bytes by which the links' counts grew."""
    before = before or defaultdict(float)
    return {name: after[name] - before[name] for name in ("up", "down", "region")}


def origin_copies(run: Run) -> float:
    """Copies of the version that were read from the origin."""
    reads = run.lab.weights.chunk_reads
    return sum(reads[digest] for digest in run.manifest.chunks) / run.plan.chunks


def region_copies(run: Run) -> float:
    """Copies that the busiest link between two regions carried, by the reports."""
    region = {vm: run.region(index) for index, vm in enumerate(run.vms)}
    carried: dict[tuple[str, str], int] = defaultdict(int)
    for vm, row in delivery_rows(run, 2).items():
        for source, size in row["sources"].items():
            begin = region.get(source, "region-1")
            if begin != region[vm]:
                carried[begin, region[vm]] += size
    return max(carried.values(), default=0) / run.plan.total


def p99_ratio(run: Run, window: tuple[float, float]) -> float | None:
    """Live requests' p99 in a window of monotonic time, over that before it."""
    begin, end = window
    results = run.traffic.results
    before = [r.seconds for r in results if r.begun + r.seconds < begin]
    during = [r.seconds for r in results if begin <= r.begun <= end]
    if not before or not during:
        return None
    return round(_p99(during) / _p99(before), 3)


def _p99(values: list[float]) -> float:
    return sorted(values)[math.ceil(0.99 * len(values)) - 1]


async def mixed_models(run: Run) -> int:
    """Partial or mixed models that the engines' stand-ins were ordered to load."""
    mixed = 0
    async with aiohttp.ClientSession() as session:
        for url in run.engine_hosts:
            async with session.get(f"{url}/books") as answer:
                books = await answer.json()
            mixed += sum(row["mixed"] for row in books.values())
    return mixed
