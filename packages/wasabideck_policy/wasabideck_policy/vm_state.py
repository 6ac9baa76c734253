"""State of a VM: from the platform's delayed list, and from its own responses."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from .membership import Member

__all__ = ["VMState", "merge_list"]

# How long a VM that the list lacks is kept after its last response. Lists are delayed,
# and after an outage a list may be incomplete for a while.
KEEP_SECONDS = 5.0


@define
class VMState:
    """State of one VM, from the list and from its own responses.

    Attributes
    ----------
    listed_leaving : bool
        Whether the list marks the VM as shutting down. The list is delayed by many
        seconds.
    reported_leaving : bool
        Whether the VM itself reported that it is shutting down. A shutdown is never
        revoked, so this stays true however long the list reports the VM as live.
    last_response_at : float
        When it last responded, seconds; 0 if it never did.
    """

    member: Member
    listed_leaving: bool = False
    reported_leaving: bool = False
    last_response_at: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether it must not get any new work."""
        return self.listed_leaving or self.reported_leaving

    def record_response(self, leaving: bool, now: float) -> None:
        """Record a response of the VM itself."""
        self.reported_leaving = self.reported_leaving or leaving
        self.last_response_at = now


def merge_list(
    known: dict[str, VMState], listed: Iterable[Member], now: float
) -> dict[str, VMState]:
    """Return the known VMs, updated with a new list."""
    joined = {}
    for member in listed:
        old = known.get(member.vm)
        # Another address means another process under the same name: the reports of the
        # former process don't apply to it.
        same = old is not None and old.member.address == member.address
        observed = old if same else VMState(member)
        observed.member = member
        observed.listed_leaving = member.leaving
        joined[member.vm] = observed
    for vm, observed in known.items():
        recent = (
            now - observed.last_response_at <= KEEP_SECONDS
            and observed.last_response_at > 0
        )
        if vm not in joined and recent and not observed.leaving:
            joined[vm] = observed
    return joined
