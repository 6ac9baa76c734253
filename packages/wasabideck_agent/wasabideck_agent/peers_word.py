"""What peers say that a numbered version's manifest is."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_policy.manifests import (
    CorruptManifest,
    Word,
    numbered_from_json,
    numbered_name,
)
from wasabideck_policy.membership import Member
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

from .bitmaps import from_bitmap

__all__ = ["ask_all", "ask_peers"]

# Peers asked at once. A manifest of 64 chunks is 4.4 KB, so that so many answers are
# as many bytes as one chunk. Where one peer of 41 has it, a try in seven finds it.
ASKED = 6
# A peer that lives answers within 0.2 s, also with a full link (seconds).
ASK_SECONDS = 0.6


async def ask_peers(
    model: str,
    version: int,
    vm: str,
    peers: Sequence[Member],
    channels: Channels,
    rng: random.Random,
) -> list[Word]:
    """The words of a few peers, drawn at random; of those that have one to give.

    Parameters
    ----------
    vm : str
        The asker.
    """
    drawn = rng.sample(peers, min(ASKED, len(peers)))
    return await ask_all(model, version, vm, drawn, channels)


async def ask_all(
    model: str, version: int, vm: str, peers: Sequence[Member], channels: Channels
) -> list[Word]:
    """The words of all these peers that have one to give."""
    # Side by side: one that is frozen would hold up the question to the others.
    words = await asyncio.gather(
        *(_ask(model, version, vm, peer, channels) for peer in peers)
    )
    return [word for word in words if word is not None]


async def _ask(
    model: str, version: int, vm: str, peer: Member, channels: Channels
) -> Word | None:
    name = numbered_name(model, version)
    req = pb.HoldingsRequest(manifest=name, vm=vm, want_manifest=True)
    channel = channels.get(peer.address)
    try:
        reply = await ChunksStub(channel).Holdings(req, timeout=ASK_SECONDS)
        if not reply.manifest_json:
            return None
        manifest = numbered_from_json(reply.manifest_json, model, version)
    except LINK_FAILURES:
        channels.drop(peer.address, channel)
        return None
    except CorruptManifest:
        return None
    held = from_bitmap(reply.bitmap)
    return Word(manifest, held.bit_count() >= len(manifest.chunks))
