"""Manifests of numbered versions: read from the origin, or heard of from peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.manifests import (
    Manifest,
    Word,
    agreed,
    likeliest,
    numbered_name,
)
from wasabideck_policy.membership import Member
from wasabideck_policy.rendezvous import rank

from .chunk_store import ChunkStore
from .listed_peers import ListedPeers
from .origin_chunks import NumberedOrigin
from .peers_word import ask_all, ask_peers

__all__ = ["NumberedManifests"]

# Agents of a region that read a manifest from the origin, which takes few connections
# and sends a manifest in the time of a quarter of a chunk; all others ask some of them.
READERS = 5
ASKED = 3
# A reader has it after some tenths of a second (seconds). Who hears nothing after so
# many tries reads it as well.
PAUSE_SECONDS = 0.2
TRIES = 4
# Rows of members stay when a VM is gone: the list of servers tells which are there. It
# is not waited for longer than this (seconds).
PEERS_SECONDS = 0.5


@define
class NumberedManifests:
    """The manifests that an agent knows, by version.

    After a loss of power the origin is full of connections that nobody uses any more,
    and it turns away whoever comes late: agents that had no manifest were of no use to
    anybody, beside peers that had it. Peers are asked second, so that a version's
    spread costs the same calls as before while the origin answers.

    Attributes
    ----------
    origin : callable
        The origin of weights, as it is configured now.
    """

    process: NodeProcess
    store: ChunkStore
    peers: ListedPeers
    origin: Callable[[], NumberedOrigin]
    _known: dict[int, Manifest] = field(factory=dict)
    _first_hand: set[int] = field(factory=set)

    def known(self, version: int) -> Manifest | None:
        """The manifest of a version, if it is known."""
        return self._known.get(version)

    async def get(self, model: str, version: int) -> Manifest:
        """The manifest of a version, found if need be; raises as the origin does."""
        if version not in self._known:
            await self.find(model, version)
        return self._known[version]

    async def find(self, model: str, version: int) -> None:
        """Read a manifest from the origin, or hear of it from peers if that fails.

        Where many agents are near by only a few of them read it, and tell the others.
        """
        if version not in self._known:
            manifest = await self._told(model, version)
            if manifest is not None:
                self._take(version, manifest, "readers")
                return
        try:
            manifest = await self.origin().manifest(model, version)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.process.events.emit("manifest.unread", version=version, why=str(exc))
            manifest = likeliest(await self._words(model, version))
            if manifest is None:
                raise
            # What was read is kept unless peers outweighed it.
            if self.differs(version, manifest):
                self._first_hand.discard(version)
                self._take(version, manifest, "peers")
            return
        self._first_hand.add(version)
        if self.differs(version, manifest):
            self._take(version, manifest, "origin")

    def _readers(self, name: str) -> list[Member]:
        """The agents near by that read a manifest; empty if this one is among them."""
        cfg = self.process.cfg
        near = {m.vm: m for m in self.peers.members() if m.region == cfg.region}
        ranked = rank(f"{name}/{cfg.region}", {*near, cfg.vm})[:READERS]
        return [] if cfg.vm in ranked else [near[vm] for vm in ranked]

    async def _told(self, model: str, version: int) -> Manifest | None:
        """What readers near by agree on; None if there is nothing within a while."""
        process, name = self.process, numbered_name(model, version)
        if not self._readers(name):
            return None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEERS_SECONDS):
                await self.peers.refresh()
        readers = self._readers(name)
        for _ in range(TRIES if readers else 0):
            await asyncio.sleep(PAUSE_SECONDS * process.rng.uniform(0.7, 1.3))
            asked = process.rng.sample(readers, min(ASKED, len(readers)))
            words = await ask_all(
                model, version, process.cfg.vm, asked, process.channels
            )
            manifest = agreed(words)
            if manifest is not None:
                return manifest
        return None

    def differs(self, version: int, manifest: Manifest) -> bool:
        """Whether a manifest is another one than is known of its version."""
        known = self._known.get(version)
        return known is None or known.digest != manifest.digest

    def word(self, name: str) -> Manifest | None:
        """The manifest of that name, if this agent may tell it to others.

        One that peers told is kept to itself until all its chunks are here: a spoilt
        one would go round among those whom the origin turns away, and come back to
        whoever has read a good one since.
        """
        for version, manifest in self._known.items():
            if numbered_name(manifest.model, version) != name:
                continue
            if version in self._first_hand or self.store.whole(manifest):
                return manifest
        return None

    def forget_before(self, version: int) -> bool:
        """Forget older versions; whether there were any."""
        old = [known for known in self._known if known < version]
        for known in old:
            del self._known[known]
        self._first_hand &= set(self._known)
        return bool(old)

    def digests(self) -> set[str]:
        """Digests of all manifests that are known."""
        return {manifest.digest for manifest in self._known.values()}

    async def _words(self, model: str, version: int) -> list[Word]:
        """What is said of a version: first by this agent, if it may tell of it."""
        process = self.process
        if not self.peers.members():
            await asyncio.gather(process.believer.read_members(), self.peers.read())
        peers, vm = self.peers.members(), process.cfg.vm
        words = await ask_peers(
            model, version, vm, peers, process.channels, process.rng
        )
        if own := self.word(numbered_name(model, version)):
            words.insert(0, Word(own, self.store.whole(own)))
        return words

    def _take(self, version: int, manifest: Manifest, source: str) -> None:
        self._known[version] = manifest
        self.store.know(manifest)
        self.process.events.emit(
            "manifest.read", version=version, manifest=manifest.digest, source=source
        )
