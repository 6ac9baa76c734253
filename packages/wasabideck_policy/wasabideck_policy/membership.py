"""The live VMs, and who among them reads the table, asks and tells whom."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from .rendezvous import rank

__all__ = ["AGENT", "ENTRY", "Heard", "Member", "Watch", "polls", "tell", "watched"]

ENTRY = "entry"
AGENT = "agent"
POLLERS = 3
WATCHED = 3
FANOUT_NEAR = 3
FANOUT_FAR = 1
FRESH_SECONDS = 3.0
WITNESSES = 2
SET_BACK_SECONDS = 5.0


@frozen
class Member:
    """One process of the system, as the platform's list gives it."""

    vm: str
    kind: str
    address: str
    region: str = ""
    data_centre: str = ""
    service: str = ""
    leaving: bool = False


def _live_entries(members: Iterable[Member]) -> dict[str, Member]:
    return {m.vm: m for m in members if m.kind == ENTRY and not m.leaving}


def polls(vm: str, data_centre: str, members: Iterable[Member]) -> list[Member]:
    """The few entries of a data centre that read the table's head for all in it.

    ``vm`` counts as live, so that an entry which the lagging list lacks reads too.
    """
    found = _live_entries(m for m in members if m.data_centre == data_centre)
    ranked = rank(data_centre, {*found, vm})[:POLLERS]
    return [found.get(name) or Member(name, ENTRY, "") for name in ranked]


def tell(
    vm: str, data_centre: str, members: Iterable[Member], rng: random.Random
) -> list[Member]:
    """The entries that an entry pushes a change to: most near, some far."""
    others = [m for m in _live_entries(members).values() if m.vm != vm]
    near = [m for m in others if m.data_centre == data_centre]
    far = [m for m in others if m.data_centre != data_centre]
    return [
        *rng.sample(near, min(FANOUT_NEAR, len(near))),
        *rng.sample(far, min(FANOUT_FAR, len(far))),
    ]


@define
class Watch:
    """Which entries failed lately, so that others are asked in their place."""

    _failed_at: dict[str, float] = field(factory=dict)

    def failed(self, vm: str, now: float) -> None:
        """Set an entry back that gave no answer."""
        self._failed_at[vm] = now

    def usable(self, vm: str, now: float) -> bool:
        """Whether an entry has not failed lately."""
        failed_at = self._failed_at.get(vm)
        return failed_at is None or now - failed_at > SET_BACK_SECONDS


def watched(
    vm: str, members: Iterable[Member], watch: Watch, now: float
) -> Sequence[Member]:
    """The few entries that an agent asks; one that failed lately comes last."""
    found = _live_entries(members)
    ranked = rank(vm, found)
    ranked.sort(key=lambda name: not watch.usable(name, now))
    return [found[name] for name in ranked[:WATCHED]]


@define
class Heard:
    """Whether a starting process knows enough of the tickets to act on them.

    A peer that was frozen answers with the state of a minute ago. So one answer
    counts alone only when it reflects the table's head of the last seconds; with
    the table down, several peers are needed, and the merge takes their newest.
    """

    done: bool = False
    _witnesses: set[str] = field(factory=set)

    def hear(self, vm: str, age: float, listed: int) -> bool:
        """Count a peer's state, ``age`` seconds behind the head; whether enough.

        ``listed`` is the number of entries that could be asked.
        """
        self._witnesses.add(vm)
        enough = len(self._witnesses) >= min(WITNESSES, max(listed, 1))
        self.done = self.done or age <= FRESH_SECONDS or enough
        return self.done
