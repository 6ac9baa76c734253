"""Which chunk a VM fetches next, from which source, and which peers it queries."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from .transfer_view import (
    ORIGIN,
    Fetch,
    FetchRanking,
    Peer,
    TransferView,
    bits,
    pick_bit,
)

__all__ = [
    "SWARM",
    "Policy",
    "may_fetch_from_outside",
    "choose_fetch",
    "peers_to_query",
]

# Maximum number of holders that one decision considers, so that its cost does not grow
# with the fleet.
MAX_HOLDERS_CONSIDERED = 64
# Number of peers queried for their holdings at a time: more while no known peer holds a
# wanted chunk.
STARVED_QUERIES = 4
SUPPLIED_QUERIES = 1
MAX_RANK_CHECKS = 2
# A VM again queries a neighbour in rank from which it has received nothing for this
# time.
RANK_CHECK_SECONDS = 1.0
# After this many times the duration of one complete copy on a link, the first VM in
# rank for a chunk is considered too slow, as its share is only a small part of a copy.
# A maximum time without progress is not enough, since a slow VM still makes progress:
# a region waited 9 s for the chunks of one VM whose link was reduced to a quarter of
# its rate, which other VMs can fetch in 1 s.
OVERDUE_COPY_RATIO = 0.6
# On fast links latency dominates the duration, and does not make a VM too slow.
MIN_OVERDUE_SECONDS = 1.5


@frozen
class Policy:
    """A policy by which weights are distributed.

    Attributes
    ----------
    choose_fetch : callable
        Returns the next fetch for a view, ``now`` and ``rng``; None to wait.
    peers_to_query : callable
        Returns the VMs to query for their holdings now.
    limits_uploads : bool
        Whether a VM that has sent its fair share refuses requests of VMs that are not
        starved.
    """

    choose_fetch: Callable[[TransferView, float, random.Random], Fetch | None]
    peers_to_query: Callable[[TransferView, float, random.Random], list[str]]
    limits_uploads: bool = False


def choose_fetch(view: TransferView, now: float, rng: random.Random) -> Fetch | None:
    """Return the next fetch of a VM, or None when it has to wait.

    Chunks that other VMs wait for come first: reads from the origin of the chunks
    that this VM owns, then chunks that it fetches into its region. All other chunks
    come from the data centre, else from the region, rarest first with random ties.
    """
    wanted = view.wanted
    if not wanted:
        return None
    return (
        _read_origin(view, wanted, now)
        or _fetch_into_region(view, wanted, now, rng)
        or _fetch_in_region(view, wanted, now, rng)
        or _read_spare(view, wanted, now, rng)
    )


def peers_to_query(view: TransferView, now: float, rng: random.Random) -> list[str]:
    """Return the few peers to query for their holdings now, at any fleet size."""
    if not view.wanted:
        return []
    useful = any(p.held & view.wanted for p in view.holders.values())
    local = [p for p in view.peers.values() if p.region == view.region]
    queried = _sample_incomplete(
        view, local, SUPPLIED_QUERIES if useful else STARVED_QUERIES, now, rng
    )
    if view.region_fetchers.first:
        remote = [p for p in view.peers.values() if p.region != view.region]
        queried += _sample_incomplete(view, remote, MAX_RANK_CHECKS, now, rng)
    return list(dict.fromkeys([*_rank_checks(view, now), *queried]))


def may_fetch_from_outside(
    view: TransferView, ranking: FetchRanking, index: int, now: float
) -> bool:
    """Whether this VM may fetch a chunk from outside its region.

    The first VM in rank may do so at once. A later one may when all VMs before it are
    lost, or after a delay that doubles with each rank: either a short delay without
    any progress of the transfer, or a longer one, within which the VMs before it would
    have finished on healthy links.
    """
    position = ranking.positions[index]
    if position <= 0:
        return position == 0
    times = 2**position - 1
    if (
        now - max(view.started_at, view.progress_at)
        >= view.limits.stall_seconds * times
    ):
        return True
    if now - view.started_at >= _overdue_seconds(view) * times:
        return True
    before = (view.peers.get(vm) for vm in ranking.ranks[index][:position])
    return all(peer is None or peer.lost for peer in before)


def _overdue_seconds(view: TransferView) -> float:
    """Return the seconds after which the first in rank should have fetched its chunks.

    They are counted from the start of the transfer.
    """
    copy_seconds = len(view.digests) * view.limits.slot_seconds
    return max(OVERDUE_COPY_RATIO * copy_seconds, MIN_OVERDUE_SECONDS)


def _permitted(
    view: TransferView, ranking: FetchRanking, missing: int, now: float
) -> int:
    """Return the missing chunks that this VM may fetch from outside its region."""
    permitted = missing & ranking.first
    waited = now - max(view.started_at, view.progress_at)
    late = (
        waited >= view.limits.stall_seconds
        or now - view.started_at >= _overdue_seconds(view)
    )
    if late or any(p.lost for p in view.peers.values()):
        for index in bits(missing & ~permitted):
            if may_fetch_from_outside(view, ranking, index, now):
                permitted |= 1 << index
    return permitted


def _read_origin(view: TransferView, wanted: int, now: float) -> Fetch | None:
    busy = (
        view.sources[ORIGIN] >= view.limits.origin_reads or now < view.origin_busy_until
    )
    unavailable = wanted & ~view.available
    if busy or not unavailable:
        return None
    for index in bits(_permitted(view, view.owners, unavailable, now)):
        if _unread_by_next(view, index, now):
            cross_region = (
                bool(view.origin_region) and view.region != view.origin_region
            )
            return Fetch(index, ORIGIN, cross_region)
    return None


def _unread_by_next(view: TransferView, index: int, now: float) -> bool:
    """Whether the next VM in rank has not already started to read the chunk.

    Shortly after the start of a transfer the answer is no until that VM has reported.
    A VM that joins late may be the first in rank for a chunk that the VM after it has
    read long ago. Reading it again would cost the origin another copy.
    """
    successor = _next_in_rank(view, view.owners, index)
    if successor is None or now - view.started_at >= RANK_CHECK_SECONDS:
        return successor is None or not successor.reading >> index & 1
    return successor.heard_at >= view.started_at and not successor.reading >> index & 1


def _next_in_rank(view: TransferView, ranking: FetchRanking, index: int) -> Peer | None:
    """Return the next VM in rank after this one that is not lost, or None."""
    later = ranking.ranks[index][ranking.positions[index] + 1 :]
    peers = (view.peers[vm] for vm in later if vm in view.peers)
    return next((peer for peer in peers if not peer.lost), None)


def _fetch_into_region(
    view: TransferView, wanted: int, now: float, rng: random.Random
) -> Fetch | None:
    lacking = wanted & ~view.available_in_region
    if view.cross_region_active >= view.limits.cross_region_fetches or not lacking:
        return None
    remote = [p for p in view.holders.values() if p.region != view.region]
    free = [p for p in remote if p.busy_until <= now and p.held & lacking]
    available = 0
    for peer in free:
        available |= peer.held & lacking
    permitted = _permitted(view, view.region_fetchers, available, now)
    if not permitted:
        return None
    index = pick_bit(permitted, rng)
    holders = [p for p in free if p.held >> index & 1]
    return Fetch(index, _less_loaded(holders, rng).vm, cross_region=True)


def _fetch_in_region(
    view: TransferView, wanted: int, now: float, rng: random.Random
) -> Fetch | None:
    active = (
        sum(view.sources.values()) - view.sources[ORIGIN] - view.cross_region_active
    )
    if active >= view.limits.region_fetches:
        return None
    known = [p for p in view.holders.values() if p.region == view.region]
    if len(known) > MAX_HOLDERS_CONSIDERED:
        known = rng.sample(known, MAX_HOLDERS_CONSIDERED)
    idle = [p for p in known if view.sources[p.vm] < view.limits.fetches_per_peer]
    free = [p for p in idle if p.busy_until <= now and p.held & wanted]
    in_data_centre = [p for p in free if p.data_centre == view.data_centre]
    free = in_data_centre or free
    if not free:
        return None
    index = _rarest(wanted, free, known, rng)
    holders = [p for p in free if p.held >> index & 1]
    return Fetch(index, _less_loaded(holders, rng).vm)


def _read_spare(
    view: TransferView, wanted: int, now: float, rng: random.Random
) -> Fetch | None:
    """Return the origin read of a chunk that others hold, while its link is idle.

    Such a read starts only once every wanted chunk is held by some peer, so that it
    delays no first read of a chunk.
    """
    if view.spare_reads >= view.limits.spare_reads or wanted & ~view.available:
        return None
    if view.sources[ORIGIN] >= view.limits.origin_reads or now < view.origin_busy_until:
        return None
    local = [p for p in view.holders.values() if p.region == view.region]
    index = _rarest(wanted, local, local, rng) if local else pick_bit(wanted, rng)
    return Fetch(index, ORIGIN, spare=True)


def _rarest(
    wanted: int, free: Sequence[Peer], known: Sequence[Peer], rng: random.Random
) -> int:
    """Return the wanted chunk with the fewest known holders; ties break at random."""
    available = 0
    for peer in free:
        available |= peer.held
    available = available & wanted or wanted
    # Counts the holders of all chunks at once, as masks of the chunks that have at
    # least one, two and three holders.
    one = two = three = 0
    for peer in known:
        three |= two & peer.held
        two |= one & peer.held
        one |= peer.held
    for rare in (~two, ~three):
        if available & rare:
            return pick_bit(available & rare, rng)
    return pick_bit(available, rng)


def _less_loaded(holders: Sequence[Peer], rng: random.Random) -> Peer:
    """Return the one of two random holders that has sent fewer chunks.

    Power of two choices: all VMs have similar views, so they would all choose the
    least loaded of all holders at the same time.
    """
    sample = rng.sample(holders, min(2, len(holders)))
    return min(sample, key=lambda peer: peer.sent)


def _sample_incomplete(
    view: TransferView,
    peers: Iterable[Peer],
    count: int,
    now: float,
    rng: random.Random,
) -> list[str]:
    """Return random peers that are not known to hold all chunks.

    A peer that holds all chunks has nothing new to report. Lost peers are left out
    until their backoff ends.
    """
    whole = view.whole
    candidates = [
        p.vm for p in peers if p.held != whole and (not p.lost or p.busy_until <= now)
    ]
    return rng.sample(candidates, min(count, len(candidates)))


def _rank_checks(view: TransferView, now: float) -> list[str]:
    """Return neighbours in rank to query, for chunks that nobody is known to hold."""
    checks: dict[str, None] = {}
    for missing, ranking in (
        (view.wanted & ~view.available, view.owners),
        (view.wanted & ~view.available_in_region, view.region_fetchers),
    ):
        for index in bits(missing & ranking.monitored):
            if len(checks) >= MAX_RANK_CHECKS:
                return list(checks)
            checks.update(dict.fromkeys(_rank_neighbours(view, ranking, index, now)))
    return list(checks)[:MAX_RANK_CHECKS]


def _rank_neighbours(
    view: TransferView, ranking: FetchRanking, index: int, now: float
) -> list[str]:
    """Return the VMs next to this one in rank from which a report is due.

    These are the nearest VM before this one that is not lost and, if this VM is the
    first in rank, the next VM after it, as long as nothing was received from it since
    the start of the transfer.
    """
    position = ranking.positions[index]
    earlier = reversed(ranking.ranks[index][:position])
    before = (view.peers[vm] for vm in earlier if vm in view.peers)
    neighbours = [p for p in before if not p.lost][:1]
    successor = _next_in_rank(view, ranking, index) if position == 0 else None
    if successor is not None and successor.heard_at < view.started_at:
        neighbours.append(successor)
    return [p.vm for p in neighbours if now - p.heard_at >= RANK_CHECK_SECONDS]


SWARM = Policy(choose_fetch, peers_to_query, limits_uploads=True)
