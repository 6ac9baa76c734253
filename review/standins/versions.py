"""Traffic beside rollouts of versions, and requests that began on older weights."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from .engine import Engine, Run
from .fleet import BOUNDS, Fleet, Process
from .record import Record

HELD, BROKEN, UNUSABLE = 0, 1, 2
VERSION_SECONDS = BOUNDS["version_ms"] / 1000
ORIGIN_BYTES_PER_SECOND = 7.3e6 / 8
RUN_SECONDS = 115
PAUSE_SECONDS = 4.0
PROMPT_TOKENS = 700
CALM_INTERVAL_SECONDS = 0.1
CALM_ANSWER_TOKENS = 60


@dataclass
class Burst:
    """Many streams in a short time before the end of the time of older weights."""

    before: float = 2.0
    seconds: float = 0.45
    per_engine: int = 21
    answer_tokens: int = 306


Trouble = Callable[[Fleet, Record], Awaitable[None]]


async def send(fleet: Fleet, record: Record, ip: str, tokens: int) -> None:
    """Send a stream and record how it ended."""
    sent = await fleet.stream(ip, PROMPT_TOKENS, tokens)
    at = sent.pop("at")
    sent["ended_at"] = record.since(sent["ended_at"])
    sent["events"] = len(sent["events"])
    record.write("request", at, **sent)


async def _send_calm(fleet: Fleet, record: Record) -> None:
    async with asyncio.TaskGroup() as group:
        while True:
            ip = random.choice(fleet.entry_ips)
            group.create_task(send(fleet, record, ip, CALM_ANSWER_TOKENS))
            await asyncio.sleep(CALM_INTERVAL_SECONDS)


async def _send_burst(fleet: Fleet, record: Record, burst: Burst) -> None:
    count = burst.per_engine * len(fleet.engines)
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            ip = random.choice(fleet.entry_ips)
            group.create_task(send(fleet, record, ip, burst.answer_tokens))
            await asyncio.sleep(burst.seconds / count)


def waiting_on_older(fleet: Fleet) -> list[tuple[Process, str]]:
    """Return agents beside older weights, and who sent what waits at their engines."""
    return [
        (agent, fleet.entry_of[run.request_id])
        for agent, engine in zip(fleet.agents, fleet.engines, strict=True)
        if engine.version < fleet.version and engine.load is None
        for run in engine.waiting
    ]


def late_runs(fleet: Fleet) -> list[tuple[Engine, Run, float]]:
    """Return what began on older weights too late, and by how many seconds."""
    return [
        (engine, run, run.began_at - at - VERSION_SECONDS)
        for at, version in fleet.declared
        for engine in fleet.engines
        for run in engine.runs
        if run.version < version and run.began_at > at + VERSION_SECONDS
    ]


async def _play_round(
    fleet: Fleet, record: Record, trouble: Trouble | None, before: float, burst: Burst
) -> None:
    if trouble is not None:
        fleet.origin.down_until = time.monotonic() + fleet.origin_down_seconds
    record.write("version declared", version=fleet.declare())
    ends_at = time.monotonic() + VERSION_SECONDS
    await asyncio.sleep(ends_at - burst.before - time.monotonic())
    sending = asyncio.create_task(_send_burst(fleet, record, burst))
    await asyncio.sleep(ends_at - before - time.monotonic())
    waiting = [len(engine.waiting) for engine in fleet.engines]
    versions = [engine.version for engine in fleet.engines]
    record.write("servers", waiting=waiting, versions=versions)
    if trouble is not None:
        await trouble(fleet, record)
    await sending


async def _play(
    fleet: Fleet,
    record: Record,
    trouble: Trouble | None,
    before: float,
    rounds: int,
    burst: Burst,
) -> int:
    try:
        await fleet.start()
        await asyncio.sleep(2.5)
        calm = asyncio.create_task(_send_calm(fleet, record))
        for _ in range(rounds):
            await _play_round(fleet, record, trouble, before, burst)
            await asyncio.sleep(PAUSE_SECONDS)
            if late_runs(fleet):
                break
        calm.cancel()
        await asyncio.gather(calm, return_exceptions=True)
        return _write_results(fleet, record)
    finally:
        await fleet.stop()


def _write_results(fleet: Fleet, record: Record) -> int:
    for engine in fleet.engines:
        for load in engine.loads:
            at = load.pop("at")
            record.write("order accepted", at, server=engine.name, **load)
    late = late_runs(fleet)
    for engine, run, seconds in late:
        record.write(
            "BEGAN ON OLDER WEIGHTS",
            run.began_at,
            server=engine.name,
            request=run.request_id,
            entry=fleet.entry_of[run.request_id],
            version=run.version,
            sent_at=record.since(run.arrived_at),
            late_by=round(seconds, 3),
        )
    if not any(engine.runs for engine in fleet.engines):
        return UNUSABLE
    return BROKEN if late else HELD


def run_case(
    folder: Path,
    fleet: Fleet,
    trouble: Trouble | None,
    before: float,
    rounds: int,
    burst: Burst | None = None,
) -> None:
    """Declare versions with trouble before the end of each one's time, and exit.

    Parameters
    ----------
    trouble : callable or None
        Brings the disruption about and ends it.
    before : float
        How many seconds before the end it is called.
    """
    record = Record(folder)
    try:
        playing = _play(fleet, record, trouble, before, rounds, burst or Burst())
        code = asyncio.run(asyncio.wait_for(playing, RUN_SECONDS))
    except Exception as exc:
        record.write("could not run", why=repr(exc))
        code = UNUSABLE
    record.write("end", code=code)
    sys.exit(code)
