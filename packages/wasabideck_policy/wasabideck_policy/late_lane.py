"""How many late requests an entry lets engines begin at a time.

What is late already earns a fraction of what is in time. At an engine it takes a place
for seconds, and its prompt holds up all that are there. After an outage everyone whom
it made late comes at once: sent on as they come, they fill all places, and what comes
after them is late as well, for eight seconds in place of two. So each entry has few of
them on their way to a first event, where a place is free; the others wait for their
turn here, or are told to come back.
"""

from __future__ import annotations

from collections.abc import Hashable

from attrs import define, field

__all__ = ["LateLane"]


@define
class LateLane:
    """Late requests of one entry that engines have and have not begun."""

    _unbegun: set[Hashable] = field(factory=set)

    def has_room(self, engines: int, entries: int) -> bool:
        """Whether one more may be sent.

        Parameters
        ----------
        engines, entries : int
            Engines that may serve it, and entries that send to them.
        """
        return len(self._unbegun) < max(1, engines // max(entries, 1))

    def sent(self, request: Hashable) -> None:
        """Note that a late request is sent."""
        self._unbegun.add(request)

    def begun(self, request: Hashable) -> None:
        """Note that a request's first event has come, or that none will."""
        self._unbegun.discard(request)
