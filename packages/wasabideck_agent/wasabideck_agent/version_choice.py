"""Selects which of several declared versions an agent fetches."""

from __future__ import annotations

import asyncio
import contextlib

from attrs import define, field
from wasabideck_base.vm_process import VMProcess
from wasabideck_policy.configuration import EngineModel
from wasabideck_policy.manifests import Manifest
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.superseded_transfer import finish_older_first

from .numbered_manifests import NumberedManifests
from .transfer import Transfer

__all__ = ["VersionChoice"]

# When no chunk of the newest version arrives for this long, the transfer of an older
# one continues. Chunks arrive every 0.1 s, and an origin is read as soon as it
# recovers.
STALL_TIMEOUT_SECONDS = 1.0
# An older version is fetched only while it could still serve for this long.
MIN_SERVING_SECONDS = 2.5


@define
class VersionChoice:
    """Selects among versions that were declared in short succession."""

    process: VMProcess
    manifests: NumberedManifests
    _started_at: dict[int, float] = field(factory=dict)
    _finishing: set[int] = field(factory=set)
    _stalled_until: float = float("-inf")
    _search: asyncio.Task | None = None

    def record_start(self, version: int) -> None:
        """Record the start of a version's transfer."""
        self._started_at[version] = self.process.clock()

    def continues_fetching(
        self, model: EngineModel, manifest: Manifest, missing: int, newest: int
    ) -> bool:
        """Whether the transfer of a version superseded by a newer one continues."""
        version = int(manifest.version)
        if version in self._finishing or not self._is_available(model, newest):
            return True
        if self._worth_finishing(manifest, missing):
            self._finishing.add(version)
            return True
        self.process.events.emit(
            "transfer.superseded", version=version, missing=missing
        )
        return False

    async def manifest_to_fetch(
        self, model: EngineModel, held: int, newest: int
    ) -> Manifest:
        """Return the manifest of the version to fetch: the newest if it is available.

        While the origin is unreachable no chunk of the newest version may be available
        for seconds. Completing an older version that is in transfer then ends the time
        without weights that may serve.
        """
        older = self._older_version(model, held, newest)
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

    def _older_version(
        self, model: EngineModel, held: int, newest: int
    ) -> Manifest | None:
        """Return a version between the held and the newest that is worth fetching."""
        cluster_state, now = self.process.state_sync.cluster_state, self.process.clock()
        within = self.process.cfg.limits.version_deadline_seconds
        for version in reversed(cluster_state.versions(model.model)):
            manifest = self.manifests.known(version)
            if not held < version < newest or manifest is None:
                continue
            expires_at = cluster_state.expires_at(model.model, version, within)
            if expires_at is not None and expires_at - now >= MIN_SERVING_SECONDS:
                return manifest
        return None

    def _is_available(self, model: EngineModel, newest: int) -> bool:
        """Whether a newer version's manifest is known; starts a search if it isn't."""
        if self.process.clock() < self._stalled_until:
            return False
        if self.manifests.known(newest) is not None:
            return True
        if self._search is None or self._search.done():
            self._search = asyncio.create_task(self._find_manifest(model, newest))
        return False

    async def _find_manifest(self, model: EngineModel, version: int) -> None:
        with contextlib.suppress(WasabideckError):
            await self.manifests.find(model.model, version)

    def is_stalled(
        self, model: EngineModel, held: int, version: int, transfer: Transfer
    ) -> bool:
        """Whether the newest version makes no progress while an older one could."""
        if transfer.seconds_without_progress() < STALL_TIMEOUT_SECONDS:
            return False
        if self._older_version(model, held, version) is None:
            return False
        self._stalled_until = self.process.clock() + STALL_TIMEOUT_SECONDS
        missing = transfer.view.missing
        self.process.events.emit("transfer.stalled", version=version, missing=missing)
        return True

    def _worth_finishing(self, manifest: Manifest, missing: int) -> bool:
        """Whether the transfer of a superseded version is completed nevertheless."""
        cfg = self.process.cfg
        chunks = len(manifest.chunks)
        return finish_older_first(
            missing / chunks,
            self.process.clock() - self._started_at[int(manifest.version)],
            chunks * manifest.chunk_bytes / max(cfg.link_bytes_per_second, 1.0),
            cfg.limits.version_deadline_seconds,
        )
