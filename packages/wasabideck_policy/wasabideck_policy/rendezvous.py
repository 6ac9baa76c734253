"""Rendezvous ranks: all who know the same VMs agree without talking."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

__all__ = ["rank", "score"]


def score(item: str) -> Callable[[str], int]:
    """A VM's score for an item, as a function of its name; the largest is first."""
    return lambda vm: xxhash.xxh64_intdigest(f"{item}|{vm}".encode())


def rank(item: str, vms: Iterable[str]) -> list[str]:
    """VMs in rendezvous order for an item."""
    return sorted(vms, key=score(item), reverse=True)
