"""Brings the backend server to the state that its tickets declare."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.metrics import Metrics
from wasabideck_base.server_clients import ModelEngineClient
from wasabideck_base.ticket_replication import TicketReplication
from wasabideck_policy.delivery_row import Delivery
from wasabideck_policy.desired_weights import STANDBY, DesiredWeights, desired_weights
from wasabideck_policy.manifests import CorruptManifest, Manifest
from wasabideck_policy.orders import serves_desired
from wasabideck_policy.tickets import Assignment, desired_assignment

from .chunk_store import ChunkStore
from .delivery_rows import DeliveryRows
from .engine_orders import Orders, OrderUnconfirmed, OrderWithheld
from .transfer import Transfer

__all__ = ["Reconciler"]

RETRY_INTERVAL_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 1.0

_FAILURES = (
    PlatformUnavailable,
    PlatformRefused,
    CorruptManifest,
    OrderUnconfirmed,
    OrderWithheld,
)


@define
class Reconciler:
    """Transfers, verifies, orders and reads back until the engine has its target state.

    Attributes
    ----------
    wait_for_swap_turn : callable
        Awaited with the ticket before a serving engine swaps.
    """

    vm: str
    service: str
    engine: ModelEngineClient
    orders: Orders
    ticket_replication: TicketReplication
    read_manifest: Callable[[str], Awaitable[Manifest]]
    rows: DeliveryRows
    store: ChunkStore
    events: Events
    metrics: Metrics
    make_transfer: Callable[[Manifest], Transfer]
    wait_for_swap_turn: Callable[[int], Awaitable[None]]
    wall: Callable[[], float] = time.time
    _deliveries: dict[str, Delivery] = field(factory=dict)
    _finished_tickets: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Follow the ticket state forever."""
        changed = self.ticket_replication.subscribe()
        while True:
            changed.clear()
            step = asyncio.create_task(self._keep_reconciled())
            try:
                await self._wait_until_superseded(step, changed)
            finally:
                # A newer ticket supersedes a transfer in progress. Chunks that both
                # versions share stay in the store; nothing else of the transfer is
                # kept. An order in flight is not cancelled by this.
                step.cancel()
                await asyncio.wait({step})

    async def _wait_until_superseded(
        self, step: asyncio.Task, changed: asyncio.Event
    ) -> None:
        """Wait until a ticket declares other weights for this server.

        Thousands of changes a day concern other servers. If each of them restarted
        the transfer here, a transfer that takes minutes would hardly ever finish.
        """
        targets = self.desired_weights(), self.standby_weights()
        while targets == (self.desired_weights(), self.standby_weights()):
            newer = asyncio.create_task(changed.wait())
            try:
                await asyncio.wait({step, newer}, return_when=asyncio.FIRST_COMPLETED)
            finally:
                newer.cancel()
            if step.done():
                step.result()
            changed.clear()

    async def _keep_reconciled(self) -> None:
        """Bring the engine to its target state and check repeatedly that it stays."""
        while True:
            done = await self._reconcile_once()
            await asyncio.sleep(
                CHECK_INTERVAL_SECONDS if done else RETRY_INTERVAL_SECONDS
            )

    async def _reconcile_once(self) -> bool:
        try:
            # Read back even before any ticket is known: this closes a gate that an
            # engine's restart has left open by mistake.
            await self.orders.read_back()
            if not self.ticket_replication.ready:
                return False
            if target := self.desired_weights():
                await self._apply(target)
            if standby := self.standby_weights():
                await self._hold_standby(standby)
            self._drop_superseded_chunks()
            return True
        except _FAILURES as exc:
            self.events.emit("reconcile.failed", why=str(exc))
            return False

    def desired_weights(self) -> DesiredWeights | None:
        """Return what this server should serve according to the known tickets."""
        return desired_weights(self.ticket_replication.state, self.service, self.vm)

    def standby_weights(self) -> Assignment | None:
        """Return what this server should hold without serving it."""
        return desired_assignment(
            self.ticket_replication.state, self.service, self.vm, STANDBY
        )

    async def _apply(self, target: DesiredWeights) -> None:
        """Make the engine serve the model and its adapters."""
        if serves_desired(self.orders.serving, target):
            self._record_found(target)
            return
        chunks = {}
        for part in target.assignments:
            if manifest := await self._fetch(part):
                await self._stage(manifest)
                chunks[manifest.digest] = len(manifest.chunks)
        await self.orders.apply(
            target, chunks, lambda: self.wait_for_swap_turn(target.ticket)
        )
        self._report_in_effect(target)
        for part in target.assignments:
            await self._finish_delivery(part, self.wall())

    async def _hold_standby(self, standby: Assignment) -> None:
        """Transfer complete weights in advance of the ticket that will declare them."""
        if self._is_finished(standby):
            return
        if manifest := await self._fetch(standby):
            await self._stage(manifest)
        await self._finish_delivery(standby, 0.0)

    def _drop_superseded_chunks(self) -> None:
        """Drop the chunks of weights that no ticket declares any more.

        This happens only when all target weights are complete and in effect. Until
        then the next version may share chunks with the version in effect, and peers
        may request them.
        """
        target, serving = self.desired_weights(), self.orders.serving
        parts = [*(target.assignments if target else ()), self.standby_weights()]
        declared = {part.change.manifest for part in parts if part}
        self.store.keep_manifests(
            {*declared, serving.manifest, *serving.adapters.values()}
        )

    def _record_found(self, target: DesiredWeights) -> None:
        """Record weights that were in effect before this process started."""
        missing = [part for part in target.assignments if not self._is_finished(part)]
        for part in missing:
            delivery = self._delivery(part)
            delivery.in_force = self.wall()
            self.rows.add_if_absent(delivery)
            self._finished_tickets[part.change.slot] = part.ticket
        if missing:
            self._report_in_effect(target)

    def _is_finished(self, part: Assignment) -> bool:
        return self._finished_tickets.get(part.change.slot) == part.ticket

    def _delivery(self, part: Assignment) -> Delivery:
        """Return the delivery of a ticket; retries of a ticket share one delivery."""
        change = part.change
        known = self._deliveries.get(change.slot)
        if known and known.ticket == part.ticket:
            return known
        self.events.emit("transfer.begun", ticket=part.ticket, manifest=change.manifest)
        self._deliveries[change.slot] = delivery = Delivery(
            vm=self.vm,
            service=self.service,
            slot=change.slot,
            ticket=part.ticket,
            model=change.model,
            version=change.version,
            manifest=change.manifest,
            begun=self.wall(),
        )
        return delivery

    async def _fetch(self, part: Assignment) -> Manifest | None:
        """Fetch and verify a ticket's weights; None if the ticket declares none."""
        delivery = self._delivery(part)
        digest = part.change.manifest
        if not digest:
            return None
        manifest = self.store.manifest(digest) or await self.read_manifest(digest)
        self.store.add_manifest(manifest)
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
        staged = await self.engine.staged_chunks(manifest.digest)
        for index, digest in enumerate(manifest.chunks):
            if index not in staged:
                data = self.store.get(digest)
                await self.engine.stage_chunk(manifest.digest, index, data)

    def _report_in_effect(self, target: DesiredWeights) -> None:
        self.metrics.ticket_in_force.set({}, target.ticket)
        self.events.emit(
            "version.in-force", ticket=target.ticket, version=target.change.version
        )

    async def _finish_delivery(self, part: Assignment, in_force: float) -> None:
        """Write the delivery's row, unless an earlier order delivered this part."""
        if self._is_finished(part):
            return
        delivery = self._delivery(part)
        delivery.in_force = in_force
        self._finished_tickets[part.change.slot] = part.ticket
        self.rows.add(delivery)
        await self.rows.write()
