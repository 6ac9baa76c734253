"""Drives one VM's view of a transfer, tick by tick, against fake peers."""

import hashlib

from attrs import define, field
from wasabideck_policy.fetch_policy import choose_fetch, peers_to_query
from wasabideck_policy.manifests import CorruptChunk, Manifest, chunk_digest
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.transfer_view import (
    ORIGIN,
    FetchLimits,
    TransferView,
    bits,
    record_chunk,
    record_corrupt_chunk,
    record_fetch_end,
    record_fetch_start,
    record_holdings,
    record_origin_failure,
    record_peer_failure,
    record_refusal,
    set_members,
)

SLOT_SECONDS = 0.1
TICK_SECONDS = SLOT_SECONDS / 2
CROSS_REGION_SLOTS = 4
CHUNKS = 8
TEXTS = [f"chunk {i}" for i in range(CHUNKS)]
ALL_CHUNKS = (1 << CHUNKS) - 1


def manifest_of(version, texts):
    """Return a manifest whose chunks are the given texts."""
    digests = tuple(chunk_digest(text.encode()) for text in texts)
    return Manifest("m", version, 8, 8 * len(texts), digests)


@define
class FakePeer:
    """Another VM: the chunks that it holds from given times on, and how it fails."""

    vm: str
    region: str = "r1"
    holds: dict[float, int] = field(factory=dict)
    corrupt: int = 0
    unresponsive_between: tuple[float, float] = (0.0, 0.0)
    restarts_at: float = 1e9

    def held_chunks(self, now):
        mask = 0
        if now >= self.restarts_at:
            return mask
        for since, chunks in self.holds.items():
            mask |= chunks if since <= now else 0
        return mask

    def unresponsive(self, now):
        return self.unresponsive_between[0] <= now < self.unresponsive_between[1]


@define
class Session:
    """One VM's transfer, and the log of its steps."""

    vm: str
    manifest: Manifest
    texts: list[str]
    store: object
    peers: dict[str, FakePeer]
    rng: object
    region: str = "r1"
    origin_down: tuple[float, float] = (0.0, 0.0)
    started_at: float = 0.0
    log: list[str] = field(factory=list)
    view: TransferView = field(init=False)
    _pending: list = field(factory=list)

    def __attrs_post_init__(self):
        self.store.add_manifest(self.manifest)
        self.view = TransferView(
            self.vm,
            self.manifest.chunks,
            self.started_at,
            self.region,
            origin_region="r1",
            limits=FetchLimits(
                region_fetches=2, slot_seconds=SLOT_SECONDS, stall_seconds=1.0
            ),
            held=self.store.held_chunks(self.manifest),
            progress_at=self.started_at,
        )
        self.set_peers()

    def set_peers(self):
        members = [Member(p.vm, AGENT, "", p.region) for p in self.peers.values()]
        set_members(self.view, self.manifest.digest, members)

    def run(self, until):
        """Run from the start to a given time, or until the weights are complete."""
        ticks = round((until - self.started_at) / TICK_SECONDS)
        for tick in range(ticks):
            now = round(self.started_at + tick * TICK_SECONDS, 3)
            self._end_fetches(now)
            if self.store.is_complete(self.manifest):
                self._log_step(now, "whole")
                return
            self._query_peers(now)
            while fetch := choose_fetch(self.view, now, self.rng):
                record_fetch_start(self.view, fetch)
                slots = CROSS_REGION_SLOTS if fetch.cross_region else 1
                self._pending.append((round(now + slots * SLOT_SECONDS, 3), fetch))
                self._log_step(now, f"fetch {fetch.index} {fetch.source or 'origin'}")
        held = " ".join(map(str, bits(self.store.held_chunks(self.manifest))))
        self._log_step(until, f"stopped with {held}")

    def _log_step(self, now, text):
        self.log.append(f"{now:.2f} {text}")

    def _query_peers(self, now):
        for vm in peers_to_query(self.view, now, self.rng):
            if self.peers[vm].unresponsive(now):
                self._log_step(now, f"no word from {vm}")
                record_peer_failure(self.view, vm, now)
            else:
                record_holdings(self.view, vm, self.peers[vm].held_chunks(now), now)

    def _end_fetches(self, now):
        for ends_at, fetch in [row for row in self._pending if row[0] <= now]:
            self._pending.remove((ends_at, fetch))
            self._log_step(now, f"{self._outcome(fetch, now)} {fetch.index}")
            record_fetch_end(self.view, fetch)

    def _outcome(self, fetch, now):
        data = self.texts[fetch.index].encode()
        peer = self.peers.get(fetch.source)
        if fetch.source == ORIGIN and self.origin_down[0] <= now < self.origin_down[1]:
            record_origin_failure(self.view, now)
            return "origin down"
        if peer and peer.unresponsive(now):
            record_peer_failure(self.view, peer.vm, now)
            return f"lost {peer.vm}"
        if peer and not peer.held_chunks(now) >> fetch.index & 1:
            record_holdings(self.view, peer.vm, peer.held_chunks(now), now)
            record_refusal(self.view, fetch, now, self.rng)
            return f"refused by {peer.vm}"
        if peer and peer.corrupt >> fetch.index & 1:
            data = hashlib.sha256(data).digest()
        try:
            self.store.add_chunk(self.manifest.chunks[fetch.index], data, fetch.source)
        except CorruptChunk:
            record_corrupt_chunk(self.view, fetch, now)
            return f"corrupt from {fetch.source}"
        record_chunk(self.view, fetch, now)
        return "got"
