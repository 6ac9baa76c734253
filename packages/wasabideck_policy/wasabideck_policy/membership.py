"""The live VMs, and which of them read the table and exchange state with whom."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from .rendezvous import rank_vms

__all__ = [
    "AGENT",
    "ENTRY",
    "StartupKnowledge",
    "Member",
    "FailureTracker",
    "head_pollers",
    "push_targets",
    "entries_to_query",
]

ENTRY = "entry"
AGENT = "agent"
POLLERS_PER_DATA_CENTRE = 3
WATCHED_ENTRIES = 3
LOCAL_FANOUT = 3
REMOTE_FANOUT = 1
RECENT_STATE_SECONDS = 3.0
REQUIRED_PEERS = 2
FAILURE_BACKOFF_SECONDS = 5.0


@frozen
class Member:
    """One process of the deployment, as listed by the platform."""

    vm: str
    kind: str
    address: str
    region: str = ""
    data_centre: str = ""
    service: str = ""
    leaving: bool = False


def _live_entries(members: Iterable[Member]) -> dict[str, Member]:
    return {m.vm: m for m in members if m.kind == ENTRY and not m.leaving}


def head_pollers(vm: str, data_centre: str, members: Iterable[Member]) -> list[Member]:
    """Return the few entries that poll the table's head for their data centre.

    ``vm`` counts as live, so that an entry that the list does not contain yet polls
    as well.
    """
    entries = _live_entries(m for m in members if m.data_centre == data_centre)
    ranked = rank_vms(data_centre, {*entries, vm})[:POLLERS_PER_DATA_CENTRE]
    return [entries.get(name) or Member(name, ENTRY, "") for name in ranked]


def push_targets(
    vm: str, data_centre: str, members: Iterable[Member], rng: random.Random
) -> list[Member]:
    """Return the entries that an entry pushes a change to: mostly local ones."""
    others = [m for m in _live_entries(members).values() if m.vm != vm]
    local = [m for m in others if m.data_centre == data_centre]
    remote = [m for m in others if m.data_centre != data_centre]
    return [
        *rng.sample(local, min(LOCAL_FANOUT, len(local))),
        *rng.sample(remote, min(REMOTE_FANOUT, len(remote))),
    ]


@define
class FailureTracker:
    """Entries that failed recently, so that others are queried instead."""

    _failed_at: dict[str, float] = field(factory=dict)

    def record_failure(self, vm: str, now: float) -> None:
        """Record that an entry did not respond."""
        self._failed_at[vm] = now

    def usable(self, vm: str, now: float) -> bool:
        """Whether an entry has not failed recently."""
        failed_at = self._failed_at.get(vm)
        return failed_at is None or now - failed_at > FAILURE_BACKOFF_SECONDS


def entries_to_query(
    vm: str, members: Iterable[Member], watch: FailureTracker, now: float
) -> Sequence[Member]:
    """Return the few entries that an agent queries; recently failed ones come last."""
    entries = _live_entries(members)
    ranked = rank_vms(vm, entries)
    ranked.sort(key=lambda name: not watch.usable(name, now))
    return [entries[name] for name in ranked[:WATCHED_ENTRIES]]


@define
class StartupKnowledge:
    """Whether a starting process knows enough of the tickets to act on them.

    A peer that was paused may reply with the state of a minute ago. So a single reply
    is enough only if it reflects the table's head of the last few seconds. While the
    table is unavailable, the replies of several peers are needed, and the merge keeps
    the newest state.
    """

    sufficient: bool = False
    _received_from: set[str] = field(factory=set)

    def record_peer_state(self, vm: str, age: float, listed: int) -> bool:
        """Record a peer's state; return whether enough is known.

        ``age`` is the number of seconds by which the state lags behind the table's
        head, and ``listed`` the number of entries that could be queried.
        """
        self._received_from.add(vm)
        enough = len(self._received_from) >= min(REQUIRED_PEERS, max(listed, 1))
        self.sufficient = self.sufficient or age <= RECENT_STATE_SECONDS or enough
        return self.sufficient
