"""A small fleet that keeps running, for trying the operators' commands."""

from __future__ import annotations

import asyncio
from pathlib import Path

from .demo import CHUNK_BYTES, CHUNKS, SERVICES, write_first_ticket
from .lab_fleet import CALLER_TOKEN, OPERATOR_TOKEN, LabFleet
from .random_weights import generate_weights
from .toml_writer import to_toml

__all__ = ["run_playground"]


async def run_playground(folder: Path, stop: asyncio.Event, seed: int = 0) -> None:
    """Run stand-ins, an entry, two engines and a plain service until ``stop`` is set.

    Prints the commands to try. Writes the access file, two tickets and the event files
    into the folder.
    """
    folder.mkdir(parents=True, exist_ok=True)
    lab = LabFleet(folder, seed)
    await lab.start_platform()
    digests = [
        lab.publish(*generate_weights("drafter", version, CHUNKS, CHUNK_BYTES, seed))
        for version in ("v1", "v2")
    ]
    try:
        entry = await lab.start_entry("entry-1", SERVICES)
        await asyncio.gather(
            lab.start_engine_vm("draft-1", "drafting"),
            lab.start_engine_vm("draft-2", "drafting"),
            lab.start_plain_service_vm("order-1", "orders"),
        )
        _write_files(folder, entry.http_address, digests)
        print(_instructions(folder, entry.http_address), flush=True)
        await stop.wait()
    finally:
        await lab.close()


def _write_files(folder: Path, address: str, digests: list[str]) -> None:
    access = {
        "entry": f"http://{address}",
        "token": OPERATOR_TOKEN,
        "plain_text": True,
    }
    (folder / "access.toml").write_text(to_toml(access))
    first = write_first_ticket(folder, digests[0]).read_text()
    second = first.replace("number = 1", "number = 2").replace('"v1"', '"v2"')
    second = second.replace(digests[0], digests[1]).replace('"first"', '"second"')
    (folder / "ticket-2.toml").write_text(second)


def _instructions(folder: Path, address: str) -> str:
    return f"""\
The fleet is up; Ctrl-C stops it. In another terminal:

    export WASABIDECK_ACCESS={folder}/access.toml
    wasabideck ticket submit {folder}/ticket-1.toml
    wasabideck ticket status 1
    wasabideck report
    curl -H "authorization: Bearer {CALLER_TOKEN}" \\
         -d "a banner for the fair" http://{address}/v1/services/drafting/brief
    wasabideck timeline {folder}/*.events"""
