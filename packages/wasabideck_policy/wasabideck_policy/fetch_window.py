"""How many chunks a VM fetches concurrently, depending on how long they take."""

from __future__ import annotations

from attrs import define

__all__ = ["FetchWindow"]

# A slot is the time that one chunk takes on an idle link. On a link shared by five
# fetches a chunk takes five slots, and rarely more than seven. A chunk that takes twice
# as long was queued behind others on a link that has become slower. Live requests and
# the cancellations of disconnected callers then wait in the same queue: on a link at a
# quarter of its rate they were 1.7 s late.
SLOW_FETCH_SLOTS = 13.0
FAST_FETCH_SLOTS = 7.0


@define
class FetchWindow:
    """Limit of concurrent fetches: reduced by a slow fetch, raised by a fast one.

    Attributes
    ----------
    max_fetches : int
        Maximum concurrent fetches, used on a link with its nominal rate.
    slot_seconds : float
        Seconds that one chunk takes on such a link.
    """

    max_fetches: int
    slot_seconds: float
    limit: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with the maximum."""
        self.limit = self.max_fetches

    def record_duration(self, seconds: float) -> None:
        """Adjust the limit to the duration of a fetch."""
        if seconds > SLOW_FETCH_SLOTS * self.slot_seconds:
            self.limit = max(1, self.limit - 1)
        elif seconds < FAST_FETCH_SLOTS * self.slot_seconds:
            self.limit = min(self.max_fetches, self.limit + 1)
