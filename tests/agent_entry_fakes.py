"""Fakes of the interfaces of the agent and the entry, for tests of responses."""

import asyncio
import copy
import random

from attrs import define, field
from grpclib.server import Server
from wasabideck_agent.at_most_once import AtMostOnce, Holder
from wasabideck_agent.attempts import Attempts
from wasabideck_agent.claim_store import ClaimStore
from wasabideck_agent.runner import Runner
from wasabideck_agent.runs_service import RunsService
from wasabideck_base.channels import Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.server_clients import ServedState
from wasabideck_base.table import CheckFailed
from wasabideck_entry.attempt_resolver import AttemptResolver
from wasabideck_entry.attempt_stream import AttemptStream
from wasabideck_entry.call_runner import Call, CallRunner, Completed, StreamEvent
from wasabideck_entry.crash_suspects import CrashSuspects
from wasabideck_policy.admission import AdmissionControl
from wasabideck_policy.attempt_registry import AttemptRegistry
from wasabideck_policy.load_balancing import ServerState as Target
from wasabideck_policy.quarantine import Quarantine
from wasabideck_wire import inner_pb2 as pb


@define
class Now:
    """A clock that a test advances."""

    at: float = 100.0

    def __call__(self):
        return self.at


@define
class FakeEvents:
    """Keeps events in memory."""

    kept: list = field(factory=list)
    clock: HybridClock = field(factory=HybridClock)

    def emit(self, kind, /, **fields):
        self.kept.append((kind, fields))

    def wall(self):
        return 1000.0

    def kinds(self):
        return [kind for kind, _ in self.kept]


@define
class FakeTable:
    """A table whose next responses are listed in ``plan``.

    Each transaction takes one entry: ``ok``, ``down`` (503, not applied), ``lost``
    (applied, no response), ``late`` (no response, applied by ``apply_late``).
    """

    rows: dict = field(factory=dict)
    plan: list = field(factory=list)
    reads: list = field(factory=list)
    late: list = field(factory=list)
    transactions: int = 0
    entered: asyncio.Event = field(factory=asyncio.Event)
    hold: asyncio.Event | None = None

    async def get(self, table, key):
        if self.reads and self.reads.pop(0) == "down":
            raise PlatformUnavailable("fake", "down", maybe_applied=False)
        return copy.deepcopy(self.rows.get(key))

    async def transact(self, checks, writes):
        self.transactions += 1
        planned = self.plan.pop(0) if self.plan else "ok"
        self.entered.set()
        if self.hold:
            await self.hold.wait()
        await asyncio.sleep(0)
        if planned == "down":
            raise PlatformUnavailable("fake", "down", maybe_applied=False)
        if planned == "late":
            self.late.append((checks, writes))
            raise PlatformUnavailable("fake", "late", maybe_applied=True)
        failed = self._apply(checks, writes)
        if planned == "lost":
            raise PlatformUnavailable("fake", "lost", maybe_applied=True)
        return failed

    def apply_late(self):
        """Apply the writes whose entry was ``late``."""
        late, self.late = self.late, []
        for checks, writes in late:
            self._apply(checks, writes)

    def _apply(self, checks, writes):
        for check in checks:
            row = self.rows.get(check.key)
            fits = row is None if check.expected is None else row is not None
            if fits and check.expected:
                fits = all(row[k] == v for k, v in check.expected.items())
            if not fits:
                return CheckFailed(check, copy.deepcopy(row))
        for write in writes:
            self.rows[write.key] = copy.deepcopy(write.row)
        return None


@define
class FakePlain:
    """A plain service that counts runs by key; ``ends`` lists how calls end."""

    runs: dict = field(factory=dict)
    ends: list = field(factory=list)
    entered: asyncio.Event = field(factory=asyncio.Event)
    hold: asyncio.Event | None = None

    async def call(self, attempt, route, key, body, timeout):
        self.runs[key] = self.runs.get(key, 0) + 1
        self.entered.set()
        if self.hold:
            await self.hold.wait()
        if self.ends and (end := self.ends.pop(0)):
            raise end
        return b"receipt of " + key.encode()


@define
class FakeEngine:
    """An engine that generates four words; it dies at the word ``dies_at``."""

    version: str = "v1"
    words: int = 4
    dies_at: int | None = None
    jobs: list = field(factory=list)
    cancelled: list = field(factory=list)
    produced: int = 0
    word: str = "w"

    async def generate(self, job):
        self.jobs.append(job)
        for index in range(job.resume_from, self.words):
            if index == self.dies_at:
                from wasabideck_base.server_clients import ServerDied

                raise ServerDied("fake", "died")
            self.produced += 1
            yield {"text": f"{self.word}{index} ", "version": self.version}
            await asyncio.sleep(0)
        yield {"done": True}

    async def cancel(self, attempt):
        self.cancelled.append(attempt)


@define
class FakeAgent:
    """A runner on fakes, served by the real inner protocol on a free port."""

    vm: str
    table: FakeTable
    now: Now = field(factory=Now)
    plain: FakePlain | None = None
    engine: FakeEngine | None = None
    incarnation: str = "inc-1"
    events: FakeEvents = field(factory=FakeEvents)
    runner: Runner = field(init=False)
    channels: Channels = field(init=False)
    server: Server | None = None

    def __attrs_post_init__(self):
        self.channels = Channels(HybridClock())
        claims = ClaimStore(self.table, self.events, retry_seconds=0.0)
        at_most_once = AtMostOnce(
            Holder(self.vm, "", self.incarnation),
            claims,
            self.channels,
            self.events,
            self.now,
            reader_timeout=0.01,
            holder_timeout=0.2,
        )
        self.runner = Runner(
            self.vm,
            AdmissionControl(4, accepting=True),
            self.events,
            self.engine,
            self.plain,
            at_most_once,
            Attempts(AttemptRegistry(self.incarnation)),
            serving=ServedState(1, "drafter", "v1", "m1"),
            clock=self.now,
            wall=self.events.wall,
        )

    @property
    def address(self):
        return self.runner.at_most_once.holder.address

    async def serve(self):
        self.server = Server([RunsService(self.runner, heartbeat_seconds=0.02)])
        await self.server.start("127.0.0.1", 0)
        host, port = self.server._server.sockets[0].getsockname()
        self.runner.at_most_once.holder.address = f"{host}:{port}"
        return self

    def close(self):
        self.channels.close()
        if self.server:
            self.server.close()

    async def run(self, req):
        """Run a request while its events are read; return its final event."""
        attempt = self.runner.start(req)
        with attempt.attach_reader(self.now):
            return await self.final(attempt)

    async def final(self, attempt):
        while attempt.final is None:
            await attempt._wait_for_change(5.0)
        return attempt.final


def order(attempt="a1", key="k1", body=b"20 banners", **kw):
    """Return a run request for a call that may not be repeated."""
    kw = {"incarnation": "inc-1", "organisation": "org-1", "digest": body.hex()} | kw
    return pb.RunRequest(
        attempt=attempt,
        request="r1",
        organisation=kw["organisation"],
        service="orders",
        route="print",
        idempotency_key=key,
        body=body,
        repeatable=False,
        deadline_ms=kw.get("deadline_ms", 5000),
        body_digest=kw["digest"],
        incarnation=kw["incarnation"],
        not_after_ms=kw.get("not_after_ms", 110_000),
    )


def draft(attempt="d1", body=b"a brief", **kw):
    """Return a run request for a repeatable, streamed call."""
    fields = {"incarnation": "inc-1", "not_after_ms": 110_000} | kw
    return pb.RunRequest(
        attempt=attempt,
        request="r1",
        organisation="org-1",
        service="drafting",
        route="brief",
        body=body,
        repeatable=True,
        deadline_ms=5000,
        **fields,
    )


def make_engine_agent(vm="draft-1", **kw):
    engine = kw.pop("engine", None) or FakeEngine(**kw.pop("engine_kw", {}))
    return FakeAgent(vm, FakeTable(), engine=engine, **kw)


class GatedEngine(FakeEngine):
    """An engine that waits before each line until a test releases ``turn``."""

    def __init__(self):
        super().__init__()
        self.turn = asyncio.Semaphore(0)

    async def generate(self, job):
        async for line in super().generate(job):
            await self.turn.acquire()
            yield line


def make_target(agent, manifest="m1", address=""):
    return Target(
        agent.vm,
        "drafting",
        address or agent.address,
        manifest=manifest,
        incarnation=agent.incarnation,
    )


async def unresolved():
    return None


def make_stream(server, req, now, receive_timeout=0.2):
    return AttemptStream(
        server,
        req,
        now.at + 50,
        Channels(HybridClock()),
        FakeEvents(),
        unresolved,
        now,
        receive_timeout,
    )


class FakeFleet:
    """The servers of one service."""

    region = "region-1"

    def __init__(self, *servers):
        self.servers = servers

    def record_outcome(self, server, outcome):
        pass

    def eligible_servers(self, service, without):
        return [s for s in self.servers if s.vm not in without and s.serving]


def make_caller(*servers, quarantine=None, now=None, table=None):
    suspects = CrashSuspects(quarantine or Quarantine(), wall_clock=lambda: 1000.0)
    return CallRunner(
        FakeFleet(*servers),
        Channels(HybridClock()),
        FakeEvents(),
        lambda servers, request, now, rng: servers[0],
        random.Random(7),
        suspects,
        AttemptResolver(table or FakeTable()),
        clock=now or Now(),
        receive_timeout=0.2,
    )


def call(repeatable=True, body=b"a brief", key="", **kw):
    return Call(
        "r1",
        "org-1",
        "drafting",
        "brief",
        body,
        key,
        "digest",
        repeatable,
        1,
        150.0,
        **kw,
    )


async def answer(caller, a_call):
    text, outcome = b"", None
    async for item in caller.run(a_call):
        if isinstance(item, StreamEvent):
            text += item.data
        if isinstance(item, Completed):
            outcome = item.outcome
    return text, outcome
