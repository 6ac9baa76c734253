"""What is logged and counted of connections that are closed for a limit."""

from __future__ import annotations

from collections import Counter

import aioprometheus
from attrs import define, field

from .connection_budget import Limit, Usage
from .events import Events

__all__ = ["TurnedAwayLog"]

# Minimum interval between two lines about one limit of a listener: a crowd is turned
# away by the hundred.
LOG_INTERVAL_SECONDS = 1.0


@define
class TurnedAwayLog:
    """Counts all closed connections, and writes an event for a few of them.

    Attributes
    ----------
    registry : Registry
        Where the counter is registered.
    """

    events: Events
    registry: aioprometheus.Registry
    _total: aioprometheus.Counter = field(init=False)
    _unlogged: Counter = field(factory=Counter)
    _logged_at: dict[tuple[str, Limit], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Register the counter."""
        self._total = aioprometheus.Counter(
            "wasabideck_connections_turned_away_total",
            "Connections closed for a limit, by listener and limit.",
            registry=self.registry,
        )

    def __call__(self, usage: Usage, limit: Limit, now: float) -> None:
        """Count a connection that is closed, and log it if it is due."""
        self._total.inc({"listener": usage.listener, "limit": limit.value})
        key = usage.listener, limit
        self._unlogged[key] += 1
        if now - self._logged_at.get(key, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[key] = now
        self.events.emit(
            "connection.turned-away",
            listener=usage.listener,
            limit=limit.value,
            held=usage.held_bytes,
            stalled=round(now - usage.progress_at, 3),
            count=self._unlogged.pop(key),
        )
