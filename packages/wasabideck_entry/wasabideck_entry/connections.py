"""Callers' connections: which have a request in progress, and which are idle."""

from __future__ import annotations

from sanic.http import Stage
from sanic.server import AsyncioServer, HttpProtocol

__all__ = ["close_idle", "in_progress"]


def in_progress(server: AsyncioServer) -> int:
    """Requests that are being received, run, or answered to the last byte.

    sanic's response hooks run when a streamed response begins, and not at all for
    one that is broken off, so a count kept by them lets a stop cut streams short.
    """
    return sum(not _idle(conn) for conn in server.connections)


def close_idle(server: AsyncioServer) -> None:
    """Close kept-alive connections on which nothing is in progress."""
    for conn in list(server.connections):
        if _idle(conn):
            conn.close()


def _idle(conn: HttpProtocol) -> bool:
    # Bytes in the buffer are a request that its connection's task has yet to see.
    stage = Stage.IDLE if conn.http is None else conn.http.stage
    return stage is Stage.IDLE and not conn.recv_buffer
