"""Gives chunks to other agents."""

from __future__ import annotations

import time
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
# An upload whose asker has not come for its next part for so long is given up, as the
# asker is gone or has the chunk from elsewhere (seconds).
ABANDONED_SECONDS = 1.0

Listener = Callable[[str, int], None]


@define
class _Upload:
    """A chunk that a peer fetches part by part."""

    manifest: str
    data: bytes
    asked_at: float


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
    clock: Callable[[], float] = time.monotonic
    _begun: dict[tuple[str, int], _Upload] = field(factory=dict)

    async def Holdings(
        self, stream: Stream[pb.HoldingsRequest, pb.HoldingsReply]
    ) -> None:
        """Which chunks of a manifest are here, and which are being read."""
        await stream.send_message(self.holdings(await stream.recv_message()))

    def holdings(self, req: pb.HoldingsRequest) -> pb.HoldingsReply:
        """Which chunks of a manifest are here, and the manifest if it is wanted."""
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
        return reply

    async def Fetch(self, stream: Stream[pb.FetchRequest, pb.FetchPart]) -> None:
        """Send one chunk in parts, or refuse at once."""
        req = await stream.recv_message()
        self._hear(req)
        data = self._chunk(req)
        if data is None or self._declines(req):
            await stream.send_message(self._refusal(req))
            return
        self.uploads += 1
        self.sent[req.manifest] += 1
        try:
            await self._send(stream, req.manifest, data)
        finally:
            self.uploads -= 1

    def first_part(self, req: pb.FetchRequest, size: int) -> pb.FetchPart:
        """The first part of a chunk, or a refusal; ``next_part`` gives the others.

        An upload takes a place from its first part to its last one, or until its asker
        has not come back for a while.
        """
        self._give_up_uploads(self.clock())
        self._hear(req)
        asked = req.vm, req.index
        if asked in self._begun:
            # Asked for anew: its former answer is lost.
            self._end_upload(asked)
        data = self._chunk(req)
        if not data or self._declines(req):
            return self._refusal(req)
        self.uploads += 1
        self.sent[req.manifest] += 1
        self._begun[asked] = _Upload(req.manifest, data, self.clock())
        return self.next_part(*asked, 0, size)

    def next_part(self, vm: str, index: int, begin: int, size: int) -> pb.FetchPart:
        """A later part of a chunk; refused if its upload was given up."""
        upload = self._begun.get((vm, index))
        if upload is None or not 0 <= begin < len(upload.data):
            return pb.FetchPart(refused=True)
        upload.asked_at = self.clock()
        part = pb.FetchPart(data=upload.data[begin : begin + size])
        if begin + size >= len(upload.data):
            self._end_upload((vm, index))
            part.holdings = self._bitmap(upload.manifest)
            part.sent = self.sent[upload.manifest]
        return part

    def _give_up_uploads(self, now: float) -> None:
        for asked, upload in list(self._begun.items()):
            if now - upload.asked_at > ABANDONED_SECONDS:
                self._end_upload(asked)

    def _end_upload(self, asked: tuple[str, int]) -> None:
        del self._begun[asked]
        self.uploads -= 1

    def _refusal(self, req: pb.FetchRequest) -> pb.FetchPart:
        return pb.FetchPart(
            refused=True,
            holdings=self._bitmap(req.manifest),
            sent=self.sent[req.manifest],
        )

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
