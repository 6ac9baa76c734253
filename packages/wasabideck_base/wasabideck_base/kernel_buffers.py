"""Limits on the kernel's buffers of accepted connections.

This module imports only modules that load quickly.
"""

from __future__ import annotations

import socket

__all__ = ["KERNEL_BUFFER_BYTES", "limit_buffers"]

# Buffers of the kernel for each direction of an accepted connection. A round trip
# between regions takes 6 ms, so that this allows some 10 MB a second.
KERNEL_BUFFER_BYTES = 64 * 1024


def limit_buffers(listener: socket.socket) -> None:
    """Limit the kernel's buffers of the connections that a socket accepts.

    They grow to megabytes for a peer that sends ahead or reads nothing.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
