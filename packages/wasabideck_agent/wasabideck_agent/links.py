"""Pacing of weight traffic on a VM's link, below live requests."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from attrs import define
from grpclib.events import RecvMessage, SendMessage, listen
from grpclib.server import Server
from wasabideck_wire import inner_pb2 as pb

__all__ = ["Link", "Links", "give_way_to_live"]


@define
class Link:
    """One direction of a link, passed in turn; a rate of 0 is no limit.

    Attributes
    ----------
    rate : float
        Bytes per second.
    passed : int
        Weight bytes that have gone through.
    """

    rate: float = 0.0
    clock: Callable[[], float] = time.monotonic
    passed: int = 0
    _free_at: float = 0.0

    async def send(self, size: int) -> None:
        """Wait for the link's turn, and until this many bytes have gone out."""
        await _wait(self.send_seconds(size, self.clock()))

    async def receive(self, size: int) -> None:
        """Wait until the link could have carried the bytes that have just come."""
        await _wait(self.receive_seconds(size, self.clock()))

    def send_seconds(self, size: int, now: float) -> float:
        """Seconds until bytes that are sent now, in turn, have gone out."""
        begin = max(now, self._free_at)
        return self._pass(size, begin, now)

    def receive_seconds(self, size: int, now: float) -> float:
        """Seconds by which bytes that came now came faster than the link allows.

        They were under way while the sender sent them, so a link that was idle as
        long as they take delays them no further.
        """
        began = now - size / self.rate if self.rate else now
        return self._pass(size, max(began, self._free_at), now)

    def give_way(self, size: int, now: float) -> None:
        """Count live bytes: they never wait, the weights behind them do."""
        if self.rate:
            self._free_at = max(now, self._free_at) + size / self.rate

    def give_back(self, size: int) -> None:
        """Take back what was counted for bytes that were not sent after all."""
        self.passed -= size
        if self.rate:
            self._free_at -= size / self.rate

    def _pass(self, size: int, begin: float, now: float) -> float:
        self.passed += size
        if not self.rate:
            return 0.0
        self._free_at = begin + size / self.rate
        return max(0.0, self._free_at - now)


async def _wait(seconds: float) -> None:
    if seconds > 0:
        await asyncio.sleep(seconds)


@define
class Links:
    """The links that one VM's weight traffic passes.

    Attributes
    ----------
    region : Link
        This VM's share of the link into its region.
    """

    up: Link
    down: Link
    region: Link


def give_way_to_live(server: Server, links: Links) -> None:
    """Count the live requests and answers that pass a server against its links."""

    async def sent(event: SendMessage) -> None:
        if isinstance(event.message, pb.RunEvent):
            links.up.give_way(event.message.ByteSize(), links.up.clock())

    async def received(event: RecvMessage) -> None:
        if isinstance(event.message, pb.RunRequest):
            links.down.give_way(event.message.ByteSize(), links.down.clock())

    listen(server, SendMessage, sent)
    listen(server, RecvMessage, received)
