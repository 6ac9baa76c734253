"""What a process uses: CPU, memory, and bytes read and written, from /proc."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from attrs import frozen

__all__ = ["Usage", "cpu_seconds", "resident_bytes", "usage_over"]

_TICK = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


@frozen
class Usage:
    """A process's use over a while.

    Attributes
    ----------
    cpu : float
        Share of one core.
    resident : int
        Bytes of memory at the end.
    received, sent : float
        Bytes per second that went through its read and write calls, sockets and
        event file alike; loopback framing below TCP is not in it.
    """

    cpu: float
    resident: int
    received: float
    sent: float


def resident_bytes(pid: int) -> int:
    """Bytes of memory that a process holds now."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used."""
    # The second field is the program's name in parentheses and may hold spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICK


def _transferred(pid: int) -> tuple[int, int]:
    rows = dict(
        line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines()
    )
    return int(rows["rchar"]), int(rows["wchar"])


async def usage_over(pid: int, seconds: float) -> Usage:
    """Watch a process for some seconds."""
    begun, cpu = time.monotonic(), cpu_seconds(pid)
    received, sent = _transferred(pid)
    await asyncio.sleep(seconds)
    took = time.monotonic() - begun
    received_now, sent_now = _transferred(pid)
    return Usage(
        (cpu_seconds(pid) - cpu) / took,
        resident_bytes(pid),
        (received_now - received) / took,
        (sent_now - sent) / took,
    )
