"""What one VM knows of a transfer, and how it takes in what it hears.

Sets of chunk indices are integers in which bit i stands for chunk i: unions and
differences of them cost the same for 16 VMs as for 2,100.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from attrs import define, field, frozen

from .membership import Member
from .rendezvous import rank, score

__all__ = [
    "ORIGIN",
    "Duties",
    "Fetch",
    "Limits",
    "Peer",
    "View",
    "begin",
    "bits",
    "end",
    "gateways",
    "got",
    "got_corrupt",
    "hear",
    "lose",
    "origin_failed",
    "pick_bit",
    "refused",
    "set_members",
]

ORIGIN = ""

# Agents among which the chunks' reads from the origin are spread. Fewer would make
# one VM's link the bottleneck of the first copies; more would need more connections at
# once than an origin takes, which turns the others away.
OWNER_POOL = 24
# Agents of a region that bring chunks over its link, each with an equal share of it.
GATEWAYS = 4
# Places in rank from which a VM keeps an eye on those before it.
CLOSE = 2
LOST_SECONDS = 2.0
CORRUPT_SLOTS = 8.0
MAX_STRIKES = 8
ORIGIN_SET_BACK_SECONDS = 0.25
# Other bytes than the digest names are the origin's answer to this one read only.
ORIGIN_CORRUPT_SECONDS = 0.02


@frozen
class Limits:
    """How much a VM does at once, and how long it waits for others.

    Attributes
    ----------
    near, far, reads : int
        Fetches at once within the region, over the region's link, from the origin.
    a_peer : int
        Fetches at once from one peer.
    spare : int
        Chunks that this VM may read from the origin although others hold them. Its
        link is idle once it has sent its copy, while the VMs' own are full.
    slot : float
        Seconds that one chunk takes on the VM's link.
    patience : float
        Seconds without progress after which the second in rank steps in for the
        first; twice as long again for each further one.
    """

    near: int = 3
    far: int = 2
    reads: int = 1
    a_peer: int = 1
    spare: int = 0
    slot: float = 0.05
    patience: float = 2.0


@define
class Peer:
    """What a VM knows of another VM.

    Attributes
    ----------
    held, reading : int
        Chunks that it holds, and that it reads from outside its region now.
    sent : int
        Chunks that it has sent.
    strikes : int
        Corrupt chunks that it sent, less one for each good one.
    lost : bool
        Whether the last call to it failed.
    """

    vm: str
    region: str = ""
    data_centre: str = ""
    held: int = 0
    reading: int = 0
    sent: int = 0
    heard_at: float = -math.inf
    busy_until: float = 0.0
    strikes: int = 0
    lost: bool = False


@frozen
class Duties:
    """Who fetches which chunk from outside a region, in order of rank.

    Attributes
    ----------
    ranks : tuple of sequences of str
        For each chunk the VMs that may fetch it.
    places : tuple of int
        For each chunk this VM's place among them; -1 when it is not.
    first, close : int
        Chunks for which this VM is the first, and for which it is near to it.
    """

    ranks: tuple[Sequence[str], ...] = ()
    places: tuple[int, ...] = ()
    first: int = 0
    close: int = 0


@frozen
class Fetch:
    """One fetch to start.

    Attributes
    ----------
    source : str
        The peer's VM; empty for the origin.
    far : bool
        Whether the chunk comes over the link into the region.
    spare : bool
        Whether it is read from the origin although others hold it.
    """

    index: int
    source: str = ORIGIN
    far: bool = False
    spare: bool = False


@define
class View:
    """All that one VM knows of one transfer.

    Attributes
    ----------
    peers : dict of str to Peer
        Every VM that wants or holds the manifest, this one left out.
    holders : dict of str to Peer
        Those of them that are known to hold something.
    held, active : int
        Chunks held here, and chunks being fetched.
    seen, seen_near : int
        Chunks that some living peer holds, anywhere and in this region.
    progress_at : float
        When a chunk was last seen for the first time.
    """

    vm: str
    digests: Sequence[str]
    begun: float
    region: str = ""
    data_centre: str = ""
    origin_region: str = ""
    limits: Limits = Limits()
    peers: dict[str, Peer] = field(factory=dict)
    holders: dict[str, Peer] = field(factory=dict)
    held: int = 0
    active: int = 0
    seen: int = 0
    seen_near: int = 0
    progress_at: float = 0.0
    fed_at: float = 0.0
    origin_busy_until: float = 0.0
    sources: Counter = field(factory=Counter)
    far_active: int = 0
    spare_read: int = 0
    owners: Duties = Duties()
    bringers: Duties = Duties()

    @property
    def whole(self) -> int:
        """All chunks of the manifest."""
        return (1 << len(self.digests)) - 1

    @property
    def missing(self) -> int:
        """How many chunks are not here yet."""
        return (self.whole & ~self.held).bit_count()

    @property
    def wanted(self) -> int:
        """Chunks that are neither here nor on their way."""
        return self.whole & ~(self.held | self.active)


def gateways(item: str, region: str, vms: Sequence[str]) -> list[str]:
    """The few agents of a region that bring chunks of an item over its link."""
    return heapq.nlargest(GATEWAYS, vms, key=score(f"{item}/{region}"))


def set_members(view: View, item: str, members: Iterable[Member]) -> None:
    """Take in who takes part now; an item, such as a manifest, has its own ranks."""
    members = [m for m in members if m.vm != view.vm]
    for member in members:
        if member.vm not in view.peers:
            view.peers[member.vm] = Peer(member.vm, member.region, member.data_centre)
    staying = {m.vm for m in members if not m.leaving}
    for vm in view.peers.keys() - {m.vm for m in members}:
        view.holders.pop(vm, None)
        del view.peers[vm]
    _see_again(view)
    _rank_owners(view, item, staying)
    near = [vm for vm in staying if view.peers[vm].region == view.region]
    pool = gateways(item, view.region, [view.vm, *near])
    # A pool that is gone through in turn shares the link's bytes out evenly; ranks
    # drawn for each chunk would leave one of the few gateways far behind.
    turns = [[*pool[k:], *pool[:k]] for k in range(len(pool))]
    chunks = range(len(view.digests))
    view.bringers = _duties(view.vm, [turns[i % len(pool)] for i in chunks])


def hear(
    view: View,
    vm: str,
    held: int,
    now: float,
    sent: int = 0,
    reading: int | None = None,
) -> None:
    """Take in what a peer says of itself.

    It may hold less than before: a VM that is replaced under its name comes back
    empty. Were the old word kept, nobody would read again what only it held.
    """
    peer = view.peers.get(vm)
    if peer is None:
        return
    dropped = peer.held & ~held
    peer.held = held & view.whole
    if reading is not None:
        peer.reading = reading & view.whole
    peer.sent = max(peer.sent, sent)
    peer.heard_at = now
    peer.lost = False
    if peer.held:
        view.holders[vm] = peer
    if dropped:
        view.holders = {vm: p for vm, p in view.holders.items() if p.held}
        _see_again(view)
    new = peer.held & ~view.seen
    view.seen |= peer.held
    if peer.region == view.region:
        new |= peer.held & ~view.seen_near
        view.seen_near |= peer.held
    if new:
        view.progress_at = now


def lose(view: View, vm: str, now: float) -> None:
    """A call to a peer failed: what only it held is held by nobody."""
    peer = view.peers.get(vm)
    if peer is None:
        return
    peer.lost, peer.held, peer.reading = True, 0, 0
    peer.busy_until = now + LOST_SECONDS
    view.holders.pop(vm, None)
    _see_again(view)


def begin(view: View, fetch: Fetch) -> None:
    """A fetch is under way."""
    view.active |= 1 << fetch.index
    view.sources[fetch.source] += 1
    view.far_active += fetch.far and fetch.source != ORIGIN
    view.spare_read += fetch.spare


def end(view: View, fetch: Fetch) -> None:
    """A fetch has ended, in whatever way."""
    view.active &= ~(1 << fetch.index)
    view.sources[fetch.source] -= 1
    view.far_active -= fetch.far and fetch.source != ORIGIN


def got(view: View, fetch: Fetch, now: float) -> None:
    """A fetch brought its chunk, verified."""
    view.held |= 1 << fetch.index
    view.fed_at = view.progress_at = now
    if peer := view.peers.get(fetch.source):
        peer.strikes = max(0, peer.strikes - 1)


def got_corrupt(view: View, fetch: Fetch, now: float) -> None:
    """A fetch brought other bytes: its sender is left alone, longer each time."""
    peer = view.peers.get(fetch.source)
    if peer is None:
        view.origin_busy_until = now + ORIGIN_CORRUPT_SECONDS
        return
    peer.strikes = min(peer.strikes + 1, MAX_STRIKES)
    peer.busy_until = now + CORRUPT_SLOTS * view.limits.slot * 2**peer.strikes


def refused(view: View, fetch: Fetch, now: float, rng: random.Random) -> None:
    """The sender has no upload free: try it again in about a slot."""
    if peer := view.peers.get(fetch.source):
        peer.busy_until = now + view.limits.slot * rng.uniform(0.5, 1.5)


def origin_failed(view: View, now: float) -> None:
    """The origin gave no answer: read on in a while."""
    view.origin_busy_until = now + ORIGIN_SET_BACK_SECONDS


def bits(mask: int) -> Iterator[int]:
    """Indices of the bits that are set, from the lowest."""
    while mask:
        low = mask & -mask
        yield low.bit_length() - 1
        mask ^= low


def pick_bit(mask: int, rng: random.Random) -> int:
    """Index of one of the bits that are set, each as likely."""
    for _ in range(rng.randrange(mask.bit_count())):
        mask &= mask - 1
    return (mask & -mask).bit_length() - 1


def _see_again(view: View) -> None:
    view.seen = view.seen_near = 0
    for peer in view.holders.values():
        view.seen |= peer.held
        if peer.region == view.region:
            view.seen_near |= peer.held


def _rank_owners(view: View, item: str, staying: set[str]) -> None:
    """Rank those who may read from the origin, in its own region if it has any."""
    region = {vm: view.peers[vm].region for vm in staying} | {view.vm: view.region}
    at_home = [vm for vm in region if region[vm] == view.origin_region]
    pool = heapq.nlargest(OWNER_POOL, at_home or region, key=score(item))
    view.owners = _duties(view.vm, [rank(digest, pool) for digest in view.digests])


def _duties(vm: str, ranks: Sequence[Sequence[str]]) -> Duties:
    places = tuple(row.index(vm) if vm in row else -1 for row in ranks)
    first = sum(1 << i for i, place in enumerate(places) if place == 0)
    close = sum(1 << i for i, place in enumerate(places) if 0 <= place <= CLOSE)
    return Duties(tuple(ranks), places, first, close)
