"""A relay between any two parties: latency, rate, silence and cuts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from attrs import define, field

__all__ = ["Relay"]

READ_BYTES = 1 << 16


@define(eq=False)
class _Link:
    """One relayed connection, with a transport towards either side."""

    writers: list[asyncio.StreamWriter]
    silent: bool = False

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


@define
class Relay:
    """Forwards connections to a target, as well or badly as it is told to.

    Attributes
    ----------
    target : callable
        Present ``host:port`` of the other party.
    latency : float
        Seconds added one way.
    rate : float
        Bytes a second each way of a connection; 0 is unlimited.
    """

    target: Callable[[], str]
    latency: float = 0.0
    rate: float = 0.0
    address: str = ""
    _links: set[_Link] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence(self) -> int:
        """Lose track of the open connections; new ones work. How many they were."""
        for link in self._links:
            link.silent = True
        return len(self._links)

    def cut(self) -> int:
        """Break the open connections; new ones work. How many they were."""
        links = list(self._links)
        for link in links:
            link.abort()
        return len(links)

    async def close(self) -> None:
        """Stop listening and break what is open."""
        self._server.close()
        self.cut()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target().rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = _Link([writer, far_writer])
        self._links.add(link)
        pumps = [
            asyncio.create_task(self._pump(link, reader, far_writer)),
            asyncio.create_task(self._pump(link, far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            link.abort()
            self._links.discard(link)

    async def _pump(
        self, link: _Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(READ_BYTES)
            except OSError:
                return
            if link.silent:
                # Lost track of: neither side hears of it, whoever sends or closes.
                await asyncio.Event().wait()
            if not data:
                return
            if self.rate:
                await asyncio.sleep(len(data) / self.rate)
            if self.latency:
                loop.call_later(self.latency, _write, writer, data)
            else:
                _write(writer, data)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)
