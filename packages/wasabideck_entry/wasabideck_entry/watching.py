"""Hears from each server of an entry, on a stream of its own.

A word on an open stream costs a tenth of a question and its answer: no headers are
coded. A stream that breaks or goes silent is followed by one question on a new
connection, which decides whether the server is out.
"""

from __future__ import annotations

import asyncio
import contextlib
import random

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES
from wasabideck_policy.routing import Server
from wasabideck_policy.subsets import poll_pause
from wasabideck_wire.inner_grpc import PeersStub

from .fleet import STATUS_TIMEOUT, Fleet

__all__ = ["Watching"]

LOOK_SECONDS = 0.25
SHORTEST_DELAY = 0.05
FIRST_BACKOFF = 0.25
LONGEST_BACKOFF = 2.0


@define
class Watching:
    """Keeps a watch on every server that a fleet uses."""

    fleet: Fleet
    rng: random.Random
    _watches: dict[str, tuple[Server, asyncio.Task]] = field(factory=dict)

    async def run(self) -> None:
        """Begin and end watches as servers come and go, for ever."""
        try:
            while True:
                self.fleet.changed.clear()
                self._follow_fleet()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(LOOK_SECONDS):
                        await self.fleet.changed.wait()
        finally:
            for _, task in self._watches.values():
                task.cancel()

    def _follow_fleet(self) -> None:
        servers = self.fleet.servers
        for vm, (server, task) in list(self._watches.items()):
            # A server at another address is another one, of the same name. A watch
            # that failed is begun anew: without one, its server's last word stays.
            if servers.get(vm) is not server or task.done():
                task.cancel()
                del self._watches[vm]
        for vm, server in servers.items():
            if vm not in self._watches:
                task = asyncio.create_task(self._watch(server))
                self._watches[vm] = server, task

    async def _watch(self, server: Server) -> None:
        # All watches begin with the entry. Their words would come all at once for as
        # long as it runs, and between them nothing.
        delay = self._pause() * self.rng.random()
        failed = 0
        while True:
            if await self.fleet.ask(server):
                await asyncio.sleep(delay)
                await self._listen(server)
                delay, failed = SHORTEST_DELAY, 0
            else:
                # Asked again soon: when all links were cut for a moment, no server
                # is left until the first that answers.
                await asyncio.sleep(_backoff(failed) * (0.5 + self.rng.random() / 2))
                failed += 1

    async def _listen(self, server: Server) -> None:
        """Take a server's words in until its stream breaks or goes silent."""
        channel = self.fleet.channels.get(server.address)
        pause = self._pause()
        try:
            async with PeersStub(channel).Watch.open() as stream:
                await stream.send_message(self.fleet.question(server, pause), end=True)
                while True:
                    async with asyncio.timeout(pause + STATUS_TIMEOUT):
                        reply = await stream.recv_message()
                    if reply is None:
                        return
                    self.fleet.take(server, reply)
        except LINK_FAILURES:
            self.fleet.channels.drop(server.address, channel)

    def _pause(self) -> float:
        return poll_pause(len(self.fleet.servers))


def _backoff(failed: int) -> float:
    """Seconds until a server that gave no answer is asked again."""
    return min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**failed)
