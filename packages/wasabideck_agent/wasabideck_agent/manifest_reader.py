"""Reads a manifest from peers first, to limit the reads from the origin."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from attrs import define
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.weight_origin import WeightOriginClient
from wasabideck_policy.manifests import CorruptManifest, Manifest, manifest_from_json
from wasabideck_policy.membership import Member
from wasabideck_policy.rendezvous import rank_vms
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksStub

__all__ = ["ManifestReader"]

CALL_TIMEOUT_SECONDS = 2.0
PEERS_PER_QUERY = 3
RETRY_INTERVAL_SECONDS = 0.05
# Number of agents that read a manifest from the origin once their first query of peers
# has failed: more than one, so that the loss of one delays nobody. The other agents
# retry the query, and read from the origin after the maximum wait.
ORIGIN_READERS = 2
MAX_PEER_WAIT_SECONDS = 1.0


@define
class ManifestReader:
    """Reads manifests by digest, from peers or from the origin.

    A peer's reply is accepted only if it has the digest of the ticket, so the peer need
    not be trusted.
    """

    vm: str
    origin: WeightOriginClient
    channels: Channels
    list_peers: Callable[[], list[Member]]
    rng: random.Random
    clock: Callable[[], float] = time.monotonic

    async def read(self, digest: str) -> Manifest:
        """Return the manifest of that digest.

        Raises
        ------
        PlatformUnavailable, PlatformRefused, CorruptManifest
            No queried peer sent it, and reading it from the origin failed.
        """
        started = self.clock()
        while True:
            if manifest := await self._query_peers(digest):
                return manifest
            if (
                self._is_origin_reader(digest)
                or self.clock() - started >= MAX_PEER_WAIT_SECONDS
            ):
                return await self.origin.read_manifest(digest)
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def _is_origin_reader(self, digest: str) -> bool:
        vms = [self.vm, *(m.vm for m in self.list_peers() if not m.leaving)]
        return self.vm in rank_vms(digest, vms)[:ORIGIN_READERS]

    async def _query_peers(self, digest: str) -> Manifest | None:
        """Return the manifest from one of a few peers, or None if none sends it."""
        members = {m.vm: m for m in self.list_peers()}
        origin_readers = rank_vms(digest, members)[:ORIGIN_READERS]
        sampled = self.rng.sample(sorted(members), min(PEERS_PER_QUERY, len(members)))
        queries = [
            asyncio.create_task(self._query(members[vm], digest))
            for vm in dict.fromkeys([*origin_readers, *sampled])
        ]
        # The peers are queried concurrently: one after another, a suspended peer, which
        # never replies, would delay every VM of its service by the timeout of a call.
        try:
            for reply in asyncio.as_completed(queries, timeout=MAX_PEER_WAIT_SECONDS):
                if manifest := await reply:
                    return manifest
        except TimeoutError:
            return None
        finally:
            for query in queries:
                query.cancel()
        return None

    async def _query(self, member: Member, digest: str) -> Manifest | None:
        channel = self.channels.get(member.address)
        stub = ChunksStub(channel)
        req = pb.HoldingsRequest(manifest=digest, vm=self.vm, want_manifest=True)
        try:
            reply = await stub.Holdings(req, timeout=CALL_TIMEOUT_SECONDS)
            return manifest_from_json(reply.manifest_json, digest)
        except CALL_FAILURES:
            self.channels.close_channel(member.address, channel)
            return None
        except CorruptManifest:
            return None
