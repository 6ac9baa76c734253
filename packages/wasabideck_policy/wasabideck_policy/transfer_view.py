"""What one VM knows of a transfer, and how received reports update it.

Sets of chunk indices are integers in which bit i stands for chunk i. The cost of their
unions and differences is the same with 16 VMs as with 2,100.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from attrs import define, field, frozen

from .membership import Member
from .rendezvous import rank_vms, scorer

__all__ = [
    "ORIGIN",
    "FetchRanking",
    "Fetch",
    "FetchLimits",
    "Peer",
    "TransferView",
    "record_fetch_start",
    "bits",
    "record_fetch_end",
    "gateways",
    "record_chunk",
    "record_corrupt_chunk",
    "record_holdings",
    "record_peer_failure",
    "record_origin_failure",
    "pick_bit",
    "record_refusal",
    "set_members",
]

ORIGIN = ""

# Maximum number of agents among which the reads from the origin are distributed. With
# fewer, the link of one VM would be the bottleneck of the first copies. With more, the
# agents would open more connections at once than an origin accepts; it refuses the
# excess ones.
MAX_OWNERS = 24
# Number of agents of a region that fetch chunks over the link into it; each fetches an
# equal share of the chunks.
GATEWAYS_PER_REGION = 4
# Maximum position of a VM in a chunk's ranking at which it monitors the VMs before it.
MAX_MONITORING_POSITION = 2
LOST_BACKOFF_SECONDS = 2.0
CORRUPT_BACKOFF_SLOTS = 8.0
MAX_STRIKES = 8
ORIGIN_BACKOFF_SECONDS = 0.25
# Short, because a corrupt response of the origin concerns only this one read.
ORIGIN_CORRUPT_BACKOFF_SECONDS = 0.02


@frozen
class FetchLimits:
    """Maximum concurrent fetches of a VM, and how long it waits for others.

    Attributes
    ----------
    region_fetches, cross_region_fetches, origin_reads : int
        Maximum concurrent fetches within the region, over the region's link, and
        from the origin.
    fetches_per_peer : int
        Maximum concurrent fetches from one peer.
    spare_reads : int
        Number of chunks that this VM may read from the origin although others hold
        them. The origin's link is idle once it has sent one copy, while the links of
        the VMs are saturated.
    slot_seconds : float
        Seconds that the transfer of one chunk takes on the VM's link.
    stall_seconds : float
        Seconds without progress after which the second VM in rank fetches a chunk
        instead of the first; the delay doubles with each further rank.
    """

    region_fetches: int = 3
    cross_region_fetches: int = 2
    origin_reads: int = 1
    fetches_per_peer: int = 1
    spare_reads: int = 0
    slot_seconds: float = 0.05
    stall_seconds: float = 2.0


@define
class Peer:
    """What a VM knows of another VM.

    Attributes
    ----------
    held, reading : int
        Chunks that it holds, and chunks that it currently fetches from outside its
        region.
    sent : int
        Number of chunks that it has sent.
    heard_at : float
        When its last report was recorded.
    busy_until : float
        When its current backoff ends.
    strikes : int
        Number of corrupt chunks that it sent, less one for each valid one.
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
class FetchRanking:
    """Ranking of the VMs that fetch each chunk from the origin or another region.

    Attributes
    ----------
    ranks : tuple of sequences of str
        For each chunk the VMs that may fetch it.
    positions : tuple of int
        For each chunk this VM's position among them; -1 when it is none of them.
    first, monitored : int
        Chunks for which this VM is the first in rank, and chunks for which it is the
        first or close enough to it to monitor the VMs before it.
    """

    ranks: tuple[Sequence[str], ...] = ()
    positions: tuple[int, ...] = ()
    first: int = 0
    monitored: int = 0


@frozen
class Fetch:
    """One fetch to start.

    Attributes
    ----------
    source : str
        The peer's VM; empty for the origin.
    cross_region : bool
        Whether the chunk is transferred over the link into the region.
    spare : bool
        Whether the chunk is read from the origin although others hold it.
    """

    index: int
    source: str = ORIGIN
    cross_region: bool = False
    spare: bool = False


@define
class TransferView:
    """What one VM knows of one transfer.

    Attributes
    ----------
    peers : dict of str to Peer
        All other VMs that want or hold the manifest.
    holders : dict of str to Peer
        The peers that are known to hold at least one chunk.
    held, active : int
        Chunks held here, and chunks being fetched.
    available, available_in_region : int
        Chunks that some live peer holds, anywhere and in this region.
    progress_at : float
        When a chunk last became newly available here or at a peer.
    last_received_at : float
        When this VM last received a chunk.
    sources : Counter
        Number of current fetches by source.
    cross_region_active : int
        Number of current fetches from peers over the link into the region.
    spare_reads : int
        Number of spare reads started so far.
    owners, region_fetchers : FetchRanking
        Which VMs read each chunk from the origin, and which fetch it over the link
        into the region.
    """

    vm: str
    digests: Sequence[str]
    started_at: float
    region: str = ""
    data_centre: str = ""
    origin_region: str = ""
    limits: FetchLimits = FetchLimits()
    peers: dict[str, Peer] = field(factory=dict)
    holders: dict[str, Peer] = field(factory=dict)
    held: int = 0
    active: int = 0
    available: int = 0
    available_in_region: int = 0
    progress_at: float = 0.0
    last_received_at: float = 0.0
    origin_busy_until: float = 0.0
    sources: Counter = field(factory=Counter)
    cross_region_active: int = 0
    spare_reads: int = 0
    owners: FetchRanking = FetchRanking()
    region_fetchers: FetchRanking = FetchRanking()

    @property
    def whole(self) -> int:
        """Return the set of all chunks of the manifest."""
        return (1 << len(self.digests)) - 1

    @property
    def missing(self) -> int:
        """Return the number of chunks that are not held here yet."""
        return (self.whole & ~self.held).bit_count()

    @property
    def wanted(self) -> int:
        """Return the set of chunks that are neither held here nor being fetched."""
        return self.whole & ~(self.held | self.active)


def gateways(item: str, region: str, vms: Sequence[str]) -> list[str]:
    """Return the few agents of a region that fetch an item's chunks over its link."""
    return heapq.nlargest(GATEWAYS_PER_REGION, vms, key=scorer(f"{item}/{region}"))


def set_members(view: TransferView, item: str, members: Iterable[Member]) -> None:
    """Set the members of the transfer, and rank this VM and those not shutting down.

    Each item, such as a manifest, has its own ranking.
    """
    members = [m for m in members if m.vm != view.vm]
    for member in members:
        if member.vm not in view.peers:
            view.peers[member.vm] = Peer(member.vm, member.region, member.data_centre)
    eligible = {m.vm for m in members if not m.leaving}
    for vm in view.peers.keys() - {m.vm for m in members}:
        view.holders.pop(vm, None)
        del view.peers[vm]
    _recompute_available(view)
    _rank_owners(view, item, eligible)
    local = [vm for vm in eligible if view.peers[vm].region == view.region]
    pool = gateways(item, view.region, [view.vm, *local])
    # Round robin distributes the chunks evenly over the gateways. A separate ranking by
    # hash for each chunk would give one of the few gateways far more than the others.
    rotations = [[*pool[k:], *pool[:k]] for k in range(len(pool))]
    chunks = range(len(view.digests))
    view.region_fetchers = _ranking(view.vm, [rotations[i % len(pool)] for i in chunks])


def record_holdings(
    view: TransferView,
    vm: str,
    held: int,
    now: float,
    sent: int = 0,
    reading: int | None = None,
) -> None:
    """Record what a peer reports of itself.

    It may hold fewer chunks than before: a VM that is replaced under the same name
    starts empty. If its old report were kept, nobody would read again the chunks that
    only the replaced VM held.
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
        _recompute_available(view)
    newly_available = peer.held & ~view.available
    view.available |= peer.held
    if peer.region == view.region:
        newly_available |= peer.held & ~view.available_in_region
        view.available_in_region |= peer.held
    if newly_available:
        view.progress_at = now


def record_peer_failure(view: TransferView, vm: str, now: float) -> None:
    """Record a failed call to a peer: chunks that only it held become unavailable."""
    peer = view.peers.get(vm)
    if peer is None:
        return
    peer.lost, peer.held, peer.reading = True, 0, 0
    peer.busy_until = now + LOST_BACKOFF_SECONDS
    view.holders.pop(vm, None)
    _recompute_available(view)


def record_fetch_start(view: TransferView, fetch: Fetch) -> None:
    """Record the start of a fetch."""
    view.active |= 1 << fetch.index
    view.sources[fetch.source] += 1
    view.cross_region_active += fetch.cross_region and fetch.source != ORIGIN
    view.spare_reads += fetch.spare


def record_fetch_end(view: TransferView, fetch: Fetch) -> None:
    """Record the end of a fetch, whatever its result."""
    view.active &= ~(1 << fetch.index)
    view.sources[fetch.source] -= 1
    view.cross_region_active -= fetch.cross_region and fetch.source != ORIGIN


def record_chunk(view: TransferView, fetch: Fetch, now: float) -> None:
    """Record that a fetch has received its chunk and the chunk is valid."""
    view.held |= 1 << fetch.index
    view.last_received_at = view.progress_at = now
    if peer := view.peers.get(fetch.source):
        peer.strikes = max(0, peer.strikes - 1)


def record_corrupt_chunk(view: TransferView, fetch: Fetch, now: float) -> None:
    """Record a corrupt chunk, and set a backoff for its sender.

    It grows exponentially with a peer's strikes; for the origin it is constant.
    """
    peer = view.peers.get(fetch.source)
    if peer is None:
        view.origin_busy_until = now + ORIGIN_CORRUPT_BACKOFF_SECONDS
        return
    peer.strikes = min(peer.strikes + 1, MAX_STRIKES)
    peer.busy_until = (
        now + CORRUPT_BACKOFF_SLOTS * view.limits.slot_seconds * 2**peer.strikes
    )


def record_refusal(
    view: TransferView, fetch: Fetch, now: float, rng: random.Random
) -> None:
    """Record that the sender has no free upload slot, and set a backoff for it.

    The backoff is about the time that the transfer of one chunk takes.
    """
    if peer := view.peers.get(fetch.source):
        peer.busy_until = now + view.limits.slot_seconds * rng.uniform(0.5, 1.5)


def record_origin_failure(view: TransferView, now: float) -> None:
    """Record that the origin did not respond, and set a backoff for its reads."""
    view.origin_busy_until = now + ORIGIN_BACKOFF_SECONDS


def bits(mask: int) -> Iterator[int]:
    """Yield the indices of the bits that are set, from the lowest."""
    while mask:
        lowest_bit = mask & -mask
        yield lowest_bit.bit_length() - 1
        mask ^= lowest_bit


def pick_bit(mask: int, rng: random.Random) -> int:
    """Return the index of a random bit that is set, with equal probability."""
    for _ in range(rng.randrange(mask.bit_count())):
        mask &= mask - 1
    return (mask & -mask).bit_length() - 1


def _recompute_available(view: TransferView) -> None:
    view.available = view.available_in_region = 0
    for peer in view.holders.values():
        view.available |= peer.held
        if peer.region == view.region:
            view.available_in_region |= peer.held


def _rank_owners(view: TransferView, item: str, eligible: set[str]) -> None:
    """Rank the VMs that may read from the origin.

    If the origin's region has any VMs, only these may.
    """
    region = {vm: view.peers[vm].region for vm in eligible} | {view.vm: view.region}
    in_origin_region = [vm for vm in region if region[vm] == view.origin_region]
    pool = heapq.nlargest(MAX_OWNERS, in_origin_region or region, key=scorer(item))
    view.owners = _ranking(view.vm, [rank_vms(digest, pool) for digest in view.digests])


def _ranking(vm: str, ranks: Sequence[Sequence[str]]) -> FetchRanking:
    positions = tuple(row.index(vm) if vm in row else -1 for row in ranks)
    first = sum(1 << i for i, pos in enumerate(positions) if pos == 0)
    monitored = sum(
        1 << i for i, pos in enumerate(positions) if 0 <= pos <= MAX_MONITORING_POSITION
    )
    return FetchRanking(tuple(ranks), positions, first, monitored)
