"""Accounts for what the connections of the entry's HTTP server hold."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from functools import partial

from sanic import Request
from sanic.server import HttpProtocol
from wasabideck_base.accounted_protocol import AccountedProtocol
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.tls_handshake import HandshakeProtocol

__all__ = ["LISTENER", "MAX_HEADER_BYTES", "EntryRequest", "protocol_factory"]

LISTENER = "http"
# Maximum size of a request's head.
MAX_HEADER_BYTES = 8192
# Memory of a connection's task, and of a request for each byte of its head: a header of
# a few bytes becomes several strings.
TASK_BYTES = 32 * 1024
HEAD_COST_RATIO = 75
# Chunks of a body that are read before other connections have their turn.
CHUNKS_AT_ONCE = 256


class EntryRequest(Request):
    """A request whose body is kept in one piece while it is received."""

    async def receive_body(self) -> None:
        """Receive the body; it may come in chunks of a few bytes."""
        if self.body:
            return
        body = bytearray()
        count = 0
        async for data in self.stream:
            body += data
            count += 1
            if count % CHUNKS_AT_ONCE == 0:
                await asyncio.sleep(0)
        self.body = bytes(body)


def protocol_factory(
    budget: ConnectionBudget, context: ssl.SSLContext | None
) -> Callable[..., asyncio.Protocol]:
    """Return a function that creates the protocol of an accepted connection."""

    def create(**options: object) -> asyncio.Protocol:
        if context is None:
            return create_accounted(**options)
        create_protocol = partial(create_accounted, **options)
        return HandshakeProtocol(
            create_protocol, context, budget, LISTENER, time.monotonic
        )

    def create_accounted(**options: object) -> AccountedProtocol:
        conn = HttpProtocol(**options)
        return AccountedProtocol(
            conn,
            budget,
            LISTENER,
            time.monotonic,
            lambda: _held_bytes(conn),
            # The connection itself pauses reading while its buffer is full.
            part_bytes=None,
            is_answered=lambda: conn.state["requests_count"] > 0,
        )

    return create


def _held_bytes(conn: HttpProtocol) -> int:
    http, unread = conn.http, len(conn.recv_buffer)
    held, head = TASK_BYTES + unread, 0
    if http is not None and http.request is not None:
        received = (http.request_bytes or 0) - (http.request_bytes_left or 0)
        held, head = held + received, len(http.request.head)
    if http is None or not http.request_body:
        # What is not read yet begins with a head, which may be parsed before the
        # connection reports again.
        head = max(head, min(unread, MAX_HEADER_BYTES))
    return held + HEAD_COST_RATIO * head
