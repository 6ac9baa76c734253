"""Which attempts may still run at an agent, and which certainly never will.

All times are on the agent's own clock, so that no skew between VMs matters. A run
request names the agent process that it is meant for and the last moment at which it
may arrive; both bound how long an agent has to remember what was given up.
"""

from __future__ import annotations

from attrs import define, field

from .outcomes import Failure

__all__ = ["ARRIVAL_SECONDS", "KEEP_SECONDS", "Arrivals"]

# A run request that is older than this when it arrives does not run.
ARRIVAL_SECONDS = 10.0
# What arrived, or was given up, is remembered for so long. It must be longer than
# ARRIVAL_SECONDS: otherwise a late request could outlive its tombstone and run.
KEEP_SECONDS = 60.0


@define
class Arrivals:
    """What arrived at one agent process and what was given up before it arrived.

    Attributes
    ----------
    incarnation : str
        Name of this agent process; another at the same address has another one.
    """

    incarnation: str
    _arrived: dict[str, float | None] = field(factory=dict)
    _tombstones: dict[str, float] = field(factory=dict)

    def arrive(
        self, name: str, incarnation: str, not_after: float, now: float
    ) -> Failure | None:
        """Note an arrival; why it must not run, or None when it may."""
        self._arrived[name] = None
        if incarnation != self.incarnation:
            return Failure("OtherIncarnation", "meant for an earlier agent process")
        if name in self._tombstones:
            return Failure("Cancelled", "given up before it arrived")
        if now > not_after:
            return Failure("ArrivedLate", f"{now - not_after:.1f} s late")
        return None

    def give_up(
        self, name: str, incarnation: str, not_after: float, now: float
    ) -> bool:
        """Bury an attempt; whether it certainly has not run and never will.

        An unknown attempt is one that never arrived, or one that an earlier process
        ran, or one that was forgotten: only the first is certain.
        """
        if incarnation != self.incarnation or name in self._arrived:
            return False
        self._tombstones[name] = now
        # It was sent ARRIVAL_SECONDS before ``not_after`` at the earliest, and
        # whatever arrived since then is remembered for KEEP_SECONDS.
        return now < not_after - ARRIVAL_SECONDS + KEEP_SECONDS

    def end(self, name: str, now: float) -> None:
        """Note that an attempt ended: from now on it may be forgotten."""
        self._arrived[name] = now

    def forget_old(self, now: float) -> set[str]:
        """Forget what ended, or was given up, long ago; the names forgotten."""
        limit = now - KEEP_SECONDS
        old = {n for n, t in self._arrived.items() if t is not None and t <= limit}
        for name in old:
            del self._arrived[name]
        self._tombstones = {n: t for n, t in self._tombstones.items() if t > limit}
        return old
