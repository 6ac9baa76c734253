"""Options of listening sockets, which accepted connections inherit.

This module imports only modules that load quickly.
"""

from __future__ import annotations

import socket

__all__ = ["KERNEL_BUFFER_BYTES", "open_listener", "set_connection_options"]

# Buffers of the kernel for each direction of an accepted connection. A round trip
# between regions takes 6 ms, so that this allows some 10 MB a second.
KERNEL_BUFFER_BYTES = 64 * 1024


def set_connection_options(listener: socket.socket) -> None:
    """Limit the kernel's buffers of accepted connections, and send without delay.

    The buffers grow to megabytes for a peer that sends ahead or reads nothing. Event
    loops disable Nagle's algorithm only for sockets that they create themselves.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def open_listener(host: str, port: int, backlog: int = 128) -> socket.socket:
    """Return a listening socket whose connections have limited buffers.

    Raises ``OSError`` if the address cannot be listened on.
    """
    listener = socket.create_server((host, port), backlog=backlog)
    set_connection_options(listener)
    listener.setblocking(False)
    return listener
