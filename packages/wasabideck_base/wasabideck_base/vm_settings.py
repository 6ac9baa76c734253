"""Settings that a process receives from the platform that runs its VM."""

from __future__ import annotations

from attrs import field, frozen

from .connection_budget import ProcessLimits

__all__ = ["DeploymentLimits", "VMSettings", "StoreSettings"]


@frozen
class DeploymentLimits:
    """Limits that the deployment sets, in seconds unless stated otherwise.

    Attributes
    ----------
    disturbance_hold_seconds : float
        Time for which a VM counts as disturbed after a disturbance has ended.
    drain_seconds : float
        Time during which a server that is shutting down may still receive requests.
    shutdown_grace_seconds : float
        Time between the signal to stop and the forced end of the process.
    configuration_deadline_seconds, version_deadline_seconds : float
        Time until a configuration, or declared weights, must be in effect.
    retry_ratio, shared_retry_allowance, retry_window_seconds : float
        Retry budget: retries that each request allows, retries that all entries
        together may make in addition, and the window in which both are counted.
    """

    disturbance_hold_seconds: float = 3.0
    drain_seconds: float = 2.0
    shutdown_grace_seconds: float = 8.0
    configuration_deadline_seconds: float = 2.0
    version_deadline_seconds: float = 8.0
    retry_ratio: float = 0.2
    shared_retry_allowance: float = 100.0
    retry_window_seconds: float = 10.0


@frozen
class StoreSettings:
    """The platform's store of rows.

    Attributes
    ----------
    history_seconds : float
        Seconds for which it keeps the history of changes.
    max_row_bytes : int
        Maximum size of one row in bytes.
    """

    address: str
    history_seconds: float = 20.0
    max_row_bytes: int = 65536


@frozen
class VMSettings:
    """Where one process runs, which addresses it listens on, and what it works with.

    Attributes
    ----------
    regions : dict of str to str
        Region by data centre.
    caller_address, health_check_address : str
        Addresses for callers and for the load balancer's health checks; empty on
        agents.
    inner_port : int
        Port of the inner protocol, the same on all VMs.
    seeds : tuple of str
        Addresses of a few VMs that are queried when no other process is known.
    link_bytes_per_second : float
        Bandwidth of the VM's link in each direction, in bytes per second.
    server_address, service : str
        Address of the backend server beside an agent, and its service.
    heartbeat_seconds : float
        Seconds between two heartbeats of a backend server to the store.
    process_limits : ProcessLimits
        Memory and descriptors of the process.
    """

    vm: str
    ip: str
    data_centre: str
    region: str
    inner_port: int
    store: StoreSettings
    regions: dict[str, str] = field(factory=dict)
    caller_address: str = ""
    health_check_address: str = ""
    seeds: tuple[str, ...] = ()
    link_bytes_per_second: float = 0.0
    server_address: str = ""
    service: str = ""
    heartbeat_seconds: float = 1.0
    limits: DeploymentLimits = field(factory=DeploymentLimits)
    process_limits: ProcessLimits = field(factory=ProcessLimits)

    @property
    def inner_address(self) -> str:
        """Return the address of this process for the inner protocol."""
        return f"{self.ip}:{self.inner_port}"

    def inner_seeds(self) -> list[str]:
        """Return the seeds' addresses for the inner protocol, without this VM."""
        ips = (seed.rpartition(":")[0] for seed in self.seeds)
        return [f"{ip}:{self.inner_port}" for ip in ips if ip and ip != self.ip]
