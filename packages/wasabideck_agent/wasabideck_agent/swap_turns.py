"""Waits for this server's turn to stop for a swap."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from attrs import define
from wasabideck_platform.channels import LINK_FAILURES, Channels
from wasabideck_policy.membership import Member
from wasabideck_policy.turns import may_swap, own_turn, patience
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["SwapTurns"]

LOOK_SECONDS = 0.05
STATUS_TIMEOUT = 0.5
MOST_ASKED = 12


@define
class SwapTurns:
    """Asks some of the service's other servers whether they serve.

    Attributes
    ----------
    peers : callable
        The service's other agents.
    """

    vm: str
    channels: Channels
    peers: Callable[[], list[Member]]
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time

    async def wait(self, ticket: int, swap_seconds: float) -> None:
        """Return when this server may swap, or has waited long enough."""
        limit = self.clock() + patience(swap_seconds)
        while self.clock() < limit:
            peers = [peer for peer in self.peers() if not peer.leaving]
            vms = {self.vm, *(peer.vm for peer in peers)}
            if own_turn(self.vm, ticket, vms, self.wall()):
                asked = self.rng.sample(peers, min(MOST_ASKED, len(peers)))
                if may_swap(len(asked), await self._serving(asked)):
                    return
            await asyncio.sleep(LOOK_SECONDS)

    async def _serving(self, asked: list[Member]) -> int:
        return sum(await asyncio.gather(*(self._serves(peer) for peer in asked)))

    async def _serves(self, peer: Member) -> bool:
        stub = PeersStub(self.channels.get(peer.address))
        req = pb.StatusRequest(vm=self.vm)
        try:
            reply = await stub.Status(req, timeout=STATUS_TIMEOUT)
        except LINK_FAILURES:
            self.channels.drop(peer.address)
            return False
        return reply.serving and not reply.leaving
