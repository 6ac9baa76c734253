"""What one agent process knows and does, apart from how it is started."""

from __future__ import annotations

import asyncio
import random
import time

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.clients import Platform
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.metrics import Metrics
from wasabideck_base.settings import PLAIN, AgentSettings
from wasabideck_base.spread import PeersService, Spread
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, Member, Watch, watched
from wasabideck_wire import inner_pb2 as pb

from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .delivery_rows import DeliveryRows
from .links import Links
from .load import LoadReader
from .manifest_reader import ManifestReader
from .orders import Orders
from .peer_calls import grpc_calls
from .runs import Runner
from .transfer import Transfer

__all__ = ["Agent"]


@define
class Agent:
    """State of one agent process."""

    cfg: AgentSettings
    events: Events
    channels: Channels
    platform: Platform
    spread: Spread
    runner: Runner
    store: ChunkStore
    chunks: ChunksService
    links: Links
    metrics: Metrics
    load: LoadReader
    rows: DeliveryRows
    members: list[Member] = field(factory=list)
    watch: Watch = field(factory=Watch)
    orders: Orders | None = None
    teller: PeersService | None = None

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.cfg.process.vm

    def peers(self, manifest: str = "") -> list[Member]:
        """Agents of the same service, this one left out."""
        return [
            m
            for m in self.members
            if m.kind == AGENT
            and m.vm != self.vm
            and m.service == self.cfg.server.service
        ]

    def status(self, req: pb.StatusRequest) -> pb.StatusReply:
        """What this agent tells entries about its server."""
        gate = self.runner.gate
        prefixes, changes = self.load.prefixes(time.monotonic())
        # The set is some hundred bytes, and is only told to who lacks it.
        told = [] if req.cache_changes == changes else prefixes
        return pb.StatusReply(
            vm=self.vm,
            service=self.cfg.server.service,
            leaving=gate.leaving,
            serving=gate.open,
            ticket=self.runner.in_force.fence,
            version=self.runner.in_force.version,
            manifest=self.runner.in_force.manifest,
            in_progress=gate.running,
            waiting=gate.waiting,
            capacity=gate.capacity,
            load=self.load.value,
            load_at=self.load.at,
            service_time=gate.service_time,
            cached_prefixes=told,
            cache_changes=changes,
            incarnation=self.runner.attempts.arrivals.incarnation,
            clock_ms=int(self.runner.clock() * 1000),
        )

    def make_transfer(self, manifest: Manifest) -> Transfer:
        """A transfer of a manifest into this agent's store."""
        place = self.cfg.process
        return Transfer(
            Member(self.vm, AGENT, "", place.region, place.data_centre),
            manifest,
            self.store,
            self.chunks,
            self.platform.origin,
            grpc_calls(self.channels),
            self.links,
            self.events,
            self.peers,
            self.cfg.weights,
            random.Random(f"{self.cfg.seed}/{self.vm}"),
        )

    def manifests(self) -> ManifestReader:
        """Reads manifests from peers or from the origin."""
        return ManifestReader(
            self.vm,
            self.platform.origin,
            self.channels,
            self.peers,
            random.Random(f"{self.cfg.seed}/{self.vm}/manifests"),
        )

    async def read_members(self) -> None:
        """Read the platform's list; keep the last one when it is down."""
        try:
            self.members = await self.platform.members.read(time.monotonic())
        except PlatformUnavailable as exc:
            self.events.emit("members.unavailable", why=str(exc))

    async def hear_state(self) -> None:
        """Compare ticket state with the watched entries, else with the table."""
        members = watched(self.vm, self.members, self.watch, time.monotonic())
        await asyncio.gather(*(self._sync(m, len(members)) for m in members))
        if not self.spread.heard:
            try:
                await self.spread.poll(self.platform.table)
            except PlatformUnavailable as exc:
                self.events.emit("table.unavailable", why=str(exc))
        if self.cfg.server.kind == PLAIN:
            self.runner.gate.open = self.spread.heard

    async def _sync(self, member: Member, listed: int) -> None:
        channel = self.channels.get(member.address)
        try:
            await self.spread.sync(member.vm, channel, listed)
        except LINK_FAILURES:
            self.channels.drop(member.address, channel)
            self.watch.failed(member.vm, time.monotonic())

    def count_links(self) -> None:
        """Bring the links' metrics up to date."""
        for name in ("up", "down", "region"):
            passed = getattr(self.links, name).passed
            self.metrics.link.set({"direction": name}, passed)

    async def forget_old(self) -> None:
        """Forget attempts that ended long ago."""
        self.runner.attempts.forget_old(time.monotonic())
        await self.runner.stop_orphans()
