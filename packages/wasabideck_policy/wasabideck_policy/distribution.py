"""Which chunk to fetch next, and from whom."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence

import xxhash
from attrs import define, frozen

__all__ = ["Fetch", "Peer", "next_fetch", "owner_rank", "rank"]

ORIGIN = ""
RESCUE_STEP = 2.0


@define
class Peer:
    """What an agent knows of another agent's holdings."""

    vm: str
    held: set[int]
    region: str = ""
    data_centre: str = ""
    busy_until: float = 0.0


@frozen
class Fetch:
    """One fetch to start.

    Attributes
    ----------
    source : str
        The peer's VM; empty for the origin.
    """

    index: int
    source: str = ORIGIN


def rank(item: str, vms: Iterable[str]) -> list[str]:
    """VMs in rendezvous order for an item: all callers agree without talking."""

    def score(vm: str) -> int:
        return xxhash.xxh64_intdigest(f"{item}|{vm}".encode())

    return sorted(vms, key=score, reverse=True)


def owner_rank(digest: str, vm: str, wanting: Iterable[str]) -> int:
    """Place of a VM among those that may read a chunk from the origin."""
    return rank(digest, wanting).index(vm)


def next_fetch(
    vm: str,
    digests: Sequence[str],
    missing: set[int],
    peers: Mapping[str, Peer],
    wanting: Sequence[str],
    begun: float,
    now: float,
    rng: random.Random,
) -> Fetch | None:
    """The next fetch of a VM, or None when it has to wait.

    A chunk held by a peer is fetched there, rarest first with random ties. A chunk
    that no peer holds is read from the origin by its first-ranked owner; the others
    wait ``RESCUE_STEP`` seconds per rank, so that an owner that stalls is rescued.
    """
    free = [peer for peer in peers.values() if peer.busy_until <= now]
    holders = {i: [p.vm for p in free if i in p.held] for i in missing}
    useful = [i for i in missing if holders[i]]
    if useful:
        index = min(useful, key=lambda i: (len(holders[i]), rng.random()))
        return Fetch(index, rng.choice(holders[index]))
    unheld = [i for i in missing if not any(i in p.held for p in peers.values())]
    for index in sorted(unheld):
        patience = owner_rank(digests[index], vm, wanting) * RESCUE_STEP
        if now - begun >= patience:
            return Fetch(index)
    return None
