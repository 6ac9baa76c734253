"""Detects requests that crash the servers that run them, and has them refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.backends import Backend
from wasabideck_policy.quarantine import Quarantine, fingerprint

from .exchange import Exchange

__all__ = ["CrashDetector"]

# A running server accepts a connection within two round trips, 12 ms between regions.
# The machine of a crashed one refuses it as quickly.
PROBE_TIMEOUT_SECONDS = 0.3


@define
class CrashDetector:
    """Detects servers that crashed during a request, and counts the crashes.

    A request that crashes any server that runs it is retried through any entry, and
    each time makes a server unavailable for seconds, with everything that runs there. A
    broken connection alone proves nothing: responses get lost and links fail. A server
    whose port is closed immediately afterwards has terminated. All other requests that
    ran there are counted too, which is why a single crash has no consequence.

    Attributes
    ----------
    quarantine : Quarantine
        Crashes by request; the entries share them by gossip.
    wall_clock : callable
        Returns the wall time. The clocks of the entries agree to within seconds, and
        crashes count for minutes.
    """

    quarantine: Quarantine
    events: Events
    wall_clock: Callable[[], float]
    _probing: dict[str, set[str]] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Whether a request has crashed too many servers to be run again."""
        return self.quarantine.is_quarantined(_fingerprint(exchange), self.wall_clock())

    def connection_failed(self, exchange: Exchange, backend: Backend) -> None:
        """Probe a server whose connection failed during a request."""
        if backend.server in self._probing:
            self._probing[backend.server].add(_fingerprint(exchange))
            return
        self._probing[backend.server] = {_fingerprint(exchange)}
        task = asyncio.create_task(self._probe(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, backend: Backend) -> None:
        try:
            crashed = await _refuses_connections(backend.listed.address)
        finally:
            fingerprints = self._probing.pop(backend.server)
        if not crashed:
            return
        self.events.emit(
            "server.died", server=backend.server, requests=len(fingerprints)
        )
        now = self.wall_clock()
        for request_fingerprint in fingerprints:
            self.quarantine.record_crash(
                request_fingerprint,
                f"{backend.server}/{backend.listed.started_at_ms}",
                now,
            )


def _fingerprint(exchange: Exchange) -> str:
    req = exchange.req
    target = req.target.decode("latin-1")
    return fingerprint(exchange.organisation, exchange.service, target, req.body)


async def _refuses_connections(address: str) -> bool:
    """Whether a machine responds but nothing listens at the address."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        # Unresponsive or unreachable: the server may be cut off, and is not known to
        # have crashed.
        return False
    writer.close()
    return False
