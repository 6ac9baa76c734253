"""Settings of an agent's part in the distribution of weights."""

from __future__ import annotations

from attrs import field, frozen

from .settings_values import at_least, choice

__all__ = ["WeightsSettings"]


@frozen
class WeightsSettings:
    """How an agent takes part in the distribution of weights.

    Attributes
    ----------
    profile : str
        ``time``: a reader of the origin that seems lost is replaced soon;
        ``origin-bytes``: late, so that hardly any chunk is read twice.
    policy : str
        ``swarm``, or a baseline that experiments compare with.
    fetches, far_fetches, uploads : int
        Chunks fetched at once within the region and over its link to another one,
        and uploads taken on at once.
    fetches_a_peer : int
        Chunks fetched at once from one peer.
    ask_slots : float
        A fed agent asks for holdings once in the time that so many chunks take.
    call_seconds : float
        A peer that has not told its holdings for so long counts as lost.
    spare_copies : float
        Copies beyond the first that all agents together may read from the origin.
    link_rate : float
        Bytes per second of the VM's link, each way; 0 is no limit.
    region_rate : float
        Bytes per second that weights may take of the link into this region.
    origin_region : str
        Region that the origin stands in; empty when it is near to all.
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
