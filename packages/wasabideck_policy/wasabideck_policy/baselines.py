"""Plain ways to distribute weights, kept to compare the swarm with."""

from __future__ import annotations

import random

from .distribution import SWARM, Policy
from .views import ORIGIN, Fetch, View, bits, pick_bit

__all__ = ["POLICIES"]

TREE_FANOUT = 2
ORIGIN_READS = 2


def _from_origin(view: View, now: float, rng: random.Random) -> Fetch | None:
    """Every VM reads every chunk from the origin."""
    if view.sources[ORIGIN] >= ORIGIN_READS or now < view.origin_busy_until:
        return None
    return Fetch(pick_bit(view.wanted, rng), ORIGIN, _origin_is_far(view))


def _from_parent(view: View, now: float, rng: random.Random) -> Fetch | None:
    """Each VM fetches from its place's parent in a fixed tree, in order."""
    parent = _parent(view)
    if parent is None:
        return _from_origin(view, now, rng)
    peer = view.peers[parent]
    there = peer.held & view.wanted
    busy = view.sources[parent] >= view.limits.near or peer.busy_until > now
    if busy or not there:
        return None
    return Fetch(next(bits(there)), parent, peer.region != view.region)


def _ask_parent(view: View, now: float, rng: random.Random) -> list[str]:
    parent = _parent(view)
    return [] if parent is None else [parent]


def _parent(view: View) -> str | None:
    vms = sorted([view.vm, *view.peers])
    place = vms.index(view.vm)
    return vms[(place - 1) // TREE_FANOUT] if place else None


def _from_random(view: View, now: float, rng: random.Random) -> Fetch | None:
    """A random chunk of a random peer, from the origin when none is known."""
    if sum(view.sources.values()) >= view.limits.near:
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


def _ask_random(view: View, now: float, rng: random.Random) -> list[str]:
    peers = sorted(view.peers)
    return rng.sample(peers, min(4, len(peers)))


def _ask_nobody(view: View, now: float, rng: random.Random) -> list[str]:
    return []


def _origin_is_far(view: View) -> bool:
    return bool(view.origin_region) and view.region != view.origin_region


POLICIES: dict[str, Policy] = {
    "swarm": SWARM,
    "origin": Policy(_from_origin, _ask_nobody),
    "tree": Policy(_from_parent, _ask_parent),
    "random": Policy(_from_random, _ask_random),
}
