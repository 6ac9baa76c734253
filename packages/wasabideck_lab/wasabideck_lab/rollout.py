"""The plan of a rollout that is measured, and the fleet that it runs in."""

from __future__ import annotations

import random

from attrs import define, field, frozen
from wasabideck_policy.manifests import Manifest

from .launcher import Lab
from .traffic import Traffic

__all__ = ["Plan", "Run", "lower_bound"]

# In the time in which a machine's link carries a copy, the origin's carries two and
# a link between regions half of one.
ORIGIN_SHARE = 2.0
REGION_SHARE = 0.5


@frozen
class Plan:
    """One run's parameters.

    Attributes
    ----------
    copy_seconds : float
        Time in which a machine's link carries one copy.
    live_before : float
        Time for which live requests run before the transfer, to compare with.
    kill, corrupt : float
        Share of the agents killed during the transfer, and of the chunks that an
        agent sends with a flipped byte.
    """

    replicas: int
    regions: int = 1
    profile: str = "time"
    policy: str = "swarm"
    seed: int = 1
    chunks: int = 128
    chunk_bytes: int = 32 * 1024
    copy_seconds: float = 16.0
    live_before: float = 8.0
    kill: float = 0.0
    corrupt: float = 0.0

    @property
    def total(self) -> int:
        """Bytes of one copy."""
        return self.chunks * self.chunk_bytes

    @property
    def machine_rate(self) -> float:
        """Bytes per second of a machine's link, each way."""
        return self.total / self.copy_seconds

    @property
    def origin_rate(self) -> float:
        """Bytes per second of the origin's link."""
        return ORIGIN_SHARE * self.machine_rate

    @property
    def region_rate(self) -> float:
        """Bytes per second of the link into a region; 0 when there is one region."""
        return REGION_SHARE * self.machine_rate if self.regions > 1 else 0.0


def lower_bound(plan: Plan) -> float:
    """Seconds below which no plan can bring a copy to every replica."""
    uploads = plan.replicas * plan.machine_rate
    bounds = [
        plan.total / plan.origin_rate,
        plan.total / plan.machine_rate,
        plan.replicas * plan.total / (plan.origin_rate + uploads),
    ]
    if plan.region_rate:
        bounds.append(plan.total / plan.region_rate)
    return max(bounds)


@define
class Run:
    """A fleet in which one rollout is measured."""

    plan: Plan
    lab: Lab
    traffic: Traffic
    rng: random.Random
    manifest: Manifest
    children: list = field(factory=list)
    engine_hosts: list[str] = field(factory=list)
    killed: set[str] = field(factory=set)
    vms: list[str] = field(factory=list)

    def region(self, index: int) -> str:
        """Region of the VM of that index."""
        return f"region-{index % self.plan.regions + 1}"
