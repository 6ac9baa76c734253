"""Limits of the inner protocol, enforced before anything is buffered."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from google.protobuf.message import DecodeError
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Server
from h2.settings import SettingCodes

__all__ = ["MAX_MESSAGE_BYTES", "MAX_CONCURRENT_STREAMS", "InnerChannel", "InnerServer"]

M = TypeVar("M")

# A whole ticket state at the target size takes well under a megabyte, a part of a
# chunk is 256 KiB, and the size of a caller's body is limited by the entry's settings.
MAX_MESSAGE_BYTES = 8 << 20
# An entry opens one connection to each agent, with one stream for each request.
MAX_CONCURRENT_STREAMS = 1000


class _ValidatingCodec(ProtoCodec):
    """Protobuf codec that reports malformed bytes as a ``GRPCError``."""

    def decode(self, data: bytes, message_type: type[M]) -> M:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            why = f"malformed {message_type.__name__}"
            raise GRPCError(Status.INVALID_ARGUMENT, why) from None


class InnerServer(Server):
    """A grpclib server that rejects large or malformed messages and excess streams."""

    def __init__(self, handlers: list):
        super().__init__(handlers, codec=_ValidatingCodec())

    def _protocol_factory(self) -> H2Protocol:
        return _with_limits(super()._protocol_factory())


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


def _with_limits(protocol: H2Protocol, window_bytes: int = 0) -> H2Protocol:
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
        settings = {SettingCodes.MAX_CONCURRENT_STREAMS: MAX_CONCURRENT_STREAMS}
        if window_bytes:
            settings[SettingCodes.INITIAL_WINDOW_SIZE] = window_bytes
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
