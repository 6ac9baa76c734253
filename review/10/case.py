"""A request that crashes servers is sent on again after all entries were killed."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    Record,
    Request,
    Server,
    Store,
    ask,
    ended,
    entry_nodes,
    free_ip,
    manifest,
    route,
    run_case,
)

# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POISON = b"poison" * 20
STABLE_SECONDS = 3.0
BACK_SECONDS = 2.0
LEASE_SECONDS = 3.6
RETRY_SECONDS = 4.0
RETRIES_A_ROUND = 3
KILLS = 3
COUNTED_CRASHES = 3
ALLOWED_RETRIES = 3


class Crashing:
    """Application servers that end when they begin to run the poisoned request."""

    def __init__(self, store: Store, record: Record, ip: str):
        self.store, self.record, self.ip = store, record, ip
        self.servers: list[Server] = []
        self.crashes: list[tuple[float, str]] = []
        self.boots = 0
        self.tasks: set[asyncio.Task] = set()

    async def boot(self, port: int = 0) -> None:
        """Start a server, with a new id."""
        self.boots += 1
        server = Server(f"i-{self.boots}", self.store, self.record, lambda req: 0.02)

        async def on_run(req: Request) -> None:
            if req.body != POISON:
                return
            self.crashes.append((time.monotonic(), req.headers["x-request-id"]))
            self.record.note("crashes", server=server.name)
            server.stop()
            task = asyncio.create_task(self._come_back(server))
            self.tasks.add(task)
            raise ConnectionResetError

        server.on_run = on_run
        self.servers.append(server)
        await server.start(self.ip, port)

    async def _come_back(self, server: Server) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await self.boot(int(server.address.rpartition(":")[2]))
        await asyncio.sleep(LEASE_SECONDS - BACK_SECONDS)
        self.store.remove("servers", server.name)


async def case(record: Record, folder: Path) -> tuple[bool, str]:
    """Send the request again and again; return whether it reaches too many servers."""
    ips = free_ip()
    store = Store()
    await store.start(ips.format(1))
    routes = [route("order", "unsafe", 1000)]
    store.put("op", "config", manifest(routes, [{"name": "desk", "max-conns": 220}]))
    servers = Crashing(store, record, ips.format(2))
    for _ in range(4):
        await servers.boot()
    nodes = entry_nodes(2, ips, store, folder)
    tries = []
    with ended(nodes):
        await start(nodes)
        for turn in range(KILLS + 1):
            if turn and TROUBLE:
                for node in nodes:
                    node.signal(signal.SIGKILL)
                record.note("all processes are killed")
                for node in nodes:
                    node.end()
                await asyncio.sleep(0.5)
                await start(nodes)
            await asyncio.sleep(STABLE_SECONDS + 1.0)
            for number in range(RETRIES_A_ROUND):
                node = nodes[number % len(nodes)]
                name = f"poison-{turn}-{number}"
                outcome = await ask(node, record, name, "/order/a", "POST", POISON)
                tries.append(outcome)
                probe = await ask(
                    node, record, f"other-{turn}-{number}", "/order/b", "POST", b"x"
                )
                record.note("another order", status=probe.status)
                await asyncio.sleep(RETRY_SECONDS)
    if len(servers.crashes) < COUNTED_CRASHES:
        return False, f"{len(servers.crashes)} crashes in {len(tries)} tries"
    third = servers.crashes[COUNTED_CRASHES - 1][0]
    reached = {name for _, name in servers.crashes}
    late = [
        t
        for t in tries
        if t.request_id in reached and t.sent_at > third + STABLE_SECONDS
    ]
    return len(late) > ALLOWED_RETRIES, (
        f"{len(servers.crashes)} crashes in {len(tries)} tries; {len(late)} tries that "
        f"were sent later than stable-ms after the third crash reached servers"
    )


async def start(nodes: list) -> None:
    """Start all entries, and wait until they are ready."""
    for node in nodes:
        node.start()
    for node in nodes:
        await node.wait_ready()


run_case(FOLDER, case, TROUBLE)
