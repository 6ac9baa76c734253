"""A socket that takes connections before the rest of a process has started.

An entry needs half a second to import what it runs. When all of them start again at
the same time, as after a loss of power, each caller that comes meanwhile would be
turned away, and try once more in vain; here it waits for the rest of that time.

Nothing is imported here that takes long to import.
"""

from __future__ import annotations

import socket
import time

from .addresses import split_address

__all__ = ["BACKLOG", "EarlyListener"]

BACKLOG = 1024


class EarlyListener:
    """Listens at an address, and takes no connection itself.

    Attributes
    ----------
    since : float
        From when on connections can be made, on the monotonic clock, seconds.
    """

    def __init__(self, address: str):
        """Listen at ``HOST:PORT``; raises ``OSError`` if that cannot be."""
        host, port = split_address(address)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind((host, port))
            self.sock.listen(BACKLOG)
        except (OSError, OverflowError):
            self.sock.close()
            raise
        self.since = time.monotonic()
