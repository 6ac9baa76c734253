"""Fetches the chunks of one manifest from peers and from the origin."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.weights_settings import WeightsSettings
from wasabideck_policy.baseline_policies import FETCH_POLICIES
from wasabideck_policy.fetch_window import FetchWindow
from wasabideck_policy.manifests import CorruptChunk, Manifest
from wasabideck_policy.membership import Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.transfer_view import (
    ORIGIN,
    Fetch,
    FetchLimits,
    TransferView,
    gateways,
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
from wasabideck_wire import inner_pb2 as pb

from .bitmaps import from_bitmap, to_bitmap
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .links import Links
from .peer_calls import PeerCalls

if TYPE_CHECKING:
    # The library of this client takes a fifth of an agent's startup time, and is not
    # used on every platform.
    from wasabideck_base.weight_origin import WeightOriginClient

__all__ = ["Transfer", "limits_of"]

# A fetch waits behind a few others at its sender; one that takes this many slots has
# stalled. The minimum keeps small chunks on fast links from being cancelled early.
FETCH_TIMEOUT_SLOTS = 24.0
MIN_FETCH_TIMEOUT_SECONDS = 3.0
MIN_SLOT_SECONDS = 0.02
MAX_POLL_SLOT_SECONDS = 1.0
STARVING_SLOTS = 4.0
ORIGIN_TIMEOUT_SLOTS = 16.0
MIN_ORIGIN_TIMEOUT_SECONDS = 2.0
# With this profile bytes read from the origin cost more than time.
ORIGIN_BYTES_PROFILE = "origin-bytes"
ORIGIN_BYTES_TIMEOUT_FACTOR = 4.0
ORIGIN_NAME = "origin"


class _Refused(WasabideckError):
    """A peer refused to send the chunk now."""


def limits_of(cfg: WeightsSettings, chunk_bytes: int, spare: int = 0) -> FetchLimits:
    """Return a transfer's limits, derived from the settings."""
    slot = chunk_bytes / cfg.link_rate if cfg.link_rate else 0.0
    slot = max(slot, MIN_SLOT_SECONDS)
    patience = max(ORIGIN_TIMEOUT_SLOTS * slot, MIN_ORIGIN_TIMEOUT_SECONDS)
    if cfg.profile == ORIGIN_BYTES_PROFILE:
        patience *= ORIGIN_BYTES_TIMEOUT_FACTOR
    return FetchLimits(
        cfg.fetches,
        cfg.far_fetches,
        fetches_per_peer=cfg.fetches_a_peer,
        spare_reads=spare,
        slot_seconds=slot,
        stall_seconds=patience,
    )


@define
class Transfer:
    """One transfer of a manifest's chunks into this agent's store.

    Attributes
    ----------
    me : Member
        This agent's VM, region and data centre.
    list_peers : callable
        Returns the other agents that want or hold the same manifest.
    sources : dict of str to int
        Bytes received per source.
    refusals, polls : int
        Numbers of fetches that peers refused, and of polls for holdings.
    started_at, origin_read_at : float
        Times at which the transfer started, and last read a chunk from the origin.
    """

    me: Member
    manifest: Manifest
    store: ChunkStore
    service: ChunksService
    origin: WeightOriginClient
    calls: PeerCalls
    links: Links
    events: Events
    list_peers: Callable[[], list[Member]]
    cfg: WeightsSettings
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    sources: dict[str, int] = field(factory=dict)
    refusals: int = 0
    polls: int = 0
    started_at: float = 0.0
    origin_read_at: float = 0.0
    view: TransferView = field(init=False)
    window: FetchWindow = field(init=False)
    _digest: str = field(init=False)
    _members: list[Member] = field(factory=list)
    _addresses: dict[str, str] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)
    _reads: dict[int, asyncio.Task] = field(factory=dict)
    _received_at: dict[str, float] = field(factory=dict)
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        """Initialise the view with the chunks that the store holds."""
        self._digest = self.manifest.digest
        self.view = TransferView(
            self.me.vm,
            self.manifest.chunks,
            self.clock(),
            self.me.region,
            self.me.data_centre,
            self.cfg.origin_region,
            limits_of(self.cfg, self.manifest.chunk_bytes, self._spare_chunks()),
            held=self.store.held_chunks(self.manifest),
        )
        limits = self.view.limits
        max_fetches = (
            limits.region_fetches + limits.cross_region_fetches + limits.origin_reads
        )
        self.window = FetchWindow(max_fetches, limits.slot_seconds)
        self.view.last_received_at = self.started_at = self.origin_read_at = (
            self.view.started_at
        )

    def _spare_chunks(self) -> int:
        """Return how many chunks beyond the first copy may be read from the origin."""
        chunks = self.cfg.spare_copies * len(self.manifest.chunks)
        return round(chunks / (len(self.list_peers()) + 1))

    async def run(self) -> None:
        """Fetch until every chunk is held and verified."""
        self.service.listeners[self._digest] = self._record_holdings
        self._update_members()
        polling = asyncio.create_task(self._poll_holdings())
        try:
            while not self.store.is_complete(self.manifest):
                if polling.done():
                    polling.result()
                self._start_fetches()
                await self._wait()
        finally:
            del self.service.listeners[self._digest]
            tasks = [polling, *self._tasks]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.service.reading.pop(self._digest, None)
            self.events.emit(
                "transfer.ended",
                manifest=self._digest,
                refusals=self.refusals,
                asks=self.polls,
                seconds=round(self.clock() - self.started_at, 3),
                origin_seconds=round(self.origin_read_at - self.started_at, 3),
            )

    def seconds_without_progress(self) -> float:
        """Return the seconds since a chunk was last received."""
        return self.clock() - max(self.view.last_received_at, self.started_at)

    async def _wait(self) -> None:
        """Wait for a change, or until a peer that was backed off may be retried."""
        self._changed.clear()
        # wait_for loses a cancellation that arrives together with the event, and a
        # superseded transfer would continue. The scope of asyncio.timeout counts
        # cancellations and loses none.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.view.limits.slot_seconds):
                await self._changed.wait()

    def _start_fetches(self) -> None:
        policy = FETCH_POLICIES[self.cfg.policy]
        while self.view.wanted and self.view.active.bit_count() < self.window.limit:
            fetch = policy.choose_fetch(self.view, self.clock(), self.rng)
            if fetch is None:
                return
            self._mark_started(fetch)
            task = asyncio.create_task(self._fetch(fetch))
            self._tasks.add(task)
            # This is not done at the end of the task's own body: a task that is
            # cancelled before its first step never gets there, and its chunk would stay
            # marked as in flight.
            task.add_done_callback(partial(self._mark_ended, fetch))
            if fetch.source == ORIGIN and not fetch.spare:
                self._reads[fetch.index] = task

    def _mark_started(self, fetch: Fetch) -> None:
        record_fetch_start(self.view, fetch)
        if fetch.cross_region or fetch.source == ORIGIN:
            self.service.reading[self._digest] |= 1 << fetch.index

    def _mark_ended(self, fetch: Fetch, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if fetch.source == ORIGIN and not fetch.spare:
            del self._reads[fetch.index]
        record_fetch_end(self.view, fetch)
        if fetch.cross_region or fetch.source == ORIGIN:
            self.service.reading[self._digest] &= ~(1 << fetch.index)
        self._changed.set()

    async def _fetch(self, fetch: Fetch) -> None:
        digest = self.manifest.chunks[fetch.index]
        started = self.clock()
        try:
            data = await self._read(fetch, digest)
            self.store.add_chunk(digest, data, fetch.source)
        except CorruptChunk as exc:
            record_corrupt_chunk(self.view, fetch, self.clock())
            self.events.emit("transfer.corrupt", source=fetch.source, why=str(exc))
        except _Refused:
            self.refusals += 1
            record_refusal(self.view, fetch, self.clock(), self.rng)
        except CALL_FAILURES:
            self._mark_lost(fetch.source)
        except (PlatformUnavailable, PlatformRefused):
            record_origin_failure(self.view, self.clock())
        else:
            self.window.record_duration(self.clock() - started)
            self._record_received(fetch, len(data))

    def _record_received(self, fetch: Fetch, size: int) -> None:
        record_chunk(self.view, fetch, self.clock())
        if fetch.source == ORIGIN:
            self.origin_read_at = self.clock()
        source = fetch.source or ORIGIN_NAME
        self.sources[source] = self.sources.get(source, 0) + size

    async def _read(self, fetch: Fetch, digest: str) -> bytes:
        if fetch.cross_region:
            await self.links.region.send(self.manifest.chunk_bytes)
        if fetch.source != ORIGIN:
            try:
                return await self._read_peer(fetch)
            except _Refused:
                # The reserved transmission time on the region's link was not used.
                if fetch.cross_region:
                    self.links.region.release(self.manifest.chunk_bytes)
                raise
        data = await self.origin.read_chunk(digest, self.me.vm)
        await self.links.down.receive(len(data))
        return data

    async def _read_peer(self, fetch: Fetch) -> bytes:
        address, view = self._address(fetch.source), self.view
        starving = (
            self.clock() - view.last_received_at
            > STARVING_SLOTS * view.limits.slot_seconds
        )
        req = pb.FetchRequest(
            manifest=self._digest,
            index=fetch.index,
            vm=self.me.vm,
            have=to_bitmap(view.held),
            urgent=starving or not FETCH_POLICIES[self.cfg.policy].limits_uploads,
        )
        timeout = max(
            FETCH_TIMEOUT_SLOTS * view.limits.slot_seconds, MIN_FETCH_TIMEOUT_SECONDS
        )
        parts: list[bytes] = []
        async with contextlib.aclosing(
            self.calls.fetch(address, req, timeout)
        ) as stream:
            async for part in stream:
                if part.holdings or part.refused:
                    self._record_holdings(
                        fetch.source, from_bitmap(part.holdings), part.sent
                    )
                if part.refused:
                    raise _Refused(fetch.source)
                self._received_at[fetch.source] = self.clock()
                await self.links.down.receive(len(part.data))
                parts.append(part.data)
        return b"".join(parts)

    async def _poll_holdings(self) -> None:
        """Poll a few peers for their holdings, more often while nothing is fetched."""
        slot = min(self.view.limits.slot_seconds, MAX_POLL_SLOT_SECONDS)
        while True:
            self._update_members()
            policy = FETCH_POLICIES[self.cfg.policy]
            vms = policy.peers_to_query(self.view, self.clock(), self.rng)
            await asyncio.gather(*(self._poll_peer(vm) for vm in vms))
            interval = self.cfg.ask_slots * slot
            await asyncio.sleep(interval if self.view.active else slot / 2)

    def _update_members(self) -> None:
        members = self.list_peers()
        if members == self._members and self.view.owners.ranks:
            return
        self._members = members
        self._addresses = {member.vm: member.address for member in members}
        set_members(self.view, self._digest, members)
        local = [m.vm for m in members if m.region == self.me.region]
        if FETCH_POLICIES[self.cfg.policy].limits_uploads:
            sharers = len(gateways(self._digest, self.me.region, [self.me.vm, *local]))
        else:
            sharers = 1 + len(local)
        self.links.region.rate = self.cfg.region_rate / sharers

    async def _poll_peer(self, vm: str) -> None:
        self.polls += 1
        address = self._address(vm)
        req = pb.HoldingsRequest(
            manifest=self._digest, vm=self.me.vm, have=to_bitmap(self.view.held)
        )
        try:
            reply = await self.calls.holdings(address, req, self.cfg.call_seconds)
        except CALL_FAILURES:
            # Messages are delayed behind a full link, too. While parts of chunks arrive
            # the peer is alive, and closing the connection would discard them.
            received_at = self._received_at.get(vm, float("-inf"))
            if self.clock() - received_at > self.cfg.call_seconds:
                self._mark_lost(vm)
            return
        held, reading = from_bitmap(reply.bitmap), from_bitmap(reply.reading)
        self._record_holdings(vm, held, reply.sent, reading)

    def _address(self, vm: str) -> str:
        """Return a peer's address; raise ``ConnectionRefusedError`` if it is lost."""
        if address := self._addresses.get(vm):
            return address
        raise ConnectionRefusedError(vm)

    def _record_holdings(
        self, vm: str, held: int, sent: int = 0, reading: int | None = None
    ) -> None:
        record_holdings(self.view, vm, held, self.clock(), sent, reading)
        self._cancel_redundant_reads()
        # A transfer with the maximum number of fetches cannot use the information, and
        # each wake-up costs processor time.
        if held & self.view.wanted and self.view.active.bit_count() < self.cfg.fetches:
            self._changed.set()

    def _cancel_redundant_reads(self) -> None:
        """Cancel reads from the origin of chunks that a peer holds by now.

        A read can stall for as long as its timeout, which has to allow for a queue at
        the origin. By then another VM may have read the chunk instead of this one.
        """
        if not FETCH_POLICIES[self.cfg.policy].limits_uploads:
            return
        for index, task in self._reads.items():
            if self.view.available >> index & 1:
                task.cancel()

    def _mark_lost(self, vm: str) -> None:
        """Mark a peer as lost, and drop the connection to it as unresponsive."""
        record_peer_failure(self.view, vm, self.clock())
        if address := self._addresses.get(vm):
            self.calls.drop(address)
