"""Waits for this server's turn to stop for a swap."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_policy.membership import Member
from wasabideck_policy.turns import may_swap, own_turn, patience
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["SwapTurns", "ask_status"]

LOOK_SECONDS = 0.05
STATUS_TIMEOUT = 0.5
MOST_ASKED = 12
SILENT_SECONDS = 10.0


@define
class SwapTurns:
    """Asks some of the service's other servers whether they serve.

    Attributes
    ----------
    peers : callable
        The service's other agents.
    ask : callable
        Whether a peer serves; None when it does not answer.
    """

    vm: str
    peers: Callable[[], list[Member]]
    ask: Callable[[Member], Awaitable[bool | None]]
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep
    _silent_at: dict[str, float] = field(factory=dict)

    async def wait(self, ticket: int, swap_seconds: float) -> None:
        """Return when this server may swap, or has waited long enough."""
        limit = self.clock() + patience(swap_seconds)
        while self.clock() < limit:
            peers = [peer for peer in self.peers() if self._counts(peer)]
            vms = {self.vm, *(peer.vm for peer in peers)}
            if own_turn(self.vm, ticket, vms, self.wall()):
                asked = self.rng.sample(peers, min(MOST_ASKED, len(peers)))
                if await self._may_swap(asked):
                    return
            await self.pause(LOOK_SECONDS)

    async def _may_swap(self, asked: list[Member]) -> bool:
        answers = await asyncio.gather(*(self.ask(peer) for peer in asked))
        silent = [p.vm for p, a in zip(asked, answers, strict=True) if a is None]
        # A server that is frozen or gone does not come back by being waited for, so
        # it is left out from now on. What the others said has grown old meanwhile,
        # and they are asked again.
        self._silent_at |= dict.fromkeys(silent, self.clock())
        return not silent and may_swap(len(asked), sum(answers))

    def _counts(self, peer: Member) -> bool:
        silent_at = self._silent_at.get(peer.vm, float("-inf"))
        return not peer.leaving and self.clock() - silent_at > SILENT_SECONDS


def ask_status(
    vm: str, channels: Channels
) -> Callable[[Member], Awaitable[bool | None]]:
    """A question to a peer whether it serves; its answer is None when none came."""

    async def ask(peer: Member) -> bool | None:
        stub = PeersStub(channels.get(peer.address))
        try:
            reply = await stub.Status(pb.StatusRequest(vm=vm), timeout=STATUS_TIMEOUT)
        except LINK_FAILURES:
            channels.drop(peer.address)
            return None
        return reply.serving and not reply.leaving

    return ask
