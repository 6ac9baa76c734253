"""A small deployment: the project's programs as processes, beside stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from . import http
from .engine import Engine
from .store import Store
from .weights import CHUNK_BYTES, CHUNKS, LAYERS, Origin

ROOT = Path(__file__).resolve().parents[2]
ROLES = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
PORTS = {"ready": 8002, "front": 8005, "app": 8001, "store": 8007, "origin": 8006}
INNER_PORTS = [7700, 7715]
# The bounds of the site talad-rent, as `fleetbench wire` prints them.
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "stable-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 8,
    "lost-ms": 200,
    "config-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "fail-closed": False,
    "revoke-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 200,
    "recovery-s": 12,
    "pass-ms": 120,
    "retry-after-s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
MODEL, HOST, PREFIX, KEY = "daka51", "hulo84.example", "/xapu221/", "jnbanfqasnmg"
ENGINES, ORIGIN = "huvo11a", "kafi81c"
ZONE, REGION = "bkk-a", "bangkok"
STREAM_DEADLINE_MS = 6000


class Process:
    """One program of the project on its own machine."""

    def __init__(self, role: str, ip: str, settings: Path, log: Path):
        self.role, self.ip, self.settings, self.log = role, ip, settings, log
        self.child: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start it with the command of the deploy file."""
        words = ROLES[self.role]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= {
            "WASABIDECK_NODE_FILE": str(self.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send it a signal, if it still runs."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(number)

    async def end(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)
        if self.child is not None:
            await self.child.wait()


class Fleet:
    """Entries, agents and their engines, the store and the origin.

    Every machine has a loopback address of its own, in a network that is drawn for the
    run, so that all have the same ports, as on the users' platform.
    """

    def __init__(self, entries: int, engines: int, origin_bytes_per_second: float):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = _free_network()
        self.store = Store()
        self.origin = Origin(MODEL, origin_bytes_per_second)
        self.store_ip, self.origin_ip = self._ip(1), self._ip(2)
        self.entry_ips = [self._ip(10 + n) for n in range(entries)]
        self.engine_ips = [self._ip(100 + n) for n in range(engines)]
        self.engines = [
            Engine(f"i-{ip.replace('.', '-')}", MODEL) for ip in self.engine_ips
        ]
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.servers: list[asyncio.Server] = []
        # How long the origin is down from each declaration on, where there is trouble.
        self.origin_down_seconds = 0.0
        self.version = 1
        self.declared: list[tuple[float, int]] = []
        self.numbers = itertools.count()
        self.entry_of: dict[str, str] = {}

    def _ip(self, last: int) -> str:
        return f"{self.net}.{last}"

    async def start(self) -> None:
        """Start everything, and return when all entries are ready."""
        self.store.put("op", "config", self.configuration())
        await self._listen(self.store_ip, "store", self.store.handle)
        await self._listen(self.origin_ip, "origin", self.origin.handle)
        for ip, engine in zip(self.engine_ips, self.engines, strict=True):
            await self._listen(ip, "app", engine.handle)
            self.list_engine(ip, engine)
        self.entries = [self._process("entry", ip) for ip in self.entry_ips]
        self.agents = [self._process("agent", ip) for ip in self.engine_ips]
        for process in (*self.entries, *self.agents):
            await process.start()
        async with asyncio.timeout(30):
            for ip in self.entry_ips:
                while await self.ready_status(ip) != 200:
                    await asyncio.sleep(0.1)

    async def _listen(self, ip: str, port: str, handler: http.Handler) -> None:
        self.servers.append(await http.start(ip, PORTS[port], handler))

    async def stop(self) -> None:
        """End all processes and servers, and remove the folder."""
        for process in (*self.entries, *self.agents):
            await process.end()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def list_engine(self, ip: str, engine: Engine) -> None:
        """Write the row by which an engine registers itself."""
        row = {
            "service": ENGINES,
            "addr": f"{ip}:{PORTS['app']}",
            "zone": ZONE,
            "version": "v1",
            "slots": engine.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "born": engine.born,
        }
        self.store.put(
            "servers", engine.name, row | engine.description() | {"seq": engine.seq}
        )

    def declare(self) -> int:
        """Declare the next version of the weights, and return its number."""
        self.version += 1
        key = f"version/{MODEL}"
        self.store.put("op", key, {"model": MODEL, "version": self.version})
        self.declared.append((time.monotonic(), self.version))
        return self.version

    def _process(self, role: str, ip: str) -> Process:
        settings = self.folder / f"{role}-{ip}.json"
        settings.write_text(json.dumps(self._settings(role, ip)))
        return Process(role, ip, settings, settings.with_suffix(".log"))

    def _settings(self, role: str, ip: str) -> dict:
        at = {name: f"{ip}:{port}" for name, port in PORTS.items()}
        side = role == "agent"
        special = (
            {"class": "side", "serves": ["side"], "listen": {}, "service": ENGINES}
            if side
            else {"class": "edge", "serves": ["edge", "control"]}
        )
        if side:
            special["app"] = at["app"]
        else:
            special["listen"] = {
                "front": at["front"],
                "ready": at["ready"],
                "control": f"{ip}:8000",
            }
        return special | {
            "node": f"{special['class']}-{ip}",
            "role": role,
            "ip": ip,
            "zone": ZONE,
            "region": REGION,
            "zones": {ZONE: REGION},
            "port-range": INNER_PORTS,
            "seeds": [f"{ip}:8000" for ip in self.entry_ips[:3]],
            "bootstrap": True,
            "limits": {"link-mbps": 3.65 if side else 350.0, "memory-mb": 222},
            "heartbeat-ms": 1200,
            "bounds": BOUNDS,
            "provider": {
                "addr": f"{self.store_ip}:{PORTS['store']}",
                "form": "table",
                "row-bytes": 65536,
                "history-s": 20,
            },
        }

    def configuration(self) -> dict:
        """Return the operators' manifest of routes and services."""
        engine = {
            "slots": self.engines[0].slots,
            "kv-capacity": 685_000,
            "stride": 6,
            "models": [{"name": MODEL, "pace": 1.0, "load-s": 4.0, "warm-s": 0.3}],
            "step_ms": 7.4,
            "per_seq_ms": 0.0387,
            "read_per_s": 31_900.0,
            "layers": LAYERS,
            "chunks": CHUNKS,
            "chunk-bytes": CHUNK_BYTES,
        }
        route = {
            "name": "r-1",
            "host": HOST,
            "path-prefix": PREFIX,
            "type": "streaming",
            "timeout-ms": STREAM_DEADLINE_MS,
            "goal-ms": 406,
            "priority": 1,
            "service": ENGINES,
            "max-attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "target-gap-ms": 300,
        }
        origin = {
            "name": ORIGIN,
            "origin": f"{self.origin_ip}:{PORTS['origin']}",
            "zone": ZONE,
            "link-mbps": 7.3,
            "max-conns": 96,
        }
        lm = {"name": ENGINES, "health-path": "/health", "max-conns": 548}
        return {
            "version": 7,
            "routes": [route],
            "services": [lm | {"engine": engine}, origin],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": "bozi300", "api-keys": [KEY], "priority": 1}],
        }

    async def ready_status(self, ip: str) -> int | None:
        """Return the answer to the platform's question whether an entry is ready."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, PORTS["ready"])
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
                head = await http.read_head(reader)
                writer.close()
                return int(head[0].split()[1]) if head else None
        return None

    async def stream(self, ip: str, prompt: int, tokens: int) -> dict:
        """Send a request for a stream to an entry as a client, and return its end."""
        name = f"req-{next(self.numbers):06d}"
        sent = {"id": name, "entry": ip, "at": time.monotonic(), "status": None}
        sent |= {"events": [], "whole": False}
        self.entry_of[name] = ip
        head = (
            f"POST {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
            f"X-Model: {MODEL}\r\nX-Token-Usage: {prompt},{tokens}\r\n"
            f"X-Prefix-Hash: 5c1e07a2:40,{random.randrange(1 << 32):08x}:{prompt}\r\n"
            f"X-Deadline-Ms: {STREAM_DEADLINE_MS}\r\nAuthorization: Token {KEY}\r\n"
            "Content-Length: 2\r\n\r\n{}"
        )
        writer = None
        try:
            async with asyncio.timeout(STREAM_DEADLINE_MS / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(ip, PORTS["front"])
                writer.write(head.encode())
                await _read_answer(reader, sent)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            sent["failure"] = type(exc).__name__
        finally:
            if writer is not None:
                writer.close()
        sent["ended_at"] = time.monotonic()
        return sent


async def _read_answer(reader: asyncio.StreamReader, sent: dict) -> None:
    head = await http.read_head(reader)
    if head is None:
        sent["failure"] = "closed"
        return
    first, headers = head
    sent["status"] = int(first.split()[1])
    if headers.get("transfer-encoding") != "chunked":
        await reader.readexactly(int(headers.get("content-length", 0)))
        sent["whole"] = True
        return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        data = await reader.readexactly(size + 2)
        lines = data.decode().splitlines()
        sent["events"] += [int(x[3:]) for x in lines if x.startswith("id:")]
    sent["whole"] = True


def _free_network() -> str:
    """Return the first three numbers of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
        try:
            for ports in (PORTS.values(), INNER_PORTS):
                for port in ports:
                    with socket.socket() as sock:
                        sock.bind((f"{net}.10", port))
        except OSError:
            continue
        return net
    raise OSError("no loopback network with free ports")
