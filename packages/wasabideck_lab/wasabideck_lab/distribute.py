"""The experiment of a rollout to N replicas, over real agents and paced links."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import sys
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path

import aiohttp
import orjson
from attrs import define, field, frozen
from wasabideck_policy.manifests import Manifest, manifest_to_json

from .demo import submit, wait_serving
from .launcher import Lab
from .process_usage import cpu_seconds
from .toml import to_toml
from .traffic import Traffic
from .weights import make_weights

__all__ = ["POLICIES", "Plan", "Run", "lower_bound", "run_distribute"]

POLICIES = ("swarm", "random", "tree", "origin")
SERVICE = "drafting"
SERVICES = [{"name": SERVICE, "kind": "model"}]
STARTS_AT_ONCE = 12
ENTRIES = 2
# Each engine host serves so many engines; their staging is not what is measured.
ENGINES_PER_HOST = 43
LIVE_PER_SECOND = 40.0
LIMIT_FACTOR = 3.0
LIMIT_SECONDS = 30.0
MEMBERS_LAG_SECONDS = 2.0
# In the time in which a machine's link carries a copy, the origin's carries two and
# a link between regions half of one.
ORIGIN_SHARE = 2.0
REGION_SHARE = 0.5


@frozen
class Plan:
    """One run's parameters.

    Attributes
    ----------
    copy_seconds : float
        Time in which a machine's link carries one copy.
    live_before : float
        Time for which live requests run before the transfer, to compare with.
    kill, corrupt : float
        Share of the agents killed during the transfer, and of the chunks that an
        agent sends with a flipped byte.
    """

    replicas: int
    regions: int = 1
    profile: str = "time"
    policy: str = "swarm"
    seed: int = 1
    chunks: int = 128
    chunk_bytes: int = 32 * 1024
    copy_seconds: float = 16.0
    live_before: float = 8.0
    kill: float = 0.0
    corrupt: float = 0.0

    @property
    def total(self) -> int:
        """Bytes of one copy."""
        return self.chunks * self.chunk_bytes

    @property
    def machine_rate(self) -> float:
        """Bytes per second of a machine's link, each way."""
        return self.total / self.copy_seconds

    @property
    def origin_rate(self) -> float:
        """Bytes per second of the origin's link."""
        return ORIGIN_SHARE * self.machine_rate

    @property
    def region_rate(self) -> float:
        """Bytes per second of the link into a region; 0 when there is one region."""
        return REGION_SHARE * self.machine_rate if self.regions > 1 else 0.0


def lower_bound(plan: Plan) -> float:
    """Seconds below which no plan can bring a copy to every replica."""
    uploads = plan.replicas * plan.machine_rate
    bounds = [
        plan.total / plan.origin_rate,
        plan.total / plan.machine_rate,
        plan.replicas * plan.total / (plan.origin_rate + uploads),
    ]
    if plan.region_rate:
        bounds.append(plan.total / plan.region_rate)
    return max(bounds)


@define
class Run:
    """A fleet in which one rollout is measured."""

    plan: Plan
    lab: Lab
    traffic: Traffic
    rng: random.Random
    manifest: Manifest
    children: list = field(factory=list)
    engine_hosts: list[str] = field(factory=list)
    killed: set[str] = field(factory=set)
    vms: list[str] = field(factory=list)

    def region(self, index: int) -> str:
        """Region of the VM of that index."""
        return f"region-{index % self.plan.regions + 1}"


async def run_distribute(plan: Plan) -> dict:
    """Start the fleet, roll a version out, and measure it; one JSON object."""
    with tempfile.TemporaryDirectory() as folder:
        run = _make(plan, Path(folder))
        try:
            await _start(run)
            return await _measure(run)
        finally:
            await _close(run)


def _make(plan: Plan, folder: Path) -> Run:
    lab = Lab(folder, plan.seed, plan.origin_rate)
    manifest, chunks = make_weights(
        "drafter", "v2", plan.chunks, plan.chunk_bytes, plan.seed
    )
    lab.publish(manifest, chunks)
    rng = random.Random(f"{plan.seed}/distribute")

    def entries() -> list[str]:
        return [p.http for vm, p in lab.processes.items() if vm.startswith("entry")]

    return Run(plan, lab, Traffic(entries, rng), rng, manifest)


async def _start(run: Run) -> None:
    plan, lab = run.plan, run.lab
    await lab.start_platform()
    lab.members.faults.active["lag"] = MEMBERS_LAG_SECONDS
    first = lab.publish(*make_weights("drafter", "v1", 2, 1024, plan.seed))
    for index in range(ENTRIES):
        await lab.start_entry(f"entry-{index + 1}", SERVICES, region="region-1")
    run.vms = [f"draft-{index + 1:04d}" for index in range(plan.replicas)]
    urls = await _start_engines(run)
    turns = asyncio.Semaphore(STARTS_AT_ONCE)
    program = _corrupting(plan.corrupt) if plan.corrupt else ()

    async def start(index: int, vm: str) -> None:
        async with turns:
            settings = _agent_settings(plan, urls[vm])
            await lab.start_agent(vm, settings, program, region=run.region(index))

    await asyncio.gather(*(start(i, vm) for i, vm in enumerate(run.vms)))
    _say(f"{len(run.vms)} agents run")
    await _submit(run, 1, "v1", first)
    await _wait(run, lambda: len(_rows(run, 1)) == plan.replicas, 60.0, "v1")


def _corrupting(share: float) -> tuple[str, ...]:
    return (sys.executable, "-m", "wasabideck_lab.faulty_agent", str(share))


def _agent_settings(plan: Plan, url: str) -> dict:
    return {
        "platform": {"poll_seconds": 2.0, "timeout_seconds": 10.0},
        "server": {"service": SERVICE, "url": url, "reports_load": False},
        "weights": {
            "profile": plan.profile,
            "policy": plan.policy,
            "link_rate": plan.machine_rate,
            "region_rate": plan.region_rate,
            "origin_region": "region-1" if plan.regions > 1 else "",
        },
    }


async def _start_engines(run: Run) -> dict[str, str]:
    """Start the hosts of the engines' stand-ins; the engine's address by VM."""
    manifests = {
        digest: manifest_to_json(manifest).decode()
        for digest, manifest in run.lab.manifests.items()
    }
    urls = {}
    for begin in range(0, len(run.vms), ENGINES_PER_HOST):
        vms = run.vms[begin : begin + ENGINES_PER_HOST]
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wasabideck_lab.engine_host",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
        )
        run.children.append(child)
        child.stdin.write(orjson.dumps({"vms": vms, "manifests": manifests}) + b"\n")
        ready = orjson.loads(await child.stdout.readline())["ready"]
        run.engine_hosts.append(ready["url"])
        urls |= {vm: f"{ready['url']}/{vm}" for vm in vms}
    return urls


async def _submit(run: Run, number: int, version: str, digest: str) -> None:
    change = {
        "scope": SERVICE,
        "model": "drafter",
        "version": version,
        "manifest": digest,
    }
    path = run.lab.folder / f"ticket-{number}.toml"
    path.write_text(to_toml({"number": number, "note": version, "change": [change]}))
    entry = run.lab.processes["entry-1"]
    async with aiohttp.ClientSession(f"http://{entry.http}") as session:
        await submit(session, path)


async def _measure(run: Run) -> dict:
    for vm in [vm for vm in run.lab.processes if vm.startswith("entry")]:
        address = f"http://{run.lab.processes[vm].http}"
        async with aiohttp.ClientSession(address) as session:
            await wait_serving(session, run.plan.replicas)
    live = asyncio.create_task(_live(run))
    await asyncio.sleep(run.plan.live_before)
    before = await _link_bytes(run)
    cpu = _cpu_seconds(run)
    # Wall and monotonic time of one moment: events carry the one, requests the other.
    accepted, accepted_monotonic = time.time(), time.monotonic()
    await _submit(run, 2, "v2", run.manifest.digest)
    faults = asyncio.create_task(_strike(run))
    bound = lower_bound(run.plan)
    limit = (
        LIMIT_FACTOR * bound * (1 + run.plan.replicas * (run.plan.policy == "origin"))
    )
    finished = await _wait_verified(run, limit + LIMIT_SECONDS)
    live.cancel()
    await faults
    times = _verified(run)
    last = max(times.values(), default=math.nan)
    cpu = (_cpu_seconds(run) - cpu) / (time.time() - accepted)
    after = await _link_bytes(run)
    in_force = await _wait_in_force(run) if finished else 0.0
    begun = _begun(run)
    links = {vm: _grown(before.get(vm), row) for vm, row in after.items()}
    copies = [(row["up"] + row["down"]) / run.plan.total for row in links.values()]
    ended = last if finished else time.time()
    window = (accepted_monotonic, accepted_monotonic + ended - accepted)
    return {
        "policy": run.plan.policy,
        "profile": run.plan.profile,
        "replicas": run.plan.replicas,
        "regions": run.plan.regions,
        "seed": run.plan.seed,
        "chunks": run.plan.chunks,
        "chunk_bytes": run.plan.chunk_bytes,
        "kill": run.plan.kill,
        "corrupt": run.plan.corrupt,
        "finished": finished,
        "verified": len(times),
        "time_to_n_s": round(last - begun, 3) if finished else None,
        "accepted_to_n_s": round(last - accepted, 3) if finished else None,
        "in_force_s": round(in_force - accepted, 3) if in_force else None,
        "lower_bound_s": round(bound, 3),
        "ratio": round((last - begun) / bound, 3) if finished else None,
        "origin_copies": round(_origin_copies(run), 3),
        "inter_region_copies": round(_region_copies(run), 3),
        "max_machine_link_copies": round(max(copies), 3),
        "max_machine_up_copies": round(
            max(row["up"] for row in links.values()) / run.plan.total, 3
        ),
        "live_p99_ratio": _p99_ratio(run, window),
        "live_refused": dict(
            Counter(r.reason for r in run.traffic.results if r.outcome != "answered")
        ),
        "live": len(run.traffic.results),
        "agents_cores": round(cpu, 2),
        "asks_per_chunk": _per_chunk(run, "asks"),
        "refusals_per_chunk": _per_chunk(run, "refusals"),
        "mixed": await _mixed(run),
        "curve": sorted(round(at - begun, 3) for at in times.values()),
    }


def _limit(plan: Plan) -> float:
    """Seconds after which a run is given up.

    From the origin alone 64 replicas would take 32 times the bound.
    """
    return max(LIMIT_FACTOR * lower_bound(plan), LIMIT_SECONDS)


async def _live(run: Run) -> None:
    """Send live requests at a steady rate until cancelled."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for index in range(1 << 30):
            send = run.traffic.send(session, SERVICE, "brief", f"{index}", f"k-{index}")
            group.create_task(send)
            await asyncio.sleep(1 / LIVE_PER_SECOND)


async def _strike(run: Run) -> None:
    """Kill the plan's share of the agents, over the middle of the transfer."""
    count = round(run.plan.kill * run.plan.replicas)
    span = lower_bound(run.plan)
    victims = run.rng.sample(run.vms, count)
    moments = sorted(run.rng.uniform(0.1, 0.7) * span for _ in victims)
    begun = time.monotonic()
    for vm, moment in zip(victims, moments, strict=True):
        await asyncio.sleep(max(0.0, begun + moment - time.monotonic()))
        run.killed.add(vm)
        run.lab.processes[vm].kill()
        run.lab.members.remove(vm)
        _say(f"killed {vm}")


async def _wait_verified(run: Run, seconds: float) -> bool:
    victims = round(run.plan.kill * run.plan.replicas)
    last = -1

    def done() -> bool:
        nonlocal last
        found = len(_verified(run))
        if found != last:
            _say(f"{found} of {run.plan.replicas} verified")
        last = found
        alive = run.plan.replicas - len(run.killed)
        return found >= alive and len(run.killed) == victims

    return await _wait(run, done, seconds, "", 1.0)


async def _wait_in_force(run: Run) -> float:
    """Wall time at which the last VM's engine served; 0 if some did not."""
    alive = set(run.vms) - run.killed

    def done() -> bool:
        rows = _rows(run, 2)
        return all(vm in rows and rows[vm]["in_force"] for vm in alive)

    if not await _wait(run, done, LIMIT_SECONDS, "", 0.2):
        return 0.0
    return max(row["in_force"] for row in _rows(run, 2).values())


async def _wait(run: Run, done, seconds: float, what: str, step: float = 0.2) -> bool:
    limit = time.monotonic() + seconds
    while not done():
        if time.monotonic() > limit:
            if what:
                raise TimeoutError(what)
            return False
        await asyncio.sleep(step)
    return True


def _rows(run: Run, ticket: int) -> dict[str, dict]:
    """Delivery rows of a ticket, by VM."""
    rows = run.lab.table.rows.get("deliveries", {}).values()
    return {row["vm"]: row for row in rows if row["ticket"] == ticket}


def _verified(run: Run) -> dict[str, float]:
    """Wall time at which each living VM had verified version 2."""
    return _when(run, "transfer.verified")


def _begun(run: Run) -> float:
    """Wall time at which the first living VM began its transfer of version 2."""
    return min(_when(run, "transfer.begun").values())


def _when(run: Run, kind: str) -> dict[str, float]:
    """Wall time of an event of ticket 2 at each living VM."""
    rows = _events(run, kind)
    return {row["vm"]: row["timestamp"] for row in rows if row["ticket"] == 2}


def _per_chunk(run: Run, what: str) -> float:
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


async def _link_bytes(run: Run) -> dict[str, dict[str, float]]:
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


def _cpu_seconds(run: Run) -> float:
    """Processor time that the living agents have used."""
    alive = set(run.vms) - run.killed
    return sum(cpu_seconds(run.lab.processes[vm].process.pid) for vm in alive)


def _grown(before: dict | None, after: dict) -> dict:
    before = before or defaultdict(float)
    return {name: after[name] - before[name] for name in ("up", "down", "region")}


def _origin_copies(run: Run) -> float:
    reads = run.lab.weights.chunk_reads
    return sum(reads[digest] for digest in run.manifest.chunks) / run.plan.chunks


def _region_copies(run: Run) -> float:
    """Copies that the busiest link between two regions carried, by the reports."""
    region = {vm: run.region(index) for index, vm in enumerate(run.vms)}
    carried: dict[tuple[str, str], int] = defaultdict(int)
    for vm, row in _rows(run, 2).items():
        for source, size in row["sources"].items():
            begin = region.get(source, "region-1")
            if begin != region[vm]:
                carried[begin, region[vm]] += size
    return max(carried.values(), default=0) / run.plan.total


def _p99_ratio(run: Run, window: tuple[float, float]) -> float | None:
    begin, end = window
    results = run.traffic.results
    before = [r.seconds for r in results if r.begun + r.seconds < begin]
    during = [r.seconds for r in results if begin <= r.begun <= end]
    if not before or not during:
        return None
    return round(_p99(during) / _p99(before), 3)


def _p99(values: list[float]) -> float:
    return sorted(values)[math.ceil(0.99 * len(values)) - 1]


async def _mixed(run: Run) -> int:
    """Partial or mixed models that the engines' stand-ins were ordered to load."""
    mixed = 0
    async with aiohttp.ClientSession() as session:
        for url in run.engine_hosts:
            async with session.get(f"{url}/books") as answer:
                books = await answer.json()
            mixed += sum(row["mixed"] for row in books.values())
    return mixed


async def _close(run: Run) -> None:
    for vm in set(run.vms) & run.lab.processes.keys() - run.killed:
        with contextlib.suppress(ProcessLookupError):
            run.lab.processes[vm].kill()
    await run.lab.close()
    for child in run.children:
        child.terminate()
        await child.wait()


def _say(text: str) -> None:
    print(f"distribute: {text}", file=sys.stderr, flush=True)
