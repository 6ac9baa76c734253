"""Connections of the inner protocol, carrying the hybrid logical clock."""

from __future__ import annotations

import asyncio
import ssl

from attrs import define, field
from grpclib.client import Channel
from grpclib.events import RecvRequest, SendRequest, listen
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from .events import Clock, Stamp
from .settings import split_address

__all__ = ["LINK_FAILURES", "Channels", "observe_clock"]

HLC = "wasabideck-hlc"

# Whatever a call over a broken, refused or silent connection raises.
LINK_FAILURES = (GRPCError, StreamTerminatedError, OSError, asyncio.TimeoutError)


@define
class Channels:
    """One open channel per address, made when first used."""

    clock: Clock
    ssl: ssl.SSLContext | None = None
    _open: dict[str, Channel] = field(factory=dict)

    def get(self, address: str) -> Channel:
        """The channel to an address."""
        if address not in self._open:
            host, port = split_address(address)
            channel = Channel(host, port, ssl=self.ssl)
            listen(channel, SendRequest, self._stamp)
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


def observe_clock(server: Server, clock: Clock) -> None:
    """Move the clock past the stamp of each request that a server receives."""

    async def on_request(event: RecvRequest) -> None:
        text = event.metadata.get(HLC)
        if isinstance(text, str):
            clock.observe(Stamp.parse(text))

    listen(server, RecvRequest, on_request)
