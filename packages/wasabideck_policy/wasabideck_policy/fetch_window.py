"""How many chunks a VM fetches at once, by how long they take."""

from __future__ import annotations

from attrs import define

__all__ = ["FetchWindow"]

# A chunk takes five slots of a link that is shared by five fetches, and rarely more
# than seven. One that took twice that waited behind others on a link that has become
# slower, and so does each live request and each word that a caller has left: on a link
# at a quarter of its rate they were 1.7 s late.
SLOW_SLOTS = 13.0
FAST_SLOTS = 7.0


@define
class FetchWindow:
    """Fetches at once: one less after a slow one, one more after a fast one.

    Attributes
    ----------
    most : int
        Fetches at once on a link that is as fast as it should be.
    slot : float
        Seconds that one chunk takes on such a link.
    """

    most: int
    slot: float
    limit: int = 0

    def __attrs_post_init__(self) -> None:
        """Begin with all."""
        self.limit = self.most

    def took(self, seconds: float) -> None:
        """Take in how long a fetch took."""
        if seconds > SLOW_SLOTS * self.slot:
            self.limit = max(1, self.limit - 1)
        elif seconds < FAST_SLOTS * self.slot:
            self.limit = min(self.most, self.limit + 1)
