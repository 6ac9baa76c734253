"""Pool of idle connections to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from attrs import define, field
from wasabideck_policy.backends import Backend
from wasabideck_policy.outcomes import WasabideckError

from .http_heads import HeadCodec
from .server_connection import ServerConnection

__all__ = ["ServerPool", "Unreachable"]

# Connecting takes two round trips, 12 ms between regions. A first packet that was
# dropped is sent again after a second, which is too late for most callers.
CONNECT_TIMEOUT_SECONDS = 0.3
# A server closes an idle connection at the end of the timeout that it announces in
# whole seconds. A request sent shortly before that would cross the close.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Maximum time an idle connection is kept, also if the server announces no timeout.
MAX_IDLE_SECONDS = 3.0
# A request that may run only once is sent on a new connection or on one that was in use
# within this time. The server or a middlebox may have dropped an older connection
# without closing it.
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 0.3
MAX_IDLE_CONNECTIONS_PER_SERVER = 8


class Unreachable(WasabideckError):
    """No connection to a server could be made; nothing was sent to it."""

    status = 503

    def __init__(self, server: str, why: str):
        super().__init__(f"{server}: {why}")
        self.server = server


@define
class ServerPool:
    """Idle connections by server; the one used last is used first."""

    head_codec: HeadCodec
    clock: Callable[[], float]
    _idle: dict[str, list[ServerConnection]] = field(factory=dict)

    async def acquire(
        self,
        backend: Backend,
        idempotent: bool,
        connect_timeout_seconds: float | None = None,
    ) -> ServerConnection:
        """Return an idle or a new connection to a server; raise ``Unreachable``.

        Parameters
        ----------
        connect_timeout_seconds : float or None
            Timeout for a new connection, for a request that must not arrive late. No
            idle connection is used then: it would not show that the link is full.
        """
        if connect_timeout_seconds is not None:
            return await self._connect(backend, connect_timeout_seconds)
        now = self.clock()
        idle = self._idle.get(backend.server, [])
        while idle:
            conn = idle.pop()
            if not idle:
                del self._idle[backend.server]
            if conn.usable and _is_probably_open(conn, idempotent, now):
                return conn
            conn.close()
        return await self._connect(backend, CONNECT_TIMEOUT_SECONDS)

    def idle_servers(self) -> Container[str]:
        """Return the servers to which there are idle connections."""
        return self._idle.keys()

    def release(self, backend: Backend, conn: ServerConnection) -> None:
        """Keep a connection whose response has ended, if it can be used again."""
        idle = self._idle.setdefault(backend.server, [])
        if conn.usable and len(idle) < MAX_IDLE_CONNECTIONS_PER_SERVER:
            idle.append(conn)
        else:
            conn.close()

    def sweep(self, listed: set[str]) -> None:
        """Close idle connections that expired or whose server is no longer listed."""
        now = self.clock()
        for server, idle in list(self._idle.items()):
            good = [
                conn
                for conn in idle
                if server in listed
                and conn.usable
                and _is_probably_open(conn, True, now)
            ]
            for conn in idle:
                if conn not in good:
                    conn.close()
            if good:
                self._idle[server] = good
            else:
                del self._idle[server]

    async def _connect(
        self, backend: Backend, timeout_seconds: float
    ) -> ServerConnection:
        host, _, port = backend.listed.address.rpartition(":")

        def record_received(now: float) -> None:
            backend.last_received_at = now

        def factory() -> ServerConnection:
            return ServerConnection(self.head_codec, self.clock, record_received)

        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_seconds):
                _, conn = await loop.create_connection(factory, host, int(port))
        except (OSError, ValueError) as exc:
            # TimeoutError is an OSError, too.
            why = str(exc) or type(exc).__name__
            raise Unreachable(backend.server, why) from exc
        return conn


def _is_probably_open(conn: ServerConnection, idempotent: bool, now: float) -> bool:
    idle_seconds = now - conn.last_used_at
    if not idempotent:
        return idle_seconds < MAX_IDLE_NON_IDEMPOTENT_SECONDS
    timeout = conn.idle_timeout_seconds()
    limit = MAX_IDLE_SECONDS if timeout is None else timeout - KEEP_ALIVE_MARGIN_SECONDS
    return idle_seconds < min(limit, MAX_IDLE_SECONDS)
