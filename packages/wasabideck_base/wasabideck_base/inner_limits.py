"""Limits of the inner protocol, kept before anything is buffered."""

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

__all__ = ["MOST_MESSAGE", "MOST_STREAMS", "InnerChannel", "InnerServer"]

M = TypeVar("M")

# One whole ticket state at the target size is well under a megabyte, a part of a
# chunk is 256 KiB, and a caller's body is limited by the entry's settings.
MOST_MESSAGE = 8 << 20
# An entry has one connection to an agent, and one stream for each request on it.
MOST_STREAMS = 1000


class _Codec(ProtoCodec):
    """Protobuf, with a typed refusal of bytes that are none."""

    def decode(self, data: bytes, message_type: type[M]) -> M:
        try:
            return super().decode(data, message_type)
        except DecodeError:
            why = f"malformed {message_type.__name__}"
            raise GRPCError(Status.INVALID_ARGUMENT, why) from None


class InnerServer(Server):
    """A grpclib server that refuses what is too big, too many or malformed."""

    def __init__(self, handlers: list):
        super().__init__(handlers, codec=_Codec())

    def _protocol_factory(self) -> H2Protocol:
        return _limited(super()._protocol_factory())


class InnerChannel(Channel):
    """A grpclib channel that refuses what is too big or malformed.

    Parameters
    ----------
    window : int
        Bytes of one answer that a peer may have under way before this side has read
        them; 0 for the library's own, which is megabytes.
    """

    def __init__(self, host: str, port: int, ssl: object, window: int = 0):
        super().__init__(host, port, ssl=ssl, codec=_Codec())
        self._window = window

    def _protocol_factory(self) -> H2Protocol:
        return _limited(super()._protocol_factory(), self._window)


def _limited(protocol: H2Protocol, window: int = 0) -> H2Protocol:
    """The protocol, with limits on each of its streams.

    grpclib itself believes the length that a message is announced with, and goes
    on to acknowledge and keep its bytes: one peer could fill this process.
    """
    made = protocol.connection_made

    def connection_made(transport: object) -> None:
        made(transport)
        connection = protocol.connection
        create = connection.create_stream

        def create_stream(**options: object) -> object:
            # Another call on this connection may have dropped it since it was made;
            # grpclib then fails with an AttributeError, which no caller expects.
            if connection.is_closing():
                raise StreamTerminatedError("the connection was closed meanwhile")
            stream = create(**options)
            stream.recv_data = _bounded(stream.recv_data)
            return stream

        connection.create_stream = create_stream
        settings = {SettingCodes.MAX_CONCURRENT_STREAMS: MOST_STREAMS}
        if window:
            settings[SettingCodes.INITIAL_WINDOW_SIZE] = window
        connection._connection.update_settings(settings)
        connection.flush()

    protocol.connection_made = connection_made
    return protocol


def _bounded(
    receive: Callable[[int], Awaitable[bytes]],
) -> Callable[[int], Awaitable[bytes]]:
    async def bounded(size: int) -> bytes:
        if size > MOST_MESSAGE:
            why = f"{size} bytes, {MOST_MESSAGE} at most"
            raise GRPCError(Status.RESOURCE_EXHAUSTED, why)
        try:
            return await receive(size)
        except AssertionError as exc:
            # How grpclib says that a stream ended within a message.
            raise StreamTerminatedError(str(exc)) from None

    return bounded
