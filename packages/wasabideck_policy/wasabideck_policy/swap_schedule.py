"""Staggered version swaps of a service's servers, so that it keeps its capacity.

Servers do not ask each other for permission. Each has time slots of its own by its
rank, and in such a slot checks whether enough of the others are serving.
"""

from __future__ import annotations

from collections.abc import Collection

from .rendezvous import rank_vms

__all__ = ["may_swap", "in_own_slot", "max_swap_wait"]

MAX_SWAP_WAVES = 4
SLOT_SECONDS = 0.25
BASE_WAIT_SECONDS = 2.0


def in_own_slot(vm: str, ticket: int, vms: Collection[str], wall_time: float) -> bool:
    """Whether it is a server's time slot; ``vms`` are all VMs of its service.

    Clock skew reduces capacity for a moment and has no other effect.
    """
    waves = min(MAX_SWAP_WAVES, len(vms))
    wave = rank_vms(str(ticket), vms).index(vm) * waves // len(vms)
    return int(wall_time / SLOT_SECONDS) % waves == wave


def may_swap(queried: int, serving: int) -> bool:
    """Whether enough of the queried servers serve for this one to stop for a swap."""
    return queried - serving < max(1, (queried + 1) // MAX_SWAP_WAVES)


def max_swap_wait(swap_seconds: float) -> float:
    """Return the seconds after which a server swaps even if too few others serve.

    Otherwise servers that are down permanently would block a ticket. ``swap_seconds``
    is the duration of the server's last swap.
    """
    return BASE_WAIT_SECONDS + MAX_SWAP_WAVES * swap_seconds
