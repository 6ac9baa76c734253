"""Which entries an agent tells of its engine: a bounded number at a time.

Subsetting: every agent would else tell every entry, and what each process sends and
reads would grow with the number of the others. Entries near by take turns where they
are many; of those far off each agent keeps a few, drawn by rendezvous hashing, so that
every entry hears of some servers of each region and no two agents prefer the same.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence

from attrs import define

from .membership import ENTRY, Member
from .rendezvous import score

__all__ = ["Audience", "audience_of"]

# Entries that one word goes to, of the agent's own region and of the others.
NEAR_MOST = 24
FAR_MOST = 32
# A big change is told to so many near by at once.
URGENT_MOST = 48


@define
class Audience:
    """Entries that one agent tells, and whose turn it is.

    Attributes
    ----------
    near, far : sequence of str
        Addresses of entries in the agent's own region, and of those kept of others.
    """

    near: Sequence[str] = ()
    far: Sequence[str] = ()
    _turn: int = 0

    def take(self, near: Sequence[str], far: Sequence[str]) -> None:
        """Take in who is there."""
        self.near, self.far = near, far

    def for_word(self, with_far: bool) -> list[str]:
        """Who hears the next regular word."""
        told = self._near_in_turn(NEAR_MOST)
        return [*told, *self.far] if with_far else told

    def for_change(self) -> list[str]:
        """Who hears of a big change at once."""
        return [*self._near_in_turn(URGENT_MOST), *self.far]

    def _near_in_turn(self, most: int) -> list[str]:
        if len(self.near) <= most:
            return list(self.near)
        first = self._turn % len(self.near)
        self._turn = first + most
        return [*self.near[first:], *self.near[:first]][:most]


def audience_of(
    vm: str, region: str, members: Iterable[Member]
) -> tuple[list[str], list[str]]:
    """Addresses of the entries near a VM, and of those that it tells far off."""
    entries = [member for member in members if member.kind == ENTRY]
    near = sorted(m.address for m in entries if m.region == region)
    far = (m.address for m in entries if m.region != region)
    return near, heapq.nlargest(FAR_MOST, far, key=score(vm))
