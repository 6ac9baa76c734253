"""Requests that crash the servers that run them: noticed, noted and refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.backends import Backend
from wasabideck_policy.quarantine import Quarantine, fingerprint

from .exchange import Exchange

__all__ = ["CrashWatch"]

# A server that lives takes a connection within two round trips, 12 ms between regions;
# one that crashed refuses it as soon (seconds).
LOOK_SECONDS = 0.3


@define
class CrashWatch:
    """Finds out whether a server crashed under a request, and counts it against it.

    A request that crashes whatever runs it comes again through any entry, and each
    time takes a server, with all that runs there, away for seconds. A broken
    connection alone proves nothing: answers get lost, and links break. A server whose
    port is closed the moment after has ended. Whatever else ran there is counted too,
    which is why one crash holds nothing back.

    Attributes
    ----------
    quarantine : Quarantine
        What crashed how often; entries tell each other.
    wall : callable
        Wall time, which all entries share to within seconds; crashes count for
        minutes.
    """

    quarantine: Quarantine
    events: Events
    wall: Callable[[], float]
    _looking: dict[str, set[str]] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)

    def refuses(self, exchange: Exchange) -> bool:
        """Whether a request has crashed too many servers to be run once more."""
        return self.quarantine.refused(_name(exchange), self.wall())

    def broke(self, exchange: Exchange, backend: Backend) -> None:
        """Look at a server whose connection broke under a request."""
        if backend.server in self._looking:
            self._looking[backend.server].add(_name(exchange))
            return
        self._looking[backend.server] = {_name(exchange)}
        task = asyncio.create_task(self._look(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(self, backend: Backend) -> None:
        try:
            ended = await _has_ended(backend.listed.address)
        finally:
            names = self._looking.pop(backend.server)
        if not ended:
            return
        self.events.emit("server.died", server=backend.server, requests=len(names))
        now = self.wall()
        for name in names:
            self.quarantine.record(name, f"{backend.server}/{backend.listed.born}", now)


def _name(exchange: Exchange) -> str:
    req = exchange.req
    target = req.target.decode("latin-1")
    return fingerprint(exchange.organisation, exchange.service, target, req.body)


async def _has_ended(address: str) -> bool:
    """Whether nothing listens at an address, though its machine answers."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(LOOK_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        # Silent or unreachable: cut off, perhaps, and not known to have crashed.
        return False
    writer.close()
    return False
