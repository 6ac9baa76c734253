"""The experiment of a rollout to N replicas, over real agents and paced links."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp
import orjson
from wasabideck_policy.manifests import manifest_to_json

from .demo import submit
from .launcher import OPERATOR_TOKEN, Lab
from .rollout import Plan, Run, lower_bound
from .rollout_books import (
    begun_at,
    delivery_rows,
    fleet_cpu_seconds,
    grown,
    link_bytes,
    mixed_models,
    origin_copies,
    p99_ratio,
    per_chunk,
    region_copies,
    verified_at,
)
from .toml import to_toml
from .traffic import Traffic
from .weights import make_weights

__all__ = ["POLICIES", "run_distribute"]

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
KNOWN_SECONDS = 20.0
MEMBERS_LAG_SECONDS = 2.0


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
    await _wait(run, lambda: len(delivery_rows(run, 1)) == plan.replicas, 60.0, "v1")


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
    for process in [p for vm, p in run.lab.processes.items() if "entry" in vm]:
        await _wait_known(f"http://{process.http}")
    live = asyncio.create_task(_live(run))
    await asyncio.sleep(run.plan.live_before)
    before = await link_bytes(run)
    cpu = fleet_cpu_seconds(run)
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
    times = verified_at(run)
    last = max(times.values(), default=math.nan)
    cpu = (fleet_cpu_seconds(run) - cpu) / (time.time() - accepted)
    after = await link_bytes(run)
    in_force = await _wait_in_force(run) if finished else 0.0
    begun = begun_at(run)
    links = {vm: grown(before.get(vm), row) for vm, row in after.items()}
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
        "origin_copies": round(origin_copies(run), 3),
        "inter_region_copies": round(region_copies(run), 3),
        "max_machine_link_copies": round(max(copies), 3),
        "max_machine_up_copies": round(
            max(row["up"] for row in links.values()) / run.plan.total, 3
        ),
        "live_p99_ratio": p99_ratio(run, window),
        "live_refused": dict(
            Counter(r.reason for r in run.traffic.results if r.outcome != "answered")
        ),
        "live": len(run.traffic.results),
        "agents_cores": round(cpu, 2),
        "asks_per_chunk": per_chunk(run, "asks"),
        "refusals_per_chunk": per_chunk(run, "refusals"),
        "mixed": await mixed_models(run),
        "curve": sorted(round(at - begun, 3) for at in times.values()),
    }


async def _wait_known(entry: str) -> None:
    """Wait until all servers that an entry uses serve; it may use a subset."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    limit = time.monotonic() + KNOWN_SECONDS
    async with aiohttp.ClientSession(entry) as session:
        while time.monotonic() < limit:
            async with session.get("/v1/fleet", headers=headers) as answer:
                fleet = await answer.json()
            if fleet and all(server["serving"] for server in fleet):
                return
            await asyncio.sleep(0.05)
    raise TimeoutError(f"{entry} knows of servers that do not serve")


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
        found = len(verified_at(run))
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
        rows = delivery_rows(run, 2)
        return all(vm in rows and rows[vm]["in_force"] for vm in alive)

    if not await _wait(run, done, LIMIT_SECONDS, "", 0.2):
        return 0.0
    return max(row["in_force"] for row in delivery_rows(run, 2).values())


async def _wait(run: Run, done, seconds: float, what: str, step: float = 0.2) -> bool:
    limit = time.monotonic() + seconds
    while not done():
        if time.monotonic() > limit:
            if what:
                raise TimeoutError(what)
            return False
        await asyncio.sleep(step)
    return True


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
