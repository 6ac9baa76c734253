"""Engine news as datagrams between agents and entries; a lost one does no harm."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError
from wasabideck_policy.engine_news import EngineNews
from wasabideck_wire import inner_pb2 as pb

from .addresses import split_address

__all__ = ["EngineNewsListener", "EngineNewsSender"]


class EngineNewsListener(asyncio.DatagramProtocol):
    """Takes news from agents; what is none is counted and passed over."""

    def __init__(self, took: Callable[[EngineNews], None]):
        self._took = took
        self.malformed = 0

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decode one datagram."""
        message = pb.EngineNews()
        try:
            message.ParseFromString(data)
        except DecodeError:
            self.malformed += 1
            return
        self._took(
            EngineNews(
                address=message.address,
                version=message.version,
                serving=message.serving,
                running=message.running,
                waiting=message.waiting,
                ready_in=message.ready_in_ms / 1000,
                named=message.named,
                pace=message.pace_percent / 100 or 1.0,
            )
        )


class EngineNewsSender(asyncio.DatagramProtocol):
    """Sends news to entries."""

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def send(self, news: EngineNews, addresses: Iterable[str]) -> None:
        """Send news to each address; what cannot be sent is lost."""
        if self._transport is None:
            return
        data = pb.EngineNews(
            address=news.address,
            version=news.version,
            serving=news.serving,
            running=news.running,
            waiting=news.waiting,
            ready_in_ms=int(news.ready_in * 1000),
            named=news.named,
            pace_percent=int(news.pace * 100),
        ).SerializeToString()
        for address in addresses:
            self._transport.sendto(data, split_address(address))
