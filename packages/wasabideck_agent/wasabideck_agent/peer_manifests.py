"""Requests the manifest of a numbered version from peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_policy.manifests import (
    CorruptManifest,
    ManifestReport,
    numbered_manifest_from_json,
    numbered_manifest_name,
)
from wasabideck_policy.membership import Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

from .bitmaps import from_bitmap

__all__ = ["query_all", "query_peers"]

# Maximum number of peers queried at once. A manifest of 64 chunks takes 4.4 KB, so
# the replies together take as many bytes as one chunk. If one peer of 41 has the
# manifest, one attempt in seven finds it.
MAX_QUERIED_PEERS = 6
# A live peer replies within 0.2 s, also over a full link.
QUERY_TIMEOUT_SECONDS = 0.6


async def query_peers(
    model: str,
    version: int,
    vm: str,
    peers: Sequence[Member],
    channels: Channels,
    rng: random.Random,
) -> list[ManifestReport]:
    """Return the reports of a few peers, drawn at random, that have the manifest.

    Parameters
    ----------
    vm : str
        VM of the agent that sends the queries.
    """
    sampled = rng.sample(peers, min(MAX_QUERIED_PEERS, len(peers)))
    return await query_all(model, version, vm, sampled, channels)


async def query_all(
    model: str, version: int, vm: str, peers: Sequence[Member], channels: Channels
) -> list[ManifestReport]:
    """Query all given peers; return the reports of those that have the manifest."""
    # The peers are queried concurrently: one after another, a suspended peer would
    # delay the queries after it.
    reports = await asyncio.gather(
        *(_query(model, version, vm, peer, channels) for peer in peers)
    )
    return [report for report in reports if report is not None]


async def _query(
    model: str, version: int, vm: str, peer: Member, channels: Channels
) -> ManifestReport | None:
    name = numbered_manifest_name(model, version)
    req = pb.HoldingsRequest(manifest=name, vm=vm, want_manifest=True)
    channel = channels.get(peer.address)
    try:
        reply = await ChunksStub(channel).Holdings(req, timeout=QUERY_TIMEOUT_SECONDS)
        if not reply.manifest_json:
            return None
        manifest = numbered_manifest_from_json(reply.manifest_json, model, version)
    except CALL_FAILURES:
        channels.close_channel(peer.address, channel)
        return None
    except CorruptManifest:
        return None
    held = from_bitmap(reply.bitmap)
    return ManifestReport(manifest, held.bit_count() >= len(manifest.chunks))
