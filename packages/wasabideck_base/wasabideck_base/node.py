"""Settings of a process that is told its place by whoever runs the machines."""

from __future__ import annotations

from attrs import field, frozen

__all__ = ["NodeBounds", "NodeSettings", "StoreSettings"]


@frozen
class NodeBounds:
    """Bounds that the deployment sets, in seconds where not said otherwise.

    Attributes
    ----------
    stable : float
        How long a VM counts as disturbed after a disturbance has ended.
    drain : float
        How long a leaving server may still get requests.
    grace : float
        Time between the signal to stop and the end.
    configuration, version : float
        Until when a configuration, or named weights, have to be in force.
    retry_ratio, retry_slack, retry_window : float
        Repeats that one request earns, that all entries together may make beside
        that, and the window in which both are counted.
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
        Seconds for which it remembers changes.
    row_bytes : int
        Most bytes of one row.
    """

    address: str
    history: float = 20.0
    row_bytes: int = 65536


@frozen
class NodeSettings:
    """Where one process runs, what it listens on, and what stands around it.

    Attributes
    ----------
    regions : dict of str to str
        Region of each data centre.
    front, ready : str
        Addresses for callers and for the balancer's checks; empty on agents.
    inner_port : int
        Port of the inner protocol, the same on all VMs.
    seeds : tuple of str
        Addresses of a few VMs to ask when nothing else is known.
    link_rate : float
        Bytes a second of the VM's link, each way.
    server_address, service : str
        The backend server beside an agent, and its service.
    heartbeat : float
        Seconds between two words of a backend server to the store.
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
        """Address of this process for the inner protocol."""
        return f"{self.ip}:{self.inner_port}"

    def inner_seeds(self) -> list[str]:
        """Addresses of the seeds for the inner protocol, this VM left out."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return [f"{ip}:{self.inner_port}" for ip in ips if ip and ip != self.ip]
