"""Simple distribution policies, kept as baselines for comparison with the swarm."""

from __future__ import annotations

import random

from .fetch_policy import SWARM, Policy
from .transfer_view import ORIGIN, Fetch, TransferView, bits, pick_bit

__all__ = ["FETCH_POLICIES"]

TREE_FANOUT = 2
MAX_ORIGIN_READS = 2


def _from_origin(view: TransferView, now: float, rng: random.Random) -> Fetch | None:
    """Return a read of a random wanted chunk from the origin, which all VMs read."""
    if view.sources[ORIGIN] >= MAX_ORIGIN_READS or now < view.origin_busy_until:
        return None
    return Fetch(pick_bit(view.wanted, rng), ORIGIN, _origin_is_remote(view))


def _from_parent(view: TransferView, now: float, rng: random.Random) -> Fetch | None:
    """Return a fetch of the first wanted chunk from the VM's parent in a fixed tree."""
    parent = _parent(view)
    if parent is None:
        return _from_origin(view, now, rng)
    peer = view.peers[parent]
    available = peer.held & view.wanted
    busy = view.sources[parent] >= view.limits.region_fetches or peer.busy_until > now
    if busy or not available:
        return None
    return Fetch(next(bits(available)), parent, peer.region != view.region)


def _query_parent(view: TransferView, now: float, rng: random.Random) -> list[str]:
    parent = _parent(view)
    return [] if parent is None else [parent]


def _parent(view: TransferView) -> str | None:
    vms = sorted([view.vm, *view.peers])
    position = vms.index(view.vm)
    return vms[(position - 1) // TREE_FANOUT] if position else None


def _from_random(view: TransferView, now: float, rng: random.Random) -> Fetch | None:
    """Return a fetch of a random chunk from a random peer, else from the origin."""
    if sum(view.sources.values()) >= view.limits.region_fetches:
        return None
    free = [
        peer
        for peer in view.holders.values()
        if peer.busy_until <= now and peer.held & view.wanted
    ]
    if not free:
        return _from_origin(view, now, rng)
    peer = rng.choice(free)
    index = pick_bit(peer.held & view.wanted, rng)
    return Fetch(index, peer.vm, peer.region != view.region)


def _query_random(view: TransferView, now: float, rng: random.Random) -> list[str]:
    peers = sorted(view.peers)
    return rng.sample(peers, min(4, len(peers)))


def _query_nobody(view: TransferView, now: float, rng: random.Random) -> list[str]:
    return []


def _origin_is_remote(view: TransferView) -> bool:
    return bool(view.origin_region) and view.region != view.origin_region


FETCH_POLICIES: dict[str, Policy] = {
    "swarm": SWARM,
    "origin": Policy(_from_origin, _query_nobody),
    "tree": Policy(_from_parent, _query_parent),
    "random": Policy(_from_random, _query_random),
}
