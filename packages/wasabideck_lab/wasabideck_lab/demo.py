"""Runs a demo on a built-in fleet: one rollout, two requests and one report."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path

import aiohttp
import orjson
from attrs import frozen
from wasabideck_base.event_kinds import EVENT_KINDS
from wasabideck_entry.operator_output import print_deliveries
from wasabideck_entry.timeline import merge_events, print_timeline

from .lab_fleet import CALLER_TOKEN, OPERATOR_TOKEN, LabFleet
from .random_weights import generate_weights
from .toml_writer import to_toml

__all__ = ["DemoFailed", "SessionResult", "run_demo", "run_session"]

CHUNKS = 64
CHUNK_BYTES = 16 * 1024
IN_EFFECT_TIMEOUT_SECONDS = 20.0
# Metric samples that each process must have after the session.
EXPECTED_SAMPLES = {
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
    """The demo's session did not run as expected."""


@frozen
class SessionResult:
    """Results of the demo's session.

    Attributes
    ----------
    ticket : dict
        Response to the submitted ticket.
    report : list of dict
        Rows of the report, once the ticket is in effect.
    draft, order : list of dict
        Lines of the responses to the two requests.
    events : list of Path
        Event files of all processes.
    exit_codes, metrics : dict
        Exit code and metrics of each process, by VM.
    order_runs : dict
        How often the plain service ran each idempotency key.
    """

    ticket: dict
    report: list[dict]
    draft: list[dict]
    order: list[dict]
    events: list[Path]
    exit_codes: dict[str, int]
    order_runs: dict[str, int]
    metrics: dict[str, str]


async def run_session(folder: Path) -> SessionResult:
    """Run the rollout, a draft and an order in separate processes."""
    lab = LabFleet(folder)
    await lab.start_platform()
    digest = lab.publish(*generate_weights("drafter", "v1", CHUNKS, CHUNK_BYTES, 0))
    try:
        entry = await lab.start_entry("entry-1", SERVICES)
        await asyncio.gather(
            lab.start_engine_vm("draft-1", "drafting"),
            lab.start_engine_vm("draft-2", "drafting"),
            lab.start_plain_service_vm("order-1", "orders"),
        )
        async with aiohttp.ClientSession(f"http://{entry.http_address}") as session:
            ticket = await submit_ticket(session, write_first_ticket(folder, digest))
            report = await wait_in_effect(session, 1, 2)
            await wait_serving(session, 3)
            draft = await call_service(
                session, "drafting", "brief", "a banner for the fair"
            )
            order = await call_service(
                session, "orders", "print", "20 banners", ORDER_KEY
            )
            metrics = {
                vm: await fetch_metrics(p.http_address)
                for vm, p in lab.processes.items()
            }
    finally:
        codes = await lab.close()
    events = [process.events_path for process in lab.processes.values()]
    runs = dict(lab.plain_services["order-1"].runs_by_key)
    return SessionResult(ticket, report, draft, order, events, codes, runs, metrics)


def find_deviations(session: SessionResult) -> list[str]:
    """Return descriptions of what differs from the expected session, if anything."""
    merged = merge_events(str(path) for path in session.events)
    kinds = {event["message_type"] for event in merged.events}
    received_bytes = [sum(row["sources"].values()) for row in session.report]
    words = "".join(line.get("text", "") for line in session.draft).split()
    checks = {
        f"exit codes {session.exit_codes}": any(session.exit_codes.values()),
        f"bytes received {received_bytes}": set(received_bytes)
        != {CHUNKS * CHUNK_BYTES},
        f"draft {words}": {word.split("-")[1] for word in words} != {"v1"},
        f"end of draft {session.draft[-1]}": not _is_answered(session.draft),
        f"end of order {session.order[-1]}": not _is_answered(session.order),
        f"runs of the order {session.order_runs}": session.order_runs != {ORDER_KEY: 1},
        f"unreadable events {merged.unreadable_lines}": bool(merged.unreadable_lines),
        f"unknown events {kinds - EVENT_KINDS.keys()}": not kinds <= EVENT_KINDS.keys(),
        f"missing metrics {_missing_samples(session.metrics)}": bool(
            _missing_samples(session.metrics)
        ),
    }
    return [what for what, differs in checks.items() if differs]


def _missing_samples(metrics: dict[str, str]) -> list[str]:
    """Return the expected samples that are missing in the metrics."""
    return [
        f"{vm}: {sample}"
        for vm, samples in EXPECTED_SAMPLES.items()
        for sample in samples
        if sample not in metrics[vm]
    ]


async def fetch_metrics(address: str) -> str:
    """Return the metrics of a process in the text format of Prometheus."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{address}/metrics") as response,
    ):
        return await response.text()


def _is_answered(lines: list[dict]) -> bool:
    return lines[-1].get("outcome") == "answered"


def write_first_ticket(folder: Path, digest: str) -> Path:
    """Write ticket 1, drafter v1 on every drafting server, and return its file."""
    change = {
        "scope": "drafting",
        "model": "drafter",
        "version": "v1",
        "manifest": digest,
    }
    path = folder / "ticket-1.toml"
    path.write_text(to_toml({"number": 1, "note": "first", "change": [change]}))
    return path


async def submit_ticket(session: aiohttp.ClientSession, file: Path) -> dict:
    """Submit a ticket and return the response.

    Raises
    ------
    DemoFailed
        The ticket was not accepted.
    """
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}", "x-source": file.name}
    req = session.post("/v1/tickets", data=file.read_bytes(), headers=headers)
    async with req as response:
        if response.status != 200:
            raise DemoFailed(f"ticket refused: {await response.text()}")
        return await response.json()


async def wait_in_effect(
    session: aiohttp.ClientSession, number: int, vms: int
) -> list[dict]:
    """Wait until a ticket is in effect on ``vms`` VMs, and return the report."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    deadline = time.monotonic() + IN_EFFECT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        async with session.get("/v1/report", headers=headers) as response:
            report = await response.json()
        if sum(r["ticket"] == number and r["in_force"] > 0 for r in report) == vms:
            return report
        await asyncio.sleep(0.1)
    raise DemoFailed(f"ticket {number} is not in effect on {vms} VMs: {report}")


async def wait_serving(session: aiohttp.ClientSession, servers: int) -> None:
    """Wait until an entry knows that ``servers`` servers are serving."""
    headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
    deadline = time.monotonic() + IN_EFFECT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        async with session.get("/v1/fleet", headers=headers) as response:
            fleet = await response.json()
        if sum(server["serving"] for server in fleet) == servers:
            return
        await asyncio.sleep(0.05)
    raise DemoFailed(f"expected {servers} serving servers: {fleet}")


async def call_service(
    session: aiohttp.ClientSession,
    service: str,
    route: str,
    body: str,
    key: str = "",
) -> list[dict]:
    """Send a request and return the lines of its response.

    Raises
    ------
    DemoFailed
        The response has another status than 200.
    """
    headers = {"authorization": f"Bearer {CALLER_TOKEN}", "idempotency-key": key}
    path = f"/v1/services/{service}/{route}"
    async with session.post(path, data=body.encode(), headers=headers) as response:
        data = await response.read()
    if response.status != 200:
        raise DemoFailed(f"{service}/{route}: {response.status} {data!r}")
    return [orjson.loads(line) for line in data.splitlines()]


def run_demo() -> int:
    """Run the session, print its report and timeline, and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        session = asyncio.run(run_session(Path(folder)))
        print("== report: who got which weights, when, and from where")
        print_deliveries(session.report)
        print("== time line")
        print_timeline([str(path) for path in session.events], json=False)
        deviations = find_deviations(session)
    print("== answers")
    print("".join(line.get("text", "") for line in session.draft).strip())
    print("".join(line.get("text", "") for line in session.order))
    for what in deviations:
        print(f"wrong: {what}")
    return 1 if deviations else 0
