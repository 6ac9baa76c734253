"""Which of several named versions an agent fetches, and when it turns to another."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, field
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.superseding import finishes_older

from .numbered_manifests import NumberedManifests
from .transfer import Transfer

__all__ = ["VersionChoice"]

# With nothing of the newest version for so long an older one that is on its way goes on
# (seconds): chunks come every 0.1 s, and an origin that is back is read at once.
STALL_SECONDS = 1.0
# An older version is fetched on while it could serve at least so long (seconds).
WORTH_SECONDS = 2.5


@define
class VersionChoice:
    """Chooses among versions that were named one soon after the other."""

    process: NodeProcess
    manifests: NumberedManifests
    _begun_at: dict[int, float] = field(factory=dict)
    _finishing: set[int] = field(factory=set)
    _stalled_until: float = float("-inf")
    _finding: asyncio.Task | None = None

    def begin(self, version: int) -> None:
        """Note that a version's transfer begins."""
        self._begun_at[version] = self.process.clock()

    def goes_on(
        self, model: EngineModel, manifest: Manifest, missing: int, newest: int
    ) -> bool:
        """Whether a version that a newer one has overtaken is fetched on."""
        version = int(manifest.version)
        if version in self._finishing or not self._can_be_had(model, newest):
            return True
        if self._finishes(manifest, missing):
            self._finishing.add(version)
            return True
        self.process.events.emit(
            "transfer.superseded", version=version, missing=missing
        )
        return False

    async def wanted(self, model: EngineModel, held: int, newest: int) -> Manifest:
        """Manifest of the version to fetch now: the newest, if it can be had.

        While the origin is away nothing of the newest may be had for seconds. An older
        version that is on its way then ends the time without weights that may serve.
        """
        older = self._older(model, held, newest)
        if older is not None and self.process.clock() < self._stalled_until:
            return older
        try:
            return await self.manifests.get(model.model, newest)
        except WasabideckError as exc:
            if older is None:
                raise
            self.process.events.emit(
                "version.not-to-be-had",
                version=newest,
                instead=older.version,
                why=str(exc),
            )
            return older

    def _older(self, model: EngineModel, held: int, newest: int) -> Manifest | None:
        """A version between the held and the newest that is still worth fetching."""
        beliefs, now = self.process.believer.beliefs, self.process.clock()
        within = self.process.cfg.bounds.version
        for version in reversed(beliefs.versions(model.model)):
            manifest = self.manifests.known(version)
            if not held < version < newest or manifest is None:
                continue
            over_at = beliefs.over_at(model.model, version, within)
            if over_at is not None and over_at - now >= WORTH_SECONDS:
                return manifest
        return None

    def _can_be_had(self, model: EngineModel, newest: int) -> bool:
        """Whether a newer version's manifest is here; looks for it if it is not."""
        if self.process.clock() < self._stalled_until:
            return False
        if self.manifests.known(newest) is not None:
            return True
        if self._finding is None or self._finding.done():
            self._finding = asyncio.create_task(self._find(model, newest))
        return False

    async def _find(self, model: EngineModel, version: int) -> None:
        with contextlib.suppress(WasabideckError):
            await self.manifests.find(model.model, version)

    def stalls(
        self, model: EngineModel, held: int, version: int, transfer: Transfer
    ) -> bool:
        """Whether the newest version stands still while an older one could go on."""
        if transfer.still_for() < STALL_SECONDS:
            return False
        if self._older(model, held, version) is None:
            return False
        self._stalled_until = self.process.clock() + STALL_SECONDS
        missing = transfer.view.missing
        self.process.events.emit("transfer.stalled", version=version, missing=missing)
        return True

    def _finishes(self, manifest: Manifest, missing: int) -> bool:
        """Whether an overtaken version is finished here all the same."""
        cfg = self.process.cfg
        chunks = len(manifest.chunks)
        return finishes_older(
            missing / chunks,
            self.process.clock() - self._begun_at[int(manifest.version)],
            chunks * manifest.chunk_bytes / max(cfg.link_rate, 1.0),
            cfg.bounds.version,
        )
