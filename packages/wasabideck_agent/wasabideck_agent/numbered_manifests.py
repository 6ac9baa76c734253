"""Manifests of numbered versions: read from the origin, or requested from peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.vm_process import VMProcess
from wasabideck_policy.manifests import (
    Manifest,
    ManifestReport,
    confirmed_manifest,
    most_reported,
    numbered_manifest_name,
)
from wasabideck_policy.membership import Member
from wasabideck_policy.rendezvous import rank_vms

from .chunk_store import ChunkStore
from .listed_peers import ListedPeers
from .origin_chunks import NumberedOrigin
from .peer_manifests import query_all, query_peers

__all__ = ["NumberedManifests"]

# Number of agents per region that read a manifest from the origin, which accepts few
# connections and sends a manifest in a quarter of the time of a chunk. All other agents
# request it from some of these readers.
READERS_PER_REGION = 5
PEERS_PER_ATTEMPT = 3
# A reader has the manifest after some tenths of a second. An agent that gets no reply
# in this many attempts reads the manifest as well.
RETRY_INTERVAL_SECONDS = 0.2
MAX_ATTEMPTS = 4
# Member rows stay when a VM is lost; the list of servers shows which VMs exist. This is
# the maximum time to wait for that list.
PEER_LIST_TIMEOUT_SECONDS = 0.5
# Maximum wait for the members while no peer is known: the origin is asked then.
MEMBERS_TIMEOUT_SECONDS = 1.5


@define
class NumberedManifests:
    """The manifests that an agent knows, by version.

    After a power loss the connections of the origin are occupied by clients that no
    longer use them, and it refuses later clients. Agents without a manifest would be
    idle then, beside peers that have it. Peers are queried second, so that distributing
    a version takes no additional calls while the origin responds.

    Attributes
    ----------
    origin : callable
        Returns the origin of weights according to the current configuration.
    """

    process: VMProcess
    store: ChunkStore
    peers: ListedPeers
    origin: Callable[[], NumberedOrigin]
    _known: dict[int, Manifest] = field(factory=dict)
    _read_from_origin: set[int] = field(factory=set)

    def known(self, version: int) -> Manifest | None:
        """Return the manifest of a version, or None if it is unknown."""
        return self._known.get(version)

    async def get(self, model: str, version: int) -> Manifest:
        """Return the manifest of a version, found if necessary.

        Raises the error of the origin if the manifest cannot be found.
        """
        if version not in self._known:
            await self.find(model, version)
        return self._known[version]

    async def find(self, model: str, version: int) -> None:
        """Read a manifest from the origin, or request it from peers if that fails.

        Where a region has many agents only a few of them read it, and pass it on.
        """
        if version not in self._known:
            manifest = await self._from_readers(model, version)
            if manifest is not None:
                self._accept(version, manifest, "readers")
                return
        try:
            manifest = await self.origin().read_manifest(model, version)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.process.events.emit("manifest.unread", version=version, why=str(exc))
            manifest = most_reported(await self._reports(model, version))
            if manifest is None:
                raise
            # A manifest that was read is kept unless peers outvote it.
            if self.differs(version, manifest):
                self._read_from_origin.discard(version)
                self._accept(version, manifest, "peers")
            return
        self._read_from_origin.add(version)
        if self.differs(version, manifest):
            self._accept(version, manifest, "origin")

    def _readers(self, name: str) -> list[Member]:
        """Return the local agents that read a manifest; none if this one does."""
        cfg = self.process.cfg
        local = {m.vm: m for m in self.peers.members() if m.region == cfg.region}
        ranked = rank_vms(f"{name}/{cfg.region}", {*local, cfg.vm})[:READERS_PER_REGION]
        return [] if cfg.vm in ranked else [local[vm] for vm in ranked]

    async def _from_readers(self, model: str, version: int) -> Manifest | None:
        """Return the manifest that local readers agree on, or None after a timeout."""
        process, name = self.process, numbered_manifest_name(model, version)
        if not self._readers(name):
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_LIST_TIMEOUT_SECONDS):
                await self.peers.refresh()
        readers = self._readers(name)
        for _ in range(MAX_ATTEMPTS if readers else 0):
            await asyncio.sleep(RETRY_INTERVAL_SECONDS * process.rng.uniform(0.7, 1.3))
            queried = process.rng.sample(readers, min(PEERS_PER_ATTEMPT, len(readers)))
            reports = await query_all(
                model, version, process.cfg.vm, queried, process.channels
            )
            manifest = confirmed_manifest(reports)
            if manifest is not None:
                return manifest
        return None

    def differs(self, version: int, manifest: Manifest) -> bool:
        """Whether a manifest differs from the known one of its version."""
        known = self._known.get(version)
        return known is None or known.digest != manifest.digest

    def shareable_manifest(self, name: str) -> Manifest | None:
        """Return the manifest of that name if this agent may pass it on, else None.

        A manifest reported by peers is not passed on until all its chunks are stored.
        A corrupt one would otherwise circulate among agents that the origin refuses,
        and return to agents that have read an intact one since.
        """
        for version, manifest in self._known.items():
            if numbered_manifest_name(manifest.model, version) != name:
                continue
            if version in self._read_from_origin or self.store.is_complete(manifest):
                return manifest
        return None

    def discard_older(self, version: int) -> bool:
        """Discard older versions, and return whether there were any."""
        old = [known for known in self._known if known < version]
        for known in old:
            del self._known[known]
        self._read_from_origin &= set(self._known)
        return bool(old)

    def digests(self) -> set[str]:
        """Return the digests of all known manifests."""
        return {manifest.digest for manifest in self._known.values()}

    async def _reports(self, model: str, version: int) -> list[ManifestReport]:
        """Return the reports on a version, starting with this agent's if it has one."""
        process = self.process
        if not self.peers.members():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MEMBERS_TIMEOUT_SECONDS):
                    await asyncio.gather(
                        process.state_sync.read_members(), self.peers.read()
                    )
        peers, vm = self.peers.members(), process.cfg.vm
        reports = await query_peers(
            model, version, vm, peers, process.channels, process.rng
        )
        if own := self.shareable_manifest(numbered_manifest_name(model, version)):
            reports.insert(0, ManifestReport(own, self.store.is_complete(own)))
        return reports

    def _accept(self, version: int, manifest: Manifest, source: str) -> None:
        self._known[version] = manifest
        self.store.add_manifest(manifest)
        self.process.events.emit(
            "manifest.read", version=version, manifest=manifest.digest, source=source
        )
