"""Detects requests that crash the servers that run them, and has them refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field, frozen
from wasabideck_base.events import Events
from wasabideck_policy.backends import Backend
from wasabideck_policy.quarantine import Quarantine, fingerprint

from .exchange import Exchange

__all__ = ["CrashDetector"]

# A running server accepts a connection within two round trips, 12 ms between regions.
# The machine of a crashed one refuses it as quickly.
PROBE_TIMEOUT_SECONDS = 0.3
# Maximum requests and parts that are named in the log line of a crash.
MAX_LOGGED = 16


@frozen
class _Victim:
    """A request that was in progress at a server when its connection failed.

    Attributes
    ----------
    answering_for : float or None
        Seconds since the server's first event; None if it has sent none.
    """

    exchange: Exchange
    answering_for: float | None


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
    _probing: dict[str, list[_Victim]] = field(factory=dict)
    _tasks: set[asyncio.Task] = field(factory=set)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Whether a request has crashed too many servers to be run again."""
        return self.quarantine.is_quarantined(_fingerprint(exchange), self.wall_clock())

    def connection_failed(
        self, exchange: Exchange, backend: Backend, now: float
    ) -> None:
        """Probe a server whose connection failed during a request."""
        victim = _Victim(exchange, exchange.answering_for(backend.server, now))
        if backend.server in self._probing:
            self._probing[backend.server].append(victim)
            return
        self._probing[backend.server] = [victim]
        task = asyncio.create_task(self._probe(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, backend: Backend) -> None:
        try:
            crashed = await _refuses_connections(backend.listed.address)
        finally:
            victims = self._probing.pop(backend.server)
        if not crashed:
            return
        self._log_crash(backend, victims)
        now = self.wall_clock()
        crash = f"{backend.server}/{backend.listed.started_at_ms}"
        for name in {_fingerprint(victim.exchange) for victim in victims}:
            self.quarantine.record_crash(name, crash, now)

    def _log_crash(self, backend: Backend, victims: list[_Victim]) -> None:
        answering = [victim.answering_for for victim in victims]
        begun = [seconds for seconds in answering if seconds is not None]
        self.events.emit(
            "server.died",
            server=backend.server,
            requests=len(victims),
            ids=[v.exchange.req.head.request_id for v in victims[:MAX_LOGGED]],
            begun=len(begun),
            shortest=round(min(begun), 3) if begun else None,
            parts=sorted(_shared_parts(victims))[:MAX_LOGGED],
        )


def _shared_parts(victims: Iterable[_Victim]) -> set[str]:
    return {part for v in victims for part in v.exchange.req.head.shared_parts}


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
