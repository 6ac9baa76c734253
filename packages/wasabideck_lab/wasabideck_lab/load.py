"""The load generator: an open loop against the real binaries on loopback.

Every request is sent when it is due, whatever became of those before it, and its
times count from then: a slow system cannot slow its own measurement down.
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

from .demo import first_ticket, submit, wait_in_force, wait_serving
from .launcher import Lab
from .load_mix import CAPACITY, DEPLOYMENTS, SHARES, TOKENS, Arrival, Deployment
from .load_mix import arrivals as draw_arrivals
from .load_report import Seen, summary
from .standin_batch import Batch
from .weights import make_weights

__all__ = ["LOAD_FAULTS", "run_load"]

CHUNKS = 16
CHUNK_BYTES = 4096
GRACE_SECONDS = 3.0
# Caches are cold and reports empty at first; these requests are sent, not counted.
WARM_SECONDS = 3.0
PLAIN_SECONDS = 0.02
PLAIN_SLOTS = 4


@define
class _Run:
    """One fleet under load."""

    deployment: Deployment
    lab: Lab
    seconds: float
    sessions: list[aiohttp.ClientSession] = field(factory=list)
    notes: dict[str, float] = field(factory=dict)

    def entries(self) -> list[str]:
        """Names of the entries, one a region."""
        return [f"entry-{i}" for i in range(len(self.deployment.regions))]

    def engines(self) -> list[str]:
        """Names of the drafting servers."""
        return [f"draft-{i}" for i in range(self.deployment.drafting)]

    def servers(self) -> int:
        """How many backend servers there are."""
        return self.deployment.drafting + sum(self.deployment.plain.values())

    async def start(self, policy: str, seed: int) -> None:
        """Start the fleet, and wait until ticket 1 is served everywhere."""
        lab, deployment = self.lab, self.deployment
        lab.entry_settings = {"routing": policy, "callers": _callers()}
        lab.server_settings = {"drafting": {"capacity": CAPACITY}}
        for service, servers in deployment.plain.items():
            # The one server of its kind is the one that reports no load.
            if servers == 1:
                lab.server_settings[service] = {"reports_load": False, "capacity": 32}
        await lab.start_platform()
        digest = lab.publish(*make_weights("drafter", "v1", CHUNKS, CHUNK_BYTES, seed))
        services = deployment.services()
        places = [_place(region) for region in deployment.regions]
        for vm, place in zip(self.entries(), places, strict=True):
            await lab.start_entry(vm, services, **place)
        for index, vm in enumerate(self.engines()):
            await lab.start_engine_vm(vm, "drafting", **places[index % len(places)])
        for service, count in deployment.plain.items():
            for i in range(count):
                vm = f"{service}-{i}"
                await lab.start_plain_vm(vm, service, **places[i % len(places)])
        self._set_costs()
        async with self.session(0) as session:
            await submit(session, first_ticket(lab.folder, digest))
            await wait_in_force(session, 1, deployment.drafting)
        for region in range(len(places)):
            async with self.session(region) as session:
                await wait_serving(session, self.servers())

    def _set_costs(self) -> None:
        pairs = zip(self.lab.engines.values(), self.deployment.speeds(), strict=True)
        for engine, speed in pairs:
            engine.batch = Batch(self.deployment.costs, CAPACITY, speed)
            engine.tokens = TOKENS
        for plain in self.lab.plains.values():
            plain.seconds = PLAIN_SECONDS
            plain.slots = asyncio.Semaphore(PLAIN_SLOTS)

    def session(self, region: int) -> aiohttp.ClientSession:
        """A client session towards the entry of a region."""
        http = self.lab.processes[f"entry-{region}"].http
        connector = aiohttp.TCPConnector(limit=0)
        return aiohttp.ClientSession(f"http://{http}", connector=connector)

    async def drive(self, plan: list[Arrival]) -> list[Seen]:
        """Send every request when it is due; what all callers saw."""
        self.sessions = [self.session(i) for i in range(len(self.deployment.regions))]
        begun = time.monotonic()
        tasks = []
        for arrival in plan:
            await asyncio.sleep(max(0.0, begun + arrival.due - time.monotonic()))
            tasks.append(asyncio.create_task(_send(self.sessions, arrival, begun)))
        seen = await asyncio.gather(*tasks)
        for session in self.sessions:
            await session.close()
        return seen


async def _send(
    sessions: list[aiohttp.ClientSession], arrival: Arrival, begun: float
) -> Seen:
    """One request; the balancer's part is to pass over entries that are down."""
    seen = Seen(arrival)
    for turn in range(len(sessions)):
        session = sessions[(arrival.region + turn) % len(sessions)]
        try:
            await _post(session, seen, begun + arrival.due)
            break
        except aiohttp.ClientConnectorError:
            seen.reason = "NoEntry"
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            seen.reason = type(exc).__name__
            break
    seen.end = time.monotonic() - begun - arrival.due
    return seen


async def _post(session: aiohttp.ClientSession, seen: Seen, due: float) -> None:
    arrival, kind = seen.arrival, seen.arrival.kind
    headers = {
        "authorization": f"Bearer {_token(arrival.organisation)}",
        "idempotency-key": arrival.key,
        "x-deadline-ms": str(int(kind.deadline * 1000)),
    }
    path = f"/v1/services/{kind.service}/{kind.route}"
    limit = aiohttp.ClientTimeout(total=kind.deadline + GRACE_SECONDS)
    body = arrival.body.encode()
    last = 0.0
    async with session.post(path, data=body, headers=headers, timeout=limit) as answer:
        async for line in answer.content:
            now = time.monotonic() - due
            row = orjson.loads(line)
            if "text" in row:
                seen.gaps += [now - last] if seen.first is not None else []
                seen.first = now if seen.first is None else seen.first
                last = now
            elif "outcome" in row:
                seen.outcome, seen.reason = row["outcome"], row.get("reason", "")


Fault = Callable[[_Run], Awaitable[None]]


async def _no_fault(run: _Run) -> None:
    """Nothing fails."""


async def _load_lag(run: _Run) -> None:
    """Every load report is 2 s old."""
    for engine in run.lab.engines.values():
        engine.faults.active["load_lag"] = 2.0


async def _cache_gaps(run: _Run) -> None:
    """Half of the cache events are never told."""
    for engine in run.lab.engines.values():
        engine.faults.active["cache_gaps"] = 0.5


async def _outage(run: _Run) -> None:
    """Every drafting engine answers 503 in the middle third."""
    await asyncio.sleep(run.seconds / 3)
    for engine in run.lab.engines.values():
        engine.faults.active["down"] = 1.0
    await asyncio.sleep(run.seconds / 3)
    for engine in run.lab.engines.values():
        engine.faults.active.pop("down")


async def _freeze(run: _Run) -> None:
    """One drafting agent stops for the middle third, and then goes on."""
    await asyncio.sleep(run.seconds / 3)
    run.lab.processes["draft-0"].freeze()
    await asyncio.sleep(run.seconds / 3)
    run.lab.processes["draft-0"].thaw()


async def _store_down(run: _Run) -> None:
    """Table and membership list are down for the middle third."""
    await asyncio.sleep(run.seconds / 3)
    for standin in (run.lab.table, run.lab.members):
        standin.faults.active["down"] = 1.0
    await asyncio.sleep(run.seconds / 3)
    for standin in (run.lab.table, run.lab.members):
        standin.faults.active.pop("down")


async def _entry_restart(run: _Run) -> None:
    """With the table down, an entry dies and another one starts in its place."""
    await asyncio.sleep(run.seconds / 3)
    run.lab.table.faults.active["down"] = 1.0
    old = run.lab.processes["entry-0"]
    old.kill()
    await old.process.wait()
    begun = time.monotonic()
    services, region = run.deployment.services(), run.deployment.regions[0]
    await run.lab.start_entry("entry-0", services, **_place(region))
    run.notes["started_seconds"] = round(time.monotonic() - begun, 2)
    await run.sessions[0].close()
    run.sessions[0] = run.session(0)
    await wait_serving(run.sessions[0], run.servers())
    run.notes["useful_seconds"] = round(time.monotonic() - begun, 2)
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


async def run_load(
    deployment: str, policy: str, burst: float, fault: str, seconds: float, seed: int
) -> dict:
    """Figures of one run against a fresh fleet."""
    chosen = DEPLOYMENTS[deployment]
    rng = random.Random(f"{seed}/{burst}")
    plan = list(draw_arrivals(chosen, burst, WARM_SECONDS + seconds, rng))
    with tempfile.TemporaryDirectory() as folder:
        run = _Run(chosen, Lab(Path(folder), seed), seconds)
        try:
            await run.start(policy, seed)
            reads: list[int] = []
            watching = asyncio.create_task(_count_reads(run, reads))
            striking = asyncio.create_task(_strike(run, fault))
            seen = await run.drive(plan)
            await striking
            watching.cancel()
        finally:
            codes = await run.lab.close()
        attempts = _attempts(run)
    row = {
        "deployment": deployment,
        "policy": policy,
        "burst": burst,
        "fault": fault,
        "seconds": seconds,
        "seed": seed,
        "capacity": round(chosen.capacity(), 1),
    }
    counted = [s for s in seen if s.arrival.due >= WARM_SECONDS]
    row |= summary(counted, seconds) | _spread(run)
    row["attempts_per_request"] = round(attempts / max(1, len(seen)), 3)
    row["store_reads_per_second"] = round(sum(reads) / max(1, len(reads)), 1)
    row["most_store_reads_in_a_second"] = max(reads, default=0)
    row["notes"] = run.notes
    row["bad_exits"] = {vm: code for vm, code in codes.items() if code}
    return row


async def _count_reads(run: _Run, reads: list[int]) -> None:
    """Append the reads of the table and of the list in each second."""
    while True:
        before = run.lab.table.reads + run.lab.members.reads
        await asyncio.sleep(1.0)
        reads.append(run.lab.table.reads + run.lab.members.reads - before)


async def _strike(run: _Run, fault: str) -> None:
    await asyncio.sleep(WARM_SECONDS)
    await LOAD_FAULTS[fault](run)


def _spread(run: _Run) -> dict:
    engines = [run.lab.engines[vm] for vm in run.engines()]
    runs = [sum(engine.runs.values()) for engine in engines]
    hits = sum(engine.batch.hits for engine in engines)
    misses = sum(engine.batch.misses for engine in engines)
    mean = sum(runs) / len(runs)
    return {
        "busiest_to_mean": round(max(runs) / mean, 3) if mean else 0.0,
        "prefix_hits": round(hits / max(1, hits + misses), 3),
    }


def _attempts(run: _Run) -> int:
    texts = (run.lab.processes[vm].events.read_text() for vm in run.entries())
    return sum(text.count('"attempt.sent"') for text in texts)


def _place(region: str) -> dict[str, str]:
    return {"region": region, "data_centre": f"{region}-1"}


def _token(organisation: str) -> str:
    return f"sample-token-of-{organisation}"


def _callers() -> list[dict]:
    names = [f"org-{index}" for index in range(len(SHARES))]
    return [{"organisation": name, "token": _token(name)} for name in names]
