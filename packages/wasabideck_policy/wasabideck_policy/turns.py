"""Turns of a service's servers at swapping versions, so that it keeps its capacity.

No server asks another for leave. Each has a slot of time of its own by its rank,
and in it looks whether enough of the others serve.
"""

from __future__ import annotations

from collections.abc import Collection

from .rendezvous import rank

__all__ = ["may_swap", "own_turn", "patience"]

WAVES = 4
SLOT_SECONDS = 0.25
PATIENCE_SECONDS = 2.0


def own_turn(vm: str, ticket: int, vms: Collection[str], wall: float) -> bool:
    """Whether it is a server's slot of time; ``vms`` are all of its service.

    Clocks that differ cost capacity for a moment, and nothing else.
    """
    waves = min(WAVES, len(vms))
    wave = rank(str(ticket), vms).index(vm) * waves // len(vms)
    return int(wall / SLOT_SECONDS) % waves == wave


def may_swap(asked: int, serving: int) -> bool:
    """Whether enough of the asked others serve for this server to stop for a swap."""
    return asked - serving < max(1, (asked + 1) // WAVES)


def patience(swap_seconds: float) -> float:
    """Seconds after which a server swaps all the same.

    Others that are down for good must not hold a ticket back. ``swap_seconds`` is
    what its last swap took.
    """
    return PATIENCE_SECONDS + WAVES * swap_seconds
