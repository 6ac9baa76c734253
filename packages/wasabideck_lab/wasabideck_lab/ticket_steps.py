"""Steps shared by the ticket scenarios: publish, submit, wait and check."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import orjson
from attrs import frozen

from .fault_scenarios import CHUNK_BYTES, CHUNKS, ScenarioContext
from .lab_fleet import OPERATOR_TOKEN
from .random_weights import generate_weights
from .toml_writer import to_toml

__all__ = [
    "EntryResponse",
    "expect",
    "publish",
    "query_entry",
    "submit_ticket",
    "vms_in_effect",
    "wait_in_effect_everywhere",
    "wait_until",
]

MAX_IN_EFFECT_SECONDS = 6.0
CALL_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.005
OPERATOR_HEADERS = {"authorization": f"Bearer {OPERATOR_TOKEN}"}


@frozen
class EntryResponse:
    """The response of an entry to an operator; status 0 if there was none."""

    status: int
    body: dict

    @property
    def title(self) -> str:
        """Return the type of the refusal; empty if the request was not refused."""
        return self.body.get("title", "")


def publish(context: ScenarioContext, version: str) -> str:
    """Publish a version of the drafter, and return the digest of its manifest."""
    weights = generate_weights(
        "drafter", version, CHUNKS, CHUNK_BYTES, context.lab.seed
    )
    return context.lab.publish(*weights)


async def submit_ticket(
    context: ScenarioContext, vm: str, number: int, version: str = "", **change: str
) -> EntryResponse:
    """Submit a ticket that declares a version for the drafters.

    The default version is named after the number of the ticket.
    """
    version = version or f"v{number}"
    row = {
        "scope": "drafting",
        "model": "drafter",
        "version": version,
        "manifest": publish(context, version),
    }
    table = {"number": number, "note": "", "change": [row | change]}
    body = to_toml(table).encode()
    return await _send_request(context, vm, "POST", "/v1/tickets", body)


async def query_entry(context: ScenarioContext, vm: str, path: str) -> EntryResponse:
    """Return the response of an entry to an operator's query."""
    return await _send_request(context, vm, "GET", path, None)


async def _send_request(
    context: ScenarioContext, vm: str, method: str, path: str, body: bytes | None
) -> EntryResponse:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with context.entry_session(vm) as session:
            req = session.request(
                method, path, data=body, headers=OPERATOR_HEADERS, timeout=timeout
            )
            async with req as response:
                return EntryResponse(
                    response.status, orjson.loads(await response.read())
                )
    except (TimeoutError, aiohttp.ClientError):
        return EntryResponse(0, {})


def expect(context: ScenarioContext, condition: bool, problem: str) -> None:
    """Record a problem of the scenario unless a condition holds."""
    if not condition:
        context.problems.append(problem)


async def wait_until(condition, seconds: float) -> bool:
    """Wait until a condition holds; return whether it did within ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return True


def is_accepted(context: ScenarioContext, number: int) -> bool:
    """Whether the table contains a ticket."""
    return f"{number:020d}" in context.lab.table.rows.get("tickets", {})


async def wait_in_effect_everywhere(
    context: ScenarioContext,
    number: int,
    seconds: float = MAX_IN_EFFECT_SECONDS,
    excluded: frozenset[str] = frozenset(),
) -> float:
    """Return the seconds from a ticket's acceptance until every engine has loaded it.

    Records a problem of the scenario if this takes more than ``seconds``.
    """
    await wait_until(lambda: is_accepted(context, number), CALL_TIMEOUT_SECONDS)
    started = time.monotonic()
    in_effect = await wait_until(
        lambda: not _vms_without_ticket(context, number, excluded),
        seconds + CALL_TIMEOUT_SECONDS,
    )
    elapsed = time.monotonic() - started
    missing = sorted(_vms_without_ticket(context, number, excluded))
    expect(context, in_effect, f"ticket {number} is not in effect on {missing}")
    expect(
        context,
        elapsed <= seconds,
        f"ticket {number} is in effect after {elapsed:.2f} s",
    )
    context.figures.setdefault(f"in_force_{number}", round(elapsed, 3))
    return elapsed


def _vms_without_ticket(
    context: ScenarioContext, number: int, excluded: frozenset[str]
) -> list[str]:
    return [
        vm
        for vm, engine in context.lab.engines.items()
        if vm not in excluded and engine.loaded.fence != number
    ]


async def vms_in_effect(context: ScenarioContext, vm: str, number: int) -> list[str]:
    """Return the VMs on which a ticket is in effect according to ``ticket status``."""
    response = await query_entry(context, vm, f"/v1/tickets/{number}/status")
    return response.body.get("in_force", [])
