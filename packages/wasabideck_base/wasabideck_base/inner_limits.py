"""Limits of the inner protocol, enforced before anything is buffered."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from typing import TypeVar

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server
from h2.connection import H2Connection
from h2.events import PingReceived, RemoteSettingsChanged, StreamReset
from h2.settings import SettingCodes

from .accounted_protocol import PART_BYTES, AccountedProtocol
from .connection_budget import ConnectionBudget
from .kernel_buffers import open_listener
from .tls_handshake import HandshakeProtocol

__all__ = ["MAX_MESSAGE_BYTES", "MAX_CONCURRENT_STREAMS", "InnerChannel", "InnerServer"]

M = TypeVar("M")

# A whole ticket state at the target size takes well under a megabyte, a part of a
# chunk is 256 KiB, and the size of a caller's body is limited by the entry's settings.
MAX_MESSAGE_BYTES = 8 << 20
# An entry opens one connection to each agent, with one stream for each request.
MAX_CONCURRENT_STREAMS = 1000
# Maximum size of a request's head, encoded and decoded. It takes a few hundred bytes.
MAX_HEAD_BYTES = 16 * 1024
# Streams that a connection remembers after they were closed; h2 keeps 65536 of them.
MAX_CLOSED_STREAMS = 1000
# Maximum pings, settings and resets of streams on one connection in a second. They cost
# a peer a few bytes each and could keep this process busy.
MAX_CONTROL_FRAMES_PER_SECOND = 500
# Memory of a connection, and of a stream with its task, beside the bytes of messages.
CONNECTION_BYTES = 32 * 1024
STREAM_BYTES = 48 * 1024
# Layout of a frame's header (RFC 9113, section 4.1).
FRAME_HEADER_BYTES = 9
FRAME_TYPE_INDEX = 3
DATA_FRAME = 0
LISTENER = "inner"


class _ValidatingCodec(ProtoCodec):
    """Protobuf codec that reports malformed bytes as a ``GRPCError``."""

    def decode(self, data: bytes, message_type: type[M]) -> M:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            why = f"malformed {message_type.__name__}"
            raise GRPCError(Status.INVALID_ARGUMENT, why) from None


class InnerServer(Server):
    """A grpclib server that rejects large or malformed messages and excess streams.

    Parameters
    ----------
    budget : ConnectionBudget or None
        Memory and sockets of all connections of the process.
    max_streams : int
        Maximum number of open streams of one connection.
    """

    def __init__(
        self,
        handlers: list,
        budget: ConnectionBudget | None = None,
        max_streams: int = MAX_CONCURRENT_STREAMS,
    ):
        super().__init__(handlers, codec=_ValidatingCodec())
        self._budget = budget or ConnectionBudget()
        self._max_streams = max_streams
        self._tls_context: ssl.SSLContext | None = None

    async def start(
        self, host: str, port: int, *, ssl: ssl.SSLContext | None = None
    ) -> None:
        """Listen at an address; raises ``OSError`` if that is not possible."""
        self._tls_context = ssl
        await super().start(sock=open_listener(host, port))

    def _protocol_factory(self) -> asyncio.Protocol:
        if self._tls_context is None:
            return self._accounted_protocol()
        return HandshakeProtocol(
            self._accounted_protocol,
            self._tls_context,
            self._budget,
            LISTENER,
            asyncio.get_running_loop().time,
        )

    def _accounted_protocol(self) -> AccountedProtocol:
        protocol = _with_limits(
            super()._protocol_factory(), max_streams=self._max_streams
        )
        frames = _ControlFrames(protocol)
        return AccountedProtocol(
            protocol,
            self._budget,
            LISTENER,
            asyncio.get_running_loop().time,
            lambda: _held_bytes(protocol),
            frames.is_excessive,
            lambda: _part_bytes(protocol),
            lambda: protocol.connection.streams_succeeded > 0,
            # grpclib keeps the streams of ended calls until ten more have begun.
            protocol.handler.__gc_collect__,
        )


class _ControlFrames:
    """Counts frames of a connection that carry no request."""

    def __init__(self, protocol: H2Protocol):
        self._protocol = protocol
        self._count = 0
        self._second = 0
        original_connection_made = protocol.connection_made

        def connection_made(transport: asyncio.Transport) -> None:
            original_connection_made(transport)
            processors = protocol.processor.processors
            for kind in (PingReceived, RemoteSettingsChanged, StreamReset):
                processors[kind] = self._counting(processors[kind])

        protocol.connection_made = connection_made

    def is_excessive(self, now: float) -> bool:
        """Whether the peer sent too many in this second, or a head without end."""
        if int(now) != self._second:
            self._second, self._count = int(now), 0
        if self._count > MAX_CONTROL_FRAMES_PER_SECOND:
            return True
        head = self._protocol.connection._connection.incoming_buffer._headers_buffer
        return sum(len(frame.data) for frame in head) > MAX_HEAD_BYTES

    def _counting(self, process: Callable[[object], None]) -> Callable[[object], None]:
        def process_counted(event: object) -> None:
            self._count += 1
            process(event)

        return process_counted


def _held_bytes(protocol: H2Protocol) -> int:
    """Return the memory of a connection's streams and of what is not parsed yet."""
    streams = protocol.processor.streams.values()
    unparsed = len(protocol.connection._connection.incoming_buffer._data)
    return (
        CONNECTION_BYTES
        + unparsed
        + sum(STREAM_BYTES + stream.data_received for stream in streams)
    )


def _part_bytes(protocol: H2Protocol) -> int:
    """Return how much input to parse at once: a few frames, or what a message lacks."""
    frame = protocol.connection._connection.incoming_buffer._data
    if len(frame) < FRAME_HEADER_BYTES or frame[FRAME_TYPE_INDEX] != DATA_FRAME:
        return PART_BYTES
    size = FRAME_HEADER_BYTES + int.from_bytes(frame[:FRAME_TYPE_INDEX], "big")
    return max(PART_BYTES, size - len(frame))


def _limit_state(connection: H2Connection) -> None:
    """Limit what h2 keeps for a connection of its own accord."""
    connection.decoder.max_header_list_size = MAX_HEAD_BYTES
    connection._closed_streams._size_limit = MAX_CLOSED_STREAMS


class InnerChannel(Channel):
    """A grpclib channel that rejects large or malformed messages.

    Parameters
    ----------
    window_bytes : int
        Flow-control window: bytes of one response that a peer may send before this
        side has read them; 0 for the library's default, which is megabytes.
    """

    def __init__(self, host: str, port: int, ssl: object, window_bytes: int = 0):
        super().__init__(host, port, ssl=ssl, codec=_ValidatingCodec())
        self._window_bytes = window_bytes

    def _protocol_factory(self) -> H2Protocol:
        return _with_limits(super()._protocol_factory(), self._window_bytes)


def _with_limits(
    protocol: H2Protocol,
    window_bytes: int = 0,
    max_streams: int = MAX_CONCURRENT_STREAMS,
) -> H2Protocol:
    """Add limits to each stream of a protocol, and return the protocol.

    grpclib itself trusts the announced length of a message, and acknowledges and
    buffers its bytes: one peer could exhaust the memory of this process.
    """
    original_connection_made = protocol.connection_made

    def connection_made(transport: object) -> None:
        original_connection_made(transport)
        connection = protocol.connection
        original_create_stream = connection.create_stream

        def create_stream(**options: object) -> object:
            # Another call may have closed this connection since it was established.
            # grpclib would raise an AttributeError, which no caller expects.
            if connection.is_closing():
                raise StreamTerminatedError("the connection was closed by another call")
            stream = original_create_stream(**options)
            stream.recv_data = _with_size_limit(stream.recv_data)
            return stream

        connection.create_stream = create_stream
        settings = {SettingCodes.MAX_CONCURRENT_STREAMS: max_streams}
        if window_bytes:
            settings[SettingCodes.INITIAL_WINDOW_SIZE] = window_bytes
        _limit_state(connection._connection)
        connection._connection.update_settings(settings)
        connection.flush()

    protocol.connection_made = connection_made
    return protocol


def _with_size_limit(
    receive: Callable[[int], Awaitable[bytes]],
) -> Callable[[int], Awaitable[bytes]]:
    async def receive_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            why = f"{size} bytes, {MAX_MESSAGE_BYTES} at most"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, why)
        try:
            return await receive(size)
        except AssertionError as exc:
            # grpclib raises it when a stream ends within a message.
            raise StreamTerminatedError(str(exc)) from None

    return receive_limited
