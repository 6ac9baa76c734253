"""The live VMs, from the platform's lagging list and from direct observation."""

from __future__ import annotations

from attrs import frozen

__all__ = ["ENTRY", "AGENT", "Member"]

ENTRY = "entry"
AGENT = "agent"


@frozen
class Member:
    """One process of the system, as the platform's list gives it."""

    vm: str
    kind: str
    address: str
    region: str = ""
    data_centre: str = ""
    service: str = ""
    leaving: bool = False
