"""Brings the backend server to what its ticket names."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import asdict, define, field
from wasabideck_platform.events import Events
from wasabideck_platform.http import PlatformRefused, PlatformUnavailable
from wasabideck_platform.metrics import Metrics
from wasabideck_platform.servers import Engine, Loaded
from wasabideck_platform.spread import Spread
from wasabideck_platform.table import Table, Write
from wasabideck_policy.deliveries import Delivery, row_key
from wasabideck_policy.manifests import CorruptManifest, Manifest
from wasabideck_policy.tickets import Assignment, desired

from .chunk_store import ChunkStore
from .runs import Runner
from .transfer import Transfer

__all__ = ["Reconciler"]

RETRY_SECONDS = 0.5
SLOTS = ("model", "standby")

_FAILURES = (PlatformUnavailable, PlatformRefused, CorruptManifest)


@define
class Reconciler:
    """Transfers, verifies, orders and reads back, until the engine is as wanted."""

    vm: str
    service: str
    engine: Engine
    runner: Runner
    spread: Spread
    read_manifest: Callable[[str], Awaitable[Manifest]]
    table: Table
    store: ChunkStore
    events: Events
    metrics: Metrics
    make_transfer: Callable[[Manifest], Transfer]
    unwritten: dict[str, Delivery] = field(factory=dict)
    wall: Callable[[], float] = time.time

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
            # versions share stay in the store, nothing else of it is kept.
            step.cancel()
            await asyncio.wait({step})

    async def _settle(self) -> None:
        """Repeat until the engine serves what is wanted."""
        while not await self._attempt_once():
            await asyncio.sleep(RETRY_SECONDS)

    async def _attempt_once(self) -> bool:
        try:
            if not self.spread.heard:
                return False
            await self._read_back()
            for slot in SLOTS:
                wanted = desired(self.spread.state, self.service, self.vm, slot)
                if wanted and wanted.change.manifest:
                    await self._bring(wanted)
            self._forget_superseded()
            return True
        except _FAILURES as exc:
            self.events.emit("reconcile.failed", why=str(exc))
            return False

    async def _read_back(self) -> None:
        self.runner.in_force = await self.engine.loaded()
        wanted = desired(self.spread.state, self.service, self.vm, "model")
        serving = self.runner.in_force
        if wanted is None or not serving.manifest:
            return
        self.runner.gate.open = _matches(serving, wanted) or _may_go_on(wanted)

    async def _bring(self, wanted: Assignment) -> None:
        serves = wanted.change.slot == "model"
        if serves and _matches(self.runner.in_force, wanted):
            return
        delivery = self._begin(wanted)
        manifest = await self._fetch(wanted, delivery)
        await self._stage(manifest)
        if serves:
            await self._order(wanted, manifest)
            delivery.in_force = self.wall()
            self._in_force(wanted)
        await self._write(delivery)

    def _forget_superseded(self) -> None:
        """Drop the chunks of weights that no ticket names any more.

        Only once all that is wanted is whole and in force: until then the chunks of
        the version in force may be shared by the next one, and peers may want them.
        """
        wanted = (desired(self.spread.state, self.service, self.vm, s) for s in SLOTS)
        kept = {w.change.manifest for w in wanted if w and w.change.manifest}
        self.store.keep_only({*kept, self.runner.in_force.manifest})

    def _begin(self, wanted: Assignment) -> Delivery:
        change = wanted.change
        self.events.emit(
            "transfer.begun", ticket=wanted.ticket, manifest=change.manifest
        )
        return Delivery(
            vm=self.vm,
            service=self.service,
            slot=change.slot,
            ticket=wanted.ticket,
            model=change.model,
            version=change.version,
            manifest=change.manifest,
            begun=self.wall(),
        )

    async def _fetch(self, wanted: Assignment, delivery: Delivery) -> Manifest:
        digest = wanted.change.manifest
        manifest = self.store.manifest(digest) or await self.read_manifest(digest)
        self.store.know(manifest)
        transfer = self.make_transfer(manifest)
        await transfer.run()
        delivery.verified = self.wall()
        delivery.sources = dict(transfer.sources)
        self.events.emit(
            "transfer.verified", ticket=wanted.ticket, sources=transfer.sources
        )
        return manifest

    async def _stage(self, manifest: Manifest) -> None:
        staged = await self.engine.staged(manifest.digest)
        for index, digest in enumerate(manifest.chunks):
            if index not in staged:
                data = self.store.get(digest)
                await self.engine.stage(manifest.digest, index, data)

    async def _order(self, wanted: Assignment, manifest: Manifest) -> None:
        change = wanted.change
        order = Loaded(
            wanted.ticket,
            change.model,
            change.version,
            change.manifest,
            change.engine_role,
        )
        self.events.emit("order.sent", ticket=wanted.ticket, version=change.version)
        # New requests wait while the engine swaps; those in progress go on on the
        # version that they began with.
        self.runner.gate.open = False
        try:
            await self.engine.order(order, len(manifest.chunks))
        finally:
            await self._read_back()

    def _in_force(self, wanted: Assignment) -> None:
        self.metrics.ticket.set({}, wanted.ticket)
        self.events.emit(
            "version.in-force", ticket=wanted.ticket, version=wanted.change.version
        )

    async def _write(self, delivery: Delivery) -> None:
        """Write the delivery's row; rows wait in memory while the table is down."""
        self.unwritten[row_key(delivery)] = delivery
        await self.write_rows()

    async def write_rows(self) -> None:
        """Write the rows that wait."""
        writes = [
            Write("deliveries", key, asdict(row)) for key, row in self.unwritten.items()
        ]
        if not writes:
            return
        try:
            await self.table.transact([], writes)
        except PlatformUnavailable:
            return
        for write in writes:
            self.unwritten.pop(write.key, None)


def _matches(serving: Loaded, wanted: Assignment) -> bool:
    same = serving.manifest == wanted.change.manifest
    return same and serving.fence == wanted.ticket


def _may_go_on(wanted: Assignment) -> bool:
    """Whether the former version is served until the new one is whole."""
    return wanted.change.cutover == "keep"
