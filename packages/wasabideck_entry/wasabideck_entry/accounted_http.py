"""Accounts for what the connections of the entry's HTTP server hold."""

from __future__ import annotations

import asyncio
import ssl
import time
from collections.abc import Callable
from functools import partial

from wasabideck_base.accounted_protocol import AccountedProtocol
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.tls_handshake import HandshakeProtocol

from .http_connection import EntryProtocol
from .turns import TurnQueue

__all__ = ["LISTENER", "MAX_HEADER_BYTES", "protocol_factory"]

LISTENER = "http"
# Maximum size of a request's head.
MAX_HEADER_BYTES = 8192
# Memory of a connection's task, and of a request for each byte of its head: a header of
# a few bytes becomes several strings.
TASK_BYTES = 32 * 1024
HEAD_COST_RATIO = 75


def protocol_factory(
    budget: ConnectionBudget, context: ssl.SSLContext | None
) -> Callable[..., asyncio.Protocol]:
    """Return a function that creates the protocol of an accepted connection."""
    turns = TurnQueue()

    def create(**options: object) -> asyncio.Protocol:
        if context is None:
            return create_accounted(**options)
        create_protocol = partial(create_accounted, **options)
        return HandshakeProtocol(
            create_protocol, context, budget, LISTENER, time.monotonic
        )

    def create_accounted(**options: object) -> AccountedProtocol:
        conn = EntryProtocol(turns, **options)
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


def _held_bytes(conn: EntryProtocol) -> int:
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
