"""The agents that chunks are exchanged with: those beside servers that are listed."""

from __future__ import annotations

from attrs import define
from wasabideck_base.deployment import Deployment
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.node_process import NodeProcess
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["ListedPeers"]

# Who is listed is read again after so long (seconds).
FRESH_SECONDS = 2.0


@define
class ListedPeers:
    """Agents of this service, as far as a server beside them is listed.

    Rows of members stay when a VM is gone for good. Chunks are ranked over all peers:
    with a dozen gone ones each chunk waited for VMs that nobody hears of again, and
    after a loss of power no server was loaded for 16 seconds.
    """

    process: NodeProcess
    deployment: Deployment
    _ips: set[str] | None = None
    _read_at: float = float("-inf")

    async def refresh(self) -> None:
        """Read, unless that was done a moment ago."""
        if self.process.clock() - self._read_at > FRESH_SECONDS:
            await self.read()

    async def read(self) -> None:
        """Read beside which VMs a server of this service is listed."""
        believer = self.process.believer
        try:
            changes = await believer.store.read(self.deployment.servers)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.process.events.emit("members.unavailable", why=str(exc))
            return
        ips = set()
        for row in changes.rows:
            try:
                listed = self.deployment.listed_of(row)
            except WasabideckError as exc:
                self.process.events.emit("row.unreadable", why=str(exc))
                continue
            if listed.service == self.process.cfg.service and not listed.leaving:
                ips.add(_ip(listed.address))
        self._ips = ips
        self._read_at = self.process.clock()

    def members(self) -> list[Member]:
        """The peers as far as is known; before the first read, all of the service."""
        cfg = self.process.cfg
        return [
            m
            for m in self.process.believer.hearsay.members.values()
            if m.kind == AGENT and m.vm != cfg.vm and m.service == cfg.service
            if self._ips is None or _ip(m.address) in self._ips
        ]


def _ip(address: str) -> str:
    return address.rpartition(":")[0]
