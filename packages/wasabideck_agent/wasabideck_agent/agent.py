"""The state and the periodic tasks of one agent process."""

from __future__ import annotations

import asyncio
import random
import time

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.metrics import Metrics
from wasabideck_base.platform_clients import PlatformClients
from wasabideck_base.settings import PLAIN_KIND, AgentSettings
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, FailureTracker, Member, entries_to_query
from wasabideck_wire import inner_pb2 as pb

from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .delivery_rows import DeliveryRows
from .engine_orders import Orders
from .links import Links
from .load_reader import LoadReader
from .manifest_reader import ManifestReader
from .peer_calls import grpc_calls
from .runner import Runner
from .transfer import Transfer

__all__ = ["Agent"]


@define
class Agent:
    """State of one agent process."""

    cfg: AgentSettings
    events: Events
    channels: Channels
    platform: PlatformClients
    ticket_replication: TicketReplication
    runner: Runner
    store: ChunkStore
    chunks_service: ChunksService
    links: Links
    metrics: Metrics
    load_reader: LoadReader
    delivery_rows: DeliveryRows
    members: list[Member] = field(factory=list)
    watch: FailureTracker = field(factory=FailureTracker)
    orders: Orders | None = None
    peers_service: PeersService | None = None

    @property
    def vm(self) -> str:
        """Name of this agent's VM."""
        return self.cfg.process.vm

    def peers(self, manifest: str = "") -> list[Member]:
        """Return the other agents of the same service."""
        return [
            m
            for m in self.members
            if m.kind == AGENT
            and m.vm != self.vm
            and m.service == self.cfg.server.service
        ]

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """Return the report on this agent's server that entries receive."""
        admission = self.runner.admission
        prefixes, changes = self.load_reader.cached_prefixes(time.monotonic())
        # The set takes some hundred bytes and is sent only to entries that lack it.
        sent_prefixes = [] if req.cache_changes == changes else prefixes
        return pb.StatusReply(
            vm=self.vm,
            service=self.cfg.server.service,
            leaving=admission.draining,
            serving=admission.accepting,
            ticket=self.runner.serving.fence,
            version=self.runner.serving.version,
            manifest=self.runner.serving.manifest,
            in_progress=admission.running,
            waiting=admission.waiting,
            capacity=admission.capacity,
            load=self.load_reader.load,
            load_at=self.load_reader.reported_at,
            service_time=admission.service_seconds,
            cached_prefixes=sent_prefixes,
            cache_changes=changes,
            incarnation=self.runner.attempts.arrivals.incarnation,
            clock_ms=int(self.runner.clock() * 1000),
        )

    def make_transfer(self, manifest: Manifest) -> Transfer:
        """Return a transfer of a manifest's chunks into this agent's store."""
        process = self.cfg.process
        return Transfer(
            Member(self.vm, AGENT, "", process.region, process.data_centre),
            manifest,
            self.store,
            self.chunks_service,
            self.platform.origin,
            grpc_calls(self.channels),
            self.links,
            self.events,
            self.peers,
            self.cfg.weights,
            random.Random(f"{self.cfg.seed}/{self.vm}"),
        )

    def manifest_reader(self) -> ManifestReader:
        """Return a reader of manifests, from peers or from the origin."""
        return ManifestReader(
            self.vm,
            self.platform.origin,
            self.channels,
            self.peers,
            random.Random(f"{self.cfg.seed}/{self.vm}/manifests"),
        )

    async def read_members(self) -> None:
        """Read the platform's list of members; keep the last one if that fails."""
        try:
            self.members = await self.platform.members.read(time.monotonic())
        except PlatformUnavailable as exc:
            self.events.emit("members.unavailable", why=str(exc))

    async def sync_tickets(self) -> None:
        """Synchronise the ticket state with the entries that this agent watches.

        It is read from the table until they have sent enough of it.
        """
        members = entries_to_query(self.vm, self.members, self.watch, time.monotonic())
        await asyncio.gather(*(self._sync_with(m, len(members)) for m in members))
        if not self.ticket_replication.ready:
            try:
                await self.ticket_replication.poll(self.platform.table)
            except PlatformUnavailable as exc:
                self.events.emit("table.unavailable", why=str(exc))
        if self.cfg.server.kind == PLAIN_KIND:
            self.runner.admission.accepting = self.ticket_replication.ready

    async def _sync_with(self, member: Member, listed: int) -> None:
        channel = self.channels.get(member.address)
        try:
            await self.ticket_replication.sync(member.vm, channel, listed)
        except CALL_FAILURES:
            self.channels.close_channel(member.address, channel)
            self.watch.record_failure(member.vm, time.monotonic())

    def update_link_metrics(self) -> None:
        """Set the metrics of the links to the bytes transmitted so far."""
        for name in ("up", "down", "region"):
            transmitted = getattr(self.links, name).transmitted_bytes
            self.metrics.weight_link_bytes.set({"direction": name}, transmitted)

    async def clean_up_attempts(self) -> None:
        """Forget attempts that ended long ago; stop attempts without a reader."""
        self.runner.attempts.remove_expired(time.monotonic())
        await self.runner.stop_orphans()
