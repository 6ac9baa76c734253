"""What is known of a VM: the platform's lagging list, and what it says itself."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from .membership import Member

__all__ = ["Observed", "join"]

# A VM that the list lacks is kept for so long after it last answered: lists lag, and
# one that comes back from an outage may be short for a while.
KEEP_SECONDS = 5.0


@define
class Observed:
    """One VM, from the list and from its own words.

    Attributes
    ----------
    listed_leaving : bool
        What the list says; it lags by many seconds.
    said_leaving : bool
        What the VM said. A stop is never taken back, so it stays true however long
        the list goes on to call the VM live.
    heard_at : float
        When it last answered, seconds; 0 when it never did.
    """

    member: Member
    listed_leaving: bool = False
    said_leaving: bool = False
    heard_at: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it may be given no new work."""
        return self.listed_leaving or self.said_leaving

    def answered(self, leaving: bool, now: float) -> None:
        """Note its own words."""
        self.said_leaving = self.said_leaving or leaving
        self.heard_at = now


def join(
    known: dict[str, Observed], listed: Iterable[Member], now: float
) -> dict[str, Observed]:
    """What is known, once a new list was read."""
    joined = {}
    for member in listed:
        old = known.get(member.vm)
        # Another address is another process under the same name: nothing that the
        # old one said holds for it.
        same = old is not None and old.member.address == member.address
        observed = old if same else Observed(member)
        observed.member = member
        observed.listed_leaving = member.leaving
        joined[member.vm] = observed
    for vm, observed in known.items():
        heard = now - observed.heard_at <= KEEP_SECONDS and observed.heard_at > 0
        if vm not in joined and heard and not observed.leaving:
            joined[vm] = observed
    return joined
