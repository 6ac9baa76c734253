"""Waits for this server's turn to stop serving for a swap."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_policy.membership import Member
from wasabideck_policy.swap_schedule import in_own_slot, max_swap_wait, may_swap
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["SwapScheduler", "make_status_query"]

POLL_INTERVAL_SECONDS = 0.05
STATUS_TIMEOUT_SECONDS = 0.5
MAX_QUERIED_PEERS = 12
UNRESPONSIVE_EXCLUSION_SECONDS = 10.0


@define
class SwapScheduler:
    """Decides when to swap by querying some of the service's other servers.

    Attributes
    ----------
    peers : callable
        Returns the service's other agents.
    query : callable
        Returns whether a peer serves, or None when it does not respond.
    """

    vm: str
    peers: Callable[[], list[Member]]
    query: Callable[[Member], Awaitable[bool | None]]
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    _unresponsive_at: dict[str, float] = field(factory=dict)

    async def wait(self, ticket: int, swap_seconds: float) -> None:
        """Return when this server may swap, or when the maximum wait is over."""
        limit = self.clock() + max_swap_wait(swap_seconds)
        while self.clock() < limit:
            peers = [peer for peer in self.peers() if self._is_counted(peer)]
            vms = {self.vm, *(peer.vm for peer in peers)}
            if in_own_slot(self.vm, ticket, vms, self.wall()):
                queried = self.rng.sample(peers, min(MAX_QUERIED_PEERS, len(peers)))
                if await self._may_swap(queried):
                    return
            await self.sleep(POLL_INTERVAL_SECONDS)

    async def _may_swap(self, queried: list[Member]) -> bool:
        replies = await asyncio.gather(*(self.query(peer) for peer in queried))
        unresponsive = [
            p.vm for p, r in zip(queried, replies, strict=True) if r is None
        ]
        # Waiting does not bring a suspended or terminated server back, so it is not
        # counted for a while. The replies of the other peers are outdated once the
        # timeout has passed, so these peers are queried again.
        self._unresponsive_at |= dict.fromkeys(unresponsive, self.clock())
        return not unresponsive and may_swap(len(queried), sum(replies))

    def _is_counted(self, peer: Member) -> bool:
        unresponsive_at = self._unresponsive_at.get(peer.vm, float("-inf"))
        return (
            not peer.leaving
            and self.clock() - unresponsive_at > UNRESPONSIVE_EXCLUSION_SECONDS
        )


def make_status_query(
    vm: str, channels: Channels
) -> Callable[[Member], Awaitable[bool | None]]:
    """Return a function that queries whether a peer serves, None without a reply."""

    async def query(peer: Member) -> bool | None:
        stub = PeersStub(channels.get(peer.address))
        try:
            reply = await stub.Status(
                pb.StatusRequest(vm=vm), timeout=STATUS_TIMEOUT_SECONDS
            )
        except CALL_FAILURES:
            channels.close_channel(peer.address)
            return None
        return reply.serving and not reply.leaving

    return query
