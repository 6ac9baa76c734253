"""Stand-ins for backend servers: a model engine and a plain service."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import hashlib
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

import orjson
from aiohttp import web
from attrs import asdict, define, field
from wasabideck_base.servers import Loaded
from wasabideck_policy.manifests import Manifest

from .faults import Faults
from .standin_batch import PREFIX_BYTES, Batch

__all__ = ["Crashes", "EngineStandin", "PlainStandin"]


@define
class Crashes:
    """A server's crashes: all its requests in progress break with it.

    Attributes
    ----------
    bodies : list of bytes
        Body of the request behind each crash: the lab's books.
    """

    bodies: list[bytes] = field(factory=list)
    restart_seconds: float = 0.3
    _down_until: float = 0.0
    _open: list[web.Request] = field(factory=list)

    @contextlib.contextmanager
    def running(self, req: web.Request) -> Iterator[None]:
        """Count a request as in progress; refuse it while the server is down."""
        if time.monotonic() < self._down_until:
            req.transport.abort()
            raise web.HTTPServiceUnavailable()
        self._open.append(req)
        try:
            yield
        finally:
            self._open = [other for other in self._open if other is not req]

    def strike(self, body: bytes) -> None:
        """Crash: break every request in progress, and be down for a while."""
        self.bodies.append(body)
        self._down_until = time.monotonic() + self.restart_seconds
        for req in list(self._open):
            if req.transport is not None:
                req.transport.abort()


@define
class EngineStandin:
    """A model engine that answers with its version in every word.

    Attributes
    ----------
    token_seconds : float
        Time between two tokens of one request, unless there is a batch.
    batch : Batch or None
        What requests cost when they share the engine.
    runs : Counter
        Attempts that ran, by attempt: the lab's books.
    history : list of int
        Fencing number of each order that was carried out.
    mixed : int
        Orders that loaded a partial model or a mix of two.
    pending : int
        Orders that came and are not carried out yet, late ones too.
    overlaps : int
        Orders that came while another one was pending.
    """

    faults: Faults
    manifests: dict[str, Manifest]
    token_seconds: float = 0.005
    tokens: int = 8
    capacity: int = 8
    load_seconds: float = 0.05
    loaded: Loaded = field(factory=Loaded)
    staged: dict[str, dict[int, str]] = field(factory=dict)
    runs: Counter = field(factory=Counter)
    running: int = 0
    orders: list[dict] = field(factory=list)
    history: list[int] = field(factory=list)
    mixed: int = 0
    pending: int = 0
    overlaps: int = 0
    cancelled: set[str] = field(factory=set)
    stopped: int = 0
    crashes: Crashes = field(factory=Crashes)
    batch: Batch | None = None
    _loads: list[tuple[float, float]] = field(factory=lambda: [(0.0, 0.0)])

    def routes(self) -> list[web.RouteDef]:
        """Routes that it serves."""
        return [
            web.get("/v1/loaded", self._loaded),
            web.get("/v1/weights/{manifest}", self._staged),
            web.put("/v1/weights/{manifest}/{index}", self._stage),
            web.post("/v1/orders", self._order),
            web.get("/v1/load", self._load),
            web.get("/v1/cache", self._cache),
            web.post("/v1/generate/{route}", self._generate),
            web.post("/v1/cancel/{attempt}", self._cancel),
        ]

    async def _loaded(self, req: web.Request) -> web.Response:
        return web.json_response(asdict(self.loaded))

    async def _staged(self, req: web.Request) -> web.Response:
        return web.json_response(list(self.staged.get(req.match_info["manifest"], ())))

    async def _stage(self, req: web.Request) -> web.Response:
        data = await req.read()
        chunks = self.staged.setdefault(req.match_info["manifest"], {})
        chunks[int(req.match_info["index"])] = hashlib.sha256(data).hexdigest()
        return web.Response()

    async def _order(self, req: web.Request) -> web.Response:
        order = await req.json()
        self.orders.append(order)
        self.overlaps += self.pending > 0
        self.pending += 1
        if self.faults.value("order_late"):
            asyncio.get_running_loop().call_later(
                self.faults.value("order_late"), self._carry_out, order
            )
            req.transport.abort()
            return web.Response(status=500)
        await asyncio.sleep(self.load_seconds)
        done = self._carry_out(order)
        if self.faults.strikes("lose_order"):
            req.transport.abort()
        if not done:
            return web.json_response(asdict(self.loaded), status=409)
        return web.json_response(asdict(self.loaded))

    def _carry_out(self, order: dict) -> bool:
        """Load what an order names; False when its fencing number is old."""
        self.pending -= 1
        old = order["fence"] < self.loaded.fence
        if old and not self.faults.value("ignore_fence"):
            return False
        chunks = order.pop("chunks")
        manifests = (order["manifest"], *order["adapters"].values())
        if not all(self._staged_whole(digest, chunks) for digest in manifests):
            self.mixed += 1
        self.loaded = Loaded(**order)
        self.history.append(order["fence"])
        return True

    def _staged_whole(self, digest: str, chunks: dict[str, int]) -> bool:
        """The books' own judgement, apart from the agent's, of partial or mixed."""
        staged = self.staged.get(digest, {})
        given = [staged.get(index, "") for index in range(chunks.get(digest, 0))]
        known = self.manifests.get(digest)
        return tuple(given) == (known.chunks if known else ())

    async def _load(self, req: web.Request) -> web.Response:
        now = time.time()
        load = self.batch.load if self.batch else self.running / self.capacity
        self._loads.append((now, load))
        self._loads = self._loads[-1000:]
        seen = now - self.faults.value("load_lag")
        at, load = max((row for row in self._loads if row[0] <= seen), default=(0, 0))
        return web.json_response({"load": load, "at": at})

    async def _cache(self, req: web.Request) -> web.Response:
        """Cache events after a number; late and with gaps when faults say so."""
        if self.batch is None:
            return web.json_response([])
        after = int(req.query.get("after", "0"))
        events = [e for e in self.batch.cache.events if e[0] > after]
        told = [e for e in events if not self.faults.strikes("cache_gaps")]
        return web.json_response(told)

    async def _cancel(self, req: web.Request) -> web.Response:
        self.cancelled.add(req.match_info["attempt"])
        return web.Response()

    async def _generate(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        attempt = req.headers["x-attempt"]
        await self.faults.delay()
        crash = self.faults.text("crash_on")
        with self.crashes.running(req):
            if crash and crash.encode() in body:
                self.crashes.strike(body)
                return web.Response(status=500)
            self.runs[attempt] += 1
            self.running += 1
            try:
                if self.batch is None:
                    pause = functools.partial(asyncio.sleep, self.token_seconds)
                    return await self._stream(req, attempt, body, pause)
                return await self._stream_in_batch(req, attempt, body)
            except ConnectionResetError:
                # The agent gave the attempt up; a reply to nobody is no error.
                self.stopped += 1
                return web.Response(status=500)
            finally:
                self.running -= 1

    async def _stream_in_batch(
        self, req: web.Request, attempt: str, body: bytes
    ) -> web.StreamResponse:
        prefix = hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:8]
        member = self.batch.enter(prefix, int(req.headers.get("x-priority", "1")))
        try:
            pause = functools.partial(self.batch.token, member)
            return await self._stream(req, attempt, body, pause)
        finally:
            self.batch.leave(member)

    async def _stream(
        self,
        req: web.Request,
        attempt: str,
        body: bytes,
        pause: Callable[[], Awaitable[None]],
    ) -> web.StreamResponse:
        version = self.loaded.version
        res = web.StreamResponse()
        await res.prepare(req)
        prompt = body[: int(req.headers.get("x-prompt-bytes", len(body)))]
        subject = hashlib.sha256(prompt).hexdigest()[:6]
        for index in range(int(req.headers.get("x-resume-from", 0)), self.tokens):
            if attempt in self.cancelled:
                self.stopped += 1
                break
            await pause()
            row = {"text": f"{subject}-{version}-{index} ", "version": version}
            await res.write(orjson.dumps(row) + b"\n")
        await res.write(orjson.dumps({"done": True}) + b"\n")
        return res


@define
class PlainStandin:
    """A plain service; its books count how often each call ran."""

    faults: Faults
    seconds: float = 0.005
    runs: Counter = field(factory=Counter)
    attempts: Counter = field(factory=Counter)
    crashes: Crashes = field(factory=Crashes)
    slots: asyncio.Semaphore | None = None

    def routes(self) -> list[web.RouteDef]:
        """Routes that it serves."""
        return [web.post("/v1/calls/{route}", self._call)]

    async def _call(self, req: web.Request) -> web.Response:
        body = await req.read()
        key = req.headers.get("idempotency-key", "")
        with self.crashes.running(req):
            self.runs[key] += 1
            self.attempts[req.headers["x-attempt"]] += 1
            crash = self.faults.text("crash_on")
            if crash and crash.encode() in body:
                self.crashes.strike(body)
                return web.Response(status=500)
            async with self.slots or contextlib.nullcontext():
                await asyncio.sleep(self.seconds)
            if self.faults.value("silent"):
                await asyncio.sleep(3600)
            if self.faults.strikes("fail_after"):
                return web.Response(status=500)
            answer = {"key": key, "echo": hashlib.sha256(body).hexdigest()[:12]}
            return web.json_response(answer)
