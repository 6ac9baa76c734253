"""Subsetting: the servers that an entry uses if there are too many to use all."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash
from attrs import frozen

__all__ = ["OTHER_REGION", "OWN_REGION", "SubsetSize", "poll_interval", "subset"]


@frozen
class SubsetSize:
    """Number of servers of a service and region that an entry uses.

    Attributes
    ----------
    min_servers : int
        Minimum number of servers that it uses, if there are that many.
    min_entries : int
        Minimum number of entries that use each server.
    """

    min_servers: int
    min_entries: int


OWN_REGION = SubsetSize(min_servers=12, min_entries=3)
# Only requests that exceed the region's capacity go to another region, where at least
# one entry uses each server.
OTHER_REGION = SubsetSize(min_servers=4, min_entries=1)
# Rate of status responses that an entry receives. Each costs it about half a
# millisecond of processor time, and all control traffic together may cost it ten
# milliseconds in a second.
POLLS_PER_SECOND = 8.0
MIN_POLL_INTERVAL_SECONDS = 0.25


def subset(
    vm: str, entries: Sequence[str], servers: Sequence[str], subset_size: SubsetSize
) -> set[str]:
    """Return the servers that an entry uses, of those of one service and region.

    Entries and servers are placed on a ring in the order of their hashes; each entry
    uses a window that starts at its own share of the ring. Therefore every server is
    in the same number of windows, give or take one, and a VM that is added or removed
    moves each window by a few positions at most.
    """
    share = subset_size.min_entries * len(servers) / max(1, len(entries))
    size = max(subset_size.min_servers, math.ceil(share))
    if size >= len(servers):
        return set(servers)
    ring = sorted(servers, key=_ring_position)
    ring_entries = sorted({*entries, vm}, key=_ring_position)
    start = ring_entries.index(vm) * len(ring) // len(ring_entries)
    return {ring[(start + i) % len(ring)] for i in range(size)}


def poll_interval(servers: int) -> float:
    """Return the interval between two polls of one of this many servers, seconds."""
    return max(MIN_POLL_INTERVAL_SECONDS, servers / POLLS_PER_SECOND)


def _ring_position(vm: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(vm.encode()), vm
