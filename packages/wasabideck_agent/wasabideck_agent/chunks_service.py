"""Gives chunks to other agents."""

from __future__ import annotations

from attrs import define, field
from grpclib.server import Stream
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import ChunksBase

from .bitmaps import to_bitmap
from .chunk_store import ChunkStore
from .links import Links

__all__ = ["ChunksService"]

PART_BYTES = 256 * 1024


@define
class ChunksService(ChunksBase):
    """Answers what is held here, and uploads it, a few chunks at a time."""

    store: ChunkStore
    links: Links
    most_uploads: int
    reading: dict[str, set[int]] = field(factory=dict)
    uploads: int = 0

    async def Holdings(
        self, stream: Stream[pb.HoldingsRequest, pb.HoldingsReply]
    ) -> None:
        """Which chunks of a manifest are here, and which are being read."""
        req = await stream.recv_message()
        manifest = self.store.manifest(req.manifest)
        held = self.store.held(manifest) if manifest else ()
        reply = pb.HoldingsReply(
            bitmap=to_bitmap(held),
            reading=to_bitmap(self.reading.get(req.manifest, ())),
            uploads=self.uploads,
        )
        await stream.send_message(reply)

    async def Fetch(self, stream: Stream[pb.FetchRequest, pb.FetchPart]) -> None:
        """Send one chunk in parts, or refuse at once."""
        req = await stream.recv_message()
        data = self._chunk(req)
        if data is None or self.uploads >= self.most_uploads:
            await stream.send_message(pb.FetchPart(refused=True))
            return
        self.uploads += 1
        try:
            for begin in range(0, len(data), PART_BYTES):
                part = data[begin : begin + PART_BYTES]
                await self.links.up.send(len(part))
                await stream.send_message(pb.FetchPart(data=part))
        finally:
            self.uploads -= 1

    def _chunk(self, req: pb.FetchRequest) -> bytes | None:
        manifest = self.store.manifest(req.manifest)
        if manifest is None or req.index >= len(manifest.chunks):
            return None
        return self.store.get(manifest.chunks[req.index])
