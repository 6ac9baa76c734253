"""Serves chunks to other agents."""

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
# Maximum chunks that a VM sends, relative to the chunks of the manifest: about as many
# as it receives. Peers that find no other sender may exceed it.
MAX_SENT_RATIO = 1.05
# Timeout after which an upload is abandoned if its receiver has not requested the next
# part: the receiver is lost or got the chunk elsewhere.
UPLOAD_TIMEOUT_SECONDS = 1.0

HoldingsListener = Callable[[str, int], None]


@define
class _Upload:
    """A chunk that a peer fetches part by part."""

    manifest: str
    data: bytes
    requested_at: float


@define
class ChunksService(ChunksBase):
    """Reports which chunks are stored here, and uploads a few of them at a time.

    Attributes
    ----------
    reading : dict of str to int
        Bit mask of the chunks being fetched from outside the region, by manifest.
    sent : Counter
        Number of chunks sent, by manifest.
    listeners : dict of str to callable
        Callbacks that receive the holdings of requesting peers, by manifest.
    manifest_by_name : callable
        Returns the manifest of a numbered version, given the version's name.
    """

    store: ChunkStore
    links: Links
    max_uploads: int
    reading: Counter = field(factory=Counter)
    sent: Counter = field(factory=Counter)
    listeners: dict[str, HoldingsListener] = field(factory=dict)
    manifest_by_name: Callable[[str], Manifest | None] = lambda name: None
    uploads: int = 0
    clock: Callable[[], float] = time.monotonic
    _open_uploads: dict[tuple[str, int], _Upload] = field(factory=dict)

    async def Holdings(
        self, stream: Stream[pb.HoldingsRequest, pb.HoldingsReply]
    ) -> None:
        """Handle a poll for the chunks of a manifest that are stored or being read."""
        await stream.send_message(self.holdings(await stream.recv_message()))

    def holdings(self, req: pb.HoldingsRequest) -> pb.HoldingsReply:
        """Return which chunks of a manifest are stored, and the manifest if wanted."""
        self._notify_listener(req)
        known = self.store.manifest(req.manifest) or self.manifest_by_name(req.manifest)
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
        """Send one chunk in parts, or refuse immediately."""
        req = await stream.recv_message()
        self._notify_listener(req)
        data = self._chunk(req)
        if data is None or self._refuses(req):
            await stream.send_message(self._refusal(req))
            return
        self.uploads += 1
        self.sent[req.manifest] += 1
        try:
            await self._send(stream, req.manifest, data)
        finally:
            self.uploads -= 1

    def first_part(self, req: pb.FetchRequest, size: int) -> pb.FetchPart:
        """Return the first part of a chunk, or a refusal.

        ``next_part`` returns the other parts. An upload occupies a slot from its first
        part to its last one, or until its receiver has not continued for a while.
        """
        self._abandon_uploads(self.clock())
        self._notify_listener(req)
        key = req.vm, req.index
        if key in self._open_uploads:
            # The chunk is requested again: the earlier response was lost.
            self._end_upload(key)
        data = self._chunk(req)
        if not data or self._refuses(req):
            return self._refusal(req)
        self.uploads += 1
        self.sent[req.manifest] += 1
        self._open_uploads[key] = _Upload(req.manifest, data, self.clock())
        return self.next_part(*key, 0, size)

    def next_part(self, vm: str, index: int, offset: int, size: int) -> pb.FetchPart:
        """Return a later part of a chunk, or a refusal if its upload was abandoned."""
        upload = self._open_uploads.get((vm, index))
        if upload is None or not 0 <= offset < len(upload.data):
            return pb.FetchPart(refused=True)
        upload.requested_at = self.clock()
        part = pb.FetchPart(data=upload.data[offset : offset + size])
        if offset + size >= len(upload.data):
            self._end_upload((vm, index))
            part.holdings = self._bitmap(upload.manifest)
            part.sent = self.sent[upload.manifest]
        return part

    def _abandon_uploads(self, now: float) -> None:
        for key, upload in list(self._open_uploads.items()):
            if now - upload.requested_at > UPLOAD_TIMEOUT_SECONDS:
                self._end_upload(key)

    def _end_upload(self, key: tuple[str, int]) -> None:
        del self._open_uploads[key]
        self.uploads -= 1

    def _refusal(self, req: pb.FetchRequest) -> pb.FetchPart:
        return pb.FetchPart(
            refused=True,
            holdings=self._bitmap(req.manifest),
            sent=self.sent[req.manifest],
        )

    async def _send(self, stream: Stream, manifest: str, data: bytes) -> None:
        for offset in range(0, len(data), PART_BYTES):
            part = pb.FetchPart(data=data[offset : offset + PART_BYTES])
            await self.links.up.send(len(part.data))
            if offset + PART_BYTES >= len(data):
                part.holdings = self._bitmap(manifest)
                part.sent = self.sent[manifest]
            await stream.send_message(part)

    def _refuses(self, req: pb.FetchRequest) -> bool:
        if self.uploads >= self.max_uploads:
            return True
        max_sent = MAX_SENT_RATIO * len(self.store.manifest(req.manifest).chunks)
        return not req.urgent and self.sent[req.manifest] >= max_sent

    def _notify_listener(self, req: pb.HoldingsRequest | pb.FetchRequest) -> None:
        if listener := self.listeners.get(req.manifest):
            listener(req.vm, from_bitmap(req.have))

    def _bitmap(self, digest: str) -> bytes:
        manifest = self.store.manifest(digest)
        return to_bitmap(self.store.held_chunks(manifest)) if manifest else b""

    def _chunk(self, req: pb.FetchRequest) -> bytes | None:
        manifest: Manifest | None = self.store.manifest(req.manifest)
        if manifest is None or req.index >= len(manifest.chunks):
            return None
        return self.store.get(manifest.chunks[req.index])
