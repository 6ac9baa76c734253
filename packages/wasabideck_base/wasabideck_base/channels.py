"""Connections of the inner protocol, carrying the hybrid logical clock."""

from __future__ import annotations

import asyncio
import ssl

from attrs import define, field
from grpclib.client import Channel
from grpclib.events import (
    RecvInitialMetadata,
    RecvRequest,
    RecvTrailingMetadata,
    SendInitialMetadata,
    SendRequest,
    SendTrailingMetadata,
    listen,
)
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server
from wasabideck_wire.malformed import MalformedMessage

from .addresses import split_address
from .events import Clock
from .inner_limits import InnerChannel

__all__ = ["LINK_FAILURES", "Channels", "observe_clock"]

HLC = "wasabideck-hlc"

# Whatever a call over a broken, refused or silent connection raises, or one to a
# peer that answers nonsense.
LINK_FAILURES = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
    MalformedMessage,
)


@define
class Channels:
    """One open channel per address, made when first used.

    Attributes
    ----------
    window : int
        Bytes that each answer may have under way; 0 for the library's own limit.
    """

    clock: Clock
    ssl: ssl.SSLContext | None = None
    window: int = 0
    _open: dict[str, Channel] = field(factory=dict)

    def get(self, address: str) -> Channel:
        """The channel to an address."""
        if address not in self._open:
            host, port = split_address(address)
            channel = InnerChannel(host, port, self.ssl, self.window)
            listen(channel, SendRequest, self._stamp)
            listen(channel, RecvInitialMetadata, self._hear)
            listen(channel, RecvTrailingMetadata, self._hear)
            self._open[address] = channel
        return self._open[address]

    def drop(self, address: str, failed: Channel | None = None) -> None:
        """Forget a channel that went silent; the next call opens a new one.

        With ``failed`` only that very channel is dropped: when a connection breaks,
        each of its streams reports it, and the second report would otherwise close
        the new connection on which the first stream already goes on.
        """
        if failed is not None and self._open.get(address) is not failed:
            failed.close()
            return
        if channel := self._open.pop(address, None):
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._open):
            self.drop(address)

    async def _stamp(self, event: SendRequest) -> None:
        event.metadata[HLC] = str(self.clock.last)

    async def _hear(self, event: RecvInitialMetadata | RecvTrailingMetadata) -> None:
        self.clock.hear(event.metadata.get(HLC))


def observe_clock(server: Server, clock: Clock) -> None:
    """Exchange stamps with whoever calls a server: requests and answers bear them."""

    async def hear(event: RecvRequest) -> None:
        clock.hear(event.metadata.get(HLC))

    async def stamp(event: SendInitialMetadata | SendTrailingMetadata) -> None:
        event.metadata[HLC] = str(clock.last)

    listen(server, RecvRequest, hear)
    listen(server, SendInitialMetadata, stamp)
    listen(server, SendTrailingMetadata, stamp)
