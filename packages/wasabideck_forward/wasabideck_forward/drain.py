"""The time in which an entry that shuts down finishes the requests that it has."""

from __future__ import annotations

from attrs import define

__all__ = ["Drain"]


@define
class Drain:
    """Progress of an entry's graceful shutdown.

    Attributes
    ----------
    started_at : float or None
        When it started, in seconds; None while the entry is not shutting down.
    """

    started_at: float | None = None

    def seconds(self, now: float) -> float | None:
        """Return for how long the entry has been shutting down; None if it isn't."""
        return None if self.started_at is None else now - self.started_at
