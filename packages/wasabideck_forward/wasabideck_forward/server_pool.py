"""Kept connections to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from attrs import define, field
from wasabideck_policy.backends import Backend
from wasabideck_policy.outcomes import WasabideckError

from .messages import Wire
from .server_connection import ServerConnection

__all__ = ["ServerPool", "Unreachable"]

# A connection is there within two round trips, 12 ms between regions. A first packet
# that was dropped comes again after a second, which is too late for most callers.
CONNECT_SECONDS = 0.3
# A server closes an idle connection at the end of the whole seconds that it names;
# a request sent shortly before would cross that.
KEPT_MARGIN_SECONDS = 1.0
# How long an idle connection is kept where the server names no time.
KEPT_SECONDS = 3.0
# What may run once goes on a connection that was of use just now or is new: a server
# or something between may have dropped an older one without a word.
RECENT_SECONDS = 0.3
MOST_IDLE = 8


class Unreachable(WasabideckError):
    """No connection to a server could be made; nothing was sent to it."""

    status = 503

    def __init__(self, server: str, why: str):
        super().__init__(f"{server}: {why}")
        self.server = server


@define
class ServerPool:
    """Idle connections by server, the last used first."""

    wire: Wire
    clock: Callable[[], float]
    _idle: dict[str, list[ServerConnection]] = field(factory=dict)

    async def take(
        self, backend: Backend, idempotent: bool, way: float | None = None
    ) -> ServerConnection:
        """A connection to a server, kept or new; raises ``Unreachable``.

        Parameters
        ----------
        way : float or None
            Seconds within which a new connection has to be there, for what must not
            come late: on a kept one nothing shows that the link is full.
        """
        if way is not None:
            return await self._connect(backend, way)
        now = self.clock()
        kept = self._idle.get(backend.server, [])
        while kept:
            conn = kept.pop()
            if not kept:
                del self._idle[backend.server]
            if conn.usable and _still_open(conn, idempotent, now):
                return conn
            conn.close()
        return await self._connect(backend, CONNECT_SECONDS)

    def kept(self) -> Container[str]:
        """Servers that there are idle connections to."""
        return self._idle.keys()

    def give_back(self, backend: Backend, conn: ServerConnection) -> None:
        """Keep a connection whose answer has ended, if it is good for another."""
        kept = self._idle.setdefault(backend.server, [])
        if conn.usable and len(kept) < MOST_IDLE:
            kept.append(conn)
        else:
            conn.close()

    def sweep(self, listed: set[str]) -> None:
        """Close idle connections whose time is over, or whose server is gone."""
        now = self.clock()
        for server, kept in list(self._idle.items()):
            good = [
                conn
                for conn in kept
                if server in listed and conn.usable and _still_open(conn, True, now)
            ]
            for conn in kept:
                if conn not in good:
                    conn.close()
            if good:
                self._idle[server] = good
            else:
                del self._idle[server]

    async def _connect(self, backend: Backend, within: float) -> ServerConnection:
        host, _, port = backend.listed.address.rpartition(":")

        def heard(now: float) -> None:
            backend.heard_at = now

        def factory() -> ServerConnection:
            return ServerConnection(self.wire, self.clock, heard)

        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(within):
                _, conn = await loop.create_connection(factory, host, int(port))
        except (OSError, ValueError) as exc:
            # A timeout is an OSError, too.
            why = str(exc) or type(exc).__name__
            raise Unreachable(backend.server, why) from exc
        return conn


def _still_open(conn: ServerConnection, idempotent: bool, now: float) -> bool:
    idle = now - conn.used_at
    if not idempotent:
        return idle < RECENT_SECONDS
    kept_for = conn.kept_for()
    limit = KEPT_SECONDS if kept_for is None else kept_for - KEPT_MARGIN_SECONDS
    return idle < min(limit, KEPT_SECONDS)
