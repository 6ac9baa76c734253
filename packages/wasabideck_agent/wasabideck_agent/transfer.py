"""Fetches one manifest's chunks from peers and from the origin."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.weights_settings import WeightsSettings
from wasabideck_policy.baselines import POLICIES
from wasabideck_policy.fetch_window import FetchWindow
from wasabideck_policy.manifests import CorruptChunk, Manifest
from wasabideck_policy.membership import Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.views import (
    ORIGIN,
    Fetch,
    Limits,
    View,
    begin,
    end,
    gateways,
    got,
    got_corrupt,
    hear,
    lose,
    origin_failed,
    refused,
    set_members,
)
from wasabideck_wire import inner_pb2 as pb

from .bitmaps import from_bitmap, to_bitmap
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .links import Links
from .peer_calls import PeerCalls

if TYPE_CHECKING:
    # Its client library is a fifth of an agent's start, and not used on every platform.
    from wasabideck_base.weights import Origin

__all__ = ["Transfer", "limits_of"]

# A fetch waits behind a few others at its sender; one that takes this many slots has
# stalled. The floor keeps small chunks on fast links from being given up early.
FETCH_SLOTS = 24.0
FETCH_FLOOR_SECONDS = 3.0
MIN_SLOT_SECONDS = 0.02
MAX_ASK_SECONDS = 1.0
STARVING_SLOTS = 4.0
PATIENCE_SLOTS = 16.0
PATIENCE_FLOOR_SECONDS = 2.0
# With this profile the origin's bytes weigh more than time.
PATIENT_PROFILE = "origin-bytes"
PATIENT_FACTOR = 4.0
ORIGIN_NAME = "origin"


class _Refused(WasabideckError):
    """A peer does not send the chunk now."""


def limits_of(cfg: WeightsSettings, chunk_bytes: int, spare: int = 0) -> Limits:
    """A transfer's limits, worked out from the settings."""
    slot = chunk_bytes / cfg.link_rate if cfg.link_rate else 0.0
    slot = max(slot, MIN_SLOT_SECONDS)
    patience = max(PATIENCE_SLOTS * slot, PATIENCE_FLOOR_SECONDS)
    if cfg.profile == PATIENT_PROFILE:
        patience *= PATIENT_FACTOR
    return Limits(
        cfg.fetches,
        cfg.far_fetches,
        a_peer=cfg.fetches_a_peer,
        spare=spare,
        slot=slot,
        patience=patience,
    )


@define
class Transfer:
    """One transfer of a manifest's chunks into this agent's store.

    Attributes
    ----------
    me : Member
        This agent's VM and place.
    peers_of : callable
        The agents that want or hold the same manifest, this one left out.
    sources : dict of str to int
        Bytes received per source.
    refusals, asks : int
        Fetches that a peer refused, and questions asked for holdings.
    begun, read_at : float
        When it began, and when it last read a chunk from the origin, seconds.
    """

    me: Member
    manifest: Manifest
    store: ChunkStore
    service: ChunksService
    origin: Origin
    calls: PeerCalls
    links: Links
    events: Events
    peers_of: Callable[[], list[Member]]
    cfg: WeightsSettings
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    sources: dict[str, int] = field(factory=dict)
    refusals: int = 0
    asks: int = 0
    begun: float = 0.0
    read_at: float = 0.0
    view: View = field(init=False)
    window: FetchWindow = field(init=False)
    _digest: str = field(init=False)
    _members: list[Member] = field(factory=list)
    _addresses: dict[str, str] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _reads: dict[int, asyncio.Task] = field(factory=dict)
    _fed_by: dict[str, float] = field(factory=dict)
    _news: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Begin with what the store holds."""
        self._digest = self.manifest.digest
        self.view = View(
            self.me.vm,
            self.manifest.chunks,
            self.clock(),
            self.me.region,
            self.me.data_centre,
            self.cfg.origin_region,
            limits_of(self.cfg, self.manifest.chunk_bytes, self._spare()),
            held=self.store.held(self.manifest),
        )
        limits = self.view.limits
        most = limits.near + limits.far + limits.reads
        self.window = FetchWindow(most, limits.slot)
        self.view.fed_at = self.begun = self.read_at = self.view.begun

    def _spare(self) -> int:
        """Chunks beyond the first copy that this agent may read from the origin."""
        chunks = self.cfg.spare_copies * len(self.manifest.chunks)
        return round(chunks / (len(self.peers_of()) + 1))

    async def run(self) -> None:
        """Fetch until every chunk is held and verified."""
        self.service.listeners[self._digest] = self._heard
        self._follow_members()
        asking = asyncio.create_task(self._keep_asking())
        try:
            while not self.store.whole(self.manifest):
                if asking.done():
                    asking.result()
                self._start_fetches()
                await self._wait()
        finally:
            del self.service.listeners[self._digest]
            tasks = [asking, *self._tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.service.reading.pop(self._digest, None)
            self.events.emit(
                "transfer.ended",
                manifest=self._digest,
                refusals=self.refusals,
                asks=self.asks,
                seconds=round(self.clock() - self.begun, 3),
                origin_seconds=round(self.read_at - self.begun, 3),
            )

    def still_for(self) -> float:
        """Seconds for which no chunk has come."""
        return self.clock() - max(self.view.fed_at, self.begun)

    async def _wait(self) -> None:
        """Wait for news, or for a set-back peer to be worth another try."""
        self._news.clear()
        # wait_for loses a cancel that comes together with the news: a superseded
        # transfer would go on. A timeout's scope counts cancels and loses none.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.view.limits.slot):
                await self._news.wait()

    def _start_fetches(self) -> None:
        policy = POLICIES[self.cfg.policy]
        while self.view.wanted and self.view.active.bit_count() < self.window.limit:
            fetch = policy.fetch(self.view, self.clock(), self.rng)
            if fetch is None:
                return
            self._begin(fetch)
            task = asyncio.create_task(self._fetch(fetch))
            self._tasks.add(task)
            # Not at the end of the task's own body: one that is cancelled before its
            # first step never gets there, and its chunk would count as under way.
            task.add_done_callback(partial(self._end, fetch))
            if fetch.source == ORIGIN and not fetch.spare:
                self._reads[fetch.index] = task

    def _begin(self, fetch: Fetch) -> None:
        begin(self.view, fetch)
        if fetch.far or fetch.source == ORIGIN:
            self.service.reading[self._digest] |= 1 << fetch.index

    def _end(self, fetch: Fetch, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if fetch.source == ORIGIN and not fetch.spare:
            del self._reads[fetch.index]
        end(self.view, fetch)
        if fetch.far or fetch.source == ORIGIN:
            self.service.reading[self._digest] &= ~(1 << fetch.index)
        self._news.set()

    async def _fetch(self, fetch: Fetch) -> None:
        digest = self.manifest.chunks[fetch.index]
        begun = self.clock()
        try:
            data = await self._read(fetch, digest)
            self.store.add(digest, data, fetch.source)
        except CorruptChunk as exc:
            got_corrupt(self.view, fetch, self.clock())
            self.events.emit("transfer.corrupt", source=fetch.source, why=str(exc))
        except _Refused:
            self.refusals += 1
            refused(self.view, fetch, self.clock(), self.rng)
        except LINK_FAILURES:
            self._lose(fetch.source)
        except (PlatformUnavailable, PlatformRefused):
            origin_failed(self.view, self.clock())
        else:
            self.window.took(self.clock() - begun)
            self._got(fetch, len(data))

    def _got(self, fetch: Fetch, size: int) -> None:
        got(self.view, fetch, self.clock())
        if fetch.source == ORIGIN:
            self.read_at = self.clock()
        source = fetch.source or ORIGIN_NAME
        self.sources[source] = self.sources.get(source, 0) + size

    async def _read(self, fetch: Fetch, digest: str) -> bytes:
        if fetch.far:
            await self.links.region.send(self.manifest.chunk_bytes)
        if fetch.source != ORIGIN:
            try:
                return await self._read_peer(fetch)
            except _Refused:
                # Nothing came over the region's link for the turn that was waited for.
                if fetch.far:
                    self.links.region.give_back(self.manifest.chunk_bytes)
                raise
        data = await self.origin.chunk(digest, self.me.vm)
        await self.links.down.receive(len(data))
        return data

    async def _read_peer(self, fetch: Fetch) -> bytes:
        address, view = self._address(fetch.source), self.view
        starving = self.clock() - view.fed_at > STARVING_SLOTS * view.limits.slot
        req = pb.FetchRequest(
            manifest=self._digest,
            index=fetch.index,
            vm=self.me.vm,
            have=to_bitmap(view.held),
            urgent=starving or not POLICIES[self.cfg.policy].shares,
        )
        limit = max(FETCH_SLOTS * view.limits.slot, FETCH_FLOOR_SECONDS)
        parts: list[bytes] = []
        async with contextlib.aclosing(self.calls.fetch(address, req, limit)) as coming:
            async for part in coming:
                if part.holdings or part.refused:
                    self._heard(fetch.source, from_bitmap(part.holdings), part.sent)
                if part.refused:
                    raise _Refused(fetch.source)
                self._fed_by[fetch.source] = self.clock()
                await self.links.down.receive(len(part.data))
                parts.append(part.data)
        return b"".join(parts)

    async def _keep_asking(self) -> None:
        """Ask a few peers for their holdings, now and then, or soon when starving."""
        slot = min(self.view.limits.slot, MAX_ASK_SECONDS)
        while True:
            self._follow_members()
            policy = POLICIES[self.cfg.policy]
            vms = policy.ask(self.view, self.clock(), self.rng)
            await asyncio.gather(*(self._ask(vm) for vm in vms))
            fed = self.cfg.ask_slots * slot
            await asyncio.sleep(fed if self.view.active else slot / 2)

    def _follow_members(self) -> None:
        members = self.peers_of()
        if members == self._members and self.view.owners.ranks:
            return
        self._members = members
        self._addresses = {member.vm: member.address for member in members}
        set_members(self.view, self._digest, members)
        near = [m.vm for m in members if m.region == self.me.region]
        if POLICIES[self.cfg.policy].shares:
            sharing = len(gateways(self._digest, self.me.region, [self.me.vm, *near]))
        else:
            sharing = 1 + len(near)
        self.links.region.rate = self.cfg.region_rate / sharing

    async def _ask(self, vm: str) -> None:
        self.asks += 1
        address = self._address(vm)
        req = pb.HoldingsRequest(
            manifest=self._digest, vm=self.me.vm, have=to_bitmap(self.view.held)
        )
        try:
            reply = await self.calls.holdings(address, req, self.cfg.call_seconds)
        except LINK_FAILURES:
            # Behind a full link words are late, too. While parts of chunks come, the
            # peer lives, and closing the connection would throw them away.
            fed_at = self._fed_by.get(vm, float("-inf"))
            if self.clock() - fed_at > self.cfg.call_seconds:
                self._lose(vm)
            return
        held, reading = from_bitmap(reply.bitmap), from_bitmap(reply.reading)
        self._heard(vm, held, reply.sent, reading)

    def _address(self, vm: str) -> str:
        """Address of a peer; raises ``ConnectionRefusedError`` when it is gone."""
        if address := self._addresses.get(vm):
            return address
        raise ConnectionRefusedError(vm)

    def _heard(
        self, vm: str, held: int, sent: int = 0, reading: int | None = None
    ) -> None:
        hear(self.view, vm, held, self.clock(), sent, reading)
        self._give_up_reads()
        # A view that is full of fetches cannot use the news; each wake-up costs.
        if held & self.view.wanted and self.view.active.bit_count() < self.cfg.fetches:
            self._news.set()

    def _give_up_reads(self) -> None:
        """Stop reading from the origin what a peer has by now.

        A read can stall for as long as its timeout, which has to allow for a queue
        at the origin; by then another may have read the chunk in this VM's place.
        """
        if not POLICIES[self.cfg.policy].shares:
            return
        for index, task in self._reads.items():
            if self.view.seen >> index & 1:
                task.cancel()

    def _lose(self, vm: str) -> None:
        """Take a peer for lost, and the connection to it for silent."""
        lose(self.view, vm, self.clock())
        if address := self._addresses.get(vm):
            self.calls.drop(address)
