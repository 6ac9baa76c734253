"""Which chunk a VM fetches next, from whom, and whose holdings it asks for."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from .views import ORIGIN, Duties, Fetch, Peer, View, bits, pick_bit

__all__ = ["SWARM", "Policy", "may_reach_out", "next_fetch", "whom_to_ask"]

# A view counts at most so many holders at a time, so that a decision's cost does not
# grow with the fleet.
WEIGHED_HOLDERS = 64
ASKS_STARVING = 4
ASKS_FED = 1
CHECKS = 2
# A VM asks those before it in rank again after so many seconds without word.
CHECK_SECONDS = 1.0
# The first in rank for a chunk is taken to be too slow after so many times of a whole
# copy on a link. Its share is a small part of a copy; while it gets that done, however
# slowly, there is progress, and a region waited 9 s for the chunks of one VM whose
# link had narrowed to a quarter, which others bring in 1 s.
OVERDUE_COPIES = 0.6
# On fast links latencies decide, and no VM is slow because of them (seconds).
OVERDUE_FLOOR_SECONDS = 1.5


@frozen
class Policy:
    """A way to distribute weights.

    Attributes
    ----------
    fetch : callable
        The next fetch for a view, ``now`` and ``rng``; None to wait.
    ask : callable
        The VMs to ask for their holdings now.
    shares : bool
        Whether a VM that has sent its share refuses those who are not in need.
    """

    fetch: Callable[[View, float, random.Random], Fetch | None]
    ask: Callable[[View, float, random.Random], list[str]]
    shares: bool = False


def next_fetch(view: View, now: float, rng: random.Random) -> Fetch | None:
    """The next fetch of a VM, or None when it has to wait.

    Duties go first, as everyone waits for them: reads from the origin of the chunks
    that this VM owns, then chunks that it brings into its region. All else comes
    from the data centre, then the region, rarest first with random ties.
    """
    wanted = view.wanted
    if not wanted:
        return None
    return (
        _read_origin(view, wanted, now)
        or _bring_far(view, wanted, now, rng)
        or _fetch_near(view, wanted, now, rng)
        or _read_spare(view, wanted, now, rng)
    )


def whom_to_ask(view: View, now: float, rng: random.Random) -> list[str]:
    """Peers whose holdings to ask for now: a few, however large the fleet is."""
    if not view.wanted:
        return []
    useful = any(p.held & view.wanted for p in view.holders.values())
    near = [p for p in view.peers.values() if p.region == view.region]
    asked = _draw(view, near, ASKS_FED if useful else ASKS_STARVING, now, rng)
    if view.bringers.first:
        far = [p for p in view.peers.values() if p.region != view.region]
        asked += _draw(view, far, CHECKS, now, rng)
    return list(dict.fromkeys([*_checks(view, now), *asked]))


def may_reach_out(view: View, duties: Duties, index: int, now: float) -> bool:
    """Whether this VM may fetch a chunk from outside its region.

    The first in rank may at once. Another may when all before it are lost, or after
    a delay that doubles with each rank: a short one without any progress, or one that
    those before it would not need on a sound link.
    """
    place = duties.places[index]
    if place <= 0:
        return place == 0
    times = 2**place - 1
    if now - max(view.begun, view.progress_at) >= view.limits.patience * times:
        return True
    if now - view.begun >= _overdue(view) * times:
        return True
    before = (view.peers.get(vm) for vm in duties.ranks[index][:place])
    return all(peer is None or peer.lost for peer in before)


def _overdue(view: View) -> float:
    """Seconds after which the first in rank should have done its duties."""
    copy = len(view.digests) * view.limits.slot
    return max(OVERDUE_COPIES * copy, OVERDUE_FLOOR_SECONDS)


def _due(view: View, duties: Duties, missing: int, now: float) -> int:
    """Chunks among the missing that this VM may fetch from outside."""
    due = missing & duties.first
    waited = now - max(view.begun, view.progress_at)
    late = waited >= view.limits.patience or now - view.begun >= _overdue(view)
    if late or any(p.lost for p in view.peers.values()):
        for index in bits(missing & ~due):
            if may_reach_out(view, duties, index, now):
                due |= 1 << index
    return due


def _read_origin(view: View, wanted: int, now: float) -> Fetch | None:
    busy = view.sources[ORIGIN] >= view.limits.reads or now < view.origin_busy_until
    unseen = wanted & ~view.seen
    if busy or not unseen:
        return None
    for index in bits(_due(view, view.owners, unseen, now)):
        if _checked(view, index, now):
            far = bool(view.origin_region) and view.region != view.origin_region
            return Fetch(index, ORIGIN, far)
    return None


def _checked(view: View, index: int, now: float) -> bool:
    """Whether the next in rank does not have the chunk already.

    A VM that joins late may come first in rank for a chunk that the one after it has
    read long ago; reading it again would cost the origin a copy.
    """
    after = _after(view, view.owners, index)
    if after is None or now - view.begun >= CHECK_SECONDS:
        return after is None or not after.reading >> index & 1
    return after.heard_at >= view.begun and not after.reading >> index & 1


def _after(view: View, duties: Duties, index: int) -> Peer | None:
    """The next in rank after this VM that is not lost."""
    later = duties.ranks[index][duties.places[index] + 1 :]
    peers = (view.peers[vm] for vm in later if vm in view.peers)
    return next((peer for peer in peers if not peer.lost), None)


def _bring_far(view: View, wanted: int, now: float, rng: random.Random) -> Fetch | None:
    lacking = wanted & ~view.seen_near
    if view.far_active >= view.limits.far or not lacking:
        return None
    far = [p for p in view.holders.values() if p.region != view.region]
    free = [p for p in far if p.busy_until <= now and p.held & lacking]
    there = 0
    for peer in free:
        there |= peer.held & lacking
    due = _due(view, view.bringers, there, now)
    if not due:
        return None
    index = pick_bit(due, rng)
    holders = [p for p in free if p.held >> index & 1]
    return Fetch(index, _least_sent(holders, rng).vm, far=True)


def _fetch_near(
    view: View, wanted: int, now: float, rng: random.Random
) -> Fetch | None:
    near = sum(view.sources.values()) - view.sources[ORIGIN] - view.far_active
    if near >= view.limits.near:
        return None
    known = [p for p in view.holders.values() if p.region == view.region]
    if len(known) > WEIGHED_HOLDERS:
        known = rng.sample(known, WEIGHED_HOLDERS)
    idle = [p for p in known if view.sources[p.vm] < view.limits.a_peer]
    free = [p for p in idle if p.busy_until <= now and p.held & wanted]
    same = [p for p in free if p.data_centre == view.data_centre]
    free = same or free
    if not free:
        return None
    index = _rarest(wanted, free, known, rng)
    holders = [p for p in free if p.held >> index & 1]
    return Fetch(index, _least_sent(holders, rng).vm)


def _read_spare(
    view: View, wanted: int, now: float, rng: random.Random
) -> Fetch | None:
    """A chunk that others hold, from the origin, when its link has nothing to do.

    Only once every chunk has been seen, so that no first read waits for it.
    """
    if view.spare_read >= view.limits.spare or wanted & ~view.seen:
        return None
    if view.sources[ORIGIN] >= view.limits.reads or now < view.origin_busy_until:
        return None
    near = [p for p in view.holders.values() if p.region == view.region]
    index = _rarest(wanted, near, near, rng) if near else pick_bit(wanted, rng)
    return Fetch(index, ORIGIN, spare=True)


def _rarest(
    wanted: int, free: Sequence[Peer], known: Sequence[Peer], rng: random.Random
) -> int:
    """The wanted chunk that fewest of the known hold; ties are broken at random."""
    there = 0
    for peer in free:
        there |= peer.held
    there = there & wanted or wanted
    # Bit by bit counting, saturated at four: at least one, two, three holders.
    one = two = three = 0
    for peer in known:
        three |= two & peer.held
        two |= one & peer.held
        one |= peer.held
    for level in (~two, ~three):
        if there & level:
            return pick_bit(there & level, rng)
    return pick_bit(there, rng)


def _least_sent(holders: Sequence[Peer], rng: random.Random) -> Peer:
    """Of two drawn at random the one that has sent less.

    The least of all would be drawn by everyone at once, as views are alike.
    """
    drawn = rng.sample(holders, min(2, len(holders)))
    return min(drawn, key=lambda peer: peer.sent)


def _draw(
    view: View, peers: Iterable[Peer], count: int, now: float, rng: random.Random
) -> list[str]:
    """Some peers that may have news, drawn afresh from all."""
    whole = view.whole
    open_ones = [
        p.vm for p in peers if p.held != whole and (not p.lost or p.busy_until <= now)
    ]
    return rng.sample(open_ones, min(count, len(open_ones)))


def _checks(view: View, now: float) -> list[str]:
    """Neighbours in rank, for duties that nobody is known to have done."""
    checks: dict[str, None] = {}
    for missing, duties in (
        (view.wanted & ~view.seen, view.owners),
        (view.wanted & ~view.seen_near, view.bringers),
    ):
        for index in bits(missing & duties.close):
            if len(checks) >= CHECKS:
                return list(checks)
            checks.update(dict.fromkeys(_neighbours(view, duties, index, now)))
    return list(checks)[:CHECKS]


def _neighbours(view: View, duties: Duties, index: int, now: float) -> list[str]:
    """The last before this VM that is not lost, and the first after it at first."""
    place = duties.places[index]
    earlier = reversed(duties.ranks[index][:place])
    before = (view.peers[vm] for vm in earlier if vm in view.peers)
    found = [p for p in before if not p.lost][:1]
    after = _after(view, duties, index) if place == 0 else None
    if after is not None and after.heard_at < view.begun:
        found.append(after)
    return [p.vm for p in found if now - p.heard_at >= CHECK_SECONDS]


SWARM = Policy(next_fetch, whom_to_ask, shares=True)
