"""Kept connections for calls of plain HTTP services, without a framework.

An agent asks its engine ten times a second for as long as it runs. Here such a call
costs a parser and one future; a client library's request, response and stream objects
cost several times as much, and their import a fifth of a process's start.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from urllib.parse import quote, urlencode

import httptools
import orjson
from attrs import define, field

from .http_answers import (
    PlatformNonsense,
    PlatformRefused,
    PlatformUnavailable,
    raise_for_failure,
    understood,
)

__all__ = ["HttpPool", "PooledClient"]

# A connection to the store that went silent while nothing was due is found by probes
# of the kernel's, which are no calls: after two seconds, and once a second then.
PROBE_AFTER_SECONDS = 2
PROBE_EVERY_SECONDS = 1
PROBES = 2
USER_TIMEOUT_MS = 4000
# Idle connections are kept so long unless a pool says otherwise (seconds).
IDLE_SECONDS = 15.0
# A head is a few hundred bytes, and the largest object that a store keeps 8 MB. Bytes
# that go on beyond that are no answer, and would fill the process's memory.
MOST_HEAD_BYTES = 64 * 1024
MOST_BODY_BYTES = 32 * 1024 * 1024
# Calls that may be sent again on a new connection when a kept one turns out closed.
IDEMPOTENT = frozenset(["GET", "PUT"])


class _Lost(Exception):
    """A connection ended before its answer was whole."""

    def __init__(self, why: str, answered: bool):
        super().__init__(why)
        self.answered = answered


class _Malformed(Exception):
    """What came on a connection is no answer."""


class _Connection(asyncio.Protocol):
    """A connection with one call on it at a time."""

    def __init__(self, idle_seconds: float, ended: Callable[[_Connection], None]):
        self.idle_seconds = idle_seconds
        self._ended = ended
        self.transport: asyncio.Transport | None = None
        self.status = 0
        self.whole = False
        self.kept = True
        self._parser = httptools.HttpResponseParser(self)
        self._busy = False
        self._has_head = False
        self._head_bytes = 0
        self._bodyless_end = False
        self._body = bytearray()
        self._received: Callable[[int], None] | None = None
        self._failure: Exception | None = None
        self._moved: asyncio.Future | None = None
        self._idle_since = 0.0
        self._closer: asyncio.TimerHandle | None = None

    @property
    def usable(self) -> bool:
        """Whether another call may be sent on it."""
        return self.kept and not self.transport.is_closing()

    def send(self, data: bytes, received: Callable[[int], None] | None) -> None:
        """Send a call, whose answer ``moved`` and ``body`` tell of."""
        self._busy = True
        self.status, self.whole = 0, False
        self._has_head, self._head_bytes = False, 0
        self._body = bytearray()
        self._received = received
        self.transport.write(data)

    async def moved(self) -> None:
        """Wait for more of the answer; raises ``_Lost`` or ``_Malformed``."""
        if self._failure is not None:
            raise self._failure
        if self.whole:
            return
        self._moved = asyncio.get_running_loop().create_future()
        await self._moved
        if self._failure is not None and not self.whole:
            raise self._failure

    def body(self) -> bytes:
        """The body of a whole answer."""
        return bytes(self._body)

    def idle(self, now: float) -> None:
        """Note that nothing is due on it; it is closed when that lasts."""
        self._idle_since = now
        if self._closer is None:
            self._close_later(self.idle_seconds)

    def close(self) -> None:
        """Close it at once."""
        self.kept = False
        if self._closer is not None:
            self._closer.cancel()
            self._closer = None
        if self.transport is not None:
            self.transport.abort()

    def _close_later(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._closer = loop.call_later(seconds, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._closer = None
        loop = asyncio.get_running_loop()
        left = self._idle_since + self.idle_seconds - loop.time()
        if self._busy:
            left = self.idle_seconds
        if left > 0:
            self._close_later(left)
        else:
            self.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport, and have the kernel notice a silent peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nothing was asked for end the connection."""
        if not self._busy:
            self.close()
            return
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(_Malformed(f"no HTTP: {exc}"))
            return
        if not self._has_head and self._head_bytes > MOST_HEAD_BYTES:
            self._fail(_Malformed(f"a head of over {MOST_HEAD_BYTES} bytes"))
        self._wake()

    def eof_received(self) -> bool:
        """Take the end for the body's where nothing else says where it is."""
        if self._busy and self._has_head and self._bodyless_end:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer that is still due."""
        self.kept = False
        self._ended(self)
        if self._busy:
            self._fail(_Lost(f"connection lost: {exc or 'closed'}", self.status > 0))

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        if self.whole:
            self.kept = False
        self._bodyless_end = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._bodyless_end = False

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200 and not self.whole:
            self.status = status
            self._has_head = True
            self._bodyless_end = self._bodyless_end and status not in (204, 304)
            self.kept = self.kept and self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        if self.whole or self._failure is not None:
            return
        self._body += data
        if self._received is not None:
            self._received(len(data))
        if len(self._body) > MOST_BODY_BYTES:
            self._fail(_Malformed(f"a body of over {MOST_BODY_BYTES} bytes"))

    def on_message_complete(self) -> None:
        if self._has_head and not self.whole:
            self._finish()

    def _finish(self) -> None:
        self.whole = True
        self._busy = False
        self._wake()

    def _fail(self, failure: Exception) -> None:
        if self._failure is None:
            self._failure = failure
        self._busy = False
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._moved is not None and not self._moved.done():
            self._moved.set_result(None)


@define(eq=False)
class HttpPool:
    """Connections by address, the last used first.

    Attributes
    ----------
    idle_seconds : float
        Seconds after which a connection that nobody uses is closed.
    """

    idle_seconds: float = IDLE_SECONDS
    _idle: dict[str, list[_Connection]] = field(factory=dict)
    _open: set[_Connection] = field(factory=set)

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

    def kept(self, address: str) -> _Connection | None:
        """A connection that was used before, or None."""
        kept = self._idle.get(address, [])
        while kept:
            conn = kept.pop()
            if conn.usable:
                return conn
            self.drop(conn)
        return None

    async def connect(self, address: str) -> _Connection:
        """A new connection; raises ``OSError``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: _Connection(self.idle_seconds, self._forget), host, int(port)
        )
        self._open.add(conn)
        return conn

    def give_back(self, address: str, conn: _Connection, now: float) -> None:
        """Keep a connection whose answer is whole, if it is good for another."""
        if conn.usable:
            conn.idle(now)
            self._idle.setdefault(address, []).append(conn)
        else:
            self.drop(conn)

    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address, which may be silent."""
        for conn in list(self._idle.pop(address, [])):
            self.drop(conn)

    def drop(self, conn: _Connection) -> None:
        """Close a connection."""
        conn.close()
        self._forget(conn)

    def _forget(self, conn: _Connection) -> None:
        self._open.discard(conn)
        for kept in self._idle.values():
            if conn in kept:
                kept.remove(conn)


@define
class PooledClient:
    """Calls of one service, with typed failures.

    Attributes
    ----------
    address : str
        Host and port.
    timeout : float
        Seconds that a call may take that has no time of its own.
    """

    address: str
    timeout: float
    pool: HttpPool

    @property
    def base(self) -> str:
        """The address as failures name it."""
        return f"http://{self.address}"

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        params: Mapping[str, str] | None = None,
        timeout: float | None = None,
        accept: tuple[int, ...] = (200,),
        silence: float | None = None,
        received: Callable[[int], None] | None = None,
    ) -> tuple[int, bytes]:
        """Status and body of an answer.

        Parameters
        ----------
        timeout : float or None
            Seconds that the whole call may take; None for the client's own figure.
        silence : float or None
            Seconds for which no byte may come; None to bound the whole call only.
        received : callable or None
            Told the size of each part of the body as it comes.

        Raises
        ------
        PlatformUnavailable
            No answer came.
        PlatformRefused
            The status is none of the accepted ones.
        """
        url = f"{self.base}{path}"
        data = self._request(method, path, body, params)
        try:
            async with asyncio.timeout(timeout or self.timeout):
                status, answer = await self._ask(url, method, data, silence, received)
        except TimeoutError as exc:
            raise PlatformUnavailable(url, "timeout", maybe_applied=True) from exc
        raise_for_failure(url, status)
        if status not in accept:
            raise PlatformRefused(url, status, answer)
        return status, answer

    async def json(self, method: str, path: str, value: object = None, **kw) -> object:
        """Like ``call``, with JSON in and out."""
        body = None if value is None else orjson.dumps(value)
        _, data = await self.call(method, path, body, **kw)
        if not data:
            return None
        return understood(f"{self.base}{path}", data, orjson.loads)

    def _request(
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
        kind = "Content-Type: application/octet-stream\r\n"
        size = f"Content-Length: {len(body)}\r\n"
        return f"{head}{kind}{size}\r\n".encode() + body

    async def _ask(
        self,
        url: str,
        method: str,
        data: bytes,
        silence: float | None,
        received: Callable[[int], None] | None,
    ) -> tuple[int, bytes]:
        conn = self.pool.kept(self.address)
        if conn is not None:
            try:
                return await self._exchange(conn, data, silence, received)
            except _Lost as exc:
                # Mostly it was closed while it lay idle.
                if exc.answered or method not in IDEMPOTENT:
                    raise PlatformUnavailable(url, str(exc), True) from exc
            except _Malformed as exc:
                raise PlatformNonsense(url, str(exc)) from exc
        conn = await self._connect(url, silence)
        try:
            return await self._exchange(conn, data, silence, received)
        except _Lost as exc:
            raise PlatformUnavailable(url, str(exc), maybe_applied=True) from exc
        except _Malformed as exc:
            raise PlatformNonsense(url, str(exc)) from exc

    async def _connect(self, url: str, silence: float | None) -> _Connection:
        try:
            async with asyncio.timeout(silence):
                return await self.pool.connect(self.address)
        except (OSError, ValueError) as exc:
            # Nothing was sent: a write certainly did not take effect.
            why = str(exc) or type(exc).__name__
            raise PlatformUnavailable(url, why, maybe_applied=False) from exc

    async def _exchange(
        self,
        conn: _Connection,
        data: bytes,
        silence: float | None,
        received: Callable[[int], None] | None,
    ) -> tuple[int, bytes]:
        try:
            conn.send(data, received)
            while not conn.whole:
                if silence is None:
                    await conn.moved()
                    continue
                async with asyncio.timeout(silence):
                    await conn.moved()
        finally:
            if not conn.whole:
                self.pool.drop(conn)
        now = asyncio.get_running_loop().time()
        self.pool.give_back(self.address, conn, now)
        return conn.status, conn.body()
