"""Experiment: a rollout to N replicas, with real agents and rate-limited links."""

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

from .caller_traffic import Traffic
from .demo import submit_ticket
from .lab_fleet import OPERATOR_TOKEN, LabFleet
from .random_weights import generate_weights
from .rollout import Plan, Run, lower_bound
from .rollout_measurements import (
    byte_increase,
    count_per_chunk,
    delivery_rows,
    first_transfer_started_at,
    fleet_cpu_seconds,
    link_bytes,
    mixed_models,
    origin_copies,
    p99_ratio,
    region_copies,
    verified_at,
)
from .toml_writer import to_toml

__all__ = ["DISTRIBUTION_POLICIES", "run_distribute"]

DISTRIBUTION_POLICIES = ("swarm", "random", "tree", "origin")
SERVICE = "drafting"
SERVICES = [{"name": SERVICE, "kind": "model"}]
MAX_CONCURRENT_STARTS = 12
ENTRY_COUNT = 2
# Engines per engine host process. They share processes because their staging is not
# part of the measurement.
ENGINES_PER_HOST = 43
LIVE_REQUESTS_PER_SECOND = 40.0
MAX_TIME_TO_BOUND_RATIO = 3.0
MIN_TIME_LIMIT_SECONDS = 30.0
MAX_DISCOVERY_SECONDS = 20.0
MEMBERS_LAG_SECONDS = 2.0


async def run_distribute(plan: Plan) -> dict:
    """Start a fleet, roll out a version, and return the measurements as one row."""
    with tempfile.TemporaryDirectory() as folder:
        run = _create_run(plan, Path(folder))
        try:
            await _start_fleet(run)
            return await _measure(run)
        finally:
            await _shut_down(run)


def _create_run(plan: Plan, folder: Path) -> Run:
    lab = LabFleet(folder, plan.seed, plan.origin_rate)
    manifest, chunks = generate_weights(
        "drafter", "v2", plan.chunks, plan.chunk_bytes, plan.seed
    )
    lab.publish(manifest, chunks)
    rng = random.Random(f"{plan.seed}/distribute")

    def entries() -> list[str]:
        return [
            p.http_address for vm, p in lab.processes.items() if vm.startswith("entry")
        ]

    return Run(plan, lab, Traffic(entries, rng), rng, manifest)


async def _start_fleet(run: Run) -> None:
    plan, lab = run.plan, run.lab
    await lab.start_platform()
    lab.members.faults.active["lag"] = MEMBERS_LAG_SECONDS
    first = lab.publish(*generate_weights("drafter", "v1", 2, 1024, plan.seed))
    for index in range(ENTRY_COUNT):
        await lab.start_entry(f"entry-{index + 1}", SERVICES, region="region-1")
    run.vms = [f"draft-{index + 1:04d}" for index in range(plan.replicas)]
    urls = await _start_engines(run)
    start_slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
    command = _corrupting_agent_command(plan.corrupt) if plan.corrupt else ()

    async def start(index: int, vm: str) -> None:
        async with start_slots:
            settings = _agent_settings(plan, urls[vm])
            await lab.start_agent(vm, settings, command, region=run.region_of(index))

    await asyncio.gather(*(start(i, vm) for i, vm in enumerate(run.vms)))
    _log(f"{len(run.vms)} agents started")
    await _submit(run, 1, "v1", first)
    await _wait_until(
        run, lambda: len(delivery_rows(run, 1)) == plan.replicas, 60.0, "v1"
    )


def _corrupting_agent_command(fraction: float) -> tuple[str, ...]:
    return (sys.executable, "-m", "wasabideck_lab.faulty_agent", str(fraction))


def _agent_settings(plan: Plan, url: str) -> dict:
    return {
        "platform": {"poll_seconds": 2.0, "timeout_seconds": 10.0},
        "server": {"service": SERVICE, "url": url, "reports_load": False},
        "weights": {
            "profile": plan.profile,
            "policy": plan.policy,
            "link_rate": plan.vm_link_rate,
            "region_rate": plan.region_rate,
            "origin_region": "region-1" if plan.regions > 1 else "",
        },
    }


async def _start_engines(run: Run) -> dict[str, str]:
    """Start the processes of the engine stand-ins; return each engine's URL by VM."""
    manifests = {
        digest: manifest_to_json(manifest).decode()
        for digest, manifest in run.lab.manifests.items()
    }
    urls = {}
    for first_index in range(0, len(run.vms), ENGINES_PER_HOST):
        vms = run.vms[first_index : first_index + ENGINES_PER_HOST]
        host_process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wasabideck_lab.engine_host",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 24,
        )
        run.engine_host_processes.append(host_process)
        host_process.stdin.write(
            orjson.dumps({"vms": vms, "manifests": manifests}) + b"\n"
        )
        ready = orjson.loads(await host_process.stdout.readline())["ready"]
        run.engine_host_urls.append(ready["url"])
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
    async with aiohttp.ClientSession(f"http://{entry.http_address}") as session:
        await submit_ticket(session, path)


async def _measure(run: Run) -> dict:
    for process in [p for vm, p in run.lab.processes.items() if "entry" in vm]:
        await _wait_until_serving(f"http://{process.http_address}")
    live_traffic = asyncio.create_task(_send_live_requests(run))
    await asyncio.sleep(run.plan.baseline_seconds)
    before = await link_bytes(run)
    cpu_cores = fleet_cpu_seconds(run)
    # Wall and monotonic time of the same moment: events contain wall times, and request
    # results contain monotonic times.
    accepted, accepted_monotonic = time.time(), time.monotonic()
    await _submit(run, 2, "v2", run.manifest.digest)
    kill_task = asyncio.create_task(_kill_agents(run))
    bound = lower_bound(run.plan)
    finished = await _wait_verified(run, _time_limit_seconds(run.plan))
    live_traffic.cancel()
    await kill_task
    verified_times = verified_at(run)
    last_verified = max(verified_times.values(), default=math.nan)
    cpu_cores = (fleet_cpu_seconds(run) - cpu_cores) / (time.time() - accepted)
    after = await link_bytes(run)
    in_effect_at = await _wait_in_effect(run) if finished else 0.0
    started = first_transfer_started_at(run)
    links = {vm: byte_increase(before.get(vm), row) for vm, row in after.items()}
    copies = [(row["up"] + row["down"]) / run.plan.copy_bytes for row in links.values()]
    end_wall_time = last_verified if finished else time.time()
    window = (accepted_monotonic, accepted_monotonic + end_wall_time - accepted)
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
        "verified": len(verified_times),
        "time_to_n_s": round(last_verified - started, 3) if finished else None,
        "accepted_to_n_s": round(last_verified - accepted, 3) if finished else None,
        "in_force_s": round(in_effect_at - accepted, 3) if in_effect_at else None,
        "lower_bound_s": round(bound, 3),
        "ratio": round((last_verified - started) / bound, 3) if finished else None,
        "origin_copies": round(origin_copies(run), 3),
        "inter_region_copies": round(region_copies(run), 3),
        "max_machine_link_copies": round(max(copies), 3),
        "max_machine_up_copies": round(
            max(row["up"] for row in links.values()) / run.plan.copy_bytes, 3
        ),
        "live_p99_ratio": p99_ratio(run, window),
        "live_refused": dict(
            Counter(r.reason for r in run.traffic.results if r.outcome != "answered")
        ),
        "live": len(run.traffic.results),
        "agents_cores": round(cpu_cores, 2),
        "asks_per_chunk": count_per_chunk(run, "asks"),
        "refusals_per_chunk": count_per_chunk(run, "refusals"),
        "mixed": await mixed_models(run),
        "curve": sorted(round(at - started, 3) for at in verified_times.values()),
    }


async def _wait_until_serving(entry: str) -> None:
    """Wait until all servers that an entry uses are serving; it may use a subset."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    deadline = time.monotonic() + MAX_DISCOVERY_SECONDS
    async with aiohttp.ClientSession(entry) as session:
        while time.monotonic() < deadline:
            async with session.get("/v1/fleet", headers=headers) as response:
                fleet = await response.json()
            if fleet and all(server["serving"] for server in fleet):
                return
            await asyncio.sleep(0.05)
    raise TimeoutError(f"{entry} still knows servers that are not serving")


def _time_limit_seconds(plan: Plan) -> float:
    """Return the seconds after which a run is aborted.

    Without this limit, a rollout to 64 replicas from the origin alone would take 32
    times the lower bound.
    """
    return max(MAX_TIME_TO_BOUND_RATIO * lower_bound(plan), MIN_TIME_LIMIT_SECONDS)


async def _send_live_requests(run: Run) -> None:
    """Send live requests at a constant rate until cancelled."""
    async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
        for index in range(1 << 30):
            send = run.traffic.send(session, SERVICE, "brief", f"{index}", f"k-{index}")
            group.create_task(send)
            await asyncio.sleep(1 / LIVE_REQUESTS_PER_SECOND)


async def _kill_agents(run: Run) -> None:
    """Kill the plan's fraction of the agents, over the middle of the transfer."""
    count = round(run.plan.kill * run.plan.replicas)
    bound = lower_bound(run.plan)
    victims = run.rng.sample(run.vms, count)
    kill_delays = sorted(run.rng.uniform(0.1, 0.7) * bound for _ in victims)
    started = time.monotonic()
    for vm, delay in zip(victims, kill_delays, strict=True):
        await asyncio.sleep(max(0.0, started + delay - time.monotonic()))
        run.killed.add(vm)
        run.lab.processes[vm].kill()
        run.lab.members.remove_member(vm)
        _log(f"killed {vm}")


async def _wait_verified(run: Run, seconds: float) -> bool:
    victim_count = round(run.plan.kill * run.plan.replicas)
    last_logged = -1

    def condition() -> bool:
        nonlocal last_logged
        found = len(verified_at(run))
        if found != last_logged:
            _log(f"{found} of {run.plan.replicas} verified")
        last_logged = found
        running = run.plan.replicas - len(run.killed)
        return found >= running and len(run.killed) == victim_count

    return await _wait_until(run, condition, seconds, "", 1.0)


async def _wait_in_effect(run: Run) -> float:
    """Return the wall time at which the last engine served version 2.

    Returns 0 if some engine doesn't serve it in time.
    """
    running = set(run.vms) - run.killed

    def condition() -> bool:
        rows = delivery_rows(run, 2)
        return all(vm in rows and rows[vm]["in_force"] for vm in running)

    if not await _wait_until(run, condition, MIN_TIME_LIMIT_SECONDS, "", 0.2):
        return 0.0
    return max(row["in_force"] for row in delivery_rows(run, 2).values())


async def _wait_until(
    run: Run, condition, seconds: float, error_text: str, interval: float = 0.2
) -> bool:
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            if error_text:
                raise TimeoutError(error_text)
            return False
        await asyncio.sleep(interval)
    return True


async def _shut_down(run: Run) -> None:
    for vm in set(run.vms) & run.lab.processes.keys() - run.killed:
        with contextlib.suppress(ProcessLookupError):
            run.lab.processes[vm].kill()
    await run.lab.close()
    for host_process in run.engine_host_processes:
        host_process.terminate()
        await host_process.wait()


def _log(text: str) -> None:
    print(f"distribute: {text}", file=sys.stderr, flush=True)
