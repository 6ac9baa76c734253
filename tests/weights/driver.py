"""Drives one VM's view of a transfer, tick by tick, against small fakes."""

import hashlib

from attrs import define, field
from wasabideck_policy.distribution import next_fetch, whom_to_ask
from wasabideck_policy.manifests import CorruptChunk, Manifest, chunk_digest
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.views import (
    ORIGIN,
    Limits,
    View,
    begin,
    bits,
    end,
    got,
    got_corrupt,
    hear,
    lose,
    origin_failed,
    refused,
    set_members,
)

SLOT = 0.1
TICK = SLOT / 2
FAR_SLOTS = 4
CHUNKS = 8
TEXTS = [f"chunk {i}" for i in range(CHUNKS)]
ALL = (1 << CHUNKS) - 1


def manifest_of(version, texts):
    """A manifest whose chunks are the given texts."""
    digests = tuple(chunk_digest(text.encode()) for text in texts)
    return Manifest("m", version, 8, 8 * len(texts), digests)


@define
class FakePeer:
    """Another VM: what it holds from which moment on, and how it fails."""

    vm: str
    region: str = "r1"
    holds: dict[float, int] = field(factory=dict)
    corrupt: int = 0
    cut: tuple[float, float] = (0.0, 0.0)
    restarts: float = 1e9

    def held(self, now):
        mask = 0
        if now >= self.restarts:
            return mask
        for since, more in self.holds.items():
            mask |= more if since <= now else 0
        return mask

    def silent(self, now):
        return self.cut[0] <= now < self.cut[1]


@define
class Session:
    """One VM's transfer, and the log of all that it did."""

    vm: str
    manifest: Manifest
    texts: list[str]
    store: object
    peers: dict[str, FakePeer]
    rng: object
    region: str = "r1"
    origin_down: tuple[float, float] = (0.0, 0.0)
    begun: float = 0.0
    log: list[str] = field(factory=list)
    view: View = field(init=False)
    _due: list = field(factory=list)

    def __attrs_post_init__(self):
        self.store.know(self.manifest)
        self.view = View(
            self.vm,
            self.manifest.chunks,
            self.begun,
            self.region,
            origin_region="r1",
            limits=Limits(near=2, slot=SLOT, patience=1.0),
            held=self.store.held(self.manifest),
            progress_at=self.begun,
        )
        self.follow()

    def follow(self):
        members = [Member(p.vm, AGENT, "", p.region) for p in self.peers.values()]
        set_members(self.view, self.manifest.digest, members)

    def run(self, until):
        """Go on from the begin to a moment, or until the weights are whole."""
        ticks = round((until - self.begun) / TICK)
        for tick in range(ticks):
            now = round(self.begun + tick * TICK, 3)
            self._finish(now)
            if self.store.whole(self.manifest):
                self._note(now, "whole")
                return
            self._ask(now)
            while fetch := next_fetch(self.view, now, self.rng):
                begin(self.view, fetch)
                slots = FAR_SLOTS if fetch.far else 1
                self._due.append((round(now + slots * SLOT, 3), fetch))
                self._note(now, f"fetch {fetch.index} {fetch.source or 'origin'}")
        held = " ".join(map(str, bits(self.store.held(self.manifest))))
        self._note(until, f"stopped with {held}")

    def _note(self, now, text):
        self.log.append(f"{now:.2f} {text}")

    def _ask(self, now):
        for vm in whom_to_ask(self.view, now, self.rng):
            if self.peers[vm].silent(now):
                self._note(now, f"no word from {vm}")
                lose(self.view, vm, now)
            else:
                hear(self.view, vm, self.peers[vm].held(now), now)

    def _finish(self, now):
        for due, fetch in [row for row in self._due if row[0] <= now]:
            self._due.remove((due, fetch))
            self._note(now, f"{self._outcome(fetch, now)} {fetch.index}")
            end(self.view, fetch)

    def _outcome(self, fetch, now):
        data = self.texts[fetch.index].encode()
        peer = self.peers.get(fetch.source)
        if fetch.source == ORIGIN and self.origin_down[0] <= now < self.origin_down[1]:
            origin_failed(self.view, now)
            return "origin down"
        if peer and peer.silent(now):
            lose(self.view, peer.vm, now)
            return f"lost {peer.vm}"
        if peer and not peer.held(now) >> fetch.index & 1:
            hear(self.view, peer.vm, peer.held(now), now)
            refused(self.view, fetch, now, self.rng)
            return f"refused by {peer.vm}"
        if peer and peer.corrupt >> fetch.index & 1:
            data = hashlib.sha256(data).digest()
        try:
            self.store.add(self.manifest.chunks[fetch.index], data, fetch.source)
        except CorruptChunk:
            got_corrupt(self.view, fetch, now)
            return f"corrupt from {fetch.source}"
        got(self.view, fetch, now)
        return "got"
