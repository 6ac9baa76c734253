"""Calls by which a transfer queries its peers' holdings and fetches their chunks."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

from attrs import frozen
from wasabideck_base.channels import Channels
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

__all__ = ["PeerCalls", "grpc_calls"]


@frozen
class PeerCalls:
    """Calls to other agents; each raises one of ``CALL_FAILURES`` when it fails.

    Attributes
    ----------
    fetch : callable
        Given an address, a request and a timeout in seconds, yields the parts of a
        chunk as they arrive.
    holdings : callable
        Given an address, a request and a timeout in seconds, returns which chunks the
        agent holds.
    drop : callable
        Given an address, closes connections that may be unresponsive.
    """

    fetch: Callable[[str, pb.FetchRequest, float], AsyncIterator[pb.FetchPart]]
    holdings: Callable[[str, pb.HoldingsRequest, float], Awaitable[pb.HoldingsReply]]
    drop: Callable[[str], None]


def grpc_calls(channels: Channels) -> PeerCalls:
    """Return calls over the channels of the inner protocol."""

    async def fetch(
        address: str, req: pb.FetchRequest, seconds: float
    ) -> AsyncIterator[pb.FetchPart]:
        stub = ChunksStub(channels.get(address))
        async with stub.Fetch.open(timeout=seconds) as stream:
            await stream.send_message(req, end=True)
            async for part in stream:
                yield part

    async def holdings(
        address: str, req: pb.HoldingsRequest, seconds: float
    ) -> pb.HoldingsReply:
        return await ChunksStub(channels.get(address)).Holdings(req, timeout=seconds)

    return PeerCalls(fetch, holdings, channels.close_channel)
