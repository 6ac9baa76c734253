"""The agent beside an engine: brings the engine to the declared weights."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from attrs import define, evolve, field
from wasabideck_base.deployment import DeploymentAdapter
from wasabideck_base.events import Events, round_finite
from wasabideck_base.http_pool import HttpPool
from wasabideck_base.vm_process import VMProcess, run_vm_process
from wasabideck_base.vm_settings import VMSettings
from wasabideck_base.weights_settings import WeightsSettings
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderResponse
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.rollout_waves import DRAIN_SECONDS, rollout_delay
from wasabideck_policy.superseded_transfer import TRANSFER_OVERHEAD_RATIO

from .chunk_http import chunk_port, http_calls, listen_for_chunks
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .delivery_log import DeliveryLog
from .delivery_tracker import DeliveryTracker
from .engine_reporter import EngineReporter
from .links import Link, Links
from .listed_peers import ListedPeers
from .numbered_manifests import NumberedManifests
from .origin_chunks import NumberedOrigin, OriginChunks
from .peer_calls import PeerCalls
from .retirement import Retirement
from .staging import Engine, Staging, loaded_version
from .transfer import Transfer
from .version_choice import VersionChoice

__all__ = ["EngineAgent", "run_agent"]

# Interval between polls of the idle engine. A poll costs a millisecond of processor
# time, and detects that an engine has restarted and lost its weights.
POLL_SECONDS = 0.5
# Interval between polls while an order is in progress: each poll may end a pause that
# affects the whole service.
ORDER_POLL_SECONDS = 0.05
RETRY_DELAY_SECONDS = 0.3
# Time after which an engine that has accepted an order reports that it is busy.
ORDER_ACCEPT_SECONDS = 0.15
# Interval at which chunks received during a transfer are staged.
STAGE_INTERVAL_SECONDS = 0.4
# A long transfer that makes no progress may have a corrupt manifest, which lists chunks
# that nobody holds. The manifest is then read again at this interval.
MANIFEST_REREAD_SECONDS = 3.0
NO_PROGRESS_SECONDS = 0.5
# The origin accepts few connections for the whole deployment, and each agent would keep
# one open after reading the manifest: later agents are refused, and connections that
# are open when power is lost stay occupied. The next chunk is read sooner than this.
ORIGIN_IDLE_TIMEOUT_SECONDS = 1.0
# Connections to peers are kept open for the next chunk of the same transfer.
PEER_IDLE_TIMEOUT_SECONDS = 3.0
# The servers of a new deployment already hold the weights of the first version, which
# no operator declares.
FIRST_VERSION = 1
# Entries start no request on older weights from half a second before these expire. A
# server that stops earlier than that loses requests that it could still start.
SWAP_MARGIN_SECONDS = 0.6
# Part of the grace period that is reserved for shutting down the agent's loops, which
# end within it also on a slow VM.
SHUTDOWN_RESERVE_SECONDS = 1.3
# Maximum time for which streams that cannot continue on another server delay a load.
MAX_DRAIN_SECONDS = 2.5
# Concurrent fetches from local peers, concurrent fetches over the region's link, and
# concurrent uploads. Few bytes of each are in flight, so a higher number keeps the
# links busy without delaying live requests. The median transfer of a version took 8.7 s
# with 3, 1 and 3, and 7.5 s with these values (15 VMs, links of 3.65 Mbit/s).
MAX_LOCAL_FETCHES = 8
MAX_REMOTE_FETCHES = 4
MAX_UPLOADS = 8
# A region of three to five VMs has two to four peers to fetch from. The median transfer
# took 7.3 and 8.1 s with one fetch per peer, and 6.8 and 7.1 s with two (15 and 10
# VMs).
MAX_FETCHES_PER_PEER = 2
# Copies read from the origin in addition to the first one, by agents in the origin's
# region. A rollout is limited by the agents' links, which also carry the servers'
# streams, and half a copy shortens it by 0.2 s. Links of other regions are expensive.
SPARE_COPIES = 0.5
# Interval between polls for holdings, in slots. A poll and its reply take a kilobyte
# with all headers: at one per chunk they used 6 % of the link, and the replies to
# fetches carry the same information.
HOLDINGS_POLL_SLOTS = 3.0
# A live peer replies within 0.2 s, also over a full link. A lost peer delays the polls
# of other peers by this timeout.
CALL_TIMEOUT_SECONDS = 0.6


async def run_agent(cfg: VMSettings, deployment: DeploymentAdapter) -> None:
    """Run an agent until it is asked to stop."""
    store = ChunkStore()
    # The flow control windows of the inner protocol keep the link's queue short, so the
    # links have no rate limit here.
    links = Links(Link(), Link(), Link())
    chunks = ChunksService(store, links, MAX_UPLOADS)
    async with (
        run_vm_process(cfg, AGENT, deployment, lambda p: (chunks,)) as process,
        HttpPool(ORIGIN_IDLE_TIMEOUT_SECONDS) as origin_pool,
        HttpPool(PEER_IDLE_TIMEOUT_SECONDS) as peer_pool,
    ):
        port = chunk_port(cfg.inner_port)
        chunk_server = await listen_for_chunks(chunks, cfg.ip, port, process.budget)
        engine = deployment.open_engine(process.pool, cfg.server_address)
        agent = EngineAgent(
            process,
            deployment,
            engine,
            store,
            chunks,
            links,
            Staging(engine, store, process.events),
            _delivery_tracker(process),
            ListedPeers(process, deployment),
            origin_pool,
            http_calls(peer_pool),
        )
        process.state_sync.on_version = lambda model, number: (
            agent.declaration_event.set()
        )
        reporter = EngineReporter(process, engine, agent.describe)
        agent.send_report = reporter.send_report
        running = {
            asyncio.create_task(coroutine)
            for coroutine in (agent.run(), reporter.run())
        }
        stopping = asyncio.create_task(process.stop.wait())
        await asyncio.wait({*running, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if stopping.done() and not process.failed:
            grace = process.cfg.limits.shutdown_grace_seconds - SHUTDOWN_RESERVE_SECONDS
            draining = asyncio.create_task(agent.retirement.drain(grace))
            running.add(draining)
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        chunk_server.close()
        for task in (*running, stopping):
            task.cancel()
        for task in running:
            if task.done() and not task.cancelled():
                task.result()


def _delivery_tracker(process: VMProcess) -> DeliveryTracker:
    log = DeliveryLog(process.state_sync.store)
    return DeliveryTracker(process.cfg.vm, process.cfg.service, log, process.events)


@define
class EngineAgent:
    """State of one agent beside an engine.

    Attributes
    ----------
    origin_pool : HttpPool
        Connections to the origin, closed when they are idle.
    calls : PeerCalls
        Calls that request chunks from other agents.
    declaration_event : Event
        Set when a version was declared.
    send_report : callable
        Sends an engine report for the given state to the entries immediately.
    manifests : NumberedManifests
        The manifests of declared versions.
    version_choice : VersionChoice
        Selects which of several declared versions is fetched.
    retirement : Retirement
        Unloads expired weights from the engine.
    """

    process: VMProcess
    deployment: DeploymentAdapter
    engine: Engine
    store: ChunkStore
    chunks: ChunksService
    links: Links
    staging: Staging
    deliveries: DeliveryTracker
    peers: ListedPeers
    origin_pool: HttpPool
    calls: PeerCalls
    declaration_event: asyncio.Event = field(factory=asyncio.Event)
    send_report: Callable[[EngineState], None] = lambda state: None
    manifests: NumberedManifests = field(init=False)
    version_choice: VersionChoice = field(init=False)
    retirement: Retirement = field(init=False)
    _current_transfer: Transfer | None = None
    _swapping_since: float | None = None
    _served_version: int = 0
    _complete_since: dict[int, float] = field(factory=dict)
    _engine_start: int = 0
    _last_order: tuple[int, int] = (0, 0)
    _logged_expiry: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on this agent, and serve known manifests."""
        self.manifests = NumberedManifests(
            self.process, self.store, self.peers, self._origin
        )
        self.chunks.manifest_by_name = self.manifests.shareable_manifest
        self.version_choice = VersionChoice(self.process, self.manifests)
        self.retirement = Retirement(
            self.process,
            self.engine,
            self._model,
            lambda state: self.send_report(state),
        )

    @property
    def events(self) -> Events:
        """The event log of this agent."""
        return self.process.events

    async def run(self) -> None:
        """Load declared versions and unload expired ones until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.retirement.run())
            tasks.create_task(self._step_repeatedly())

    async def _step_repeatedly(self) -> None:
        while True:
            try:
                settled = await self.step()
            except WasabideckError as exc:
                self.events.emit("reconcile.failed", why=f"{type(exc).__name__}: {exc}")
                await asyncio.sleep(
                    RETRY_DELAY_SECONDS * self.process.rng.uniform(0.7, 1.3)
                )
                continue
            if settled:
                await self._wait_for_declaration(POLL_SECONDS)

    async def step(self) -> bool:
        """Take one step towards the declared version.

        Returns
        -------
        settled : bool
            Whether the engine serves the declared version and nothing is left to do.
        """
        model = self._model()
        if model is None:
            await self._wait_for_declaration(STAGE_INTERVAL_SECONDS)
            return False
        version = self._declared_version(model)
        state = await self.engine.read_state()
        if state.started_at_ms != self._engine_start:
            self.staging.reset()
            self._engine_start = state.started_at_ms
        self._record_state(model, state)
        held = self._served_version = loaded_version(state, model)
        if held >= version:
            await self._retain_chunks(model, held)
            return True
        if state.order_in_progress and self._last_order == (
            version,
            state.started_at_ms,
        ):
            await asyncio.sleep(ORDER_POLL_SECONDS)
            return False
        # While the engine loads an older version the link is free to fetch the newest.
        manifest = await self.version_choice.manifest_to_fetch(model, held, version)
        if await self._fetch_and_stage(model, manifest):
            await self._swap(model, manifest)
        return False

    def _record_state(self, model: EngineModel, state: EngineState) -> None:
        """Record the end of a swap, and the version that is in effect.

        This is also called while the main loop fetches the next version for seconds.
        Otherwise entries would send nothing to a server that finished loading long
        ago, and the report would lack a version that was superseded meanwhile.
        """
        self.retirement.last_state = state
        since = self._swapping_since
        if since is not None and not state.order_in_progress:
            if self.process.clock() - since >= ORDER_ACCEPT_SECONDS:
                self._swapping_since = None
        if held := loaded_version(state, model):
            manifest = self.manifests.known(held)
            wall = time.time()
            self.deliveries.record_in_effect(
                model.model, held, manifest, state.started_at_ms, wall
            )

    def describe(self, state: EngineState) -> tuple[int, bool, float, int] | None:
        """Return the agent's part of an engine report, or None for no report.

        The items are: the version on which waiting requests start, whether the engine
        accepts new requests, seconds until it serves the newest declared version, and
        the newest version whose declaration time is known.

        There is no report while the model is unknown: a report without a version would
        make entries recall the waiting requests of a healthy server. While an order is
        in progress the reported version is the one being loaded, as waiting requests
        start on it: entries would otherwise recall them.
        """
        model = self._model()
        if model is None:
            return None
        declared = self._declared_version(model)
        self._record_state(model, state)
        self._log_expiry(model, state)
        held = loaded_version(state, model)
        swapping = self._swapping_since is not None
        serving = held > 0 and not state.order_in_progress and not swapping
        ready_in = self._ready_in(model, held, declared)
        ordered, born = self._last_order
        if born == state.started_at_ms and (state.order_in_progress or swapping):
            held = max(held, ordered)
        return held, serving, ready_in, self._newest_with_known_time(model)

    def _log_expiry(self, model: EngineModel, state: EngineState) -> None:
        """Log the engine's load once when the weights that it serves have expired."""
        held = loaded_version(state, model)
        cluster_state, limits = (
            self.process.state_sync.cluster_state,
            self.process.cfg.limits,
        )
        expires_at = cluster_state.expires_at(
            model.model, held, limits.version_deadline_seconds
        )
        now = self.process.clock()
        if not 0 < held or held == self._logged_expiry:
            return
        if expires_at is None or now < expires_at:
            return
        self._logged_expiry = held
        self.events.emit(
            "weights.over",
            version=held,
            since=round(now - expires_at, 3),
            busy=state.order_in_progress,
            running=state.running,
            waiting=state.waiting,
        )

    def _ready_in(self, model: EngineModel, held: int, declared: int) -> float:
        """Return the estimated seconds until the newest declared version is served."""
        if held >= declared:
            return 0.0
        now = self.process.clock()
        if self._swapping_since is not None:
            swap = DRAIN_SECONDS + model.load_seconds
            return max(POLL_SECONDS, swap - (now - self._swapping_since))
        slot = (
            model.chunk_bytes
            / max(self.process.cfg.link_bytes_per_second, 1.0)
            * TRANSFER_OVERHEAD_RATIO
        )
        missing = model.chunks
        if self._current_transfer is not None:
            missing = self._current_transfer.view.missing
            if int(self._current_transfer.manifest.version) != declared:
                missing += model.chunks
        return missing * slot + DRAIN_SECONDS + model.load_seconds

    def _model(self) -> EngineModel | None:
        cfg = self.process.state_sync.cluster_state.configuration
        service = cfg.services.get(self.process.cfg.service) if cfg else None
        return service.engine if service else None

    def _declared_version(self, model: EngineModel) -> int:
        declared = self.process.state_sync.cluster_state.newest_version(model.model)
        return declared or FIRST_VERSION

    def _newest_with_known_time(self, model: EngineModel) -> int:
        """Return the newest version whose expiry this agent knows and enforces."""
        cluster_state = self.process.state_sync.cluster_state
        return cluster_state.newest_with_known_time(model.model) or FIRST_VERSION

    async def _retain_chunks(self, model: EngineModel, version: int) -> None:
        """Keep the chunks of the version in effect for peers that lack them."""
        await self.deliveries.write()
        manifest = await self.manifests.get(model.model, version)
        if not self.store.is_complete(manifest):
            stored = await self.staging.store_staged(manifest)
            self.events.emit("staging.taken-up", version=version, pieces=stored)
        self._discard_older(version)

    def _origin(self) -> NumberedOrigin:
        origin = self.process.state_sync.cluster_state.configuration.origin()
        address = origin.address if origin else ""
        return self.deployment.open_origin(self.origin_pool, address)

    async def _fetch_and_stage(self, model: EngineModel, manifest: Manifest) -> bool:
        """Fetch and stage a version's chunks.

        Returns
        -------
        ready : bool
            Whether the version is complete and still to be loaded.
        """
        version = int(manifest.version)
        if self.store.is_complete(manifest):
            await self.staging.stage_stored(manifest)
            return True
        await self.staging.store_staged(manifest)
        if self.deliveries.record_start(version, time.time()):
            self.version_choice.record_start(version)
            self.events.emit(
                "transfer.begun", manifest=manifest.digest, version=version
            )
        if self.store.is_complete(manifest):
            # All chunks were staged already, so no peer has to be queried.
            await self._finish_transfer(manifest, {})
            return True
        await self.peers.refresh()
        transfer = self._current_transfer = self._new_transfer(manifest)
        fetching = asyncio.create_task(transfer.run())
        try:
            return await self._stage_while_fetching(model, manifest, transfer, fetching)
        finally:
            self._current_transfer = None
            fetching.cancel()
            await asyncio.gather(fetching, return_exceptions=True)
            self.deliveries.add_sources(version, transfer.sources)

    async def _stage_while_fetching(
        self,
        model: EngineModel,
        manifest: Manifest,
        transfer: Transfer,
        fetching: asyncio.Task,
    ) -> bool:
        """Stage chunks as they arrive, until all are there or the transfer is dropped.

        Returns
        -------
        complete : bool
            Whether all chunks were received.
        """
        version = int(manifest.version)
        read_at = self.process.clock()
        while not fetching.done():
            await asyncio.wait({fetching}, timeout=STAGE_INTERVAL_SECONDS)
            await self.staging.stage_stored(manifest)
            missing = transfer.view.wanted.bit_count()
            newest = self._declared_version(model)
            if newest == version:
                if self.version_choice.is_stalled(
                    model, self._served_version, version, transfer
                ):
                    return False
            elif not self.version_choice.continues_fetching(
                model, manifest, missing, newest
            ):
                return False
            now = self.process.clock()
            no_progress = transfer.seconds_without_progress() > NO_PROGRESS_SECONDS
            if no_progress and now - read_at > MANIFEST_REREAD_SECONDS:
                read_at = now
                await self.peers.read()
                if await self._reread_manifest(model, manifest):
                    return False
        fetching.result()
        await self._finish_transfer(manifest, transfer.sources)
        return True

    async def _finish_transfer(
        self, manifest: Manifest, sources: dict[str, int]
    ) -> None:
        """Stage the remaining chunks of a complete version, and record its sources."""
        await self.staging.stage_stored(manifest)
        self.deliveries.record_verified(int(manifest.version), time.time())
        self.events.emit("transfer.verified", manifest=manifest.digest, sources=sources)

    async def _reread_manifest(self, model: EngineModel, manifest: Manifest) -> bool:
        """Read a manifest again, and return whether it differs from the given one."""
        version = int(manifest.version)
        with contextlib.suppress(WasabideckError):
            await self.manifests.find(model.model, version)
        return self.manifests.differs(version, manifest)

    async def _swap(self, model: EngineModel, manifest: Manifest) -> None:
        """Order the engine to load the staged chunks, once its rollout wave starts."""
        version = int(manifest.version)
        state = await self._state_when_idle(model, version)
        if state is None:
            return
        now = self.process.clock()
        if self._expires_before_load(model, version, state.running, now):
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        if now < self._swap_start(model, version, now) or not self._is_confirmed(
            model, state.running, now
        ):
            await asyncio.sleep(ORDER_POLL_SECONDS)
            return
        self.retirement.loading = True
        try:
            await self._order_load(model, manifest)
        finally:
            self.retirement.loading = False

    async def _state_when_idle(
        self, model: EngineModel, version: int
    ) -> EngineState | None:
        """Wait until the engine accepts orders, and return its state.

        Returns None if the caller has to evaluate the situation again. A superseded
        version keeps waiting here: a new evaluation would turn to the newest version,
        whose chunks overwrite the staged ones.
        """
        while (state := await self.engine.read_state()).order_in_progress:
            await asyncio.sleep(ORDER_POLL_SECONDS)
            if (
                version >= self._declared_version(model)
                or state.started_at_ms != self._engine_start
            ):
                return None
            if self._last_order == (version, state.started_at_ms):
                return None
            if self._expires_before_load(model, version, 0, self.process.clock()):
                return None
        return state if loaded_version(state, model) < version else None

    def _expires_before_load(
        self, model: EngineModel, version: int, running: int, now: float
    ) -> bool:
        """Whether a superseded version may have expired when it is loaded.

        Requests that wait during the load start on it. If the declaration time of a
        newer version is unknown, the version may have expired.
        """
        cluster_state, within = (
            self.process.state_sync.cluster_state,
            self.process.cfg.limits.version_deadline_seconds,
        )
        loaded_at = _loaded_at(model, running, now)
        return version < cluster_state.min_version(model.model, within, loaded_at)

    def _is_confirmed(self, model: EngineModel, running: int, now: float) -> bool:
        """Whether no version that is unknown here may be due when a load ends.

        Otherwise the version to load may have expired long ago: the peer that sent it
        may have been cut off. The store and the entries are then asked first. If all of
        them are out of reach, what is known is loaded after a while: a newer version
        cannot be confirmed in an outage of the store, callers that reach a VM that is
        cut off are served, and once the path is back ``Retirement`` unloads expired
        weights before the VM counts as undisturbed.
        """
        confirmation = self.process.state_sync.confirmation
        return confirmation.allows(_loaded_at(model, running, now), now)

    async def _order_load(self, model: EngineModel, manifest: Manifest) -> None:
        """Verify the staged chunks and order the engine to load them."""
        version = int(manifest.version)
        state = await self.staging.verify(manifest)
        # The verification takes seconds on a slow VM.
        now = self.process.clock()
        if self._expires_before_load(
            model, version, state.running, now
        ) or not self._is_confirmed(model, state.running, now):
            return
        # Notify the entries first, so that they send requests elsewhere that would have
        # to wait for the whole swap.
        self._swapping_since = self.process.clock()
        self.send_report(state)
        answer = await self.engine.load(
            model.model, version, queue=True, accepted=state.accepted_orders
        )
        self.events.emit(
            "order.sent",
            version=version,
            **self._newest_fields(model),
            answer=answer.value,
            running=state.running,
            waiting=state.waiting,
        )
        if answer is OrderResponse.REFUSED:
            self._swapping_since = None
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return
        # Restart the time: accepting an order may take longer than
        # ORDER_ACCEPT_SECONDS, and the swap would seem to be over.
        self._swapping_since = self.process.clock()
        self._last_order = (version, state.started_at_ms)
        self.send_report(evolve(state, order_in_progress=True))

    def _newest_fields(self, model: EngineModel) -> dict[str, object]:
        """Return event fields of an order: the newest version known to this agent."""
        cluster_state, now = self.process.state_sync.cluster_state, self.process.clock()
        newest = cluster_state.newest(model.model)
        staleness = round_finite(cluster_state.staleness(now))
        if newest is None:
            return {
                "newest": 0,
                "newest_age": None,
                "dated": False,
                "staleness": staleness,
            }
        return {
            "newest": newest.number,
            "newest_age": round(newest.age(now), 3),
            "dated": newest.declaration_time_known,
            "staleness": staleness,
        }

    def _swap_start(self, model: EngineModel, version: int, now: float) -> float:
        """Return the time at which the engine may stop to load a complete version."""
        if self._served_version == 0:
            return now
        since = self._complete_since.setdefault(version, now)
        state_sync, cfg = self.process.state_sync, self.process.cfg
        expires_at = state_sync.cluster_state.expires_at(
            model.model, self._served_version, cfg.limits.version_deadline_seconds
        )
        if expires_at is None:
            return now
        latest = expires_at - SWAP_MARGIN_SECONDS
        vms = {cfg.vm, *(member.vm for member in self.peers.members())}
        available = latest - since
        delay = rollout_delay(cfg.vm, version, vms, model.load_seconds, available)
        return min(since + delay, latest)

    def _new_transfer(self, manifest: Manifest) -> Transfer:
        cfg = self.process.cfg
        return Transfer(
            Member(cfg.vm, AGENT, cfg.inner_address, cfg.region, cfg.data_centre),
            manifest,
            self.store,
            self.chunks,
            OriginChunks(self._origin(), manifest),
            self.calls,
            self.links,
            self.process.events,
            self.peers.members,
            _weights_settings(cfg, self._spare_copies()),
            self.process.rng,
        )

    def _spare_copies(self) -> float:
        """Return the extra origin copies if every agent read as much as this one."""
        cfg = self.process.cfg
        origin = self.process.state_sync.cluster_state.configuration.origin()
        if origin is None or cfg.regions.get(origin.data_centre) != cfg.region:
            return 0.0
        peers = self.peers.members()
        local = 1 + sum(peer.region == cfg.region for peer in peers)
        return SPARE_COPIES * (1 + len(peers)) / local

    def _discard_older(self, version: int) -> None:
        if self.manifests.discard_older(version):
            self.store.keep_manifests(self.manifests.digests())

    async def _wait_for_declaration(self, seconds: float) -> None:
        """Wait for a declaration, for at most the given time."""
        self.declaration_event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.declaration_event.wait()


def _loaded_at(model: EngineModel, running: int, now: float) -> float:
    """Return when a load that is ordered now ends at the latest.

    Requests that wait during the load start after the longest running one has ended.
    """
    return now + model.load_seconds + (MAX_DRAIN_SECONDS if running else 0.0)


def _weights_settings(cfg: VMSettings, spare_copies: float) -> WeightsSettings:
    return WeightsSettings(
        fetches=MAX_LOCAL_FETCHES,
        far_fetches=MAX_REMOTE_FETCHES,
        fetches_a_peer=MAX_FETCHES_PER_PEER,
        ask_slots=HOLDINGS_POLL_SLOTS,
        spare_copies=spare_copies,
        uploads=MAX_UPLOADS,
        call_seconds=CALL_TIMEOUT_SECONDS,
        link_rate=cfg.link_bytes_per_second,
    )
