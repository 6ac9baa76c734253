"""Log lines about connections that are turned away, a few for many of them."""

from __future__ import annotations

from attrs import define

from .connection_budget import Usage
from .events import Events

__all__ = ["TurnedAwayLog"]

# Minimum interval between two lines: a crowd is turned away by the hundred.
LOG_INTERVAL_SECONDS = 1.0


@define
class TurnedAwayLog:
    """Writes an event for the first connection, and then one a second at most."""

    events: Events
    _count: int = 0
    _logged_at: float = float("-inf")

    def __call__(self, usage: Usage, now: float) -> None:
        """Count a connection that is turned away, and log it if it is due."""
        self._count += 1
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self.events.emit(
            "connection.turned-away",
            listener=usage.listener,
            held=usage.held_bytes,
            stalled=round(now - usage.progress_at, 3),
            count=self._count,
        )
        self._logged_at, self._count = now, 0
