"""The servers that an entry uses, where there are too many for all to use all."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash
from attrs import frozen

__all__ = ["OTHER_REGION", "OWN_REGION", "Width", "poll_pause", "subset"]


@frozen
class Width:
    """How many servers of a service and region an entry uses.

    Attributes
    ----------
    least : int
        Servers that it uses at the least, as long as there are so many.
    coverage : int
        Entries that use each server, at the least.
    """

    least: int
    coverage: int


OWN_REGION = Width(least=12, coverage=3)
# Only what spills goes to another region, and an entry there covers each server.
OTHER_REGION = Width(least=4, coverage=1)
# Words of status a second that an entry hears. Each costs it about half a millisecond
# of processor time, and all control together may cost it ten in a second.
POLLS_PER_SECOND = 8.0
SHORTEST_PAUSE = 0.25


def subset(
    vm: str, entries: Sequence[str], servers: Sequence[str], width: Width
) -> set[str]:
    """Servers that an entry uses, out of those of one service and region.

    Entries and servers stand on a ring in the order of their hashes; each entry
    uses a window that begins at its own share of the ring. So every server is in
    as many windows as any other, give or take one, and a VM that comes or goes
    moves each window by a few places at the most.
    """
    share = width.coverage * len(servers) / max(1, len(entries))
    size = max(width.least, math.ceil(share))
    if size >= len(servers):
        return set(servers)
    around = sorted(servers, key=_place)
    peers = sorted({*entries, vm}, key=_place)
    begin = peers.index(vm) * len(around) // len(peers)
    return {around[(begin + i) % len(around)] for i in range(size)}


def poll_pause(servers: int) -> float:
    """Seconds between two words of one of so many servers."""
    return max(SHORTEST_PAUSE, servers / POLLS_PER_SECOND)


def _place(vm: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(vm.encode()), vm
