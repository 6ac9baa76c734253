"""Rendezvous hashing: equal sets of VMs give equal orders without communication."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import xxhash

__all__ = ["rank_vms", "scorer"]


def scorer(item: str) -> Callable[[str], int]:
    """Return a function that scores a VM by its name; the highest score ranks first."""
    return lambda vm: xxhash.xxh64_intdigest(f"{item}|{vm}".encode())


def rank_vms(item: str, vms: Iterable[str]) -> list[str]:
    """Return the VMs in rendezvous order for an item."""
    return sorted(vms, key=scorer(item), reverse=True)
