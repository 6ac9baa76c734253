"""Settings that a process receives from the platform that runs its VM."""

from __future__ import annotations

from attrs import field, frozen

__all__ = ["NodeBounds", "NodeSettings", "StoreSettings"]


@frozen
class NodeBounds:
    """Limits that the deployment sets, in seconds unless stated otherwise.

    Attributes
    ----------
    stable : float
        Time for which a VM counts as disturbed after a disturbance has ended.
    drain : float
        Time during which a server that is shutting down may still receive requests.
    grace : float
        Time between the signal to stop and the forced end of the process.
    configuration, version : float
        Time until a configuration, or declared weights, must be in effect.
    retry_ratio, retry_slack, retry_window : float
        Retry budget: retries that each request allows, retries that all entries
        together may make in addition, and the window in which both are counted.
    """

    stable: float = 3.0
    drain: float = 2.0
    grace: float = 8.0
    configuration: float = 2.0
    version: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window: float = 10.0


@frozen
class StoreSettings:
    """The platform's store of rows.

    Attributes
    ----------
    history : float
        Seconds for which it keeps the history of changes.
    row_bytes : int
        Maximum size of one row in bytes.
    """

    address: str
    history: float = 20.0
    row_bytes: int = 65536


@frozen
class NodeSettings:
    """Where one process runs, which addresses it listens on, and what it works with.

    Attributes
    ----------
    regions : dict of str to str
        Region by data centre.
    front, ready : str
        Addresses for callers and for the load balancer's health checks; empty on
        agents.
    inner_port : int
        Port of the inner protocol, the same on all VMs.
    seeds : tuple of str
        Addresses of a few VMs that are queried when no other process is known.
    link_rate : float
        Bandwidth of the VM's link in each direction, in bytes per second.
    server_address, service : str
        Address of the backend server beside an agent, and its service.
    heartbeat : float
        Seconds between two heartbeats of a backend server to the store.
    """

    vm: str
    ip: str
    data_centre: str
    region: str
    inner_port: int
    store: StoreSettings
    regions: dict[str, str] = field(factory=dict)
    front: str = ""
    ready: str = ""
    seeds: tuple[str, ...] = ()
    link_rate: float = 0.0
    server_address: str = ""
    service: str = ""
    heartbeat: float = 1.0
    bounds: NodeBounds = field(factory=NodeBounds)

    @property
    def inner_address(self) -> str:
        """Return the address of this process for the inner protocol."""
        return f"{self.ip}:{self.inner_port}"

    def inner_seeds(self) -> list[str]:
        """Return the seeds' addresses for the inner protocol, without this VM."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return [f"{ip}:{self.inner_port}" for ip in ips if ip and ip != self.ip]
