"""Parsing of the addresses in settings and messages."""

from __future__ import annotations

import re
from ipaddress import IPv4Address

__all__ = ["split_address", "split_ip_address", "split_peer_address"]

MAX_PORT = 65535
HOST = re.compile(r"[A-Za-z0-9.-]+")


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def split_peer_address(address: str) -> tuple[str, int]:
    """Return the host and the port of another process; raise ``ValueError`` otherwise.

    An event loop may connect to another port where one is out of range.
    """
    host, _, port = address.rpartition(":")
    if not HOST.fullmatch(host):
        raise ValueError("the host must be a name or an IP address")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"the port must be from 1 to {MAX_PORT}")
    return host, int(port)


def split_ip_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``; raise ``ValueError`` for others."""
    host, port = split_peer_address(address)
    return str(IPv4Address(host)), port
