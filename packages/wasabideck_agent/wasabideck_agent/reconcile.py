"""Brings the backend server to what its tickets name."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_platform.events import Events
from wasabideck_platform.http import PlatformRefused, PlatformUnavailable
from wasabideck_platform.metrics import Metrics
from wasabideck_platform.servers import Engine
from wasabideck_platform.spread import Spread
from wasabideck_policy.deliveries import Delivery
from wasabideck_policy.manifests import CorruptManifest, Manifest
from wasabideck_policy.orders import matches
from wasabideck_policy.tickets import Assignment, desired

from .chunk_store import ChunkStore
from .delivery_rows import DeliveryRows
from .orders import Orders, OrderUnconfirmed, OrderWithheld
from .transfer import Transfer

__all__ = ["Reconciler"]

RETRY_SECONDS = 0.5
WATCH_SECONDS = 1.0
MODEL = "model"
SLOTS = (MODEL, "standby")

_FAILURES = (
    PlatformUnavailable,
    PlatformRefused,
    CorruptManifest,
    OrderUnconfirmed,
    OrderWithheld,
)


@define
class Reconciler:
    """Transfers, verifies, orders and reads back, until the engine is as wanted.

    Attributes
    ----------
    take_turn : callable
        Awaited with the ticket before a serving engine is swapped.
    """

    vm: str
    service: str
    engine: Engine
    orders: Orders
    spread: Spread
    read_manifest: Callable[[str], Awaitable[Manifest]]
    rows: DeliveryRows
    store: ChunkStore
    events: Events
    metrics: Metrics
    make_transfer: Callable[[Manifest], Transfer]
    take_turn: Callable[[int], Awaitable[None]]
    wall: Callable[[], float] = time.time
    _deliveries: dict[str, Delivery] = field(factory=dict)
    _done: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Follow the ticket state for ever."""
        changed = self.spread.subscribe()
        while True:
            changed.clear()
            step = asyncio.create_task(self._settle())
            newer = asyncio.create_task(changed.wait())
            await asyncio.wait({step, newer}, return_when=asyncio.FIRST_COMPLETED)
            if step.done():
                step.result()
            await newer
            # A newer ticket supersedes a transfer in progress: chunks that both
            # versions share stay in the store, nothing else of it is kept. An
            # order in flight is not cancelled by this.
            step.cancel()
            await asyncio.wait({step})

    async def _settle(self) -> None:
        """Bring the engine to what is wanted, and see that it stays there."""
        while True:
            done = await self._attempt_once()
            await asyncio.sleep(WATCH_SECONDS if done else RETRY_SECONDS)

    async def _attempt_once(self) -> bool:
        try:
            # Read back before anything is known too: a gate that is open by mistake
            # of an engine's restart closes here.
            await self.orders.read_back()
            if not self.spread.heard:
                return False
            for slot in SLOTS:
                if wanted := self.wanted(slot):
                    await self._bring(wanted)
            self._forget_superseded()
            return True
        except _FAILURES as exc:
            self.events.emit("reconcile.failed", why=str(exc))
            return False

    def wanted(self, slot: str) -> Assignment | None:
        """What a slot of this server is to hold by the tickets known now."""
        return desired(self.spread.state, self.service, self.vm, slot)

    async def _bring(self, wanted: Assignment) -> None:
        slot = wanted.change.slot
        if slot == MODEL and matches(self.orders.serving, wanted):
            self._found(wanted)
            return
        if slot != MODEL and self._done.get(slot) == wanted.ticket:
            return
        delivery = self._delivery(wanted)
        chunks = 0
        if wanted.change.manifest:
            manifest = await self._fetch(wanted, delivery)
            await self._stage(manifest)
            chunks = len(manifest.chunks)
        if slot == MODEL:
            await self.orders.bring(
                wanted, chunks, lambda: self.take_turn(wanted.ticket)
            )
            delivery.in_force = self.wall()
            self._in_force(wanted)
        await self._finish(wanted, delivery)

    def _forget_superseded(self) -> None:
        """Drop the chunks of weights that no ticket names any more.

        Only once all that is wanted is whole and in force: until then the chunks of
        the version in force may be shared by the next one, and peers may want them.
        """
        wanted = [self.wanted(slot) for slot in SLOTS]
        kept = {w.change.manifest for w in wanted if w and w.change.manifest}
        self.store.keep_only({*kept, self.orders.serving.manifest})

    def _found(self, wanted: Assignment) -> None:
        """Note what was in force before this process had anything to do with it."""
        if self._done.get(MODEL) == wanted.ticket:
            return
        delivery = self._delivery(wanted)
        delivery.in_force = self.wall()
        self.rows.add_found(delivery)
        self._done[MODEL] = wanted.ticket
        self._in_force(wanted)

    def _delivery(self, wanted: Assignment) -> Delivery:
        """The delivery of a ticket; the same one when it is tried again."""
        change = wanted.change
        known = self._deliveries.get(change.slot)
        if known and known.ticket == wanted.ticket:
            return known
        self.events.emit(
            "transfer.begun", ticket=wanted.ticket, manifest=change.manifest
        )
        self._deliveries[change.slot] = delivery = Delivery(
            vm=self.vm,
            service=self.service,
            slot=change.slot,
            ticket=wanted.ticket,
            model=change.model,
            version=change.version,
            manifest=change.manifest,
            begun=self.wall(),
        )
        return delivery

    async def _fetch(self, wanted: Assignment, delivery: Delivery) -> Manifest:
        digest = wanted.change.manifest
        manifest = self.store.manifest(digest) or await self.read_manifest(digest)
        self.store.know(manifest)
        transfer = self.make_transfer(manifest)
        try:
            await transfer.run()
        finally:
            for source, size in transfer.sources.items():
                delivery.sources[source] = delivery.sources.get(source, 0) + size
        if not delivery.verified:
            delivery.verified = self.wall()
            self.events.emit(
                "transfer.verified", ticket=wanted.ticket, sources=delivery.sources
            )
        return manifest

    async def _stage(self, manifest: Manifest) -> None:
        staged = await self.engine.staged(manifest.digest)
        for index, digest in enumerate(manifest.chunks):
            if index not in staged:
                data = self.store.get(digest)
                await self.engine.stage(manifest.digest, index, data)

    def _in_force(self, wanted: Assignment) -> None:
        self.metrics.ticket.set({}, wanted.ticket)
        self.events.emit(
            "version.in-force", ticket=wanted.ticket, version=wanted.change.version
        )

    async def _finish(self, wanted: Assignment, delivery: Delivery) -> None:
        self._done[wanted.change.slot] = wanted.ticket
        self.rows.add(delivery)
        await self.rows.write()
