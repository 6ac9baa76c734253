"""Connection pool and client for unencrypted HTTP, without a client library.

An agent polls its engine ten times a second. In this module a call needs a parser and
one future. The request, response and stream objects of a client library cost several
times as much per call, and importing them takes a fifth of a process's start time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from urllib.parse import quote, urlencode

import orjson
from attrs import define, field

from .http_connection import HttpConnection, MalformedResponse, ResponseLost
from .http_responses import (
    PlatformNonsense,
    PlatformRefused,
    PlatformUnavailable,
    parse_response,
    raise_for_failure,
)

__all__ = ["HttpPool", "PooledClient"]

# Default time after which an idle connection is closed.
IDLE_TIMEOUT_SECONDS = 15.0
# Methods that may be retried on a new connection if a pooled connection was closed.
IDEMPOTENT_METHODS = frozenset(["GET", "PUT"])


@define(eq=False)
class HttpPool:
    """Pool of connections by address; the most recently used one is reused first.

    Attributes
    ----------
    idle_seconds : float
        Seconds after which an idle connection is closed.
    """

    idle_seconds: float = IDLE_TIMEOUT_SECONDS
    _idle: dict[str, list[HttpConnection]] = field(factory=dict)
    _open: set[HttpConnection] = field(factory=set)

    async def __aenter__(self) -> HttpPool:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self._open):
            conn.close()
        self._open.clear()
        self._idle.clear()

    def take_idle(self, address: str) -> HttpConnection | None:
        """Remove and return an idle connection, or None if there is none."""
        idle = self._idle.get(address, [])
        while idle:
            conn = idle.pop()
            if conn.usable:
                return conn
            self.discard(conn)
        return None

    async def connect(self, address: str) -> HttpConnection:
        """Open a new connection; raise ``OSError`` on failure."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: HttpConnection(self.idle_seconds, self._remove), host, int(port)
        )
        self._open.add(conn)
        return conn

    def release(self, address: str, conn: HttpConnection, now: float) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if conn.usable:
            conn.mark_idle(now)
            self._idle.setdefault(address, []).append(conn)
        else:
            self.discard(conn)

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address that may be unresponsive."""
        for conn in list(self._idle.pop(address, [])):
            self.discard(conn)

    def discard(self, conn: HttpConnection) -> None:
        """Close a connection and remove it from the pool."""
        conn.close()
        self._remove(conn)

    def _remove(self, conn: HttpConnection) -> None:
        self._open.discard(conn)
        for idle in self._idle.values():
            if conn in idle:
                idle.remove(conn)


@define
class PooledClient:
    """Client of one HTTP service; raises an exception class per kind of failure.

    Attributes
    ----------
    address : str
        Host and port.
    timeout : float
        Default timeout of a call in seconds.
    """

    address: str
    timeout: float
    pool: HttpPool

    @property
    def base(self) -> str:
        """Return the base URL, which the raised exceptions contain."""
        return f"http://{self.address}"

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        params: Mapping[str, str] | None = None,
        timeout: float | None = None,
        accept: tuple[int, ...] = (200,),
        read_timeout: float | None = None,
        received: Callable[[int], None] | None = None,
        connect_timeout: float | None = None,
        reuse: bool = True,
    ) -> tuple[int, bytes]:
        """Send a request; return the status and body of its response.

        Parameters
        ----------
        timeout : float or None
            Timeout of the whole call in seconds; None for the client's default.
        accept : tuple of int
            Any other status raises an exception.
        read_timeout : float or None
            Read timeout: maximum seconds without data; None for no such limit.
        received : callable or None
            Called with the size of each part of the body when it arrives.
        connect_timeout : float or None
            Maximum seconds for a new connection; ``read_timeout`` by default.
        reuse : bool
            Whether an idle connection may be used, which may be unresponsive.

        Raises
        ------
        PlatformUnavailable
            The service sent no complete response.
        PlatformNonsense
            The response is malformed.
        PlatformRefused
            The status is not one of the accepted ones.
        """
        url = f"{self.base}{path}"
        data = self._encode_request(method, path, body, params)
        try:
            async with asyncio.timeout(timeout or self.timeout):
                status, content = await self._send_with_retry(
                    url,
                    method,
                    data,
                    read_timeout,
                    received,
                    connect_timeout or read_timeout,
                    reuse,
                )
        except TimeoutError as exc:
            raise PlatformUnavailable(url, "timeout", maybe_applied=True) from exc
        raise_for_failure(url, status)
        if status not in accept:
            raise PlatformRefused(url, status, content)
        return status, content

    async def json(self, method: str, path: str, value: object = None, **kw) -> object:
        """Send and return JSON values; otherwise like ``call``."""
        body = None if value is None else orjson.dumps(value)
        _, data = await self.call(method, path, body, **kw)
        if not data:
            return None
        return parse_response(f"{self.base}{path}", data, orjson.loads)

    def _encode_request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        params: Mapping[str, str] | None,
    ) -> bytes:
        target = quote(path, safe="/:@!$&'()*+,;=~")
        if params:
            target = f"{target}?{urlencode(params)}"
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\n"
        if body is None:
            return f"{head}\r\n".encode()
        content_type = "Content-Type: application/octet-stream\r\n"
        content_length = f"Content-Length: {len(body)}\r\n"
        return f"{head}{content_type}{content_length}\r\n".encode() + body

    async def _send_with_retry(
        self,
        url: str,
        method: str,
        data: bytes,
        read_timeout: float | None,
        received: Callable[[int], None] | None,
        connect_timeout: float | None,
        reuse: bool,
    ) -> tuple[int, bytes]:
        conn = self.pool.take_idle(self.address) if reuse else None
        if conn is not None:
            try:
                return await self._exchange(conn, data, read_timeout, received)
            except ResponseLost as exc:
                # In most cases the service closed the connection while it was idle, so
                # an idempotent request is retried below on a new connection.
                if exc.status_received or method not in IDEMPOTENT_METHODS:
                    raise PlatformUnavailable(url, str(exc), True) from exc
            except MalformedResponse as exc:
                raise PlatformNonsense(url, str(exc)) from exc
        conn = await self._connect(url, connect_timeout)
        try:
            return await self._exchange(conn, data, read_timeout, received)
        except ResponseLost as exc:
            raise PlatformUnavailable(url, str(exc), maybe_applied=True) from exc
        except MalformedResponse as exc:
            raise PlatformNonsense(url, str(exc)) from exc

    async def _connect(self, url: str, timeout: float | None) -> HttpConnection:
        try:
            async with asyncio.timeout(timeout):
                return await self.pool.connect(self.address)
        except (OSError, ValueError) as exc:
            # No request was sent, so a write certainly had no effect.
            reason = str(exc) or type(exc).__name__
            raise PlatformUnavailable(url, reason, maybe_applied=False) from exc

    async def _exchange(
        self,
        conn: HttpConnection,
        data: bytes,
        read_timeout: float | None,
        received: Callable[[int], None] | None,
    ) -> tuple[int, bytes]:
        try:
            conn.send(data, received)
            while not conn.complete:
                if read_timeout is None:
                    await conn.wait_for_data()
                    continue
                async with asyncio.timeout(read_timeout):
                    await conn.wait_for_data()
        finally:
            if not conn.complete:
                self.pool.discard(conn)
        now = asyncio.get_running_loop().time()
        self.pool.release(self.address, conn, now)
        return conn.status, conn.body()
