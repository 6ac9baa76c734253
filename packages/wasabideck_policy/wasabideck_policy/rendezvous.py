"""Rendezvous hashing: all who know the same VMs agree without communication."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

__all__ = ["rank_vms", "scorer"]


def scorer(item: str) -> Callable[[str], int]:
    """Return a function from a VM's name to its score; the highest score is first."""
    return lambda vm: xxhash.xxh64_intdigest(f"{item}|{vm}".encode())


def rank_vms(item: str, vms: Iterable[str]) -> list[str]:
    """Return the VMs in rendezvous order for an item."""
    return sorted(vms, key=scorer(item), reverse=True)
