"""Detection of callers' connections that are idle or have a request in progress."""

from __future__ import annotations

from sanic.http import Stage
from sanic.server import AsyncioServer, HttpProtocol

__all__ = ["close_idle_connections", "count_requests_in_progress"]


def count_requests_in_progress(server: AsyncioServer) -> int:
    """Return the number of requests being received, run, or responded to.

    A request counts until the last byte of its response is sent. sanic's response
    hooks can't be used for the count: they run when a streamed response begins, and
    not at all for an aborted one, so that a shutdown would cut streams short.
    """
    return sum(not _is_idle(conn) for conn in server.connections)


def close_idle_connections(server: AsyncioServer) -> None:
    """Close the keep-alive connections that have no request in progress."""
    for conn in list(server.connections):
        if _is_idle(conn):
            conn.close()


def _is_idle(conn: HttpProtocol) -> bool:
    # Bytes in the buffer belong to a request that the connection's task has not read.
    stage = Stage.IDLE if conn.http is None else conn.http.stage
    return stage is Stage.IDLE and not conn.recv_buffer
