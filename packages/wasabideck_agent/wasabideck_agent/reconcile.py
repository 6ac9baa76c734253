"""Brings the backend server to what its tickets name."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.metrics import Metrics
from wasabideck_base.servers import Engine
from wasabideck_base.spread import Spread
from wasabideck_policy.deliveries import Delivery
from wasabideck_policy.manifests import CorruptManifest, Manifest
from wasabideck_policy.orders import matches
from wasabideck_policy.tickets import Assignment, desired
from wasabideck_policy.wants import STANDBY, Wanted, wanted_of

from .chunk_store import ChunkStore
from .delivery_rows import DeliveryRows
from .orders import Orders, OrderUnconfirmed, OrderWithheld
from .transfer import Transfer

__all__ = ["Reconciler"]

RETRY_SECONDS = 0.5
WATCH_SECONDS = 1.0

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
            try:
                await self._until_superseded(step, changed)
            finally:
                # A newer ticket supersedes a transfer in progress: chunks that both
                # versions share stay in the store, nothing else of it is kept. An
                # order in flight is not cancelled by this.
                step.cancel()
                await asyncio.wait({step})

    async def _until_superseded(
        self, step: asyncio.Task, changed: asyncio.Event
    ) -> None:
        """Wait until a ticket names something else for this very server.

        Thousands of changes a day concern others. If each began a transfer here
        anew, one that takes minutes would hardly ever come to its end.
        """
        aims = self.wanted(), self.standby()
        while aims == (self.wanted(), self.standby()):
            newer = asyncio.create_task(changed.wait())
            try:
                await asyncio.wait({step, newer}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                newer.cancel()
            if step.done():
                step.result()
            changed.clear()

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
            if wanted := self.wanted():
                await self._bring(wanted)
            if standby := self.standby():
                await self._hold(standby)
            self._forget_superseded()
            return True
        except _FAILURES as exc:
            self.events.emit("reconcile.failed", why=str(exc))
            return False

    def wanted(self) -> Wanted | None:
        """What this server is to serve by the tickets known now."""
        return wanted_of(self.spread.state, self.service, self.vm)

    def standby(self) -> Assignment | None:
        """What this server is to hold without serving it."""
        return desired(self.spread.state, self.service, self.vm, STANDBY)

    async def _bring(self, wanted: Wanted) -> None:
        """Have the model and its adapters served."""
        if matches(self.orders.serving, wanted):
            self._found(wanted)
            return
        chunks = {}
        for part in wanted.parts:
            if manifest := await self._fetch(part):
                await self._stage(manifest)
                chunks[manifest.digest] = len(manifest.chunks)
        await self.orders.bring(wanted, chunks, lambda: self.take_turn(wanted.ticket))
        self._in_force(wanted)
        for part in wanted.parts:
            await self._finish(part, self.wall())

    async def _hold(self, standby: Assignment) -> None:
        """Have weights held whole, for a ticket that is to come."""
        if self._is_done(standby):
            return
        if manifest := await self._fetch(standby):
            await self._stage(manifest)
        await self._finish(standby, 0.0)

    def _forget_superseded(self) -> None:
        """Drop the chunks of weights that no ticket names any more.

        Only once all that is wanted is whole and in force: until then the chunks of
        the version in force may be shared by the next one, and peers may want them.
        """
        wanted, serving = self.wanted(), self.orders.serving
        parts = [*(wanted.parts if wanted else ()), self.standby()]
        named = {part.change.manifest for part in parts if part}
        self.store.keep_only({*named, serving.manifest, *serving.adapters.values()})

    def _found(self, wanted: Wanted) -> None:
        """Note what was in force before this process had anything to do with it."""
        missing = [part for part in wanted.parts if not self._is_done(part)]
        for part in missing:
            delivery = self._delivery(part)
            delivery.in_force = self.wall()
            self.rows.add_found(delivery)
            self._done[part.change.slot] = part.ticket
        if missing:
            self._in_force(wanted)

    def _is_done(self, part: Assignment) -> bool:
        return self._done.get(part.change.slot) == part.ticket

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

    async def _fetch(self, part: Assignment) -> Manifest | None:
        """Fetch and verify what a ticket names; None when it names nothing."""
        delivery = self._delivery(part)
        digest = part.change.manifest
        if not digest:
            return None
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
                "transfer.verified", ticket=part.ticket, sources=delivery.sources
            )
        return manifest

    async def _stage(self, manifest: Manifest) -> None:
        staged = await self.engine.staged(manifest.digest)
        for index, digest in enumerate(manifest.chunks):
            if index not in staged:
                data = self.store.get(digest)
                await self.engine.stage(manifest.digest, index, data)

    def _in_force(self, wanted: Wanted) -> None:
        self.metrics.ticket.set({}, wanted.ticket)
        self.events.emit(
            "version.in-force", ticket=wanted.ticket, version=wanted.change.version
        )

    async def _finish(self, part: Assignment, in_force: float) -> None:
        """Write the delivery's row, unless an earlier order brought this part."""
        if self._is_done(part):
            return
        delivery = self._delivery(part)
        delivery.in_force = in_force
        self._done[part.change.slot] = part.ticket
        self.rows.add(delivery)
        await self.rows.write()
