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
from wasabideck_base.server_clients import ServedState
from wasabideck_policy.manifests import Manifest

from .faults import FaultInjector
from .standin_batch import PREFIX_BYTES, Batch

__all__ = ["CrashSimulator", "EngineStandin", "PlainStandin"]


@define
class CrashSimulator:
    """Simulates the crashes of a server, which abort all its requests in progress.

    Attributes
    ----------
    bodies : list of bytes
        Body of the request that caused each crash; read by the lab's checks.
    """

    bodies: list[bytes] = field(factory=list)
    restart_seconds: float = 0.3
    _down_until: float = 0.0
    _in_progress: list[web.Request] = field(factory=list)

    @contextlib.contextmanager
    def track(self, req: web.Request) -> Iterator[None]:
        """Track a request as in progress; refuse it while the server is down."""
        if time.monotonic() < self._down_until:
            req.transport.abort()
            raise web.HTTPServiceUnavailable()
        self._in_progress.append(req)
        try:
            yield
        finally:
            self._in_progress = [
                tracked for tracked in self._in_progress if tracked is not req
            ]

    def crash(self, body: bytes) -> None:
        """Abort all requests in progress, and be down for ``restart_seconds``."""
        self.bodies.append(body)
        self._down_until = time.monotonic() + self.restart_seconds
        for req in list(self._in_progress):
            if req.transport is not None:
                req.transport.abort()


@define
class EngineStandin:
    """A model engine whose responses contain its version in every word.

    Attributes
    ----------
    token_seconds : float
        Time between two tokens of one request; not used if there is a batch.
    batch : Batch or None
        Cost model of requests that share the engine.
    runs_by_attempt : Counter
        Number of runs by attempt; read by the lab's checks.
    history : list of int
        Fencing token of each executed order.
    mixed_loads : int
        Number of orders that loaded a partial model or a mix of two models.
    pending_orders : int
        Number of received orders that aren't executed yet, including delayed orders.
    overlapping_orders : int
        Number of orders that were received while another order was pending.
    """

    faults: FaultInjector
    manifests: dict[str, Manifest]
    token_seconds: float = 0.005
    tokens_per_response: int = 8
    capacity: int = 8
    load_seconds: float = 0.05
    loaded: ServedState = field(factory=ServedState)
    staged: dict[str, dict[int, str]] = field(factory=dict)
    runs_by_attempt: Counter = field(factory=Counter)
    running: int = 0
    received_orders: list[dict] = field(factory=list)
    history: list[int] = field(factory=list)
    mixed_loads: int = 0
    pending_orders: int = 0
    overlapping_orders: int = 0
    cancelled_attempts: set[str] = field(factory=set)
    aborted_runs: int = 0
    crash_simulator: CrashSimulator = field(factory=CrashSimulator)
    batch: Batch | None = None
    _load_history: list[tuple[float, float]] = field(factory=lambda: [(0.0, 0.0)])

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that it serves."""
        return [
            web.get("/v1/loaded", self._report_loaded),
            web.get("/v1/weights/{manifest}", self._list_staged),
            web.put("/v1/weights/{manifest}/{index}", self._stage_chunk),
            web.post("/v1/orders", self._receive_order),
            web.get("/v1/load", self._report_load),
            web.get("/v1/cache", self._report_cache_events),
            web.post("/v1/generate/{route}", self._generate),
            web.post("/v1/cancel/{attempt}", self._cancel),
        ]

    async def _report_loaded(self, req: web.Request) -> web.Response:
        return web.json_response(asdict(self.loaded))

    async def _list_staged(self, req: web.Request) -> web.Response:
        return web.json_response(list(self.staged.get(req.match_info["manifest"], ())))

    async def _stage_chunk(self, req: web.Request) -> web.Response:
        data = await req.read()
        chunks = self.staged.setdefault(req.match_info["manifest"], {})
        chunks[int(req.match_info["index"])] = hashlib.sha256(data).hexdigest()
        return web.Response()

    async def _receive_order(self, req: web.Request) -> web.Response:
        order = await req.json()
        self.received_orders.append(order)
        self.overlapping_orders += self.pending_orders > 0
        self.pending_orders += 1
        if self.faults.value("order_late"):
            asyncio.get_running_loop().call_later(
                self.faults.value("order_late"), self._execute_order, order
            )
            req.transport.abort()
            return web.Response(status=500)
        await asyncio.sleep(self.load_seconds)
        executed = self._execute_order(order)
        if self.faults.occurs("lose_order"):
            req.transport.abort()
        if not executed:
            return web.json_response(asdict(self.loaded), status=409)
        return web.json_response(asdict(self.loaded))

    def _execute_order(self, order: dict) -> bool:
        """Load the weights of an order; return False if its fencing token is old."""
        self.pending_orders -= 1
        outdated = order["fence"] < self.loaded.fence
        if outdated and not self.faults.value("ignore_fence"):
            return False
        chunks = order.pop("chunks")
        manifests = (order["manifest"], *order["adapters"].values())
        if not all(self._is_fully_staged(digest, chunks) for digest in manifests):
            self.mixed_loads += 1
        self.loaded = ServedState(**order)
        self.history.append(order["fence"])
        return True

    def _is_fully_staged(self, digest: str, chunks: dict[str, int]) -> bool:
        """Whether the staged chunks are exactly those of a manifest.

        This check is independent of the agent's own check of partial or mixed models.
        """
        staged = self.staged.get(digest, {})
        staged_digests = [
            staged.get(index, "") for index in range(chunks.get(digest, 0))
        ]
        manifest = self.manifests.get(digest)
        return tuple(staged_digests) == (manifest.chunks if manifest else ())

    async def _report_load(self, req: web.Request) -> web.Response:
        now = time.time()
        load = self.batch.load if self.batch else self.running / self.capacity
        self._load_history.append((now, load))
        self._load_history = self._load_history[-1000:]
        visible_until = now - self.faults.value("load_lag")
        at, load = max(
            (sample for sample in self._load_history if sample[0] <= visible_until),
            default=(0, 0),
        )
        return web.json_response({"load": load, "at": at})

    async def _report_cache_events(self, req: web.Request) -> web.Response:
        """Respond with the cache events after a number; ``cache_gaps`` omits some."""
        if self.batch is None:
            return web.json_response([])
        after = int(req.query.get("after", "0"))
        events = [e for e in self.batch.cache.events if e[0] > after]
        reported = [e for e in events if not self.faults.occurs("cache_gaps")]
        return web.json_response(reported)

    async def _cancel(self, req: web.Request) -> web.Response:
        self.cancelled_attempts.add(req.match_info["attempt"])
        return web.Response()

    async def _generate(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        attempt = req.headers["x-attempt"]
        await self.faults.apply_delay_or_refuse()
        crash_text = self.faults.text("crash_on")
        with self.crash_simulator.track(req):
            if crash_text and crash_text.encode() in body:
                self.crash_simulator.crash(body)
                return web.Response(status=500)
            self.runs_by_attempt[attempt] += 1
            self.running += 1
            try:
                if self.batch is None:
                    wait_for_token = functools.partial(
                        asyncio.sleep, self.token_seconds
                    )
                    return await self._stream(req, attempt, body, wait_for_token)
                return await self._stream_in_batch(req, attempt, body)
            except ConnectionResetError:
                # The agent cancelled the attempt and disconnected; this isn't an error.
                self.aborted_runs += 1
                return web.Response(status=500)
            finally:
                self.running -= 1

    async def _stream_in_batch(
        self, req: web.Request, attempt: str, body: bytes
    ) -> web.StreamResponse:
        prefix = hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:8]
        request = self.batch.add(prefix, int(req.headers.get("x-priority", "1")))
        try:
            wait_for_token = functools.partial(self.batch.next_token, request)
            return await self._stream(req, attempt, body, wait_for_token)
        finally:
            self.batch.remove(request)

    async def _stream(
        self,
        req: web.Request,
        attempt: str,
        body: bytes,
        wait_for_token: Callable[[], Awaitable[None]],
    ) -> web.StreamResponse:
        version = self.loaded.version
        res = web.StreamResponse()
        await res.prepare(req)
        prompt = body[: int(req.headers.get("x-prompt-bytes", len(body)))]
        subject = hashlib.sha256(prompt).hexdigest()[:6]
        for index in range(
            int(req.headers.get("x-resume-from", 0)), self.tokens_per_response
        ):
            if attempt in self.cancelled_attempts:
                self.aborted_runs += 1
                break
            await wait_for_token()
            row = {"text": f"{subject}-{version}-{index} ", "version": version}
            await res.write(orjson.dumps(row) + b"\n")
        await res.write(orjson.dumps({"done": True}) + b"\n")
        return res


@define
class PlainStandin:
    """A plain service that counts how often it executes each call."""

    faults: FaultInjector
    call_seconds: float = 0.005
    runs_by_key: Counter = field(factory=Counter)
    attempts: Counter = field(factory=Counter)
    crash_simulator: CrashSimulator = field(factory=CrashSimulator)
    slots: asyncio.Semaphore | None = None

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that it serves."""
        return [web.post("/v1/calls/{route}", self._call)]

    async def _call(self, req: web.Request) -> web.Response:
        body = await req.read()
        key = req.headers.get("idempotency-key", "")
        with self.crash_simulator.track(req):
            self.runs_by_key[key] += 1
            self.attempts[req.headers["x-attempt"]] += 1
            crash_text = self.faults.text("crash_on")
            if crash_text and crash_text.encode() in body:
                self.crash_simulator.crash(body)
                return web.Response(status=500)
            async with self.slots or contextlib.nullcontext():
                await asyncio.sleep(self.call_seconds)
            if self.faults.value("silent"):
                await asyncio.sleep(3600)
            if self.faults.occurs("fail_after"):
                return web.Response(status=500)
            result = {"key": key, "echo": hashlib.sha256(body).hexdigest()[:12]}
            return web.json_response(result)
