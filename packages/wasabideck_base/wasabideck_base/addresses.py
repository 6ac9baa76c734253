"""Addresses as settings and messages write them."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
