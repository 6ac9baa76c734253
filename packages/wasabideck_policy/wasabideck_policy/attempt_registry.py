"""Which attempts may still run at an agent, and which certainly never will.

All times are on the agent's own clock, so that clock skew between VMs has no effect. A
run request contains the identifier of the agent process that it is meant for, and the
latest time at which it may arrive. Both limit how long an agent has to remember
cancelled attempts.
"""

from __future__ import annotations

from attrs import define, field

from .outcomes import Failure

__all__ = ["MAX_REQUEST_AGE_SECONDS", "KEEP_SECONDS", "AttemptRegistry"]

# Maximum age of a run request at its arrival; older ones do not run.
MAX_REQUEST_AGE_SECONDS = 10.0
# How long an ended or cancelled attempt is remembered. It must be longer than
# MAX_REQUEST_AGE_SECONDS: otherwise a late request could arrive after its tombstone
# was deleted, and run.
KEEP_SECONDS = 60.0


@define
class AttemptRegistry:
    """Attempts that arrived at one agent process, and those cancelled before arrival.

    Attributes
    ----------
    incarnation : str
        Identifier of this agent process; another process at the same address has
        another one.
    """

    incarnation: str
    _arrived: dict[str, float | None] = field(factory=dict)
    _tombstones: dict[str, float] = field(factory=dict)

    def record_arrival(
        self, name: str, incarnation: str, not_after: float, now: float
    ) -> Failure | None:
        """Record an arrival; return why it must not run, or None if it may."""
        self._arrived[name] = None
        if incarnation != self.incarnation:
            return Failure("OtherIncarnation", "meant for an earlier agent process")
        if name in self._tombstones:
            return Failure("Cancelled", "cancelled before it arrived")
        if now > not_after:
            return Failure("ArrivedLate", f"{now - not_after:.1f} s late")
        return None

    def cancel(self, name: str, incarnation: str, not_after: float, now: float) -> bool:
        """Cancel an attempt; return whether it certainly has not run and never will.

        An unknown attempt either never arrived, or was run by an earlier process, or
        has been forgotten. Only in the first case it is certain that it did not run.
        """
        if incarnation != self.incarnation or name in self._arrived:
            return False
        self._tombstones[name] = now
        # It was sent MAX_REQUEST_AGE_SECONDS before ``not_after`` at the earliest, and
        # every attempt that arrived since then is remembered for KEEP_SECONDS.
        return now < not_after - MAX_REQUEST_AGE_SECONDS + KEEP_SECONDS

    def record_end(self, name: str, now: float) -> None:
        """Record that an attempt ended, so that it can be forgotten later."""
        self._arrived[name] = now

    def remove_expired(self, now: float) -> set[str]:
        """Forget attempts that ended or were cancelled long ago; return their names."""
        limit = now - KEEP_SECONDS
        expired = {n for n, t in self._arrived.items() if t is not None and t <= limit}
        for name in expired:
            del self._arrived[name]
        self._tombstones = {n: t for n, t in self._tombstones.items() if t > limit}
        return expired
