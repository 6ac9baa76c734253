"""Stages and verifies weights for the engine beside an agent, and has them loaded."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderResponse
from wasabideck_policy.manifests import CorruptChunk, Manifest, verify_chunk

from .chunk_store import ChunkStore

__all__ = ["Engine", "Staging", "loaded_version"]

# A chunk that becomes corrupt in the staging area may be loaded for three seconds after
# that. Verification takes 0.1 to 0.2 s, and its result ages on a VM that is slow or was
# paused. The remaining time is for the order.
MAX_CHECK_AGE_SECONDS = 2.0
# Maximum age of a chunk's verification that is not repeated before the order. After a
# restart all chunks have just been read back, and reading them again takes 0.2 s.
REUSED_CHECK_AGE_SECONDS = 1.0
# Number of verifications after which the order is sent anyway: a VM that is always too
# slow would otherwise never load.
MAX_CHECKS = 3


class Engine(Protocol):
    """The interface of the engine beside an agent."""

    async def read_state(self) -> EngineState:
        """Return the engine's weights, load and progress."""

    async def stage_chunk(self, model: str, index: int, data: bytes) -> None:
        """Write a chunk to the staging area, from which the engine loads it."""

    async def staged_chunks(self, model: str) -> list[int]:
        """Return the indices of the staged chunks."""

    async def staged_chunk(self, model: str, index: int) -> bytes | None:
        """Return the bytes of a staged chunk, or None if it isn't staged."""

    async def load(
        self, model: str, version: int, queue: bool, accepted: int
    ) -> OrderResponse:
        """Load the staged chunks, unless another order was accepted since."""

    async def unload(self, model: str, version: int, accepted: int) -> OrderResponse:
        """Start no more requests, and unload the weights when the running ones end."""


@define
class Staging:
    """Stages verified chunks in the engine, and has them verified and repaired there.

    Attributes
    ----------
    boot_clock : callable
        Returns seconds, including those during which the VM was paused.
    staged_indices : set of int
        Indices of the current manifest's chunks that this agent has staged.
    """

    engine: Engine
    store: ChunkStore
    events: Events
    boot_clock: Callable[[], float] = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    staged_indices: set[int] = field(factory=set)
    _manifest_digest: str = ""
    _verified_at: dict[int, float] = field(factory=dict)

    async def stage_stored(self, manifest: Manifest) -> None:
        """Stage the stored chunks that are not staged yet."""
        self._switch_to(manifest)
        for index, digest in enumerate(manifest.chunks):
            data = self.store.get(digest)
            if data is not None and index not in self.staged_indices:
                await self.engine.stage_chunk(manifest.model, index, data)
                self.staged_indices.add(index)

    async def verify(self, manifest: Manifest) -> EngineState:
        """Repair staged chunks until their verification is recent.

        Returns
        -------
        state : EngineState
            The engine's state after the last verification.
        """
        for _ in range(MAX_CHECKS):
            await self.repair(manifest)
            state = await self.engine.read_state()
            if (
                self.boot_clock() - min(self._verified_at.values())
                <= MAX_CHECK_AGE_SECONDS
            ):
                break
        return state

    async def repair(self, manifest: Manifest) -> int:
        """Verify staged chunks against their digests, and replace the wrong ones.

        Staged chunks can become corrupt. The engine loads them unverified, so only this
        check, just before the order, keeps a corrupt chunk out.

        Returns
        -------
        repaired : int
            Number of chunks that were wrong or missing.
        """
        self._switch_to(manifest)
        repaired = 0
        for index, digest in enumerate(manifest.chunks):
            now = self.boot_clock()
            if (
                now - self._verified_at.get(index, float("-inf"))
                <= REUSED_CHECK_AGE_SECONDS
            ):
                continue
            staged = await self.engine.staged_chunk(manifest.model, index)
            if not _intact(staged, digest):
                repaired += 1
                await self.engine.stage_chunk(
                    manifest.model, index, self.store.get(digest)
                )
            # If that write fails, the chunk counts as unverified.
            self._verified_at[index] = now
        if repaired:
            self.events.emit(
                "staging.mended", version=manifest.version, pieces=repaired
            )
        return repaired

    async def store_staged(self, manifest: Manifest) -> int:
        """Store intact chunks that are staged already, and return their number."""
        self._switch_to(manifest)
        stored = 0
        for index in await self.engine.staged_chunks(manifest.model):
            if not 0 <= index < len(manifest.chunks):
                continue
            digest = manifest.chunks[index]
            if self.store.get(digest) is not None:
                continue
            now = self.boot_clock()
            staged = await self.engine.staged_chunk(manifest.model, index)
            if _intact(staged, digest):
                self._verified_at[index] = now
                self.store.add_chunk(digest, staged, "staged")
                self.staged_indices.add(index)
                stored += 1
        return stored

    def reset(self) -> None:
        """Discard what is known of staged chunks: the engine may have lost them."""
        self.staged_indices.clear()
        self._verified_at.clear()

    def _switch_to(self, manifest: Manifest) -> None:
        if manifest.digest != self._manifest_digest:
            self._manifest_digest = manifest.digest
            self.reset()


def _intact(data: bytes | None, digest: str) -> bool:
    if data is None:
        return False
    try:
        verify_chunk(data, digest, "staged")
    except CorruptChunk:
        return False
    return True


def loaded_version(state: EngineState, model: EngineModel) -> int:
    """Return the version of which an engine holds all layers, or 0 for none."""
    complete = [
        part.version
        for part in state.loaded
        if part.first == 0 and part.last >= model.layers
    ]
    return max(complete, default=0)
