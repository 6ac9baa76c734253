"""Resource usage of a process from /proc: CPU, memory, bytes read and written."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from attrs import frozen

__all__ = ["Usage", "cpu_seconds", "resident_bytes", "measure_usage"]

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@frozen
class Usage:
    """Resource usage of a process over a period.

    Attributes
    ----------
    cpu_fraction : float
        Mean usage as a fraction of one core.
    resident_bytes : int
        Resident memory in bytes at the end of the period.
    received_bytes_per_second, sent_bytes_per_second : float
        Bytes per second that passed through the read and write calls of the process,
        for sockets as well as for its event file. Framing below TCP is not included.
    """

    cpu_fraction: float
    resident_bytes: int
    received_bytes_per_second: float
    sent_bytes_per_second: float


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used so far."""
    # The second field is the program name in parentheses, which may contain spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _io_bytes(pid: int) -> tuple[int, int]:
    rows = dict(
        line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines()
    )
    return int(rows["rchar"]), int(rows["wchar"])


async def measure_usage(pid: int, seconds: float) -> Usage:
    """Measure the usage of a process over a period."""
    started, cpu_before = time.monotonic(), cpu_seconds(pid)
    received, sent = _io_bytes(pid)
    await asyncio.sleep(seconds)
    elapsed = time.monotonic() - started
    received_now, sent_now = _io_bytes(pid)
    return Usage(
        (cpu_seconds(pid) - cpu_before) / elapsed,
        resident_bytes(pid),
        (received_now - received) / elapsed,
        (sent_now - sent) / elapsed,
    )
