"""Connections to a listener with TLS that never begin the handshake."""

import asyncio
import contextlib
import os
import resource
import socket
import ssl

import aiohttp
from attrs import asdict
from wasabideck_lab.lab_fleet import LabFleet

SERVICES = [{"name": "orders", "kind": "plain", "repeatable": True}]
MAX_DESCRIPTORS = 360
RESERVED_DESCRIPTORS = 200
CONNECTIONS = 500
# Guards against a process that hangs; the test measures no time.
HANG_SECONDS = 30.0
CONNECT_SECONDS = 0.05


def count_sockets(pid):
    folder = f"/proc/{pid}/fd"
    paths = [os.readlink(f"{folder}/{name}") for name in os.listdir(folder)]
    return sum(path.startswith("socket:") for path in paths)


async def scrape(address, authority):
    """Return the status of a request for metrics over TLS."""
    context = ssl.create_default_context(cafile=authority)
    async with (
        asyncio.timeout(HANG_SECONDS),
        aiohttp.ClientSession() as session,
        session.get(f"https://{address}/metrics", ssl=context) as response,
    ):
        return response.status


def test_connections_that_begin_no_handshake_leave_descriptors(
    tmp_path, fleet_authority
):
    # Guards against idle connections that use up the descriptors before any is counted.
    keys = fleet_authority.issue("vm")

    async def body():
        lab = LabFleet(tmp_path, tls=asdict(keys))
        await lab.start_platform()
        crowd, loop = [], asyncio.get_running_loop()
        try:
            entry = await lab.start_entry("entry-1", SERVICES)
            pid = entry.subprocess.pid
            limits = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
            host, _, port = entry.http_address.rpartition(":")
            for _ in range(CONNECTIONS):
                sock = socket.socket()
                sock.setblocking(False)
                crowd.append(sock)
                # A queue of new connections that is full drops some of them.
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(CONNECT_SECONDS):
                        await loop.sock_connect(sock, (host, int(port)))
            await asyncio.sleep(1.0)
            sockets = count_sockets(pid)
            return sockets, await scrape(entry.http_address, keys.authority)
        finally:
            for sock in crowd:
                sock.close()
            await lab.close()

    sockets, status = asyncio.run(body())
    assert sockets <= MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    assert status == 200
