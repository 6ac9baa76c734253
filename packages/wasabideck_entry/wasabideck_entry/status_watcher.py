"""Receives status reports from each server of an entry over a stream per server.

A report on an open stream costs a tenth of a request and its response, since no
headers are encoded. When a stream fails or delivers nothing, the server's status is
queried once on a new connection. That query decides whether the server remains in use.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES
from wasabideck_policy.load_balancing import ServerState
from wasabideck_policy.subsets import poll_interval
from wasabideck_wire.inner_grpc import PeersStub

from .fleet import STATUS_TIMEOUT_SECONDS, Fleet

__all__ = ["StatusWatcher"]

CHECK_INTERVAL_SECONDS = 0.25
RECONNECT_DELAY_SECONDS = 0.05
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


@define
class StatusWatcher:
    """Watches the status of every server that a fleet uses."""

    fleet: Fleet
    rng: random.Random
    _watches: dict[str, tuple[ServerState, asyncio.Task]] = field(factory=dict)

    async def run(self) -> None:
        """Start and end watches as servers are added and removed, until cancelled."""
        try:
            while True:
                self.fleet.servers_changed.clear()
                self._update_watches()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
                        await self.fleet.servers_changed.wait()
        finally:
            for _, task in self._watches.values():
                task.cancel()

    def _update_watches(self) -> None:
        servers = self.fleet.servers
        for vm, (server, task) in list(self._watches.items()):
            # A server at another address is a different process of the same name. A
            # watch that failed is restarted: without a watch, the server's last
            # reported status would never change.
            if servers.get(vm) is not server or task.done():
                task.cancel()
                del self._watches[vm]
        for vm, server in servers.items():
            if vm not in self._watches:
                task = asyncio.create_task(self._watch(server))
                self._watches[vm] = server, task

    async def _watch(self, server: ServerState) -> None:
        # All watches start with the entry. The random delay spreads their reports:
        # otherwise all of them would arrive at the same time in each interval, for as
        # long as the entry runs.
        delay = self._report_interval() * self.rng.random()
        failures = 0
        while True:
            if await self.fleet.query(server):
                await asyncio.sleep(delay)
                await self._receive_reports(server)
                delay, failures = RECONNECT_DELAY_SECONDS, 0
            else:
                # The first retries come soon: after a short interruption of all links
                # no server is usable until one has responded.
                await asyncio.sleep(
                    _backoff_seconds(failures) * (0.5 + self.rng.random() / 2)
                )
                failures += 1

    async def _receive_reports(self, server: ServerState) -> None:
        """Apply a server's reports until its stream fails or delivers nothing."""
        channel = self.fleet.channels.get(server.address)
        interval = self._report_interval()
        try:
            async with PeersStub(channel).Watch.open() as stream:
                await stream.send_message(
                    self.fleet.status_request(server, interval), end=True
                )
                while True:
                    async with asyncio.timeout(interval + STATUS_TIMEOUT_SECONDS):
                        reply = await stream.recv_message()
                    if reply is None:
                        return
                    self.fleet.apply_status(server, reply)
        except CALL_FAILURES:
            self.fleet.channels.close_channel(server.address, channel)

    def _report_interval(self) -> float:
        return poll_interval(len(self.fleet.servers))


def _backoff_seconds(failures: int) -> float:
    """Return the seconds until a server that did not respond is queried again."""
    return min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**failures)
