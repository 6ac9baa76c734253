"""Channels of the inner protocol; each message carries the hybrid logical clock."""

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
from wasabideck_wire.errors import MalformedMessage

from .addresses import split_address
from .events import HybridClock
from .inner_limits import InnerChannel

__all__ = ["CALL_FAILURES", "Channels", "exchange_clock"]

CLOCK_METADATA_KEY = "wasabideck-hlc"

# The exceptions of a call over a broken, refused or unresponsive connection, or to a
# peer that returns a malformed response.
CALL_FAILURES = (
    GRPCError,
    StreamTerminatedError,
    OSError,
    asyncio.TimeoutError,
    MalformedMessage,
)


@define
class Channels:
    """One open channel per address, created on first use.

    Attributes
    ----------
    window_bytes : int
        Flow-control window of each response in bytes; 0 for the library's default.
    """

    clock: HybridClock
    ssl: ssl.SSLContext | None = None
    window_bytes: int = 0
    _open: dict[str, Channel] = field(factory=dict)

    def get(self, address: str) -> Channel:
        """Return the channel to an address."""
        if address not in self._open:
            host, port = split_address(address)
            channel = InnerChannel(host, port, self.ssl, self.window_bytes)
            listen(channel, SendRequest, self._send_clock)
            listen(channel, RecvInitialMetadata, self._receive_clock)
            listen(channel, RecvTrailingMetadata, self._receive_clock)
            self._open[address] = channel
        return self._open[address]

    def close_channel(self, address: str, failed: Channel | None = None) -> None:
        """Close an unresponsive channel; the next call opens a new one.

        With ``failed``, only that channel is closed: when a connection breaks, each
        of its streams reports the failure, and the second report would otherwise
        close the new connection on which the first stream has already resumed.
        """
        if failed is not None and self._open.get(address) is not failed:
            failed.close()
            return
        if channel := self._open.pop(address, None):
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._open):
            self.close_channel(address)

    async def _send_clock(self, event: SendRequest) -> None:
        event.metadata[CLOCK_METADATA_KEY] = str(self.clock.last)

    async def _receive_clock(
        self, event: RecvInitialMetadata | RecvTrailingMetadata
    ) -> None:
        self.clock.observe_text(event.metadata.get(CLOCK_METADATA_KEY))


def exchange_clock(server: Server, clock: HybridClock) -> None:
    """Exchange clock stamps with a server's clients in requests and responses."""

    async def receive_clock(event: RecvRequest) -> None:
        clock.observe_text(event.metadata.get(CLOCK_METADATA_KEY))

    async def send_clock(event: SendInitialMetadata | SendTrailingMetadata) -> None:
        event.metadata[CLOCK_METADATA_KEY] = str(clock.last)

    listen(server, RecvRequest, receive_clock)
    listen(server, SendInitialMetadata, send_clock)
    listen(server, SendTrailingMetadata, send_clock)
