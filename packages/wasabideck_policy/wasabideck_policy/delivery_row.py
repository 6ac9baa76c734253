"""Delivery rows: which VM received which weights, when, and from which sources."""

from __future__ import annotations

from attrs import define, field

__all__ = ["Delivery", "delivery_key"]


@define
class Delivery:
    """One VM's delivery of one ticket's weights; times are wall-clock seconds.

    Attributes
    ----------
    sources : dict of str to int
        Bytes received per source: a VM's name, or ``origin``.
    """

    vm: str
    service: str
    slot: str
    ticket: int
    model: str
    version: str
    manifest: str
    begun: float
    verified: float = 0.0
    in_force: float = 0.0
    sources: dict[str, int] = field(factory=dict)


def delivery_key(delivery: Delivery) -> str:
    """Return the row key, which starts with the ticket: a report reads one range."""
    return f"{delivery.ticket:020d}/{delivery.service}/{delivery.vm}/{delivery.slot}"
