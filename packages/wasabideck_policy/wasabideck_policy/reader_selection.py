"""Which entries of a region watch a table for the others, and who relies on them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from .membership import ENTRY, Member
from .rendezvous import rank_vms

__all__ = [
    "CONFIRMATION_VALID_SECONDS",
    "MIN_ENTRIES_FOR_SHARING",
    "MIN_ENTRIES_FOR_SHARING_LARGE_ROWS",
    "READERS_PER_REGION",
    "RegionReaderView",
]

# With two readers, a region still learns of a change at once when one of them ends.
READERS_PER_REGION = 2
# In regions with fewer entries each entry reads for itself: sharing would save only a
# copy or two of each change, and would delay the change while readers are cut off.
MIN_ENTRIES_FOR_SHARING = 5
# The same where rows are large, and a copy fills the region's link for a while.
MIN_ENTRIES_FOR_SHARING_LARGE_ROWS = 3
# How long a reader's confirmation that it follows the table is valid. An entry whose
# readers are suspended queries the store itself after that, and has one second left
# until a change has to be in effect.
CONFIRMATION_VALID_SECONDS = 0.7
# Interval after which an unresponsive reader is queried again.
PROBE_INTERVAL_SECONDS = 3.0


@define
class RegionReaderView:
    """What one entry knows of the readers of its region.

    The first entries in rank that are not known to be unresponsive are the readers.
    Entries need not agree on them: an entry relies on another only after that one has
    confirmed that it follows the table. Without a valid confirmation an entry follows
    the table itself.

    Attributes
    ----------
    min_entries : int
        Minimum number of entries of a region that share readers.
    last_confirmed_at : float
        When the query was sent that the newest confirmation answered, seconds.
    """

    vm: str
    region: str
    min_entries: int = MIN_ENTRIES_FOR_SHARING
    _unresponsive: dict[str, float] = field(factory=dict)
    last_confirmed_at: float = float("-inf")
    _confirmed_at: dict[str, float] = field(factory=dict)

    def readers(self, members: Iterable[Member]) -> list[str]:
        """Return the readers as known to this entry, which may be one itself."""
        ranked = self._ranked(members)
        if len(ranked) < self.min_entries:
            return ranked
        return [vm for vm in ranked if vm not in self._unresponsive][
            :READERS_PER_REGION
        ]

    def is_shared_reader(self, members: Iterable[Member]) -> bool:
        """Whether this entry is a reader on which others rely."""
        members = list(members)
        large = len(self._ranked(members)) >= self.min_entries
        return large and self.is_reader(members)

    def is_reader(self, members: Iterable[Member]) -> bool:
        """Whether this entry is a reader."""
        return self.vm in self.readers(members)

    def readers_to_query(self, members: Iterable[Member], now: float) -> list[str]:
        """Return the readers to query, and unresponsive entries that rank before them.

        A reader needs no confirmation, but has to notice when an unresponsive entry
        responds again.
        """
        members = list(members)
        readers = self.readers(members)
        queried = [] if self.vm in readers else list(readers)
        if len(self._ranked(members)) < self.min_entries:
            return queried
        for vm in self._ranked(members):
            if vm == readers[-1] and len(readers) == READERS_PER_REGION:
                break
            if now - self._unresponsive.get(vm, float("inf")) >= PROBE_INTERVAL_SECONDS:
                queried.append(vm)
        return queried

    def followers_to_notify(self, members: Iterable[Member]) -> list[str]:
        """Return the followers that this reader notifies; none if it is no reader.

        The other reader notifies the remaining followers.
        """
        members = list(members)
        readers = self.readers(members)
        if self.vm not in readers:
            return []
        ranked = self._ranked(members)
        followers = [
            v for v in ranked if v not in readers and v not in self._unresponsive
        ]
        return followers[readers.index(self.vm) :: len(readers)]

    def record_follows(self, vm: str, queried_at: float) -> None:
        """Record that an entry, queried at that time, follows the table."""
        self._unresponsive.pop(vm, None)
        self._confirmed_at[vm] = queried_at
        self.last_confirmed_at = max(self.last_confirmed_at, queried_at)

    def record_not_following(self, vm: str) -> None:
        """Record that an entry does not follow the table, or gets no data of it."""
        self._unresponsive.pop(vm, None)
        self._confirmed_at.pop(vm, None)

    def record_unresponsive(self, vm: str, now: float) -> None:
        """Record that an entry did not respond."""
        self._unresponsive[vm] = now
        self._confirmed_at.pop(vm, None)

    def has_valid_confirmation(self, now: float) -> bool:
        """Whether the confirmation of some entry is still valid."""
        newest = max(self._confirmed_at.values(), default=float("-inf"))
        return now - newest < CONFIRMATION_VALID_SECONDS

    def _ranked(self, members: Iterable[Member]) -> list[str]:
        entries = {m.vm for m in members if m.kind == ENTRY and m.region == self.region}
        return rank_vms(self.region, entries | {self.vm})
