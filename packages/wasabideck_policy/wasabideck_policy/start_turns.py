"""When each of a region's processes first reads a table after a start of all.

Staggered start: after a loss of power all processes of a region would read the same
rows at once, over a link that all share; none has them in time, and each reads them
again. A few read at once and tell the others, who read later one after the other.
"""

from __future__ import annotations

from collections.abc import Iterable

from .rendezvous import rank

__all__ = ["read_delay"]

# Reads of those who wait are so far apart (seconds): 400 KB take 0.2 s of a link of
# 15 Mbit/s.
APART_SECONDS = 0.3
LONGEST_SECONDS = 10.0


def read_delay(
    item: str, vm: str, near: Iterable[str], at_once: int, patience: float = 0.0
) -> float:
    """Seconds for which a process waits to be told what it would read.

    Parameters
    ----------
    item : str
        What is read, which decides on the order.
    near : iterable of str
        VMs of the processes of its kind in its region.
    at_once : int
        How many of them read without a wait.
    patience : float
        Seconds that the first one waits which does not read at once.
    """
    place = rank(item, {*near, vm}).index(vm) - at_once
    return min(LONGEST_SECONDS, patience + place * APART_SECONDS) if place >= 0 else 0.0
