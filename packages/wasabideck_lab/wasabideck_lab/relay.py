"""TCP relay that adds latency, limits the rate, and stalls or aborts connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field

__all__ = ["Relay"]

MAX_READ_BYTES = 1 << 16


@define(eq=False)
class _Link:
    """One relayed connection, with a writer for each side."""

    writers: list[asyncio.StreamWriter]
    stalled: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


@define
class Relay:
    """Forwards connections to a target, and injects network faults.

    Attributes
    ----------
    target : callable
        Returns the current ``host:port`` of the target.
    latency_seconds : float
        Seconds added in each direction.
    bytes_per_second : float
        Bytes per second in each direction of a connection; 0 is unlimited.
    """

    target: Callable[[], str]
    latency_seconds: float = 0.0
    bytes_per_second: float = 0.0
    address: str = ""
    _links: set[_Link] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stall_connections(self) -> int:
        """Stall the open connections, and return their number; new connections work."""
        for link in self._links:
            link.stalled = True
        return len(self._links)

    def abort_connections(self) -> int:
        """Abort the open connections, and return their number; new connections work."""
        links = list(self._links)
        for link in links:
            link.abort()
        return len(links)

    async def close(self) -> None:
        """Stop listening, and abort the open connections."""
        self._server.close()
        self.abort_connections()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target().rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        link = _Link([writer, target_writer])
        self._links.add(link)
        forwarders = [
            asyncio.create_task(self._forward(link, reader, target_writer)),
            asyncio.create_task(self._forward(link, target_reader, writer)),
        ]
        try:
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            link.abort()
            self._links.discard(link)

    async def _forward(
        self, link: _Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(MAX_READ_BYTES)
            except OSError:
                return
            if link.stalled:
                # Neither data nor the closing of a side is forwarded any more, and
                # neither side is notified.
                await asyncio.Event().wait()
            if not data:
                return
            if self.bytes_per_second:
                await asyncio.sleep(len(data) / self.bytes_per_second)
            if self.latency_seconds:
                loop.call_later(self.latency_seconds, _write, writer, data)
            else:
                _write(writer, data)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)
