"""Parsing of the addresses in settings and messages."""

from __future__ import annotations

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
