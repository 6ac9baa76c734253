"""Connections of the entry's HTTP server: their turns, and how they end."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import AsyncIterator

from sanic import Request
from sanic.exceptions import RequestCancelled
from sanic.http import Http, Stage
from sanic.server import HttpProtocol
from wasabideck_policy.outcomes import WasabideckError

from .turns import TurnQueue

__all__ = ["EntryProtocol", "EntryRequest"]

# Chunks of a body that are read before other connections have their turn, and how many
# of them cost as much as one that is read on its own.
CHUNKS_AT_ONCE = 1024
READ_COST = 8
# Maximum time and bytes for which input is discarded after the last response, and the
# time without input after which the connection is closed.
LINGER_SECONDS = 10.0
LINGER_IDLE_SECONDS = 2.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
# Time without progress after which a shutdown does not wait for a caller, and the
# Retry-After of its refusal: other entries can take the request immediately.
DRAIN_STALL_SECONDS = 2.0
SHUTDOWN_RETRY_SECONDS = 0.1
# A chunk as nearly all senders write it, up to its data; others are left to sanic.
_PLAIN_CHUNK = re.compile(rb"\r\n([0-9A-Fa-f]{1,8})\r\n")


class EntryRequest(Request):
    """A request whose body is kept in one piece while it is received."""

    async def receive_body(self) -> None:
        """Receive the body; it may come in chunks of a few bytes."""
        if self.body:
            return
        body = bytearray()
        async for data in self.stream:
            body += data
        self.body = bytes(body)


class ShuttingDown(WasabideckError):
    """The entry ends, and a request was not read to its end."""

    status = 503
    retry_after = SHUTDOWN_RETRY_SECONDS


class TurnTakingHttp(Http):
    """Reads requests sent ahead, and bodies of many chunks, when it is their turn."""

    __slots__ = ("_gave_up", "_was_sent_ahead")

    def __init__(self, protocol: EntryProtocol):
        super().__init__(protocol)
        self._gave_up = self._was_sent_ahead = False

    def init_for_request(self) -> None:
        """Reset what belongs to a request, before a byte of the next one is awaited."""
        super().init_for_request()
        is_first = self.protocol.state["requests_count"] == 0
        self._was_sent_ahead = bool(self.recv_buffer) and not is_first
        self._gave_up = False

    async def http1(self) -> None:
        """Answer requests until the connection ends, and let the caller read."""
        await super().http1()
        if self.request_body or self.recv_buffer:
            await self._discard_input()

    async def http1_request_header(self) -> None:
        """Receive and parse the head of the next request."""
        if self._was_sent_ahead:
            await self.protocol.turns.wait()
        await super().http1_request_header()

    async def error_response(self, exception: BaseException) -> None:
        """Answer with an error; the rest of the body is not parsed before a close."""
        await super().error_response(exception)
        self._gave_up = not self.keep_alive

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Iterate over the body, whether a handler reads it or it is discarded."""
        reads = 0
        while self.request_body and not self._gave_up:
            if self.protocol.conn_info.lost:
                raise RequestCancelled
            data = self._received_chunks()
            # Chunks that are not plain are read one by one.
            reads += CHUNKS_AT_ONCE if data else READ_COST
            if reads > CHUNKS_AT_ONCE:
                reads = 0
                await self.protocol.turns.wait()
            if data := data or await self.read():
                yield data

    @property
    def is_reading(self) -> bool:
        """Whether a request has begun to arrive and is not whole."""
        if self._gave_up:
            return False
        if self.stage is Stage.HANDLER:
            return bool(self.request_body)
        return self.stage is Stage.REQUEST

    def give_up(self, exception: Exception) -> None:
        """Have the task answer with an error, once it is cancelled."""
        self.exception = exception
        # A second cancellation would interrupt the response.
        self._gave_up = True

    def _received_chunks(self) -> bytes:
        """Take the chunks that were received, whole and within the limit, at once.

        ``read`` returns one chunk, and costs ten times as much for a small one.
        """
        if self.request_body != "chunked" or self.request_bytes_left:
            return b""
        received, position, taken = self.recv_buffer, 0, []
        max_size = self.request_max_size - self.request_bytes
        while len(taken) < CHUNKS_AT_ONCE:
            found = _PLAIN_CHUNK.match(received, position)
            size = int(found[1], 16) if found else 0
            end = found.end() + size if found else 0
            if not size or size > max_size or end > len(received):
                break
            taken.append(received[found.end() : end])
            position, max_size = end, max_size - size
        del received[:position]
        self.request_bytes = self.request_max_size - max_size
        return b"".join(taken)

    async def _discard_input(self) -> None:
        """Discard input for a while after the last response.

        A close with unread bytes would reset the connection, and the caller might lose
        the response.
        """
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        # The connection is not idle: a shutdown must not close it yet.
        self.stage = Stage.RESPONSE
        discarded = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_SECONDS):
                while discarded <= MAX_LINGER_BYTES:
                    discarded += len(self.recv_buffer)
                    self.recv_buffer.clear()
                    async with asyncio.timeout(LINGER_IDLE_SECONDS):
                        await self._receive_more()


class EntryProtocol(HttpProtocol):
    """Connection of a caller, which shares processor time with others."""

    HTTP_CLASS = TurnTakingHttp
    __slots__ = ("_unread_since", "turns")

    def __init__(self, turns: TurnQueue, **options: object):
        super().__init__(**options)
        self.turns = turns
        self._unread_since: float | None = None

    def pause_writing(self) -> None:
        """Note that the caller does not read."""
        self._unread_since = time.monotonic()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Note that the caller reads again."""
        self._unread_since = None
        super().resume_writing()

    @property
    def task(self) -> asyncio.Task | None:
        """The task that serves the connection; None once it has ended."""
        return self._task

    def end_if_stalled(self, now: float, reads_until: float) -> None:
        """Refuse a request that does not go on, and abort an unread response.

        Parameters
        ----------
        now, reads_until : float
            The present time, and the time at which requests are refused that are not
            whole, in seconds of the monotonic clock.
        """
        http = self._http
        unread_since = now if self._unread_since is None else self._unread_since
        if now - unread_since > DRAIN_STALL_SECONDS:
            self.transport.abort()
        elif http is not None and http.is_reading:
            if now - self._time > DRAIN_STALL_SECONDS or now > reads_until:
                http.give_up(ShuttingDown("the entry is shutting down"))
                self._task.cancel()
