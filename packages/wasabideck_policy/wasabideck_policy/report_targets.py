"""Which entries an agent reports its engine to: a bounded number at a time.

Subsetting: if every agent reported to every entry, what each process sends and reads
would grow with the number of the other processes. Where an agent's own region has many
entries, it reports to them round robin. Of the other regions' entries each agent keeps
a few, drawn by rendezvous hashing, so that every entry receives reports of some servers
of each region and no two agents prefer the same entries.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from attrs import define

from .membership import ENTRY, Member
from .rendezvous import scorer

__all__ = ["ReportTargets", "report_targets"]

# Maximum number of entries that one report is sent to, in the agent's own region and
# in the other regions.
MAX_LOCAL_ENTRIES = 24
MAX_REMOTE_ENTRIES = 32
# Maximum number of entries of the own region that a major change is sent to at once.
MAX_URGENT_ENTRIES = 48


@define
class ReportTargets:
    """Entries that one agent reports to, and which of them are next.

    Attributes
    ----------
    local, remote : sequence of str
        Addresses of all entries of the agent's own region, and of the entries of other
        regions that the agent reports to.
    """

    local: Sequence[str] = ()
    remote: Sequence[str] = ()
    _next_index: int = 0

    def set_entries(self, local: Sequence[str], remote: Sequence[str]) -> None:
        """Set the entries to report to."""
        self.local, self.remote = local, remote

    def for_report(self, with_remote: bool) -> list[str]:
        """Return the entries that receive the next regular report."""
        targets = self._next_local(MAX_LOCAL_ENTRIES)
        return [*targets, *self.remote] if with_remote else targets

    def for_urgent_report(self) -> list[str]:
        """Return the entries that receive a major change at once."""
        return [*self._next_local(MAX_URGENT_ENTRIES), *self.remote]

    def _next_local(self, limit: int) -> list[str]:
        if len(self.local) <= limit:
            return list(self.local)
        first = self._next_index % len(self.local)
        self._next_index = first + limit
        return [*self.local[first:], *self.local[:first]][:limit]


def report_targets(
    vm: str, region: str, members: Iterable[Member]
) -> tuple[list[str], list[str]]:
    """Return addresses of a region's entries, and of the remote ones to report to."""
    entries = [member for member in members if member.kind == ENTRY]
    local = sorted(m.address for m in entries if m.region == region)
    remote = (m.address for m in entries if m.region != region)
    return local, heapq.nlargest(MAX_REMOTE_ENTRIES, remote, key=scorer(vm))
