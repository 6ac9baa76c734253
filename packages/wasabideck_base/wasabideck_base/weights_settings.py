"""Settings of the distribution of weights at an agent."""

from __future__ import annotations

from attrs import field, frozen

from .settings_validators import at_least, choice

__all__ = ["WeightsSettings"]


@frozen
class WeightsSettings:
    """Settings of one agent's share in the distribution of weights.

    Attributes
    ----------
    profile : str
        ``time``: an agent that reads from the origin and seems lost is replaced
        soon; ``origin-bytes``: it is replaced late, so that hardly any chunk is read
        twice.
    policy : str
        ``swarm``, or a baseline for comparison in experiments.
    fetches, far_fetches, uploads : int
        Maximum concurrent chunk fetches within the region, over its link to another
        region, and maximum concurrent uploads.
    fetches_a_peer : int
        Maximum concurrent chunk fetches from one peer.
    ask_slots : float
        Interval at which an agent that receives chunks polls a peer's holdings, as
        a multiple of the transfer time of one chunk.
    call_seconds : float
        Timeout after which a peer that has not reported its holdings counts as lost.
    spare_copies : float
        Copies beyond the first that all agents together may read from the origin.
    link_rate : float
        Bandwidth of the VM's link in bytes per second per direction; 0 for no limit.
    region_rate : float
        Bandwidth for weights on the link into this region, in bytes per second.
    origin_region : str
        Region of the origin; empty if the origin is local to all regions.
    """

    profile: str = field(default="time", validator=choice(("time", "origin-bytes")))
    policy: str = field(
        default="swarm", validator=choice(("swarm", "origin", "tree", "random"))
    )
    fetches: int = field(default=4, validator=at_least(1))
    far_fetches: int = field(default=2, validator=at_least(1))
    fetches_a_peer: int = field(default=1, validator=at_least(1))
    spare_copies: float = field(default=0.0, validator=at_least(0))
    ask_slots: float = field(default=1.0, validator=at_least(0))
    call_seconds: float = field(default=2.0, validator=at_least(0.1))
    uploads: int = field(default=3, validator=at_least(1))
    link_rate: float = field(default=0.0, validator=at_least(0))
    region_rate: float = field(default=0.0, validator=at_least(0))
    origin_region: str = ""
