"""Staggered version swaps of a service's servers, so that it keeps its capacity.

Servers do not ask each other for permission. Each has time slots of its own by its
rank, and in such a slot checks whether enough of the others are serving.
"""

from __future__ import annotations

from collections.abc import Collection

from .rendezvous import rank

__all__ = ["may_swap", "own_turn", "patience"]

WAVES = 4
SLOT_SECONDS = 0.25
BASE_WAIT_SECONDS = 2.0


def own_turn(vm: str, ticket: int, vms: Collection[str], wall_time: float) -> bool:
    """Whether it is a server's time slot; ``vms`` are all VMs of its service.

    Clock skew reduces capacity for a moment and has no other effect.
    """
    waves = min(WAVES, len(vms))
    wave = rank(str(ticket), vms).index(vm) * waves // len(vms)
    return int(wall_time / SLOT_SECONDS) % waves == wave


def may_swap(queried: int, serving: int) -> bool:
    """Whether enough of the queried servers serve for this one to stop for a swap."""
    return queried - serving < max(1, (queried + 1) // WAVES)


def patience(swap_seconds: float) -> float:
    """Return the seconds after which a server swaps even if too few others serve.

    Otherwise servers that are down permanently would block a ticket. ``swap_seconds``
    is the duration of the server's last swap.
    """
    return BASE_WAIT_SECONDS + WAVES * swap_seconds
