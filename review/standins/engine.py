"""A model server: requests in slots and a queue, staged weights, and orders."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from . import http
from .weights import CHUNKS, LAYERS, digest, piece

# A server that doesn't drop a request goes on writing to a closed connection.
logging.getLogger("asyncio").setLevel(logging.ERROR)

# One pass of the batch makes one event of each stream that is being written.
PASS_SECONDS = 0.046
PROMPT_TOKENS_PER_SECOND = 31_900.0
TOKENS_PER_EVENT = 6
QUEUE_LENGTH = 32
POLL_SECONDS = 0.005
# A piece that turned bad this shortly before an order is not counted.
EXCUSED_SECONDS = 3.0


@dataclass(eq=False)
class Run:
    """One request at this server; times on the monotonic clock."""

    request_id: str
    priority: int
    prompt_tokens: int
    events: int
    first_event: int
    ends_at: float
    arrived_at: float
    left: Callable[[], bool]
    began_at: float | None = None
    version: int = 0
    refused: bool = False


@dataclass(eq=False)
class Engine:
    """A sound model server; faults are put in by ``fails``.

    Most servers drop a request when its connection closes; others go on with it. A
    server that is silent for a while does nothing until then. It goes on with what it
    has in hand, and with what waits there after it has seen who left.
    """

    name: str
    model: str
    slots: int = 16
    load_seconds: float = 0.3
    version: int = 1
    drops_closed: bool = True
    silent_until: float = 0.0
    first_pass_seconds: float = 0.0
    fails: Callable[[http.Request], bool] = lambda req: False
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: list[Run] = field(default_factory=list)
    loads: list[dict] = field(default_factory=list)
    failed_calls: list[dict] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.staged = {index: piece(1, index) for index in range(CHUNKS)}
        self.spoilt_at: dict[int, float] = {}
        self.seq = 0
        self.running: list[Run] = []
        self.waiting: list[Run] = []
        self.load: asyncio.Task | None = None

    # Calls of the agent beside it

    async def handle(self, req: http.Request) -> http.Response | None:
        """Answer one call or request."""
        await self._awake()
        if not req.path.startswith("/-/") and req.path != "/health":
            return await self._serve(req)
        if self.fails(req):
            self.failed_calls.append(
                {"at": time.monotonic(), "call": req.method + " " + req.path}
                | req.query
            )
            return http.Response(500)
        if req.path == "/health":
            return http.Response(200, headers=(("X-Instance-Id", self.name),))
        if req.path == "/-/report":
            return http.json_response(self._report())
        if req.path == f"/-/stage-put/{self.model}":
            index = int(req.query["num"])
            self.staged[index] = req.body
            self.spoilt_at.pop(index, None)
            return http.Response(204)
        if req.path == f"/-/stage-get/{self.model}":
            return self._staged(req.query.get("num"))
        if req.path == "/-/order":
            return self._order(json.loads(req.body))
        return http.Response(404)

    async def _awake(self) -> None:
        """Return when the server is not silent."""
        while (seconds := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(seconds)

    def _report(self) -> dict:
        return self.description() | {
            "busy": self.load is not None,
            "seq": self.seq,
            "queued": len(self.waiting),
            "active": len(self.running),
            "kv-used": 1000 * len(self.running),
            "kv-total": 685_000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
        }

    def description(self) -> dict:
        """Return what a server says of its weights, here and in the list."""
        if not self.version:
            return {"stage": "colocated", "models": [], "layers": []}
        layers = {"from": 0, "to": LAYERS, "version": self.version}
        model = {"name": self.model, "version": self.version, "adapters": []}
        return {"stage": "colocated", "models": [model], "layers": [layers]}

    def _staged(self, num: str | None) -> http.Response:
        if num is None:
            return http.json_response({"held": sorted(self.staged)})
        data = self.staged.get(int(num))
        return http.Response(404) if data is None else http.Response(200, data)

    def _order(self, order: dict) -> http.Response:
        version = order["version"]
        empty = order.get("to", LAYERS) == 0
        if order.get("expected-rev", self.seq) != self.seq or self.load is not None:
            return http.Response(409)
        if not empty and self.version == version:
            return http.Response(200)
        self.seq += 1
        now = time.monotonic()
        wrong = [] if empty else self._wrong_pieces(version, now)
        self.loads.append(
            {"at": now, "version": 0 if empty else version} | wrong_of(wrong)
        )
        self.load = asyncio.create_task(self._load(0 if empty else version))
        return http.Response(202)

    def _wrong_pieces(self, version: int, now: float) -> list[tuple[int, float]]:
        """Return pieces that are not the version's, and for how long."""
        return [
            (index, now - self.spoilt_at.get(index, float("-inf")))
            for index in range(CHUNKS)
            if hashlib.sha256(self.staged.get(index, b"")).hexdigest()
            != digest(version, index)
        ]

    async def _load(self, version: int) -> None:
        """Load after what is running; nothing begins meanwhile."""
        if not version:
            # Nothing will be held: what waits is not run.
            for run in self.waiting:
                run.refused = True
        while self.running:
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.sleep(self.load_seconds if version else 0.0)
        self.version, self.load = version, None

    def reads_prompt(self) -> bool:
        """Whether it has a request in hand that has not begun yet."""
        return any(run.began_at is None for run in self.running)

    def spoil(self, indices: list[int]) -> None:
        """Have staged pieces turn bad."""
        for index in indices:
            if index in self.staged:
                self.staged[index] = b"\0" + self.staged[index][1:-1] + b"\0"
                self.spoilt_at.setdefault(index, time.monotonic())

    # Requests

    async def _serve(self, req: http.Request) -> http.Response | None:
        headers, now = req.headers, time.monotonic()
        request_id = headers.get("x-request-id", "")
        refusal = self._refusal(headers)
        if refusal is not None:
            return http.Response(
                refusal, headers=(("X-Request-Id", request_id), ("X-Not-Executed", "1"))
            )
        prompt, answer = headers.get("x-token-usage", "100,60").split(",")
        run = Run(
            request_id,
            int(headers.get("x-request-priority", 5)),
            int(prompt),
            max(1, int(answer) // TOKENS_PER_EVENT),
            int(headers.get("last-event-id", 0)) + 1,
            now + int(headers.get("x-deadline-ms", 60_000)) / 1000,
            now,
            req.peer_left if self.drops_closed else lambda: False,
        )
        self.waiting.append(run)
        try:
            await self._run(run, req.writer)
        finally:
            for group in (self.waiting, self.running):
                if run in group:
                    group.remove(run)
        return None

    def _refusal(self, headers: dict[str, str]) -> int | None:
        """Return the status of a request that is turned away at once."""
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421
        expected = headers.get("x-expect-version")
        if expected is not None and int(expected) != self.version:
            return 421
        loads_nothing = not self.version and self.load is None
        if loads_nothing or len(self.waiting) >= QUEUE_LENGTH:
            return 503
        return None

    async def _run(self, run: Run, writer: asyncio.StreamWriter) -> None:
        common = f"X-Request-Id: {run.request_id}\r\n"
        if not await self._wait_for_slot(run):
            if not run.left():
                writer.write(
                    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                    + common.encode()
                    + b"Content-Length: 0\r\n\r\n"
                )
            return
        await asyncio.sleep(
            run.prompt_tokens / PROMPT_TOKENS_PER_SECOND + self.first_pass_seconds
        )
        await self._awake()
        run.began_at, run.version = time.monotonic(), self.version
        self.runs.append(run)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}X-Response-Seal: seal-{run.request_id}\r\n"
            f"X-Weight-Versions: {run.version}\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(run.first_event, run.events + 1):
            await self._awake()
            if run.left() or time.monotonic() > run.ends_at:
                writer.close()
                return
            event = f"id: {number}\ndata: {run.request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(PASS_SECONDS)
        writer.write(b"0\r\n\r\n")

    async def _wait_for_slot(self, run: Run) -> bool:
        """Return whether the request may begin; it is dropped if its caller left."""
        while not run.left() and not run.refused and time.monotonic() < run.ends_at:
            if time.monotonic() < self.silent_until:
                await self._awake()
                continue
            first = min(self.waiting, key=lambda r: (r.priority, r.arrived_at))
            free = len(self.running) < self.slots
            if first is run and free and self.load is None and self.version:
                self.waiting.remove(run)
                self.running.append(run)
                return True
            await asyncio.sleep(POLL_SECONDS)
        return False


def wrong_of(wrong: list[tuple[int, float]]) -> dict:
    """Return which pieces of an order were wrong, and which of them count."""
    counted = [index for index, seconds in wrong if seconds > EXCUSED_SECONDS]
    shown = {index: None if s == float("inf") else round(s, 3) for index, s in wrong}
    return {"wrong": shown, "counted": counted}
