"""The agent on a node: brings its engine to the weights that the operators named."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

from attrs import define, evolve, field
from wasabideck_base.deployment import Deployment
from wasabideck_base.events import Events
from wasabideck_base.http_pool import HttpPool
from wasabideck_base.node import NodeSettings
from wasabideck_base.node_process import NodeProcess, node_process
from wasabideck_base.weights_settings import WeightsSettings
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderAnswer
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.superseding import OVERHEAD
from wasabideck_policy.waves import DRAIN_SECONDS, wave_delay

from .chunk_http import http_calls, listen_for_chunks, port_of_chunks
from .chunk_store import ChunkStore
from .chunks_service import ChunksService
from .deliveries_log import DeliveriesLog
from .delivery_book import DeliveryBook
from .links import Link, Links
from .listed_peers import ListedPeers
from .news_loop import NewsLoop
from .numbered_manifests import NumberedManifests
from .origin_chunks import NumberedOrigin, OriginChunks
from .peer_calls import PeerCalls
from .retirement import Retirement
from .staging import Engine, Staging, held_version
from .transfer import Transfer
from .version_choice import VersionChoice

__all__ = ["NodeAgent", "run_agent"]

# The engine beside it is looked at so often: the look costs a millisecond of
# processor, and a restarted engine is found empty by it (seconds).
LOOK_SECONDS = 0.5
# While an order is in progress, each look may end a wait of the whole service.
ORDER_LOOK_SECONDS = 0.05
RETRY_SECONDS = 0.3
# An engine that has accepted an order says that it is busy after so long (seconds).
ACCEPTED_SECONDS = 0.15
# What came meanwhile is staged so often during a transfer (seconds).
STAGE_SECONDS = 0.4
# A transfer that lasts long and stands still may have a spoilt manifest, whose chunks
# nobody has: it is read again then (seconds).
MANIFEST_SECONDS = 3.0
STILL_SECONDS = 0.5
# The origin takes few connections for a whole fleet, and each agent would keep one by
# its reads of the manifest: those that come late are turned away, and those that are
# open when power is lost stay taken. A read of the next piece follows sooner (seconds).
ORIGIN_IDLE_SECONDS = 1.0
# Connections to peers are kept for the next chunk of the same transfer (seconds).
PEER_IDLE_SECONDS = 3.0
# Weights of the first version lie with the servers of a new deployment, and nobody
# names it.
FIRST_VERSION = 1
# Entries begin nothing on older weights from half a second before their time is over:
# a server that stops earlier than that loses requests that it could still begin.
LAST_SECONDS = 0.6
# What is left of the time for stopping when the agent leaves its engine: its loops end
# within it, also on a slow VM (seconds).
CLOSING_SECONDS = 1.3
# The longest streams that can't go on elsewhere keep an engine from loading for so long
# (seconds).
LONGEST_DRAIN_SECONDS = 2.5
# Chunks fetched at once from peers near by, and over a region's link; and sent at once.
# Few bytes of each are under way, so that more of them keep the links busy while none
# gets in the way of live requests: with 3, 1 and 3 half of the transfers of a version
# took 8.7 s, with these 7.5 s (15 VMs, links of 3.65 Mbit/s).
FETCHES = 8
FAR_FETCHES = 4
UPLOADS = 8
# A region of three to five VMs has two to four peers to fetch from. With one fetch a
# peer half of the transfers took 7.3 and 8.1 s, with two 6.8 and 7.1 s (15 and 10 VMs).
FETCHES_A_PEER = 2
# Copies that are read from the origin beyond the first, by agents in its own region:
# the agents' links, which carry the servers' streams as well, are what a rollout waits
# for, and half a copy makes it 0.2 s shorter. Other regions' links are paid dearly.
SPARE_COPIES = 0.5
# A question for holdings and its answer are a kilobyte with all headers: asked once a
# chunk they took 6 in 100 of the link, and the answers to fetches tell the same.
ASK_SLOTS = 3.0
# A peer that lives answers within 0.2 s, also with a full link; one that is gone holds
# up the questions to others for so long (seconds).
CALL_SECONDS = 0.6


async def run_agent(cfg: NodeSettings, deployment: Deployment) -> None:
    """Run an agent until it is told to stop."""
    store = ChunkStore()
    # The inner protocol's windows keep the link's queue short; no pace is set here.
    links = Links(Link(), Link(), Link())
    chunks = ChunksService(store, links, UPLOADS)
    async with (
        node_process(cfg, AGENT, deployment, lambda p: (chunks,)) as process,
        HttpPool(ORIGIN_IDLE_SECONDS) as to_origin,
        HttpPool(PEER_IDLE_SECONDS) as to_peers,
    ):
        port = port_of_chunks(cfg.inner_port)
        giving = await listen_for_chunks(chunks, cfg.ip, port)
        engine = deployment.open_engine(process.pool, cfg.server_address)
        agent = NodeAgent(
            process,
            deployment,
            engine,
            store,
            chunks,
            links,
            Staging(engine, store, process.events),
            _book(process),
            ListedPeers(process, deployment),
            to_origin,
            http_calls(to_peers),
        )
        process.believer.on_version = lambda model, number: agent.news.set()
        news = NewsLoop(process, engine, agent.describe)
        agent.tell = news.tell
        running = {asyncio.create_task(step) for step in (agent.run(), news.run())}
        stopping = asyncio.create_task(process.stop.wait())
        await asyncio.wait({*running, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if stopping.done() and not process.failed:
            grace = process.cfg.bounds.grace - CLOSING_SECONDS
            leaving = asyncio.create_task(agent.retirement.leave(grace))
            running.add(leaving)
            await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        giving.close()
        for task in (*running, stopping):
            task.cancel()
        for task in running:
            if task.done() and not task.cancelled():
                task.result()


def _book(process: NodeProcess) -> DeliveryBook:
    log = DeliveriesLog(process.believer.store)
    return DeliveryBook(process.cfg.vm, process.cfg.service, log, process.events)


@define
class NodeAgent:
    """State of one agent on a node.

    Attributes
    ----------
    to_origin : HttpPool
        Connections to the origin, which are let go when they idle.
    calls : PeerCalls
        How other agents are asked for chunks.
    news : Event
        Set when a version was named.
    tell : callable
        Tells entries at once of an engine's state.
    manifests : NumberedManifests
        What is known of the versions' chunks.
    choice : VersionChoice
        Which of several named versions is fetched.
    retirement : Retirement
        Takes weights whose time is over out of the engine.
    """

    process: NodeProcess
    deployment: Deployment
    engine: Engine
    store: ChunkStore
    chunks: ChunksService
    links: Links
    staging: Staging
    deliveries: DeliveryBook
    peers: ListedPeers
    to_origin: HttpPool
    calls: PeerCalls
    news: asyncio.Event = field(factory=asyncio.Event)
    tell: Callable[[EngineState], None] = lambda state: None
    manifests: NumberedManifests = field(init=False)
    choice: VersionChoice = field(init=False)
    retirement: Retirement = field(init=False)
    _gathering: Transfer | None = None
    _swapping_since: float | None = None
    _serves: int = 0
    _whole_since: dict[int, float] = field(factory=dict)
    _born: int = 0
    _ordered: tuple[int, int] = (0, 0)
    _noted_end: int = 0

    def __attrs_post_init__(self) -> None:
        """Give peers the manifests that are known here."""
        self.manifests = NumberedManifests(
            self.process, self.store, self.peers, self._origin
        )
        self.chunks.numbered = self.manifests.word
        self.choice = VersionChoice(self.process, self.manifests)
        self.retirement = Retirement(
            self.process, self.engine, self._model, lambda state: self.tell(state)
        )

    @property
    def events(self) -> Events:
        """Where this agent's decisions are written."""
        return self.process.events

    async def run(self) -> None:
        """Bring the engine to what is named, and out of what is over, for ever."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.retirement.run())
            tasks.create_task(self._keep_stepping())

    async def _keep_stepping(self) -> None:
        while True:
            try:
                settled = await self.step()
            except WasabideckError as exc:
                self.events.emit("reconcile.failed", why=f"{type(exc).__name__}: {exc}")
                await asyncio.sleep(RETRY_SECONDS * self.process.rng.uniform(0.7, 1.3))
                continue
            if settled:
                await self._wait(LOOK_SECONDS)

    async def step(self) -> bool:
        """One step towards the named version; whether nothing is left to do."""
        model = self._model()
        if model is None:
            await self._wait(STAGE_SECONDS)
            return False
        version = self._named(model)
        state = await self.engine.state()
        if state.born != self._born:
            self.staging.forget()
            self._born = state.born
        self._notice(model, state)
        held = self._serves = held_version(state, model)
        if held >= version:
            await self._settle(model, held)
            return True
        if state.busy and self._ordered == (version, state.born):
            await asyncio.sleep(ORDER_LOOK_SECONDS)
            return False
        # While an older version is being loaded the link is free for the newest.
        manifest = await self.choice.wanted(model, held, version)
        if await self._gather(model, manifest):
            await self._swap(model, manifest)
        return False

    def _notice(self, model: EngineModel, state: EngineState) -> None:
        """Take in that a swap has ended and a version is in force.

        Also while the main loop fetches the next version for seconds: entries would
        send nothing to a server that has long loaded, and the report would lack a
        version that another one overtook.
        """
        since = self._swapping_since
        if since is not None and not state.busy:
            if self.process.clock() - since >= ACCEPTED_SECONDS:
                self._swapping_since = None
        if held := held_version(state, model):
            manifest = self.manifests.known(held)
            wall = time.time()
            self.deliveries.in_force(model.model, held, manifest, state.born, wall)

    def describe(self, state: EngineState) -> tuple[int, bool, float, int] | None:
        """What entries are told: version begun on, serving, ready in, newest dated.

        Nothing while the model is not known: the word that no version is held would
        have entries take back what waits at a sound server. While an order is in
        progress what waits begins on the version that it loads: entries would
        otherwise take it back from there.
        """
        model = self._model()
        if model is None:
            return None
        named = self._named(model)
        self._notice(model, state)
        self._note_end(model, state)
        held = held_version(state, model)
        swapping = self._swapping_since is not None
        serving = held > 0 and not state.busy and not swapping
        ready_in = self._ready_in(model, held, named)
        ordered, born = self._ordered
        if born == state.born and (state.busy or swapping):
            held = max(held, ordered)
        return held, serving, ready_in, self._dated(model)

    def _note_end(self, model: EngineModel, state: EngineState) -> None:
        """One line on what an engine has when its weights are over."""
        held = held_version(state, model)
        beliefs, bounds = self.process.believer.beliefs, self.process.cfg.bounds
        over_at = beliefs.over_at(model.model, held, bounds.version)
        now = self.process.clock()
        if not 0 < held or held == self._noted_end:
            return
        if over_at is None or now < over_at:
            return
        self._noted_end = held
        self.events.emit(
            "weights.over",
            version=held,
            since=round(now - over_at, 3),
            busy=state.busy,
            running=state.running,
            waiting=state.waiting,
        )

    def _ready_in(self, model: EngineModel, held: int, named: int) -> float:
        """Seconds until the newest named version is served, as far as is known."""
        if held >= named:
            return 0.0
        now = self.process.clock()
        if self._swapping_since is not None:
            swap = DRAIN_SECONDS + model.load_seconds
            return max(LOOK_SECONDS, swap - (now - self._swapping_since))
        slot = model.chunk_bytes / max(self.process.cfg.link_rate, 1.0) * OVERHEAD
        missing = model.chunks
        if self._gathering is not None:
            missing = self._gathering.view.missing
            if int(self._gathering.manifest.version) != named:
                missing += model.chunks
        return missing * slot + DRAIN_SECONDS + model.load_seconds

    def _model(self) -> EngineModel | None:
        cfg = self.process.believer.beliefs.configuration
        service = cfg.services.get(self.process.cfg.service) if cfg else None
        return service.engine if service else None

    def _named(self, model: EngineModel) -> int:
        named = self.process.believer.beliefs.newest_version(model.model)
        return named or FIRST_VERSION

    def _dated(self, model: EngineModel) -> int:
        """The newest version whose end this agent knows, and holds its engine to."""
        beliefs = self.process.believer.beliefs
        return beliefs.newest_dated(model.model) or FIRST_VERSION

    async def _settle(self, model: EngineModel, version: int) -> None:
        """Hold the chunks of what is in force for servers that lack them."""
        await self.deliveries.write()
        manifest = await self.manifests.get(model.model, version)
        if not self.store.whole(manifest):
            taken = await self.staging.take_up(manifest)
            self.events.emit("staging.taken-up", version=version, pieces=taken)
        self._forget_before(version)

    def _origin(self) -> NumberedOrigin:
        place = self.process.believer.beliefs.configuration.origin()
        address = place.address if place else ""
        return self.deployment.open_origin(self.to_origin, address)

    async def _gather(self, model: EngineModel, manifest: Manifest) -> bool:
        """Fetch a version's chunks and stage them; whether it is whole and wanted."""
        version = int(manifest.version)
        if self.store.whole(manifest):
            await self.staging.place(manifest)
            return True
        await self.staging.take_up(manifest)
        if self.deliveries.begin(version, time.time()):
            self.choice.begin(version)
            self.events.emit(
                "transfer.begun", manifest=manifest.digest, version=version
            )
        if self.store.whole(manifest):
            # All of it lay staged: nobody has to be asked for anything.
            await self._verified(manifest, {})
            return True
        await self.peers.refresh()
        transfer = self._gathering = self._transfer(manifest)
        fetching = asyncio.create_task(transfer.run())
        try:
            return await self._attend(model, manifest, transfer, fetching)
        finally:
            self._gathering = None
            fetching.cancel()
            await asyncio.gather(fetching, return_exceptions=True)
            self.deliveries.count(version, transfer.sources)

    async def _attend(
        self,
        model: EngineModel,
        manifest: Manifest,
        transfer: Transfer,
        fetching: asyncio.Task,
    ) -> bool:
        """Stage what comes until all is there, or something newer is wanted."""
        version = int(manifest.version)
        read_at = self.process.clock()
        while not fetching.done():
            await asyncio.wait({fetching}, timeout=STAGE_SECONDS)
            await self.staging.place(manifest)
            missing = transfer.view.wanted.bit_count()
            newest = self._named(model)
            if newest == version:
                if self.choice.stalls(model, self._serves, version, transfer):
                    return False
            elif not self.choice.goes_on(model, manifest, missing, newest):
                return False
            now = self.process.clock()
            still = transfer.still_for() > STILL_SECONDS
            if still and now - read_at > MANIFEST_SECONDS:
                read_at = now
                await self.peers.read()
                if await self._reread(model, manifest):
                    return False
        fetching.result()
        await self._verified(manifest, transfer.sources)
        return True

    async def _verified(self, manifest: Manifest, sources: dict[str, int]) -> None:
        """Stage the rest of a version that is whole here, and note where it is from."""
        await self.staging.place(manifest)
        self.deliveries.verify(int(manifest.version), time.time())
        self.events.emit("transfer.verified", manifest=manifest.digest, sources=sources)

    async def _reread(self, model: EngineModel, manifest: Manifest) -> bool:
        """Read a manifest again; whether it is another one than before."""
        version = int(manifest.version)
        with contextlib.suppress(WasabideckError):
            await self.manifests.find(model.model, version)
        return self.manifests.differs(version, manifest)

    async def _swap(self, model: EngineModel, manifest: Manifest) -> None:
        """Order the engine to load what lies staged, when its time has come."""
        version = int(manifest.version)
        state = await self._when_free(model, version)
        if state is None:
            return
        now = self.process.clock()
        if self._soon_over(model, version, state.running, now):
            await asyncio.sleep(RETRY_SECONDS)
            return
        if now < self._stops_at(model, version, now):
            await asyncio.sleep(ORDER_LOOK_SECONDS)
            return
        self.retirement.loading = True
        try:
            await self._load(model, manifest)
        finally:
            self.retirement.loading = False

    async def _when_free(self, model: EngineModel, version: int) -> EngineState | None:
        """The engine's state when it takes an order; None to look at everything anew.

        A version that was overtaken is waited with: whoever looks anew turns to the
        newest, whose pieces are staged over it.
        """
        while (state := await self.engine.state()).busy:
            await asyncio.sleep(ORDER_LOOK_SECONDS)
            if version >= self._named(model) or state.born != self._born:
                return None
            if self._ordered == (version, state.born):
                return None
            if self._soon_over(model, version, 0, self.process.clock()):
                return None
        return state if held_version(state, model) < version else None

    def _soon_over(
        self, model: EngineModel, version: int, running: int, now: float
    ) -> bool:
        """Whether a version that was overtaken may be over when it is loaded.

        What waits meanwhile begins on it, and may do so only after the longest of what
        runs has ended. Where the date of a newer version is unknown it may be over.
        """
        takes = model.load_seconds + (LONGEST_DRAIN_SECONDS if running else 0.0)
        beliefs, within = self.process.believer.beliefs, self.process.cfg.bounds.version
        return version < beliefs.least_version(model.model, within, now + takes)

    async def _load(self, model: EngineModel, manifest: Manifest) -> None:
        """Check what lies staged and order the engine to load it."""
        version = int(manifest.version)
        state = await self.staging.check(manifest)
        if self._soon_over(model, version, state.running, self.process.clock()):
            # The check takes seconds on a slow VM.
            return
        # Entries hear first, so that they send elsewhere what would wait out the swap.
        self._swapping_since = self.process.clock()
        self.tell(state)
        answer = await self.engine.load(
            model.model, version, queue=True, accepted=state.orders
        )
        self.events.emit(
            "order.sent",
            version=version,
            **self._newest_fields(model),
            answer=answer.value,
            running=state.running,
            waiting=state.waiting,
        )
        if answer is OrderAnswer.REFUSED:
            self._swapping_since = None
            await asyncio.sleep(RETRY_SECONDS)
            return
        # From now on: an order may take longer to be accepted than a swap seems to.
        self._swapping_since = self.process.clock()
        self._ordered = (version, state.born)
        self.tell(evolve(state, busy=True))

    def _newest_fields(self, model: EngineModel) -> dict[str, object]:
        """Fields of an event on an order: the newest version that is known here."""
        newest = self.process.believer.beliefs.newest(model.model)
        if newest is None:
            return {"newest": 0, "newest_age": None, "dated": False}
        age = round(newest.age(self.process.clock()), 3)
        return {"newest": newest.number, "newest_age": age, "dated": newest.certain}

    def _stops_at(self, model: EngineModel, version: int, now: float) -> float:
        """When the engine may stop for a version that is whole here, seconds."""
        if self._serves == 0:
            return now
        since = self._whole_since.setdefault(version, now)
        believer, cfg = self.process.believer, self.process.cfg
        over_at = believer.beliefs.over_at(
            model.model, self._serves, cfg.bounds.version
        )
        if over_at is None:
            return now
        last = over_at - LAST_SECONDS
        vms = {cfg.vm, *(member.vm for member in self.peers.members())}
        spare = last - since
        delay = wave_delay(cfg.vm, version, vms, model.load_seconds, spare)
        return min(since + delay, last)

    def _transfer(self, manifest: Manifest) -> Transfer:
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
            _weights(cfg, self._spare_copies()),
            self.process.rng,
        )

    def _spare_copies(self) -> float:
        """Copies that all would read beyond the first if all did as this agent."""
        cfg = self.process.cfg
        place = self.process.believer.beliefs.configuration.origin()
        if place is None or cfg.regions.get(place.data_centre) != cfg.region:
            return 0.0
        peers = self.peers.members()
        near = 1 + sum(peer.region == cfg.region for peer in peers)
        return SPARE_COPIES * (1 + len(peers)) / near

    def _forget_before(self, version: int) -> None:
        if self.manifests.forget_before(version):
            self.store.keep_only(self.manifests.digests())

    async def _wait(self, seconds: float) -> None:
        """Wait for news, at most so long."""
        self.news.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.news.wait()


def _weights(cfg: NodeSettings, spare_copies: float) -> WeightsSettings:
    return WeightsSettings(
        fetches=FETCHES,
        far_fetches=FAR_FETCHES,
        fetches_a_peer=FETCHES_A_PEER,
        ask_slots=ASK_SLOTS,
        spare_copies=spare_copies,
        uploads=UPLOADS,
        call_seconds=CALL_SECONDS,
        link_rate=cfg.link_rate,
    )
