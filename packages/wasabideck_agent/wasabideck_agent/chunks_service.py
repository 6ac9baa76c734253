"""Gives chunks to other agents."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import define, field
from grpclib.server import Stream
from wasabideck_policy.manifests import Manifest, manifest_to_json
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksBase

from .bitmaps import from_bitmap, to_bitmap
from .chunk_store import ChunkStore
from .links import Links

__all__ = ["ChunksService"]

PART_BYTES = 256 * 1024
# A VM sends about as much as it receives; those who find nobody else go beyond.
SHARE = 1.05

Listener = Callable[[str, int], None]


@define
class ChunksService(ChunksBase):
    """Answers what is held here, and uploads it, a few chunks at a time.

    Attributes
    ----------
    reading : dict of str to int
        Chunks of each manifest that are being fetched from outside the region.
    sent : Counter
        Chunks sent of each manifest.
    listeners : dict of str to callable
        Whoever wants to hear of each manifest what askers hold.
    numbered : callable
        The manifest that is given to who asks for a numbered version by its name.
    """

    store: ChunkStore
    links: Links
    most_uploads: int
    reading: Counter = field(factory=Counter)
    sent: Counter = field(factory=Counter)
    listeners: dict[str, Listener] = field(factory=dict)
    numbered: Callable[[str], Manifest | None] = lambda name: None
    uploads: int = 0

    async def Holdings(
        self, stream: Stream[pb.HoldingsRequest, pb.HoldingsReply]
    ) -> None:
        """Which chunks of a manifest are here, and which are being read."""
        req = await stream.recv_message()
        self._hear(req)
        known = self.store.manifest(req.manifest) or self.numbered(req.manifest)
        digest = known.digest if known else req.manifest
        reply = pb.HoldingsReply(
            bitmap=self._bitmap(digest),
            reading=to_bitmap(self.reading[digest]),
            uploads=self.uploads,
            sent=self.sent[digest],
        )
        if req.want_manifest and known:
            reply.manifest_json = manifest_to_json(known)
        await stream.send_message(reply)

    async def Fetch(self, stream: Stream[pb.FetchRequest, pb.FetchPart]) -> None:
        """Send one chunk in parts, or refuse at once."""
        req = await stream.recv_message()
        self._hear(req)
        data = self._chunk(req)
        if data is None or self._declines(req):
            refusal = pb.FetchPart(
                refused=True,
                holdings=self._bitmap(req.manifest),
                sent=self.sent[req.manifest],
            )
            await stream.send_message(refusal)
            return
        self.uploads += 1
        self.sent[req.manifest] += 1
        try:
            await self._send(stream, req.manifest, data)
        finally:
            self.uploads -= 1

    async def _send(self, stream: Stream, manifest: str, data: bytes) -> None:
        for begin in range(0, len(data), PART_BYTES):
            part = pb.FetchPart(data=data[begin : begin + PART_BYTES])
            await self.links.up.send(len(part.data))
            if begin + PART_BYTES >= len(data):
                part.holdings = self._bitmap(manifest)
                part.sent = self.sent[manifest]
            await stream.send_message(part)

    def _declines(self, req: pb.FetchRequest) -> bool:
        if self.uploads >= self.most_uploads:
            return True
        share = SHARE * len(self.store.manifest(req.manifest).chunks)
        return not req.urgent and self.sent[req.manifest] >= share

    def _hear(self, req: pb.HoldingsRequest | pb.FetchRequest) -> None:
        if listener := self.listeners.get(req.manifest):
            listener(req.vm, from_bitmap(req.have))

    def _bitmap(self, digest: str) -> bytes:
        manifest = self.store.manifest(digest)
        return to_bitmap(self.store.held(manifest)) if manifest else b""

    def _chunk(self, req: pb.FetchRequest) -> bytes | None:
        manifest: Manifest | None = self.store.manifest(req.manifest)
        if manifest is None or req.index >= len(manifest.chunks):
            return None
        return self.store.get(manifest.chunks[req.index])
