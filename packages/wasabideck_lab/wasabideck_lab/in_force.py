"""Measures the time from a ticket's acceptance to in force, by fleet size."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
import orjson
from wasabideck_base.events import Stamp

from .demo import SERVICES
from .launcher import OPERATOR_TOKEN, Lab
from .slopes import fit
from .toml import to_toml
from .weights import make_weights

__all__ = ["measure_in_force"]

SIZES = (8, 16, 32, 64)
ENTRIES = 3
TICKETS = 5
TARGET = 1400
CHUNKS = 8
CHUNK_BYTES = 4096
LIMIT_SECONDS = 60.0
LOOK_SECONDS = 0.005
STARTED_AT_ONCE = 8
HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


async def measure_in_force(sizes: tuple[int, ...] = SIZES) -> list[dict]:
    """Lines of the slowest VM's times over fleet sizes, in seconds.

    Each serving ticket follows a standby ticket for the same weights that is whole
    everywhere, so that what is measured is the ticket and not the transfer.
    """
    heard, in_force = [], []
    for size in sizes:
        seen, served = await _measure(size)
        heard.append(max(seen))
        in_force.append(max(served))
    return [
        fit("last VM heard of a ticket", "s", sizes, heard).shown(TARGET),
        fit("last VM in force", "s", sizes, in_force).shown(TARGET),
    ]


async def _measure(size: int) -> tuple[list[float], list[float]]:
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(Path(folder))
        await lab.start_platform()
        try:
            for index in range(ENTRIES):
                await lab.start_entry(f"entry-{index}", SERVICES)
            for begin in range(0, size, STARTED_AT_ONCE):
                names = range(begin, min(begin + STARTED_AT_ONCE, size))
                await asyncio.gather(
                    *(lab.start_engine_vm(f"draft-{i}", "drafting") for i in names)
                )
            served = [await _roll_out(lab, step) for step in range(TICKETS)]
            numbers = [2 * step + 2 for step in range(TICKETS)]
            return [_heard(lab, number) for number in numbers], served
        finally:
            await lab.close()


async def _roll_out(lab: Lab, step: int) -> float:
    """Seconds from acceptance until the last engine serves a new version."""
    version = f"v{step}"
    weights = make_weights("drafter", version, CHUNKS, CHUNK_BYTES, lab.seed)
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
    await _until(lambda: _rows(lab, number) == len(lab.engines))
    submitted = asyncio.create_task(_submit(lab, entry, number + 1, change))
    stands = f"{number + 1:020d}"
    await _until(lambda: stands in lab.table.rows["tickets"])
    begun = time.monotonic()
    engines = lab.engines.values()
    await _until(lambda: all(e.loaded.fence == number + 1 for e in engines))
    took = time.monotonic() - begun
    await submitted
    return took


async def _submit(lab: Lab, vm: str, number: int, change: dict) -> None:
    url = f"http://{lab.processes[vm].http}/v1/tickets"
    body = to_toml({"number": number, "change": [change]}).encode()
    async with aiohttp.ClientSession(raise_for_status=True) as session:
        await session.post(url, data=body, headers=HEADERS)


def _rows(lab: Lab, number: int) -> int:
    rows = lab.table.rows.get("deliveries", {})
    return sum(key.startswith(f"{number:020d}/") for key in rows)


async def _until(holds) -> None:
    async with asyncio.timeout(LIMIT_SECONDS):
        while not holds():
            await asyncio.sleep(LOOK_SECONDS)


def _heard(lab: Lab, number: int) -> float:
    """Seconds from the acceptance event until the last agent's event of it."""
    accepted = min(_times(lab, "entry", "ticket.accepted", number))
    return max(_times(lab, "draft", "ticket.seen", number)) - accepted


def _times(lab: Lab, kind: str, event: str, number: int) -> Iterator[float]:
    for vm, process in lab.processes.items():
        if not vm.startswith(kind):
            continue
        for line in process.events.read_bytes().splitlines():
            row = orjson.loads(line)
            if row["message_type"] == event and row["ticket"] == number:
                yield Stamp.parse(row["hlc"]).micros / 1e6
