"""Measures the slopes that docs/CAPACITY.md works out the target size from.

Real binaries are measured from outside. Of the fleet around the one process that
is measured only the interfaces are there: many listening ports, answered by one
small service, that stand for agents or entries.
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
from wasabideck_base.events import Clock, Events
from wasabideck_base.spread import PeersService, Spread
from wasabideck_policy.membership import AGENT, ENTRY, Heard, Member
from wasabideck_policy.tickets import Assignment, Change, TicketState
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import entries_from

from .demo import SERVICES, first_ticket, submit, wait_in_force, wait_serving
from .launcher import Lab, Process
from .process_usage import Usage, usage_over
from .slopes import Slope, fit
from .traffic import Traffic
from .weights import make_weights

__all__ = ["MEASUREMENTS", "measure_all"]

WATCH_SECONDS = 5.0
SETTLE_SECONDS = 3.0

ENTRIES = 410
SERVERS = 1400
VMS = 2100
REQUESTS_PER_ENTRY = 3400 / ENTRIES
REQUESTS_PER_SERVER = 3400 / SERVERS
TOKENS_PER_SERVER = 870_000 / SERVERS

Measurement = Callable[[], Awaitable[list[dict]]]


@define
class _Ports:
    """Many addresses at which one process answers as agents or entries."""

    spread: Spread
    servers: list[Server] = field(factory=list)

    async def open(self, names: Iterable[str]) -> dict[str, str]:
        """Listen on a free port for each VM; its address by its name."""
        return {name: await self._listen(name) for name in names}

    async def _listen(self, name: str) -> str:
        status = pb.StatusReply(vm=name, serving=True, service="drafting", capacity=8)
        server = Server([PeersService(self.spread, lambda req: status)])
        await server.start("127.0.0.1", 0)
        self.servers.append(server)
        host, port = server._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()


def _ports() -> _Ports:
    events = Events("ports", Clock(), time.time)
    spread = Spread("ports", events, heard=Heard(done=True))
    return _Ports(spread)


async def entry_by_servers() -> list[dict]:
    """What an idle entry spends on control, by servers on the platform's list."""
    sizes, usages = (50, 100, 200, 400), []
    for size in sizes:
        usages.append(await _watch_entry(size, round(size * ENTRIES / SERVERS)))
    return _usage_slopes("idle entry by listed servers", sizes, usages, SERVERS)


async def entry_by_entries() -> list[dict]:
    """What an idle entry spends on control, by entries on the platform's list."""
    sizes, usages = (25, 50, 100, 200), []
    for size in sizes:
        usages.append(await _watch_entry(0, size))
    return _usage_slopes("idle entry by listed entries", sizes, usages, ENTRIES)


async def agent_by_servers() -> list[dict]:
    """What an idle agent spends on control, by servers on the platform's list."""
    sizes, usages = (50, 100, 200, 400), []
    for size in sizes:
        usages.append(await _watch_agent(size))
    return _usage_slopes("idle agent by listed servers", sizes, usages, SERVERS)


async def _watch_entry(servers: int, entries: int) -> Usage:
    return await _watch(
        servers, entries, lambda lab: lab.start_entry("entry-1", SERVICES)
    )


async def _watch_agent(servers: int) -> Usage:
    return await _watch(
        servers, 0, lambda lab: lab.start_engine_vm("draft-1", "drafting")
    )


async def _watch(
    servers: int, entries: int, start: Callable[[Lab], Awaitable[Process]]
) -> Usage:
    """Usage of one idle process beside a list of so many VMs of each kind."""
    ports = _ports()
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(Path(folder))
        await lab.start_platform()
        try:
            agents = await ports.open(f"agent-{i}" for i in range(servers))
            for vm, address in agents.items():
                lab.members.put(Member(vm, AGENT, address, service="drafting"))
            others = await ports.open(f"other-{i}" for i in range(entries))
            for vm, address in others.items():
                lab.members.put(Member(vm, ENTRY, address))
            process = await start(lab)
            await asyncio.sleep(SETTLE_SECONDS)
            return await usage_over(process.process.pid, WATCH_SECONDS)
        finally:
            await lab.close()
            ports.close()


def _usage_slopes(
    name: str, sizes: tuple[int, ...], usages: list[Usage], target: float
) -> list[dict]:
    lines = [
        fit(f"{name}: CPU", "cores", sizes, [u.cpu for u in usages]),
        fit(f"{name}: resident", "bytes", sizes, [u.resident for u in usages]),
        fit(f"{name}: received", "bytes/s", sizes, [u.received for u in usages]),
        fit(f"{name}: sent", "bytes/s", sizes, [u.sent for u in usages]),
    ]
    return [line.shown(target) for line in lines]


async def processes_by_requests() -> list[dict]:
    """CPU of an entry and of an agent, by requests a second."""
    rates = (20, 40, 80, 160)
    entry, agent = [], []
    with tempfile.TemporaryDirectory() as folder:
        lab, stage = await _small_fleet(Path(folder))
        try:
            for rate in rates:
                traffic = Traffic(stage, random.Random(rate), rate)
                running = asyncio.create_task(traffic.run(int(rate * WATCH_SECONDS)))
                usages = await asyncio.gather(
                    *(
                        usage_over(lab.processes[vm].process.pid, WATCH_SECONDS)
                        for vm in ("entry-1", "draft-1", "draft-2")
                    )
                )
                await running
                entry.append(usages[0].cpu)
                agent.append((usages[1].cpu + usages[2].cpu) / 2)
        finally:
            await lab.close()
    # A third of the traffic drafts, over two servers: a sixth of it each.
    per_agent = [rate / 6 for rate in rates]
    lines: list[tuple[Slope, float]] = [
        (fit("entry: CPU by requests/s", "cores", rates, entry), REQUESTS_PER_ENTRY),
        (
            fit("agent: CPU by drafts/s of 8 tokens", "cores", per_agent, agent),
            REQUESTS_PER_SERVER,
        ),
    ]
    return [line.shown(target) for line, target in lines]


async def processes_by_tokens() -> list[dict]:
    """CPU of an entry and of an agent, by tokens a second."""
    tokens, rate = (8, 32, 64, 128), 15.0
    entry, agent, streamed = [], [], []
    with tempfile.TemporaryDirectory() as folder:
        lab, stage = await _small_fleet(Path(folder))
        try:
            for count in tokens:
                for engine in lab.engines.values():
                    engine.tokens = count
                traffic = Traffic(stage, random.Random(count), rate)
                running = asyncio.create_task(traffic.run(int(rate * WATCH_SECONDS)))
                usages = await asyncio.gather(
                    *(
                        usage_over(lab.processes[vm].process.pid, WATCH_SECONDS)
                        for vm in ("entry-1", "draft-1", "draft-2")
                    )
                )
                await running
                entry.append(usages[0].cpu)
                agent.append(usages[1].cpu + usages[2].cpu)
                streamed.append(count * rate / 3)
        finally:
            await lab.close()
    entry_line = fit("entry: CPU by tokens/s", "cores", streamed, entry)
    agent_line = fit("agents: CPU by tokens/s", "cores", streamed, agent)
    return [
        entry_line.shown(870_000 / ENTRIES),
        agent_line.shown(TOKENS_PER_SERVER),
    ]


async def _small_fleet(folder: Path) -> tuple[Lab, Callable[[], list[str]]]:
    lab = Lab(folder)
    await lab.start_platform()
    digest = lab.publish(*make_weights("drafter", "v1", 8, 4096, 0))
    entry = await lab.start_entry("entry-1", SERVICES)
    await asyncio.gather(
        lab.start_engine_vm("draft-1", "drafting"),
        lab.start_engine_vm("draft-2", "drafting"),
        lab.start_plain_vm("order-1", "orders"),
    )
    async with aiohttp.ClientSession(f"http://{entry.http}") as session:
        await submit(session, first_ticket(folder, digest))
        await wait_in_force(session, 1, 2)
        await wait_serving(session, 3)
    return lab, lambda: [entry.http]


async def store_by_entries() -> list[dict]:
    """Reads a second of the table and the list, by entries that really run."""
    return await _store_rates(
        "entries", ENTRIES, lambda lab, vm: lab.start_entry(vm, SERVICES)
    )


async def store_by_agents() -> list[dict]:
    """Reads a second of the table and the list, by agents that really run."""
    return await _store_rates(
        "agents", SERVERS, lambda lab, vm: lab.start_plain_vm(vm, "orders")
    )


async def _store_rates(
    name: str, target: float, start: Callable[[Lab, str], Awaitable[Process]]
) -> list[dict]:
    sizes, table, members = (2, 4, 8, 16), [], []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder:
            lab = Lab(Path(folder))
            await lab.start_platform()
            try:
                await lab.start_entry("entry-0", SERVICES)
                await asyncio.gather(*(start(lab, f"vm-{i}") for i in range(size)))
                await asyncio.sleep(SETTLE_SECONDS)
                before = lab.table.reads, lab.members.reads
                await asyncio.sleep(WATCH_SECONDS)
                table.append((lab.table.reads - before[0]) / WATCH_SECONDS)
                members.append((lab.members.reads - before[1]) / WATCH_SECONDS)
            finally:
                await lab.close()
    return [
        fit(f"table reads by {name}", "1/s", sizes, table).shown(target),
        fit(f"list reads by {name}", "1/s", sizes, members).shown(target),
    ]


async def ticket_state() -> list[dict]:
    """Cost of the ticket state, by touched things (every VM, a few slots each)."""
    sizes = (1000, 2000, 4000, 8000)
    merge, hashed, message = [], [], []
    for size in sizes:
        items = [_assignment(index) for index in range(size)]
        state = TicketState()
        begun = time.perf_counter()
        state.merge(items)
        merged = time.perf_counter()
        state.state_hash()
        merge.append((merged - begun) * 1e6)
        hashed.append((time.perf_counter() - merged) * 1e6)
        message.append(float(_message_bytes(items)))
    target = VMS * 3
    return [
        fit("ticket state: merge of all", "us", sizes, merge).shown(target),
        fit("ticket state: hash", "us", sizes, hashed).shown(target),
        fit("ticket state: whole on the wire", "bytes", sizes, message).shown(target),
    ]


def _assignment(index: int) -> Assignment:
    change = Change(
        f"drafting/vm-{index}", "model", "drafter", "v1", xxhash.xxh64_hexdigest(b"x")
    )
    return Assignment(index + 1, change, index + 1)


def _message_bytes(items: list[Assignment]) -> int:
    return pb.SyncReply(entries=entries_from(items)).ByteSize()


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
    """Slopes of the named measurements, one after the other."""
    rows: list[dict] = []
    for name in names:
        print(f"capacity: {name}", file=sys.stderr)
        rows += await MEASUREMENTS[name]()
    return rows
