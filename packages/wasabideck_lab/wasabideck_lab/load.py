"""Open-loop load generator that runs against the real binaries on loopback.

Each request is sent at its due time, whether or not earlier requests have ended, and
its latencies are measured from that due time. A slow system therefore cannot slow down
its own measurement (no coordinated omission).
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import orjson
from attrs import define, field

from .demo import submit_ticket, wait_in_effect, wait_serving, write_first_ticket
from .lab_fleet import LabFleet
from .load_report import RequestRecord, summarize
from .load_workload import (
    DEPLOYMENTS,
    ENGINE_CAPACITY,
    ORGANISATION_SHARES,
    TOKENS_PER_RESPONSE,
    Arrival,
    Deployment,
)
from .load_workload import draw_arrivals as draw_arrivals
from .random_weights import generate_weights
from .standin_batch import Batch

__all__ = ["LOAD_FAULTS", "measure_load"]

CHUNK_COUNT = 16
CHUNK_BYTES = 4096
# Time beyond a request's deadline after which the client stops waiting.
CLIENT_GRACE_SECONDS = 3.0
# Requests due in this period are sent but not counted: at first, the prefix caches are
# cold and there are no load reports.
WARMUP_SECONDS = 3.0
PLAIN_CALL_SECONDS = 0.02
PLAIN_SLOT_COUNT = 4


@define
class _LoadRun:
    """A load run against one fleet of processes."""

    deployment: Deployment
    lab: LabFleet
    seconds: float
    sessions: list[aiohttp.ClientSession] = field(factory=list)
    notes: dict[str, float] = field(factory=dict)

    def entry_vms(self) -> list[str]:
        """Return the VM names of the entries, one per region."""
        return [f"entry-{i}" for i in range(len(self.deployment.regions))]

    def engine_vms(self) -> list[str]:
        """Return the VM names of the drafting servers."""
        return [f"draft-{i}" for i in range(self.deployment.drafting)]

    def server_count(self) -> int:
        """Return the number of backend servers."""
        return self.deployment.drafting + sum(self.deployment.plain.values())

    async def start(self, policy: str, seed: int) -> None:
        """Start the fleet and wait until every server serves ticket 1."""
        lab, deployment = self.lab, self.deployment
        lab.entry_settings = {"routing": policy, "callers": _callers()}
        lab.server_settings = {"drafting": {"capacity": ENGINE_CAPACITY}}
        for service, servers in deployment.plain.items():
            # The service that has a single server is the one that reports no load.
            if servers == 1:
                lab.server_settings[service] = {"reports_load": False, "capacity": 32}
        await lab.start_platform()
        digest = lab.publish(
            *generate_weights("drafter", "v1", CHUNK_COUNT, CHUNK_BYTES, seed)
        )
        services = deployment.services()
        locations = [_location(region) for region in deployment.regions]
        for vm, location in zip(self.entry_vms(), locations, strict=True):
            await lab.start_entry(vm, services, **location)
        for index, vm in enumerate(self.engine_vms()):
            await lab.start_engine_vm(
                vm, "drafting", **locations[index % len(locations)]
            )
        for service, count in deployment.plain.items():
            for i in range(count):
                vm = f"{service}-{i}"
                await lab.start_plain_service_vm(
                    vm, service, **locations[i % len(locations)]
                )
        self._set_service_times()
        async with self.session(0) as session:
            await submit_ticket(session, write_first_ticket(lab.folder, digest))
            await wait_in_effect(session, 1, deployment.drafting)
        for region in range(len(locations)):
            async with self.session(region) as session:
                await wait_serving(session, self.server_count())

    def _set_service_times(self) -> None:
        pairs = zip(
            self.lab.engines.values(), self.deployment.engine_speeds(), strict=True
        )
        for engine, speed in pairs:
            engine.batch = Batch(self.deployment.costs, ENGINE_CAPACITY, speed)
            engine.tokens_per_response = TOKENS_PER_RESPONSE
        for plain in self.lab.plain_services.values():
            plain.call_seconds = PLAIN_CALL_SECONDS
            plain.slots = asyncio.Semaphore(PLAIN_SLOT_COUNT)

    def session(self, region: int) -> aiohttp.ClientSession:
        """Return a client session that connects to the entry of a region."""
        http = self.lab.processes[f"entry-{region}"].http_address
        connector = aiohttp.TCPConnector(limit=0)
        return aiohttp.ClientSession(f"http://{http}", connector=connector)

    async def send_all(self, arrivals: list[Arrival]) -> list[RequestRecord]:
        """Send each request at its due time, and return one record per request."""
        self.sessions = [self.session(i) for i in range(len(self.deployment.regions))]
        started = time.monotonic()
        tasks = []
        for arrival in arrivals:
            await asyncio.sleep(
                max(0.0, started + arrival.due_seconds - time.monotonic())
            )
            tasks.append(
                asyncio.create_task(_send_request(self.sessions, arrival, started))
            )
        records = await asyncio.gather(*tasks)
        for session in self.sessions:
            await session.close()
        return records


async def _send_request(
    sessions: list[aiohttp.ClientSession], arrival: Arrival, started: float
) -> RequestRecord:
    """Send one request, skipping entries that are down as a load balancer does."""
    record = RequestRecord(arrival)
    for offset in range(len(sessions)):
        session = sessions[(arrival.region + offset) % len(sessions)]
        try:
            await _post(session, record, started + arrival.due_seconds)
            break
        except aiohttp.ClientConnectorError:
            record.reason = "NoEntry"
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            record.reason = type(exc).__name__
            break
    record.total_seconds = time.monotonic() - started - arrival.due_seconds
    return record


async def _post(
    session: aiohttp.ClientSession, record: RequestRecord, due: float
) -> None:
    arrival, kind = record.arrival, record.arrival.kind
    headers = {
        "authorization": f"Bearer {_token(arrival.organisation)}",
        "idempotency-key": arrival.idempotency_key,
        "x-deadline-ms": str(int(kind.deadline_seconds * 1000)),
    }
    path = f"/v1/services/{kind.service}/{kind.route}"
    timeout = aiohttp.ClientTimeout(total=kind.deadline_seconds + CLIENT_GRACE_SECONDS)
    body = arrival.body.encode()
    last_event_at = 0.0
    async with session.post(
        path, data=body, headers=headers, timeout=timeout
    ) as response:
        async for line in response.content:
            now = time.monotonic() - due
            row = orjson.loads(line)
            if "text" in row:
                record.gap_seconds += (
                    [now - last_event_at] if record.first_seconds is not None else []
                )
                record.first_seconds = (
                    now if record.first_seconds is None else record.first_seconds
                )
                last_event_at = now
            elif "outcome" in row:
                record.outcome, record.reason = row["outcome"], row.get("reason", "")


Fault = Callable[[_LoadRun], Awaitable[None]]


async def _no_fault(run: _LoadRun) -> None:
    """Inject no fault."""


async def _load_lag(run: _LoadRun) -> None:
    """Make every load report 2 s old."""
    for engine in run.lab.engines.values():
        engine.faults.active["load_lag"] = 2.0


async def _cache_gaps(run: _LoadRun) -> None:
    """Make engines omit half of their cache events."""
    for engine in run.lab.engines.values():
        engine.faults.active["cache_gaps"] = 0.5


async def _outage(run: _LoadRun) -> None:
    """Make every drafting engine respond 503 in the middle third of the run."""
    await asyncio.sleep(run.seconds / 3)
    for engine in run.lab.engines.values():
        engine.faults.active["down"] = 1.0
    await asyncio.sleep(run.seconds / 3)
    for engine in run.lab.engines.values():
        engine.faults.active.pop("down")


async def _freeze(run: _LoadRun) -> None:
    """Suspend one drafting agent in the middle third of the run, then resume it."""
    await asyncio.sleep(run.seconds / 3)
    run.lab.processes["draft-0"].suspend()
    await asyncio.sleep(run.seconds / 3)
    run.lab.processes["draft-0"].resume()


async def _store_down(run: _LoadRun) -> None:
    """Make the table and the membership list unavailable in the middle third."""
    await asyncio.sleep(run.seconds / 3)
    for standin in (run.lab.table, run.lab.members):
        standin.faults.active["down"] = 1.0
    await asyncio.sleep(run.seconds / 3)
    for standin in (run.lab.table, run.lab.members):
        standin.faults.active.pop("down")


async def _entry_restart(run: _LoadRun) -> None:
    """Kill an entry while the table is down, and start a new process on its VM."""
    await asyncio.sleep(run.seconds / 3)
    run.lab.table.faults.active["down"] = 1.0
    entry = run.lab.processes["entry-0"]
    entry.kill()
    await entry.subprocess.wait()
    started = time.monotonic()
    services, region = run.deployment.services(), run.deployment.regions[0]
    await run.lab.start_entry("entry-0", services, **_location(region))
    run.notes["started_seconds"] = round(time.monotonic() - started, 2)
    await run.sessions[0].close()
    run.sessions[0] = run.session(0)
    await wait_serving(run.sessions[0], run.server_count())
    run.notes["useful_seconds"] = round(time.monotonic() - started, 2)
    await asyncio.sleep(run.seconds / 3)
    run.lab.table.faults.active.pop("down")


LOAD_FAULTS: dict[str, Fault] = {
    "none": _no_fault,
    "load-lag": _load_lag,
    "cache-gaps": _cache_gaps,
    "outage": _outage,
    "freeze": _freeze,
    "store-down": _store_down,
    "entry-restart": _entry_restart,
}


async def measure_load(
    deployment: str, policy: str, burst: float, fault: str, seconds: float, seed: int
) -> dict:
    """Run a load test against a new fleet, and return its results as one row."""
    selected = DEPLOYMENTS[deployment]
    rng = random.Random(f"{seed}/{burst}")
    arrivals = list(draw_arrivals(selected, burst, WARMUP_SECONDS + seconds, rng))
    with tempfile.TemporaryDirectory() as folder:
        run = _LoadRun(selected, LabFleet(Path(folder), seed), seconds)
        try:
            await run.start(policy, seed)
            reads: list[int] = []
            read_counter = asyncio.create_task(_count_reads(run, reads))
            fault_task = asyncio.create_task(_inject_fault(run, fault))
            records = await run.send_all(arrivals)
            await fault_task
            read_counter.cancel()
        finally:
            exit_codes = await run.lab.close()
        attempts = _count_attempts(run)
    row = {
        "deployment": deployment,
        "policy": policy,
        "burst": burst,
        "fault": fault,
        "seconds": seconds,
        "seed": seed,
        "capacity": round(selected.drafting_capacity(), 1),
    }
    counted = [r for r in records if r.arrival.due_seconds >= WARMUP_SECONDS]
    row |= summarize(counted, seconds) | _engine_figures(run)
    row["attempts_per_request"] = round(attempts / max(1, len(records)), 3)
    row["store_reads_per_second"] = round(sum(reads) / max(1, len(reads)), 1)
    row["most_store_reads_in_a_second"] = max(reads, default=0)
    row["notes"] = run.notes
    row["bad_exits"] = {vm: code for vm, code in exit_codes.items() if code}
    return row


async def _count_reads(run: _LoadRun, reads: list[int]) -> None:
    """Append the number of reads of the table and membership list in each second."""
    while True:
        before = run.lab.table.reads + run.lab.members.reads
        await asyncio.sleep(1.0)
        reads.append(run.lab.table.reads + run.lab.members.reads - before)


async def _inject_fault(run: _LoadRun, fault: str) -> None:
    await asyncio.sleep(WARMUP_SECONDS)
    await LOAD_FAULTS[fault](run)


def _engine_figures(run: _LoadRun) -> dict:
    engines = [run.lab.engines[vm] for vm in run.engine_vms()]
    runs = [sum(engine.runs_by_attempt.values()) for engine in engines]
    hits = sum(engine.batch.hits for engine in engines)
    misses = sum(engine.batch.misses for engine in engines)
    mean = sum(runs) / len(runs)
    return {
        "busiest_to_mean": round(max(runs) / mean, 3) if mean else 0.0,
        "prefix_hits": round(hits / max(1, hits + misses), 3),
    }


def _count_attempts(run: _LoadRun) -> int:
    texts = (run.lab.processes[vm].events_path.read_text() for vm in run.entry_vms())
    return sum(text.count('"attempt.sent"') for text in texts)


def _location(region: str) -> dict[str, str]:
    return {"region": region, "data_centre": f"{region}-1"}


def _token(organisation: str) -> str:
    return f"sample-token-of-{organisation}"


def _callers() -> list[dict]:
    names = [f"org-{index}" for index in range(len(ORGANISATION_SHARES))]
    return [{"organisation": name, "token": _token(name)} for name in names]
