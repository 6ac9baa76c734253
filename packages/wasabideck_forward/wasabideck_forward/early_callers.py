"""Callers whose connections waited while a process started, and how long they did."""

from __future__ import annotations

from attrs import define

__all__ = ["EarlyCallers"]

# The loop takes all connections that wait within so long (seconds).
TAKEN_SECONDS = 0.05


@define
class EarlyCallers:
    """Connections that were made before anything could take them.

    The kernel hands them out in the order in which they were made, and says nothing of
    when: they are supposed to have come evenly. Counted from when they were read, they
    would pass for requests that just came, and would be sent ahead of those.

    Attributes
    ----------
    since, opened : float
        From when on connections could be made, and could be taken, seconds.
    """

    since: float
    opened: float
    _count: int = 0

    def take(self, now: float) -> int | None:
        """Place of one more connection among those that waited; None for others."""
        if now - self.opened > TAKEN_SECONDS:
            return None
        self._count += 1
        return self._count

    def arrived(self, place: int) -> float:
        """When the request on the connection of that place came, seconds."""
        waited = self.opened - self.since
        return self.since + waited * place / (self._count + 1)
