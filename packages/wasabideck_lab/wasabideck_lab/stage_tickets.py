"""What the ticket scenarios do on a stage: submit, publish, wait, compare."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import orjson
from attrs import frozen

from .faults_run import CHUNK_BYTES, CHUNKS, Stage
from .launcher import OPERATOR_TOKEN
from .toml import to_toml
from .weights import make_weights

__all__ = [
    "Answer",
    "ask",
    "expect",
    "publish",
    "report_in_force",
    "submit_ticket",
    "wait_in_force_everywhere",
    "wait_until",
]

IN_FORCE_SECONDS = 6.0
CALL_SECONDS = 30.0
LOOK_SECONDS = 0.005
HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@frozen
class Answer:
    """An entry's answer to an operator; status 0 when there was none."""

    status: int
    body: dict

    @property
    def title(self) -> str:
        """Type of the refusal; empty when there was none."""
        return self.body.get("title", "")


def publish(stage: Stage, version: str) -> str:
    """Publish a version of the drafter; its manifest's digest."""
    weights = make_weights("drafter", version, CHUNKS, CHUNK_BYTES, stage.lab.seed)
    return stage.lab.publish(*weights)


async def submit_ticket(
    stage: Stage, vm: str, number: int, version: str = "", **change: str
) -> Answer:
    """Submit a ticket that names a version (by default its own) for the drafters."""
    version = version or f"v{number}"
    row = {
        "scope": "drafting",
        "model": "drafter",
        "version": version,
        "manifest": publish(stage, version),
    }
    table = {"number": number, "note": "", "change": [row | change]}
    body = to_toml(table).encode()
    return await _call(stage, vm, "POST", "/v1/tickets", body)


async def ask(stage: Stage, vm: str, path: str) -> Answer:
    """An entry's answer to an operator's question."""
    return await _call(stage, vm, "GET", path, None)


async def _call(
    stage: Stage, vm: str, method: str, path: str, body: bytes | None
) -> Answer:
    limit = aiohttp.ClientTimeout(total=CALL_SECONDS)
    try:
        async with stage.session(vm) as session:
            req = session.request(
                method, path, data=body, headers=HEADERS, timeout=limit
            )
            async with req as answer:
                return Answer(answer.status, orjson.loads(await answer.read()))
    except (TimeoutError, aiohttp.ClientError):
        return Answer(0, {})


def expect(stage: Stage, holds: bool, what: str) -> None:
    """Note a problem unless something holds."""
    if not holds:
        stage.problems.append(what)


async def wait_until(holds, seconds: float) -> bool:
    """Whether a condition of the books came to hold in time."""
    limit = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > limit:
            return False
        await asyncio.sleep(LOOK_SECONDS)
    return True


def accepted(stage: Stage, number: int) -> bool:
    """Whether a ticket stands in the table's books."""
    return f"{number:020d}" in stage.lab.table.rows.get("tickets", {})


async def wait_in_force_everywhere(
    stage: Stage,
    number: int,
    seconds: float = IN_FORCE_SECONDS,
    without: frozenset[str] = frozenset(),
) -> float:
    """Seconds from a ticket's acceptance until each engine's books show it.

    More than ``seconds`` is a problem of the stage.
    """
    await wait_until(lambda: accepted(stage, number), CALL_SECONDS)
    begun = time.monotonic()
    done = await wait_until(
        lambda: not _behind(stage, number, without), seconds + CALL_SECONDS
    )
    took = time.monotonic() - begun
    late = sorted(_behind(stage, number, without))
    expect(stage, done, f"ticket {number} is not in force on {late}")
    expect(stage, took <= seconds, f"ticket {number} in force after {took:.2f} s")
    stage.figures.setdefault(f"in_force_{number}", round(took, 3))
    return took


def _behind(stage: Stage, number: int, without: frozenset[str]) -> list[str]:
    return [
        vm
        for vm, engine in stage.lab.engines.items()
        if vm not in without and engine.loaded.fence != number
    ]


async def report_in_force(stage: Stage, vm: str, number: int) -> list[str]:
    """VMs on which a ticket is in force by ``ticket status``."""
    answer = await ask(stage, vm, f"/v1/tickets/{number}/status")
    return answer.body.get("in_force", [])
