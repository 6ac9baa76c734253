"""Kept connections for calls of plain HTTP services, without a framework.

An agent asks its engine ten times a second for as long as it runs. Here such a call
costs a parser and one future; a client library's request, response and stream objects
cost several times as much, and their import a fifth of a process's start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from urllib.parse import quote, urlencode

import orjson
from attrs import define, field

from .http_answers import (
    PlatformNonsense,
    PlatformRefused,
    PlatformUnavailable,
    raise_for_failure,
    understood,
)
from .http_connection import AnswerLost, HttpConnection, MalformedAnswer

__all__ = ["HttpPool", "PooledClient"]

# Idle connections are kept so long unless a pool says otherwise (seconds).
IDLE_SECONDS = 15.0
# Calls that may be sent again on a new connection when a kept one turns out closed.
IDEMPOTENT = frozenset(["GET", "PUT"])


@define(eq=False)
class HttpPool:
    """Connections by address, the last used first.

    Attributes
    ----------
    idle_seconds : float
        Seconds after which a connection that nobody uses is closed.
    """

    idle_seconds: float = IDLE_SECONDS
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

    def kept(self, address: str) -> HttpConnection | None:
        """A connection that was used before, or None."""
        kept = self._idle.get(address, [])
        while kept:
            conn = kept.pop()
            if conn.usable:
                return conn
            self.drop(conn)
        return None

    async def connect(self, address: str) -> HttpConnection:
        """A new connection; raises ``OSError``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        _, conn = await loop.create_connection(
            lambda: HttpConnection(self.idle_seconds, self._forget), host, int(port)
        )
        self._open.add(conn)
        return conn

    def give_back(self, address: str, conn: HttpConnection, now: float) -> None:
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

    def drop(self, conn: HttpConnection) -> None:
        """Close a connection."""
        conn.close()
        self._forget(conn)

    def _forget(self, conn: HttpConnection) -> None:
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
            except AnswerLost as exc:
                # Mostly it was closed while it lay idle.
                if exc.answered or method not in IDEMPOTENT:
                    raise PlatformUnavailable(url, str(exc), True) from exc
            except MalformedAnswer as exc:
                raise PlatformNonsense(url, str(exc)) from exc
        conn = await self._connect(url, silence)
        try:
            return await self._exchange(conn, data, silence, received)
        except AnswerLost as exc:
            raise PlatformUnavailable(url, str(exc), maybe_applied=True) from exc
        except MalformedAnswer as exc:
            raise PlatformNonsense(url, str(exc)) from exc

    async def _connect(self, url: str, silence: float | None) -> HttpConnection:
        try:
            async with asyncio.timeout(silence):
                return await self.pool.connect(self.address)
        except (OSError, ValueError) as exc:
            # Nothing was sent: a write certainly did not take effect.
            why = str(exc) or type(exc).__name__
            raise PlatformUnavailable(url, why, maybe_applied=False) from exc

    async def _exchange(
        self,
        conn: HttpConnection,
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
