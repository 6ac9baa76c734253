"""Measures the slopes from which docs/CAPACITY.md calculates the target size.

Real binaries are measured from outside, one process at a time. The fleet around that
process is simulated: one small service answers on many listening ports, each of which
stands for an agent or an entry.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path

import aiohttp
import xxhash
from attrs import define, field
from grpclib.server import Server
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.ticket_replication import PeersService, TicketReplication
from wasabideck_policy.membership import AGENT, ENTRY, Member, StartupKnowledge
from wasabideck_policy.tickets import Assignment, Change, TicketState
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import assignments_to_entries

from .caller_traffic import Traffic
from .demo import (
    SERVICES,
    submit_ticket,
    wait_in_effect,
    wait_serving,
    write_first_ticket,
)
from .lab_fleet import LabFleet, LabProcess
from .line_fit import FittedLine, fit_line
from .process_usage import Usage, measure_usage
from .random_weights import generate_weights

__all__ = ["MEASUREMENTS", "measure_all"]

MEASURED_SECONDS = 5.0
SETTLE_SECONDS = 3.0

TARGET_ENTRIES = 410
TARGET_SERVERS = 1400
TARGET_VMS = 2100
REQUESTS_PER_ENTRY = 3400 / TARGET_ENTRIES
REQUESTS_PER_SERVER = 3400 / TARGET_SERVERS
TOKENS_PER_SERVER = 870_000 / TARGET_SERVERS

Measurement = Callable[[], Awaitable[list[dict]]]


@define
class _SimulatedPeers:
    """Many addresses at which this process answers as agents or entries."""

    ticket_replication: TicketReplication
    servers: list[Server] = field(factory=list)

    async def open(self, names: Iterable[str]) -> dict[str, str]:
        """Listen on a free port for each VM, and return the addresses by VM."""
        return {name: await self._listen(name) for name in names}

    async def _listen(self, name: str) -> str:
        status = pb.StatusReply(vm=name, serving=True, service="drafting", capacity=8)
        server = Server([PeersService(self.ticket_replication, lambda req: status)])
        await server.start("127.0.0.1", 0)
        self.servers.append(server)
        host, port = server._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Close all listening ports."""
        for server in self.servers:
            server.close()


def _simulated_peers() -> _SimulatedPeers:
    events = Events("ports", HybridClock(), time.time)
    ticket_replication = TicketReplication(
        "ports", events, startup_knowledge=StartupKnowledge(sufficient=True)
    )
    return _SimulatedPeers(ticket_replication)


async def entry_by_servers() -> list[dict]:
    """Return the slopes of an idle entry's usage, by servers on the platform's list."""
    sizes, usages = (50, 100, 200, 400), []
    for size in sizes:
        usages.append(
            await _measure_entry(size, round(size * TARGET_ENTRIES / TARGET_SERVERS))
        )
    return _usage_slopes("idle entry by listed servers", sizes, usages, TARGET_SERVERS)


async def entry_by_entries() -> list[dict]:
    """Return the slopes of an idle entry's usage, by entries on the platform's list."""
    sizes, usages = (25, 50, 100, 200), []
    for size in sizes:
        usages.append(await _measure_entry(0, size))
    return _usage_slopes("idle entry by listed entries", sizes, usages, TARGET_ENTRIES)


async def agent_by_servers() -> list[dict]:
    """Return the slopes of an idle agent's usage, by servers on the platform's list."""
    sizes, usages = (50, 100, 200, 400), []
    for size in sizes:
        usages.append(await _measure_agent(size))
    return _usage_slopes("idle agent by listed servers", sizes, usages, TARGET_SERVERS)


async def _measure_entry(servers: int, entries: int) -> Usage:
    return await _measure_idle(
        servers, entries, lambda lab: lab.start_entry("entry-1", SERVICES)
    )


async def _measure_agent(servers: int) -> Usage:
    return await _measure_idle(
        servers, 0, lambda lab: lab.start_engine_vm("draft-1", "drafting")
    )


async def _measure_idle(
    servers: int, entries: int, start: Callable[[LabFleet], Awaitable[LabProcess]]
) -> Usage:
    """Return the usage of one idle process.

    Parameters
    ----------
    servers, entries : int
        Numbers of servers and of entries on the platform's list.
    start : callable
        Starts the process.
    """
    simulated = _simulated_peers()
    with tempfile.TemporaryDirectory() as folder:
        lab = LabFleet(Path(folder))
        await lab.start_platform()
        try:
            agents = await simulated.open(f"agent-{i}" for i in range(servers))
            for vm, address in agents.items():
                lab.members.put_member(Member(vm, AGENT, address, service="drafting"))
            peers = await simulated.open(f"other-{i}" for i in range(entries))
            for vm, address in peers.items():
                lab.members.put_member(Member(vm, ENTRY, address))
            process = await start(lab)
            await asyncio.sleep(SETTLE_SECONDS)
            return await measure_usage(process.subprocess.pid, MEASURED_SECONDS)
        finally:
            await lab.close()
            simulated.close()


def _usage_slopes(
    name: str, sizes: tuple[int, ...], usages: list[Usage], target: float
) -> list[dict]:
    slopes = [
        fit_line(f"{name}: CPU", "cores", sizes, [u.cpu_fraction for u in usages]),
        fit_line(
            f"{name}: resident", "bytes", sizes, [u.resident_bytes for u in usages]
        ),
        fit_line(
            f"{name}: received",
            "bytes/s",
            sizes,
            [u.received_bytes_per_second for u in usages],
        ),
        fit_line(
            f"{name}: sent", "bytes/s", sizes, [u.sent_bytes_per_second for u in usages]
        ),
    ]
    return [slope.to_row(target) for slope in slopes]


async def processes_by_requests() -> list[dict]:
    """Return the slopes of an entry's and an agent's CPU, by requests per second."""
    rates = (20, 40, 80, 160)
    entry_cpu, agent_cpu = [], []
    with tempfile.TemporaryDirectory() as folder:
        lab, entries = await _small_fleet(Path(folder))
        try:
            for rate in rates:
                traffic = Traffic(entries, random.Random(rate), rate)
                running = asyncio.create_task(traffic.run(int(rate * MEASURED_SECONDS)))
                usages = await asyncio.gather(
                    *(
                        measure_usage(
                            lab.processes[vm].subprocess.pid, MEASURED_SECONDS
                        )
                        for vm in ("entry-1", "draft-1", "draft-2")
                    )
                )
                await running
                entry_cpu.append(usages[0].cpu_fraction)
                agent_cpu.append((usages[1].cpu_fraction + usages[2].cpu_fraction) / 2)
        finally:
            await lab.close()
    # A third of the requests are drafts. Two servers share them, so that each server
    # gets a sixth of the requests.
    per_agent = [rate / 6 for rate in rates]
    slopes: list[tuple[FittedLine, float]] = [
        (
            fit_line("entry: CPU by requests/s", "cores", rates, entry_cpu),
            REQUESTS_PER_ENTRY,
        ),
        (
            fit_line(
                "agent: CPU by drafts/s of 8 tokens", "cores", per_agent, agent_cpu
            ),
            REQUESTS_PER_SERVER,
        ),
    ]
    return [slope.to_row(target) for slope, target in slopes]


async def processes_by_tokens() -> list[dict]:
    """Return the slopes of an entry's and an agent's CPU, by tokens per second."""
    tokens, rate = (8, 32, 64, 128), 15.0
    entry_cpu, agent_cpu, token_rates = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        lab, entries = await _small_fleet(Path(folder))
        try:
            for count in tokens:
                for engine in lab.engines.values():
                    engine.tokens_per_response = count
                traffic = Traffic(entries, random.Random(count), rate)
                running = asyncio.create_task(traffic.run(int(rate * MEASURED_SECONDS)))
                usages = await asyncio.gather(
                    *(
                        measure_usage(
                            lab.processes[vm].subprocess.pid, MEASURED_SECONDS
                        )
                        for vm in ("entry-1", "draft-1", "draft-2")
                    )
                )
                await running
                entry_cpu.append(usages[0].cpu_fraction)
                agent_cpu.append(usages[1].cpu_fraction + usages[2].cpu_fraction)
                token_rates.append(count * rate / 3)
        finally:
            await lab.close()
    entry_slope = fit_line("entry: CPU by tokens/s", "cores", token_rates, entry_cpu)
    agent_slope = fit_line("agents: CPU by tokens/s", "cores", token_rates, agent_cpu)
    return [
        entry_slope.to_row(870_000 / TARGET_ENTRIES),
        agent_slope.to_row(TOKENS_PER_SERVER),
    ]


async def _small_fleet(folder: Path) -> tuple[LabFleet, Callable[[], list[str]]]:
    lab = LabFleet(folder)
    await lab.start_platform()
    digest = lab.publish(*generate_weights("drafter", "v1", 8, 4096, 0))
    entry = await lab.start_entry("entry-1", SERVICES)
    await asyncio.gather(
        lab.start_engine_vm("draft-1", "drafting"),
        lab.start_engine_vm("draft-2", "drafting"),
        lab.start_plain_service_vm("order-1", "orders"),
    )
    async with aiohttp.ClientSession(f"http://{entry.http_address}") as session:
        await submit_ticket(session, write_first_ticket(folder, digest))
        await wait_in_effect(session, 1, 2)
        await wait_serving(session, 3)
    return lab, lambda: [entry.http_address]


async def store_by_entries() -> list[dict]:
    """Return the slopes of the store's reads per second, by running entries."""
    return await _store_rates(
        "entries", TARGET_ENTRIES, lambda lab, vm: lab.start_entry(vm, SERVICES)
    )


async def store_by_agents() -> list[dict]:
    """Return the slopes of the store's reads per second, by running agents."""
    return await _store_rates(
        "agents",
        TARGET_SERVERS,
        lambda lab, vm: lab.start_plain_service_vm(vm, "orders"),
    )


async def _store_rates(
    name: str, target: float, start: Callable[[LabFleet, str], Awaitable[LabProcess]]
) -> list[dict]:
    sizes, table_rates, list_rates = (2, 4, 8, 16), [], []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            lab = LabFleet(Path(folder))
            await lab.start_platform()
            try:
                await lab.start_entry("entry-0", SERVICES)
                await asyncio.gather(*(start(lab, f"vm-{i}") for i in range(size)))
                await asyncio.sleep(SETTLE_SECONDS)
                before = lab.table.reads, lab.members.reads
                await asyncio.sleep(MEASURED_SECONDS)
                table_rates.append((lab.table.reads - before[0]) / MEASURED_SECONDS)
                list_rates.append((lab.members.reads - before[1]) / MEASURED_SECONDS)
            finally:
                await lab.close()
    return [
        fit_line(f"table reads by {name}", "1/s", sizes, table_rates).to_row(target),
        fit_line(f"list reads by {name}", "1/s", sizes, list_rates).to_row(target),
    ]


async def ticket_state() -> list[dict]:
    """Return the slopes of the ticket state's costs, by slots assigned on all VMs."""
    sizes = (1000, 2000, 4000, 8000)
    merge_micros, hash_micros, message_bytes = [], [], []
    for size in sizes:
        items = [_assignment(index) for index in range(size)]
        state = TicketState()
        started = time.perf_counter()
        state.merge(items)
        merged = time.perf_counter()
        state.state_hash()
        merge_micros.append((merged - started) * 1e6)
        hash_micros.append((time.perf_counter() - merged) * 1e6)
        message_bytes.append(float(_message_bytes(items)))
    target = TARGET_VMS * 3
    return [
        fit_line("ticket state: merge of all", "us", sizes, merge_micros).to_row(
            target
        ),
        fit_line("ticket state: hash", "us", sizes, hash_micros).to_row(target),
        fit_line(
            "ticket state: whole on the wire", "bytes", sizes, message_bytes
        ).to_row(target),
    ]


def _assignment(index: int) -> Assignment:
    change = Change(
        f"drafting/vm-{index}", "model", "drafter", "v1", xxhash.xxh64_hexdigest(b"x")
    )
    return Assignment(index + 1, change, index + 1)


def _message_bytes(items: list[Assignment]) -> int:
    return pb.SyncReply(entries=assignments_to_entries(items)).ByteSize()


MEASUREMENTS: dict[str, Measurement] = {
    "entry-by-servers": entry_by_servers,
    "entry-by-entries": entry_by_entries,
    "agent-by-servers": agent_by_servers,
    "processes-by-requests": processes_by_requests,
    "processes-by-tokens": processes_by_tokens,
    "store-by-entries": store_by_entries,
    "store-by-agents": store_by_agents,
    "ticket-state": ticket_state,
}


async def measure_all(names: list[str]) -> list[dict]:
    """Run the named measurements one after the other, and return their slopes."""
    rows: list[dict] = []
    for name in names:
        print(f"capacity: {name}", file=sys.stderr)
        rows += await MEASUREMENTS[name]()
    return rows
