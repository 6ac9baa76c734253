"""The main job on an embedded default: one rollout, two answers, one report."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import aiohttp
import orjson
from attrs import frozen
from wasabideck_base.vocabulary import KINDS
from wasabideck_entry.show import show_report
from wasabideck_entry.timeline import merge_events, show_timeline

from .launcher import CALLER_TOKEN, OPERATOR_TOKEN, Lab
from .toml import to_toml
from .weights import make_weights

__all__ = ["DemoFailed", "Session", "run_demo", "run_session"]

CHUNKS = 64
CHUNK_BYTES = 16 * 1024
IN_FORCE_SECONDS = 20.0
FED = {
    "entry-1": (
        'wasabideck_requests_total{outcome="Answered",service="drafting"} 1',
        'wasabideck_requests_total{outcome="Answered",service="orders"} 1',
        "wasabideck_ticket_seen 1",
        "wasabideck_requests_in_progress ",
    ),
    "draft-1": (
        "wasabideck_ticket_in_force 1",
        "wasabideck_transferred_bytes_total{",
        "wasabideck_weight_link_bytes_total{",
    ),
    "draft-2": ("wasabideck_ticket_in_force 1",),
    "order-1": ('wasabideck_claims_total{verdict="run"} 1',),
}
ORDER_KEY = "order-77"
SERVICES = [
    {"name": "drafting", "kind": "model"},
    {
        "name": "orders",
        "kind": "plain",
        "repeatable": False,
        "repeatable_routes": ["status"],
        "priority": 0,
    },
]


class DemoFailed(Exception):
    """Something in the demo's session was not as promised."""


@frozen
class Session:
    """What the demo's session gave."""

    ticket: dict
    report: list[dict]
    draft: list[dict]
    order: list[dict]
    events: list[Path]
    exit_codes: dict[str, int]
    order_runs: dict[str, int]
    metrics: dict[str, str]


async def run_session(folder: Path) -> Session:
    """The whole path in separate processes: rollout, draft, order, report."""
    lab = Lab(folder)
    await lab.start_platform()
    digest = lab.publish(*make_weights("drafter", "v1", CHUNKS, CHUNK_BYTES, 0))
    try:
        entry = await lab.start_entry("entry-1", SERVICES)
        await asyncio.gather(
            lab.start_engine_vm("draft-1", "drafting"),
            lab.start_engine_vm("draft-2", "drafting"),
            lab.start_plain_vm("order-1", "orders"),
        )
        async with aiohttp.ClientSession(f"http://{entry.http}") as session:
            ticket = await submit(session, first_ticket(folder, digest))
            report = await wait_in_force(session, 1, 2)
            await wait_serving(session, 3)
            draft = await call(session, "drafting", "brief", "a banner for the fair")
            order = await call(session, "orders", "print", "20 banners", ORDER_KEY)
            metrics = {vm: await scrape(p.http) for vm, p in lab.processes.items()}
    finally:
        codes = await lab.close()
    events = [process.events for process in lab.processes.values()]
    runs = dict(lab.plains["order-1"].runs)
    return Session(ticket, report, draft, order, events, codes, runs, metrics)


def wrong_in(session: Session) -> list[str]:
    """What is not as promised in a session; empty when all is."""
    merged = merge_events(str(path) for path in session.events)
    kinds = {event["message_type"] for event in merged.events}
    bytes_got = [sum(row["sources"].values()) for row in session.report]
    words = "".join(line.get("text", "") for line in session.draft).split()
    found = {
        f"exit codes {session.exit_codes}": any(session.exit_codes.values()),
        f"bytes received {bytes_got}": set(bytes_got) != {CHUNKS * CHUNK_BYTES},
        f"draft {words}": {word.split("-")[1] for word in words} != {"v1"},
        f"draft's end {session.draft[-1]}": not _answered(session.draft),
        f"order's end {session.order[-1]}": not _answered(session.order),
        f"runs of the order {session.order_runs}": session.order_runs != {ORDER_KEY: 1},
        f"unreadable events {merged.unreadable}": bool(merged.unreadable),
        f"unknown events {kinds - KINDS.keys()}": not kinds <= KINDS.keys(),
        f"metrics not fed {_unfed(session.metrics)}": bool(_unfed(session.metrics)),
    }
    return [what for what, wrong in found.items() if wrong]


def _unfed(metrics: dict[str, str]) -> list[str]:
    """Samples that the session must have left, and did not."""
    return [
        f"{vm}: {sample}"
        for vm, samples in FED.items()
        for sample in samples
        if sample not in metrics[vm]
    ]


async def scrape(address: str) -> str:
    """Metrics of a process, as Prometheus reads them."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/metrics") as answer,
    ):
        return await answer.text()


def _answered(lines: list[dict]) -> bool:
    return lines[-1].get("outcome") == "answered"


def first_ticket(folder: Path, digest: str) -> Path:
    """The file of ticket 1: drafter v1 on every drafting server."""
    change = {
        "scope": "drafting",
        "model": "drafter",
        "version": "v1",
        "manifest": digest,
    }
    path = folder / "ticket-1.toml"
    path.write_text(to_toml({"number": 1, "note": "first", "change": [change]}))
    return path


async def submit(session: aiohttp.ClientSession, file: Path) -> dict:
    """Submit a ticket; raises ``DemoFailed`` unless it is accepted."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}", "x-source": file.name}
    req = session.post("/v1/tickets", data=file.read_bytes(), headers=headers)
    async with req as answer:
        if answer.status != 200:
            raise DemoFailed(f"ticket refused: {await answer.text()}")
        return await answer.json()


async def wait_in_force(
    session: aiohttp.ClientSession, number: int, vms: int
) -> list[dict]:
    """The report, once a ticket is in force on so many VMs."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    limit = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < limit:
        async with session.get("/v1/report", headers=headers) as answer:
            report = await answer.json()
        if sum(r["ticket"] == number and r["in_force"] > 0 for r in report) == vms:
            return report
        await asyncio.sleep(0.1)
    raise DemoFailed(f"ticket {number} is not in force on {vms} VMs: {report}")


async def wait_serving(session: aiohttp.ClientSession, servers: int) -> None:
    """Wait until an entry knows that so many servers serve."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    limit = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < limit:
        async with session.get("/v1/fleet", headers=headers) as answer:
            fleet = await answer.json()
        if sum(server["serving"] for server in fleet) == servers:
            return
        await asyncio.sleep(0.05)
    raise DemoFailed(f"{servers} servers do not serve: {fleet}")


async def call(
    session: aiohttp.ClientSession,
    service: str,
    route: str,
    body: str,
    key: str = "",
) -> list[dict]:
    """Lines of one whole answer; raises ``DemoFailed`` on any other."""
    headers = {"authorization": f"Bearer {CALLER_TOKEN}", "idempotency-key": key}
    path = f"/v1/services/{service}/{route}"
    async with session.post(path, data=body.encode(), headers=headers) as answer:
        data = await answer.read()
    if answer.status != 200:
        raise DemoFailed(f"{service}/{route}: {answer.status} {data!r}")
    return [orjson.loads(line) for line in data.splitlines()]


def run_demo() -> int:
    """Run the session and print its report and time line; the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        session = asyncio.run(run_session(Path(folder)))
        print("== report: who got which weights, when, and from where")
        show_report(session.report)
        print("== time line")
        show_timeline([str(path) for path in session.events], json=False)
        wrong = wrong_in(session)
    print("== answers")
    print("".join(line.get("text", "") for line in session.draft).strip())
    print("".join(line.get("text", "") for line in session.order))
    for what in wrong:
        print(f"wrong: {what}")
    return 1 if wrong else 0
