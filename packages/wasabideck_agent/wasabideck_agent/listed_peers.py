"""The agents that exchange chunks: those beside servers that are listed."""

from __future__ import annotations

from attrs import define, field
from wasabideck_base.deployment import DeploymentAdapter
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.patient_call import PatientCall
from wasabideck_base.vm_process import VMProcess
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["ListedPeers"]

# Maximum age of the list of servers before it is read again.
MAX_AGE_SECONDS = 2.0
# Maximum wait for the list; a transfer goes on with the last one meanwhile.
MAX_WAIT_SECONDS = 1.5


@define
class ListedPeers:
    """Agents of this service whose servers are listed.

    Member rows stay when a VM is lost for good, and chunks are assigned to readers by
    ranking all peers. With a dozen lost VMs each chunk waited for VMs that never
    responded, and after a power loss no server was loaded for 16 seconds.
    """

    process: VMProcess
    deployment: DeploymentAdapter
    _ips: set[str] | None = None
    _read_at: float = float("-inf")
    _reading: PatientCall = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the call that reads the list."""
        self._reading = PatientCall(self._read)

    async def refresh(self) -> None:
        """Read the list of servers, unless it is recent."""
        if self.process.clock() - self._read_at > MAX_AGE_SECONDS:
            await self.read()

    async def read(self) -> None:
        """Read the list; one that arrives late is applied when it arrives."""
        await self._reading.wait(MAX_WAIT_SECONDS)

    async def _read(self) -> None:
        """Read which VMs have a listed server of this service."""
        state_sync = self.process.state_sync
        try:
            changes = await state_sync.store.read(self.deployment.servers_table)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.process.events.emit("members.unavailable", why=str(exc))
            return
        ips = set()
        for row in changes.rows:
            try:
                listed = self.deployment.parse_listed_server(row)
            except WasabideckError as exc:
                self.process.events.emit("row.unreadable", why=str(exc))
                continue
            if listed.service == self.process.cfg.service and not listed.leaving:
                ips.add(_ip(listed.address))
        self._ips = ips
        self._read_at = self.process.clock()

    def members(self) -> list[Member]:
        """Return the known peers; all of the service before the first read."""
        cfg = self.process.cfg
        return [
            m
            for m in self.process.state_sync.gossip.members.values()
            if m.kind == AGENT and m.vm != cfg.vm and m.service == cfg.service
            if self._ips is None or _ip(m.address) in self._ips
        ]


def _ip(address: str) -> str:
    return address.rpartition(":")[0]
