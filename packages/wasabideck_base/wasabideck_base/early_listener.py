"""A socket that listens before the rest of a process has started.

An entry needs half a second to import its modules. When all entries restart at the
same time, as after a power failure, every caller that connects in that time would be
refused, and so would its retry. With the socket open early, the connection waits in the
backlog until the entry has started.

This module imports only modules that load quickly.
"""

from __future__ import annotations

import socket
import time

from .addresses import split_address
from .kernel_buffers import set_connection_options

__all__ = ["LISTEN_BACKLOG", "EarlyListener"]

LISTEN_BACKLOG = 1024


class EarlyListener:
    """Listening socket that is opened early; its owner accepts the connections.

    Attributes
    ----------
    listening_since : float
        Time on the monotonic clock, in seconds, at which the socket began to listen.
    """

    def __init__(self, address: str):
        """Listen at ``HOST:PORT``.

        Raises
        ------
        OSError, OverflowError
            The socket cannot listen at the address, or the port is out of range.
        """
        host, port = split_address(address)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            set_connection_options(self.sock)
            self.sock.setblocking(False)
            self.sock.bind((host, port))
            self.sock.listen(LISTEN_BACKLOG)
        except (OSError, OverflowError):
            self.sock.close()
            raise
        self.listening_since = time.monotonic()
