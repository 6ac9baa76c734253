"""Fetches one manifest's chunks from peers and from the origin."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from attrs import define, field
from wasabideck_platform.channels import LINK_FAILURES, Channels
from wasabideck_platform.events import Events
from wasabideck_platform.http import PlatformRefused, PlatformUnavailable
from wasabideck_platform.weights import Origin
from wasabideck_policy.distribution import Fetch, Peer, next_fetch
from wasabideck_policy.manifests import CorruptChunk, Manifest
from wasabideck_policy.membership import Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

from .bitmaps import from_bitmap
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .links import Links

__all__ = ["Transfer"]

CALL_TIMEOUT = 2.0
FETCH_TIMEOUT = 30.0
IDLE_SECONDS = 0.05
SET_BACK_SECONDS = 0.2
CORRUPT_SET_BACK_SECONDS = 10.0
ORIGIN_NAME = "origin"


@define
class Transfer:
    """One transfer of a manifest's chunks into this agent's store.

    Attributes
    ----------
    peers_of : callable
        The agents that want or hold the same manifest, this one left out.
    sources : dict of str to int
        Bytes received per source.
    """

    vm: str
    manifest: Manifest
    store: ChunkStore
    service: ChunksService
    origin: Origin
    channels: Channels
    links: Links
    events: Events
    peers_of: Callable[[], list[Member]]
    fetches: int
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    sources: dict[str, int] = field(factory=dict)
    _peers: dict[str, Peer] = field(factory=dict)
    _active: dict[int, asyncio.Task] = field(factory=dict)

    async def run(self) -> None:
        """Fetch until every chunk is held and verified."""
        begun = self.clock()
        try:
            while self.store.missing(self.manifest):
                await self._look()
                self._start_fetches(begun)
                await self._wait()
        finally:
            for task in self._active.values():
                task.cancel()
            self.service.reading.pop(self.manifest.digest, None)

    def _start_fetches(self, begun: float) -> None:
        while len(self._active) < self.fetches:
            fetch = self._next(begun)
            if fetch is None:
                return
            task = asyncio.create_task(self._fetch(fetch))
            self._active[fetch.index] = task

    def _next(self, begun: float) -> Fetch | None:
        missing = self.store.missing(self.manifest) - self._active.keys()
        wanting = sorted([self.vm, *self._peers])
        return next_fetch(
            self.vm,
            self.manifest.chunks,
            missing,
            self._peers,
            wanting,
            begun,
            self.clock(),
            self.rng,
        )

    async def _wait(self) -> None:
        await asyncio.sleep(0 if self._active else IDLE_SECONDS)
        if self._active:
            await asyncio.wait(
                self._active.values(),
                timeout=IDLE_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )

    async def _look(self) -> None:
        """Ask the peers what they hold now."""
        members = self.peers_of()
        await asyncio.gather(*(self._look_at(member) for member in members))
        known = {member.vm for member in members}
        self._peers = {vm: peer for vm, peer in self._peers.items() if vm in known}

    async def _look_at(self, member: Member) -> None:
        stub = ChunksStub(self.channels.get(member.address))
        req = pb.HoldingsRequest(manifest=self.manifest.digest, vm=self.vm)
        peer = self._peers.setdefault(member.vm, Peer(member.vm, set()))
        try:
            reply = await stub.Holdings(req, timeout=CALL_TIMEOUT)
        except LINK_FAILURES:
            peer.held = set()
            return
        peer.held = from_bitmap(reply.bitmap)

    async def _fetch(self, fetch: Fetch) -> None:
        digest = self.manifest.chunks[fetch.index]
        try:
            data = await self._read(fetch, digest)
            self.store.add(digest, data, fetch.source)
        except CorruptChunk as exc:
            self._set_back(fetch.source, CORRUPT_SET_BACK_SECONDS)
            self.events.emit("transfer.corrupt", source=fetch.source, why=str(exc))
        except (*LINK_FAILURES, PlatformUnavailable, PlatformRefused):
            self._set_back(fetch.source, SET_BACK_SECONDS)
        else:
            source = fetch.source or ORIGIN_NAME
            self.sources[source] = self.sources.get(source, 0) + len(data)
        finally:
            del self._active[fetch.index]

    async def _read(self, fetch: Fetch, digest: str) -> bytes:
        if fetch.source:
            return await self._read_peer(fetch)
        reading = self.service.reading.setdefault(self.manifest.digest, set())
        reading.add(fetch.index)
        try:
            data = await self.origin.chunk(digest, self.vm)
            await self.links.down.receive(len(data))
            return data
        finally:
            reading.discard(fetch.index)

    async def _read_peer(self, fetch: Fetch) -> bytes:
        member = next(m for m in self.peers_of() if m.vm == fetch.source)
        stub = ChunksStub(self.channels.get(member.address))
        req = pb.FetchRequest(
            manifest=self.manifest.digest, index=fetch.index, vm=self.vm
        )
        parts: list[bytes] = []
        async with stub.Fetch.open(timeout=FETCH_TIMEOUT) as stream:
            await stream.send_message(req, end=True)
            async for part in stream:
                if part.refused:
                    raise ConnectionRefusedError(fetch.source)
                await self.links.down.receive(len(part.data))
                parts.append(part.data)
        return b"".join(parts)

    def _set_back(self, source: str, seconds: float) -> None:
        if peer := self._peers.get(source):
            peer.busy_until = self.clock() + seconds
