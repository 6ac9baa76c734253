"""Parameters of a measured rollout, and the fleet in which it runs."""

from __future__ import annotations

import random

from attrs import define, field, frozen
from wasabideck_policy.manifests import Manifest

from .caller_traffic import Traffic
from .lab_fleet import LabFleet

__all__ = ["Plan", "Run", "lower_bound"]

# In the time in which the link of a VM carries one copy of the weights, the link of the
# origin carries two copies and a link between regions carries half a copy.
ORIGIN_RATE_RATIO = 2.0
REGION_RATE_RATIO = 0.5


@frozen
class Plan:
    """Parameters of one run.

    Attributes
    ----------
    copy_seconds : float
        Time in which the link of a VM carries one copy of the weights.
    baseline_seconds : float
        Time for which live requests are sent before the transfer, as the baseline of
        the comparison.
    kill, corrupt : float
        Fraction of the agents that are killed during the transfer, and fraction of the
        chunks that an agent sends with a flipped byte.
    """

    replicas: int
    regions: int = 1
    profile: str = "time"
    policy: str = "swarm"
    seed: int = 1
    chunks: int = 128
    chunk_bytes: int = 32 * 1024
    copy_seconds: float = 16.0
    baseline_seconds: float = 8.0
    kill: float = 0.0
    corrupt: float = 0.0

    @property
    def copy_bytes(self) -> int:
        """Return the size of one copy in bytes."""
        return self.chunks * self.chunk_bytes

    @property
    def vm_link_rate(self) -> float:
        """Return the rate of a VM's link in bytes per second, in each direction."""
        return self.copy_bytes / self.copy_seconds

    @property
    def origin_rate(self) -> float:
        """Return the rate of the origin's link in bytes per second."""
        return ORIGIN_RATE_RATIO * self.vm_link_rate

    @property
    def region_rate(self) -> float:
        """Return the rate of a link into a region in bytes per second.

        The rate is 0 if there is only one region.
        """
        return REGION_RATE_RATIO * self.vm_link_rate if self.regions > 1 else 0.0


def lower_bound(plan: Plan) -> float:
    """Return the minimum seconds in which every replica can receive a copy."""
    upload_rate = plan.replicas * plan.vm_link_rate
    bounds = [
        plan.copy_bytes / plan.origin_rate,
        plan.copy_bytes / plan.vm_link_rate,
        plan.replicas * plan.copy_bytes / (plan.origin_rate + upload_rate),
    ]
    if plan.region_rate:
        bounds.append(plan.copy_bytes / plan.region_rate)
    return max(bounds)


@define
class Run:
    """A measured rollout and the fleet in which it runs."""

    plan: Plan
    lab: LabFleet
    traffic: Traffic
    rng: random.Random
    manifest: Manifest
    engine_host_processes: list = field(factory=list)
    engine_host_urls: list[str] = field(factory=list)
    killed: set[str] = field(factory=set)
    vms: list[str] = field(factory=list)

    def region_of(self, index: int) -> str:
        """Return the region of the VM with this index."""
        return f"region-{index % self.plan.regions + 1}"
