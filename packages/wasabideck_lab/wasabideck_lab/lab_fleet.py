"""Runs stand-ins in this process and starts the real binaries as subprocesses."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

import orjson
from aiohttp import web
from attrs import define, field
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.membership import AGENT, ENTRY, Member

from .faults import FaultInjector
from .link_pacing import Pacer
from .standin_platform import MembersStandin, OriginStandin, TableStandin
from .standin_servers import EngineStandin, PlainStandin
from .toml_writer import to_toml

__all__ = ["LabFleet", "LabProcess", "serve_standin"]

READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0
OPERATOR_TOKEN = "sample-operator-token"
CALLER_TOKEN = "sample-caller-token"


async def serve_standin(
    standin: object, max_body_bytes: int = 64 << 20
) -> tuple[str, object]:
    """Serve a stand-in on a free loopback port; return its address and its runner."""
    app = web.Application(client_max_size=max_body_bytes)
    app.add_routes(standin.routes())
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0]
    return f"http://{host}:{port}", runner


@define
class LabProcess:
    """A subprocess, either an entry or an agent, that the lab has started.

    Attributes
    ----------
    inner_address, http_address : str
        Addresses at which it serves its peers, and HTTP.
    events_path : Path
        File to which it writes its events.
    binary : str
        Name of the binary.
    settings : dict
        Contents of its settings file.
    """

    vm: str
    subprocess: asyncio.subprocess.Process
    inner_address: str
    http_address: str
    events_path: Path
    binary: str = ""
    settings: dict = field(factory=dict)

    def kill(self) -> None:
        """Kill the process, as when its VM fails."""
        self.subprocess.kill()

    def suspend(self) -> None:
        """Suspend the process."""
        self.subprocess.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.subprocess.send_signal(signal.SIGCONT)

    async def stop(self) -> int:
        """Terminate the process gracefully, and return its exit code."""
        if self.subprocess.returncode is None:
            self.subprocess.terminate()
        return await asyncio.wait_for(self.subprocess.wait(), STOP_TIMEOUT_SECONDS)


@define
class LabFleet:
    """A small fleet: stand-ins in this process, and real processes on loopback.

    Attributes
    ----------
    origin_bytes_per_second : float
        Rate of the weights' origin in bytes per second; 0 for no limit.
    token_seconds, plain_seconds : float
        Time that an engine takes for a token, and a plain service for a call.
    tls : dict or None
        TLS settings of all processes; None for plain text.
    entry_settings : dict
        Additional settings of the entries.
    server_settings : dict
        Additional settings of the servers, by service.
    addresses : dict
        Addresses of the platform's stand-ins, by name.
    server_addresses : dict
        Addresses of the backend servers, by VM.
    manifests : dict
        Published manifests, by digest.
    engines, plain_services, processes : dict
        Engines, plain services and processes, by VM.
    """

    folder: Path
    seed: int = 0
    origin_bytes_per_second: float = 0.0
    token_seconds: float = 0.005
    plain_seconds: float = 0.005
    tls: dict[str, str] | None = None
    table: TableStandin = field(init=False)
    members: MembersStandin = field(init=False)
    weights: OriginStandin = field(init=False)
    entry_settings: dict = field(factory=dict)
    server_settings: dict[str, dict] = field(factory=dict)
    addresses: dict[str, str] = field(factory=dict)
    server_addresses: dict[str, str] = field(factory=dict)
    manifests: dict[str, Manifest] = field(factory=dict)
    engines: dict[str, EngineStandin] = field(factory=dict)
    plain_services: dict[str, PlainStandin] = field(factory=dict)
    processes: dict[str, LabProcess] = field(factory=dict)
    _runners: list = field(factory=list)

    def __attrs_post_init__(self) -> None:
        """Create the platform's stand-ins."""
        self.table = TableStandin(self.faults("table"))
        self.members = MembersStandin(self.faults("members"))
        self.weights = OriginStandin(
            self.faults("weights"), Pacer(self.origin_bytes_per_second)
        )

    def faults(self, name: str) -> FaultInjector:
        """Return a stand-in's faults, whose randomness depends on the lab's seed."""
        return FaultInjector(random.Random(f"{self.seed}/{name}"))

    async def start_platform(self) -> None:
        """Serve the platform's stand-ins."""
        for name in ("table", "members", "weights"):
            self.addresses[name] = await self._serve(getattr(self, name))

    def publish(self, manifest: Manifest, chunks: list[bytes]) -> str:
        """Publish weights at the origin, and return the digest of the manifest."""
        digest = self.weights.publish(manifest, chunks)
        self.manifests[digest] = manifest
        return digest

    async def start_entry(
        self, vm: str, services: list[dict], **location: str
    ) -> LabProcess:
        """Start an entry process and put its VM on the platform's list."""
        settings = self._common_settings(vm, **location) | {
            "services": services,
            "operators": [{"name": "operator-1", "token": OPERATOR_TOKEN}],
            "callers": [{"organisation": "org-1", "token": CALLER_TOKEN}],
        }
        settings |= self.entry_settings
        process = await self._start_process(vm, "wasabideck", settings)
        self.members.put_member(
            Member(vm, ENTRY, process.inner_address, **_location(location))
        )
        return process

    async def start_engine_vm(
        self, vm: str, service: str, **location: str
    ) -> LabProcess:
        """Start a model engine and the agent beside it."""
        engine = EngineStandin(self.faults(vm), self.manifests, self.token_seconds)
        self.engines[vm] = engine
        return await self._start_agent(vm, service, "model", engine, location)

    async def start_plain_service_vm(
        self, vm: str, service: str, **location: str
    ) -> LabProcess:
        """Start a plain service and the agent beside it."""
        plain = PlainStandin(self.faults(vm), self.plain_seconds)
        self.plain_services[vm] = plain
        return await self._start_agent(vm, service, "plain", plain, location)

    def listed_member(self, vm: str) -> Member:
        """Return a VM's current entry on the platform's list."""
        return self.members.current_members()[vm]

    async def _start_agent(
        self, vm: str, service: str, kind: str, standin: object, location: dict
    ) -> LabProcess:
        url = self.server_addresses[vm] = await self._serve(standin)
        server = {"service": service, "url": url, "kind": kind}
        server |= self.server_settings.get(service, {})
        return await self.start_agent(vm, {"server": server}, **location)

    async def start_agent(
        self, vm: str, extra: dict, program: tuple[str, ...] = (), **location: str
    ) -> LabProcess:
        """Start the agent of a server that already runs.

        Parameters
        ----------
        extra : dict
            Settings in addition to the common ones; must contain ``server``.
        program : tuple of str
            Program to run instead of the agent's binary.
        """
        settings = self._common_settings(vm, **location)
        settings["platform"] |= extra.get("platform", {})
        settings |= {k: v for k, v in extra.items() if k != "platform"}
        service = extra["server"]["service"]
        process = await self._start_process(vm, "wasabideck-agent", settings, program)
        member = Member(
            vm, AGENT, process.inner_address, service=service, **_location(location)
        )
        self.members.put_member(member)
        return process

    async def restart(self, vm: str) -> LabProcess:
        """Restart the terminated process of a VM at its previous addresses."""
        previous = self.processes[vm]
        addresses = {"inner": previous.inner_address, "http": previous.http_address}
        settings = previous.settings | {
            "process": previous.settings["process"] | addresses
        }
        return await self._start_process(vm, previous.binary, settings)

    async def close(self) -> dict[str, int]:
        """Terminate all processes gracefully, and return their exit codes by VM."""
        exits = [process.stop() for process in self.processes.values()]
        codes = await asyncio.gather(*exits)
        for runner in self._runners:
            await runner.cleanup()
        return dict(zip(self.processes, codes, strict=True))

    async def _serve(self, standin: object) -> str:
        address, runner = await serve_standin(standin)
        self._runners.append(runner)
        return address

    def _common_settings(self, vm: str, **location: str) -> dict:
        process = {"vm": vm, "events": str(self.folder / f"{vm}.events")}
        return {
            "seed": self.seed,
            **({"tls": self.tls} if self.tls else {"plain_text": True}),
            "process": process | _location(location),
            "platform": {k: self.addresses[k] for k in ("table", "members", "weights")},
        }

    async def _start_process(
        self, vm: str, binary: str, settings: dict, program: tuple[str, ...] = ()
    ) -> LabProcess:
        path = self.folder / f"{vm}.toml"
        path.write_text(to_toml(settings))
        # The binaries are in the same directory as the interpreter that runs the lab.
        binaries = Path(sys.executable).parent
        child = await asyncio.create_subprocess_exec(
            *(program or (str(binaries / binary),)),
            "serve",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )
        line = await asyncio.wait_for(child.stdout.readline(), READY_TIMEOUT_SECONDS)
        ready = orjson.loads(line)["ready"]
        events = Path(settings["process"]["events"])
        process = LabProcess(
            vm, child, ready["inner"], ready["http"], events, binary, settings
        )
        self.processes[vm] = process
        return process


def _location(location: dict[str, str]) -> dict[str, str]:
    region = location.get("region", "region-1")
    return {
        "region": region,
        "data_centre": location.get("data_centre", f"{region}-dc-1"),
    }
