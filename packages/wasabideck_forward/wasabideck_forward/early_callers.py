"""Callers that connected while the process was starting, and how long they waited."""

from __future__ import annotations

from attrs import define

__all__ = ["EarlyCallers"]

# Time within which the event loop accepts all connections that wait in the backlog.
ACCEPT_BACKLOG_SECONDS = 0.05


@define
class EarlyCallers:
    """Connections that were made before the process could accept any.

    The kernel returns them in the order in which they were made, without the times:
    they are assumed to be evenly distributed. If their requests counted from when they
    were read, they would be taken for new requests and sent ahead of those that are.

    Attributes
    ----------
    listening_since, accepting_since : float
        When connections could first be made, and first be accepted, in seconds.
    """

    listening_since: float
    accepting_since: float
    _count: int = 0

    def assign_position(self, now: float) -> int | None:
        """Return a new connection's position among those that waited.

        Return None for a connection that did not wait.
        """
        if now - self.accepting_since > ACCEPT_BACKLOG_SECONDS:
            return None
        self._count += 1
        return self._count

    def arrival_time(self, position: int) -> float:
        """Return when the request on the connection at a position came, in seconds."""
        waited = self.accepting_since - self.listening_since
        return self.listening_since + waited * position / (self._count + 1)
