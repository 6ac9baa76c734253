"""One connection to a backend server, with one request on it at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable

import httptools
from wasabideck_policy.outcomes import WasabideckError

from .messages import AnswerHead, Wire, keep_alive_seconds, names_close

__all__ = ["Answer", "AnswerBroken", "LeaveAsked", "ServerConnection"]

# A connection whose peer acknowledges nothing for so long is dead (milliseconds); a
# partition would otherwise keep it for many minutes.
USER_TIMEOUT_MS = 3000
# Answers to earlier requests that may come first before the connection is given up.
MOST_FOREIGN = 2
# An answer's bytes that wait for a slow caller before the server is made to wait.
MOST_WAITING_BYTES = 256 * 1024
# Bytes that may come before an answer's head is there: its own, of interim answers, and
# of answers to earlier requests. A server in trouble may send them without end.
MOST_BYTES_BEFORE = 256 * 1024


class AnswerBroken(WasabideckError):
    """The connection ended or went wrong before the whole answer was there.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have reached the server.
    """

    status = 502

    def __init__(self, why: str, sent: bool = True):
        super().__init__(why)
        self.sent = sent


class LeaveAsked(Exception):
    """The server should be left once another one has taken over."""


class Answer:
    """A server's answer while it comes in.

    Attributes
    ----------
    head : AnswerHead or None
        There once the headers have come.
    begun : bool
        Bytes of the body have come: the server has begun the request.
    ended : bool
        The whole answer has come.
    failure : WasabideckError or None
        Why nothing more comes.
    """

    def __init__(self, request: str, bodyless: bool):
        self.request = request
        self.bodyless = bodyless
        self.head: AnswerHead | None = None
        self.begun = False
        self.ended = False
        self.failure: WasabideckError | None = None
        self._parts: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._waiter: asyncio.Future | None = None
        self._leave_asked = False
        self.resume: Callable[[], None] = lambda: None

    async def headers(self) -> AnswerHead:
        """The head, as soon as it is there; raises what ``fail`` was given."""
        while self.head is None:
            if self.failure:
                raise self.failure
            await self._wait()
        return self.head

    async def read(self) -> bytes:
        """The next bytes of the body, empty at its end.

        Raises what ``fail`` was given, and ``LeaveAsked`` once after ``ask_to_leave``.
        """
        while not self._parts:
            # First of all: what comes after a failure is dropped, its end is no end.
            if self.failure:
                raise self.failure
            if self.ended:
                return b""
            if self._leave_asked:
                self._leave_asked = False
                raise LeaveAsked("it stops")
            await self._wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._waiting_bytes = 0
        self.resume()
        return data

    def add(self, data: bytes) -> bool:
        """Take in bytes of the body; whether there is room for more."""
        if self.failure:
            # Its end is decided, and nobody is to take it for begun after that.
            return True
        self.begun = True
        self._parts.append(data)
        self._waiting_bytes += len(data)
        self.wake()
        return self._waiting_bytes < MOST_WAITING_BYTES

    async def arrived(self, enough: Callable[[bytes], bool]) -> bytes:
        """What ``read`` would give, left there, once it is enough; raises as it does.

        It need not be enough where the body ends, or there is no room for more.
        """
        while not enough(data := b"".join(self._parts)):
            if self.failure:
                raise self.failure
            if self.ended or self._waiting_bytes >= MOST_WAITING_BYTES:
                break
            await self._wait()
        return data

    def ask_to_leave(self) -> None:
        """Have the reader look for another server, while this one goes on."""
        self._leave_asked = True
        self.wake()

    def fail(self, failure: WasabideckError) -> None:
        """Note that nothing more will come, and why."""
        if not self.ended and self.failure is None:
            self.failure = failure
            self.wake()

    def wake(self) -> None:
        """Wake whoever waits for this answer."""
        if self._waiter and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter


class ServerConnection(asyncio.Protocol):
    """A connection to one server; whoever takes it has it alone.

    Attributes
    ----------
    used_at : float
        When it was last of use, seconds.
    fresh : bool
        Whether no request has been answered on it yet.
    """

    def __init__(
        self, wire: Wire, clock: Callable[[], float], heard: Callable[[float], None]
    ):
        self._wire = wire
        self._clock = clock
        self._heard = heard
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answer: Answer | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._skipping = False
        self._foreign = 0
        self._bytes_before = 0
        self._until_close = False
        self._spoilt = False
        self._idle_seconds: float | None = None
        self.used_at = clock()
        self.fresh = True

    # What its owner calls.

    def send(self, data: bytes, answer: Answer) -> None:
        """Send a request; its answer comes in through ``answer``."""
        self._answer = answer
        self._bytes_before = 0
        answer.resume = self._resume_reading
        self._transport.write(data)

    @property
    def usable(self) -> bool:
        """Whether another request may be sent on it."""
        return (
            self._answer is None
            and not self._spoilt
            and self._transport is not None
            and not self._transport.is_closing()
            # Bytes of a long body that the server answered early are still due.
            and self._transport.get_write_buffer_size() == 0
        )

    def kept_for(self) -> float | None:
        """Seconds that the server keeps it when idle; None when not said."""
        return self._idle_seconds

    def close(self) -> None:
        """Close it at once, which also stops the server's work on its request."""
        self._spoilt = True
        if self._transport is not None:
            self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport, and limit how long a silent peer is believed."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nothing was asked for spoil the connection."""
        answer = self._answer
        if answer is None:
            # A second answer to the last request. It belongs to nobody, and what
            # follows it could be taken for the answer to the next request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"no HTTP: {exc}")
            return
        if answer.head is not None:
            self._heard(self._clock())
            return
        # No sign of life: a head that comes in drops would keep its caller waiting.
        self._bytes_before += len(data)
        if self._bytes_before > MOST_BYTES_BEFORE:
            self._fail(f"over {MOST_BYTES_BEFORE} bytes and no head")

    def eof_received(self) -> bool:
        """Take the end for the body's end where nothing else says where it is."""
        if self._until_close and self._answer and not self._skipping:
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer that is still due."""
        self._spoilt = True
        if self._answer is not None:
            self._fail(f"connection lost: {exc or 'closed by the server'}")

    # Callbacks of the parser

    def on_message_begin(self) -> None:  # noqa: D102
        self._headers = []
        if self._answer is None:
            self._spoilt = True

    def on_header(self, name: bytes, value: bytes) -> None:  # noqa: D102
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:  # noqa: D102
        answer = self._answer
        status = self._parser.get_status_code()
        if answer is None or status < 200:
            return
        head = self._wire.read_answer(status, self._headers)
        if head.request != answer.request and not self._excused(head):
            self._skipping = True
            return
        self._skipping = False
        self._idle_seconds = keep_alive_seconds(self._headers)
        if names_close(self._headers):
            self._spoilt = True
        answer.head = head
        self._until_close = _ends_with_connection(self._headers)
        self._spoilt = self._spoilt or self._until_close
        answer.wake()
        if answer.bodyless:
            self._finish()

    def on_body(self, data: bytes) -> None:  # noqa: D102
        if self._answer is None or self._skipping:
            return
        if not self._answer.add(data):
            self._transport.pause_reading()

    def on_message_complete(self) -> None:  # noqa: D102
        if self._answer is None or self._parser.get_status_code() < 200:
            return
        if self._skipping:
            self._skip()
            return
        self._finish()

    def _excused(self, head: AnswerHead) -> bool:
        """Whether an answer without a request's name may be taken for this one's.

        On a new connection there was no earlier request that it could belong to.
        """
        return self.fresh and not head.request

    def _skip(self) -> None:
        """Pass over a late second answer to an earlier request."""
        self._skipping = False
        self._spoilt = True
        self._foreign += 1
        if self._foreign > MOST_FOREIGN:
            self._fail("answers to other requests")

    def _finish(self) -> None:
        answer, self._answer = self._answer, None
        self.fresh = False
        self.used_at = self._clock()
        answer.ended = True
        answer.wake()

    def _fail(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.fail(AnswerBroken(why))
        self.close()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()


def _ends_with_connection(headers: list[tuple[bytes, bytes]]) -> bool:
    names = {name.lower() for name, _ in headers}
    return b"content-length" not in names and b"transfer-encoding" not in names
