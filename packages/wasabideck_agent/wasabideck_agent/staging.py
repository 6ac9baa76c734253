"""Weights on their way into the engine beside an agent: staged, checked, loaded."""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from typing import Protocol

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.engine_state import EngineState, OrderAnswer
from wasabideck_policy.manifests import CorruptChunk, Manifest, verify_chunk

from .chunk_store import ChunkStore

__all__ = ["Engine", "Staging", "held_version"]

# A piece that turned bad where it lies may be loaded for three seconds after that. The
# check takes 0.1 to 0.2 s, and grows old on a VM that is slow or stands still; the rest
# of the time is for the order (seconds).
CHECK_SECONDS = 2.0
# A look at a piece that is no older serves for the check as well: after a restart all
# pieces have just been read back, and reading them again takes 0.2 s (seconds).
LOOK_SECONDS = 1.0
# Checks before an order all the same: a VM that is always slower would never load.
MOST_CHECKS = 3


class Engine(Protocol):
    """The engine beside an agent."""

    async def state(self) -> EngineState:
        """What it holds and does."""

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Put a piece where it will load it from."""

    async def staged(self, model: str) -> list[int]:
        """Numbers of the pieces that lie there."""

    async def staged_piece(self, model: str, index: int) -> bytes | None:
        """Bytes of a piece that lies there."""

    async def load(
        self, model: str, version: int, queue: bool, accepted: int
    ) -> OrderAnswer:
        """Load what lies there, unless it has accepted another order since."""

    async def unload(self, model: str, version: int, accepted: int) -> OrderAnswer:
        """Begin nothing more on what it holds, and let go of it when what runs ends."""


@define
class Staging:
    """Brings verified chunks into the engine, and orders it to load them.

    Attributes
    ----------
    boot_clock : callable
        Seconds, those counted in which the VM stood still.
    placed : set of int
        Pieces of the present manifest that this agent has put there.
    """

    engine: Engine
    store: ChunkStore
    events: Events
    boot_clock: Callable[[], float] = partial(time.clock_gettime, time.CLOCK_BOOTTIME)
    placed: set[int] = field(factory=set)
    _manifest: str = ""
    _seen_good: dict[int, float] = field(factory=dict)

    async def place(self, manifest: Manifest) -> None:
        """Put there what is held and was not put there yet."""
        self._begin(manifest)
        for index, digest in enumerate(manifest.chunks):
            data = self.store.get(digest)
            if data is not None and index not in self.placed:
                await self.engine.stage(manifest.model, index, data)
                self.placed.add(index)

    async def check(self, manifest: Manifest) -> EngineState:
        """Mend what lies there, so lately that it may be loaded; the state after."""
        for _ in range(MOST_CHECKS):
            await self.mend(manifest)
            state = await self.engine.state()
            if self.boot_clock() - min(self._seen_good.values()) <= CHECK_SECONDS:
                break
        return state

    async def mend(self, manifest: Manifest) -> int:
        """Check what lies there against its digests, and put wrong pieces anew.

        Pieces can turn bad where they lie: the engine takes them as they are, and
        only this look, just before the order, keeps a spoilt one out.

        Returns
        -------
        mended : int
            Pieces that were wrong or missing.
        """
        self._begin(manifest)
        mended = 0
        for index, digest in enumerate(manifest.chunks):
            now = self.boot_clock()
            if now - self._seen_good.get(index, float("-inf")) <= LOOK_SECONDS:
                continue
            lying = await self.engine.staged_piece(manifest.model, index)
            self._seen_good[index] = now
            if not _good(lying, digest):
                mended += 1
                await self.engine.stage(manifest.model, index, self.store.get(digest))
        if mended:
            self.events.emit("staging.mended", version=manifest.version, pieces=mended)
        return mended

    async def take_up(self, manifest: Manifest) -> int:
        """Take good pieces that lie there already into the store; how many."""
        self._begin(manifest)
        taken = 0
        for index in await self.engine.staged(manifest.model):
            if not 0 <= index < len(manifest.chunks):
                continue
            digest = manifest.chunks[index]
            if self.store.get(digest) is not None:
                continue
            now = self.boot_clock()
            lying = await self.engine.staged_piece(manifest.model, index)
            if _good(lying, digest):
                self._seen_good[index] = now
                self.store.add(digest, lying, "staged")
                self.placed.add(index)
                taken += 1
        return taken

    def forget(self) -> None:
        """Forget what was placed: the engine may have lost it."""
        self.placed.clear()
        self._seen_good.clear()

    def _begin(self, manifest: Manifest) -> None:
        if manifest.digest != self._manifest:
            self._manifest = manifest.digest
            self.forget()


def _good(data: bytes | None, digest: str) -> bool:
    if data is None:
        return False
    try:
        verify_chunk(data, digest, "staged")
    except CorruptChunk:
        return False
    return True


def held_version(state: EngineState, model: EngineModel) -> int:
    """Version of which an engine holds all layers; 0 for none."""
    whole = [
        part.version
        for part in state.loaded
        if part.first == 0 and part.last >= model.layers
    ]
    return max(whole, default=0)
