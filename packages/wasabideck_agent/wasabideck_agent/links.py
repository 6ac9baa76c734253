"""Rate limiting of weight traffic on a VM's link, with priority for live requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from attrs import define
from grpclib.events import RecvMessage, SendMessage, listen
from grpclib.server import Server
from wasabideck_wire import inner_pb2 as pb

__all__ = ["Link", "Links", "count_live_traffic"]


@define
class Link:
    """One direction of a link that transmits first in, first out.

    Attributes
    ----------
    rate : float
        Bytes per second; 0 for no limit.
    transmitted_bytes : int
        Weight bytes that were transmitted.
    """

    rate: float = 0.0
    clock: Callable[[], float] = time.monotonic
    transmitted_bytes: int = 0
    _free_at: float = 0.0

    async def send(self, size: int) -> None:
        """Wait until the link is free and this many bytes have been transmitted."""
        await _wait(self.send_seconds(size, self.clock()))

    async def receive(self, size: int) -> None:
        """Wait until the link could have carried the bytes that were just received."""
        await _wait(self.receive_seconds(size, self.clock()))

    def send_seconds(self, size: int, now: float) -> float:
        """Return the seconds until bytes that are queued now have been transmitted."""
        begin = max(now, self._free_at)
        return self._reserve(size, begin, now)

    def receive_seconds(self, size: int, now: float) -> float:
        """Return how much earlier bytes were received than the link's rate allows.

        The bytes were in flight while the sender transmitted them. A link that was idle
        for their transmission time adds no further delay.
        """
        began = now - size / self.rate if self.rate else now
        return self._reserve(size, max(began, self._free_at), now)

    def reserve_live(self, size: int, now: float) -> None:
        """Count live bytes, which never wait but delay the weights behind them."""
        if self.rate:
            self._free_at = max(now, self._free_at) + size / self.rate

    def release(self, size: int) -> None:
        """Undo the reservation for bytes that were not sent after all."""
        self.transmitted_bytes -= size
        if self.rate:
            self._free_at -= size / self.rate

    def _reserve(self, size: int, begin: float, now: float) -> float:
        self.transmitted_bytes += size
        if not self.rate:
            return 0.0
        self._free_at = begin + size / self.rate
        return max(0.0, self._free_at - now)


async def _wait(seconds: float) -> None:
    if seconds > 0:
        await asyncio.sleep(seconds)


@define
class Links:
    """The links that carry one VM's weight traffic.

    Attributes
    ----------
    region : Link
        This VM's share of the link into its region.
    """

    up: Link
    down: Link
    region: Link


def count_live_traffic(server: Server, links: Links) -> None:
    """Count a server's live requests and responses against its links."""

    async def sent(event: SendMessage) -> None:
        if isinstance(event.message, pb.RunEvent):
            links.up.reserve_live(event.message.ByteSize(), links.up.clock())

    async def received(event: RecvMessage) -> None:
        if isinstance(event.message, pb.RunRequest):
            links.down.reserve_live(event.message.ByteSize(), links.down.clock())

    listen(server, SendMessage, sent)
    listen(server, RecvMessage, received)
