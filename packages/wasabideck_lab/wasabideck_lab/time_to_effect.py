"""Measures the time from a ticket's acceptance to in effect, by fleet size."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import orjson
from wasabideck_base.events import Timestamp

from .demo import SERVICES
from .lab_fleet import OPERATOR_TOKEN, LabFleet
from .line_fit import fit_line
from .random_weights import generate_weights
from .toml_writer import to_toml

__all__ = ["measure_time_to_effect"]

FLEET_SIZES = (8, 16, 32, 64)
ENTRIES = 3
TICKETS = 5
TARGET_SERVERS = 1400
CHUNKS = 8
CHUNK_BYTES = 4096
TIMEOUT_SECONDS = 60.0
POLL_SECONDS = 0.005
MAX_CONCURRENT_STARTS = 8
HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


async def measure_time_to_effect(sizes: tuple[int, ...] = FLEET_SIZES) -> list[dict]:
    """Return slopes of the slowest VM's times by fleet size, in seconds.

    Each serving ticket follows a standby ticket for the same weights. The standby
    ticket is complete on all VMs before, so that the transfer is not measured.
    """
    slowest_received, slowest_in_effect = [], []
    for size in sizes:
        received, in_effect = await _measure(size)
        slowest_received.append(max(received))
        slowest_in_effect.append(max(in_effect))
    return [
        fit_line("last VM heard of a ticket", "s", sizes, slowest_received).to_row(
            TARGET_SERVERS
        ),
        fit_line("last VM in force", "s", sizes, slowest_in_effect).to_row(
            TARGET_SERVERS
        ),
    ]


async def _measure(size: int) -> tuple[list[float], list[float]]:
    with tempfile.TemporaryDirectory() as folder:
        lab = LabFleet(Path(folder))
        await lab.start_platform()
        try:
            for index in range(ENTRIES):
                await lab.start_entry(f"entry-{index}", SERVICES)
            for begin in range(0, size, MAX_CONCURRENT_STARTS):
                names = range(begin, min(begin + MAX_CONCURRENT_STARTS, size))
                await asyncio.gather(
                    *(lab.start_engine_vm(f"draft-{i}", "drafting") for i in names)
                )
            in_effect = [await _roll_out(lab, step) for step in range(TICKETS)]
            numbers = [2 * step + 2 for step in range(TICKETS)]
            return [_seconds_to_receipt(lab, number) for number in numbers], in_effect
        finally:
            await lab.close()


async def _roll_out(lab: LabFleet, step: int) -> float:
    """Roll out a new version.

    Returns
    -------
    float
        Seconds from the ticket's acceptance until the last engine serves the version.
    """
    version = f"v{step}"
    weights = generate_weights("drafter", version, CHUNKS, CHUNK_BYTES, lab.seed)
    digest = lab.publish(*weights)
    change = {
        "scope": "drafting",
        "model": "drafter",
        "version": version,
        "manifest": digest,
    }
    entry = f"entry-{step % ENTRIES}"
    number = 2 * step + 1
    await _submit(lab, entry, number, change | {"slot": "standby"})
    await _wait_until(lambda: _delivery_count(lab, number) == len(lab.engines))
    submitted = asyncio.create_task(_submit(lab, entry, number + 1, change))
    ticket_key = f"{number + 1:020d}"
    await _wait_until(lambda: ticket_key in lab.table.rows["tickets"])
    started = time.monotonic()
    engines = lab.engines.values()
    await _wait_until(lambda: all(e.loaded.fence == number + 1 for e in engines))
    seconds = time.monotonic() - started
    await submitted
    return seconds


async def _submit(lab: LabFleet, vm: str, number: int, change: dict) -> None:
    url = f"http://{lab.processes[vm].http_address}/v1/tickets"
    body = to_toml({"number": number, "change": [change]}).encode()
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        await session.post(url, data=body, headers=HEADERS)


def _delivery_count(lab: LabFleet, number: int) -> int:
    rows = lab.table.rows.get("deliveries", {})
    return sum(key.startswith(f"{number:020d}/") for key in rows)


async def _wait_until(condition) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(POLL_SECONDS)


def _seconds_to_receipt(lab: LabFleet, number: int) -> float:
    """Return the seconds from a ticket's acceptance to the last agent's receipt."""
    accepted = min(_event_times(lab, "entry", "ticket.accepted", number))
    return max(_event_times(lab, "draft", "ticket.seen", number)) - accepted


def _event_times(lab: LabFleet, kind: str, event: str, number: int) -> Iterator[float]:
    for vm, process in lab.processes.items():
        if not vm.startswith(kind):
            continue
        for line in process.events_path.read_bytes().splitlines():
            row = orjson.loads(line)
            if row["message_type"] == event and row["ticket"] == number:
                yield Timestamp.parse(row["hlc"]).micros / 1e6
