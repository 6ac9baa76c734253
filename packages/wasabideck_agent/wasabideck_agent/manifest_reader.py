"""Finds a manifest: with peers first, so that the origin is asked a few times only."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from attrs import define
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.weights import Origin
from wasabideck_policy.manifests import CorruptManifest, Manifest, manifest_from_json
from wasabideck_policy.membership import Member
from wasabideck_policy.rendezvous import rank
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

__all__ = ["ManifestReader"]

CALL_TIMEOUT = 2.0
ASKED = 3
PAUSE_SECONDS = 0.05
# So many agents read a manifest from the origin at once, so that one that is lost
# holds nobody up; the others do after a while without an answer of any peer.
READERS = 2
PATIENCE_SECONDS = 1.0


@define
class ManifestReader:
    """Reads manifests by digest, from peers or from the origin.

    A peer's bytes are taken only if they have the digest that the ticket names, so
    it does not matter who sent them.
    """

    vm: str
    origin: Origin
    channels: Channels
    peers_of: Callable[[], list[Member]]
    rng: random.Random
    clock: Callable[[], float] = time.monotonic

    async def read(self, digest: str) -> Manifest:
        """Manifest of that digest.

        Raises
        ------
        PlatformUnavailable, PlatformRefused, CorruptManifest
            No peer asked has it, and the origin does not give it.
        """
        begun = self.clock()
        while True:
            if manifest := await self._ask_peers(digest):
                return manifest
            if self._reads(digest) or self.clock() - begun >= PATIENCE_SECONDS:
                return await self.origin.manifest(digest)
            await asyncio.sleep(PAUSE_SECONDS)

    def _reads(self, digest: str) -> bool:
        vms = [self.vm, *(m.vm for m in self.peers_of() if not m.leaving)]
        return self.vm in rank(digest, vms)[:READERS]

    async def _ask_peers(self, digest: str) -> Manifest | None:
        """The manifest, from one of a few peers; none when nobody has it."""
        members = {m.vm: m for m in self.peers_of()}
        readers = rank(digest, members)[:READERS]
        drawn = self.rng.sample(sorted(members), min(ASKED, len(members)))
        asks = [
            asyncio.create_task(self._ask(members[vm], digest))
            for vm in dict.fromkeys([*readers, *drawn])
        ]
        # Side by side: a frozen peer answers nothing, and asked in turn it would hold
        # up every VM of its service for as long as a call may take.
        try:
            for answer in asyncio.as_completed(asks, timeout=PATIENCE_SECONDS):
                if manifest := await answer:
                    return manifest
        except TimeoutError:
            return None
        finally:
            for ask in asks:
                ask.cancel()
        return None

    async def _ask(self, member: Member, digest: str) -> Manifest | None:
        channel = self.channels.get(member.address)
        stub = ChunksStub(channel)
        req = pb.HoldingsRequest(manifest=digest, vm=self.vm, want_manifest=True)
        try:
            reply = await stub.Holdings(req, timeout=CALL_TIMEOUT)
            return manifest_from_json(reply.manifest_json, digest)
        except LINK_FAILURES:
            self.channels.drop(member.address, channel)
            return None
        except CorruptManifest:
            return None
