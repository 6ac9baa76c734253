"""When each process of a region first reads a table after a full restart.

Staggered start: after a loss of power all processes of a region would read the same
rows at once, over a link that they all share. No read would complete in time, and each
would be repeated. So a few processes read at once and notify the others, which
otherwise read later, one after the other.
"""

from __future__ import annotations

from collections.abc import Iterable

from .rendezvous import rank_vms

__all__ = ["MAX_READ_DELAY_SECONDS", "read_delay"]

# Interval between the reads of waiting processes: 400 KB take 0.2 s on a link of
# 15 Mbit/s.
READ_INTERVAL_SECONDS = 0.3
MAX_READ_DELAY_SECONDS = 10.0


def read_delay(
    item: str, vm: str, peers: Iterable[str], at_once: int, first_delay: float = 0.0
) -> float:
    """Return the seconds for which a process waits for others to send it the rows.

    Parameters
    ----------
    item : str
        Name of what is read; it determines the order of the processes.
    peers : iterable of str
        VMs of the processes of the same kind in the same region.
    at_once : int
        Number of processes that read without a delay.
    first_delay : float
        Delay in seconds of the first process that does not read at once.
    """
    position = rank_vms(item, {*peers, vm}).index(vm) - at_once
    return (
        min(MAX_READ_DELAY_SECONDS, first_delay + position * READ_INTERVAL_SECONDS)
        if position >= 0
        else 0.0
    )
