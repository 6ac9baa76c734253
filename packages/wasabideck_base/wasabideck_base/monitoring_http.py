"""HTTP server for metrics and readiness: one small GET request on each connection."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus

from attrs import field, frozen

from .connection_budget import ACCEPTED_CONNECTION_BYTES, ConnectionBudget
from .kernel_buffers import open_listener
from .tls_handshake import HandshakeProtocol

__all__ = ["LISTENER", "MonitoringResponse", "serve_monitoring"]

# Maximum duration of a request; the connection is closed after that.
TIMEOUT_SECONDS = 5.0
# Maximum size of a request's head. A stream reader buffers twice as much.
MAX_HEAD_BYTES = 16 * 1024
LISTENER = "metrics"


@frozen
class MonitoringResponse:
    """A complete response."""

    body: bytes = b""
    status: int = 200
    headers: Mapping[str, str] = field(factory=dict)


# Receives the path and the value of the Accept header.
Respond = Callable[[str, str], MonitoringResponse]


async def serve_monitoring(
    respond: Respond,
    host: str,
    port: int,
    budget: ConnectionBudget,
    ssl_context: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Serve responses at an address; raises ``OSError`` if it is in use."""
    loop = asyncio.get_running_loop()
    serve = partial(_serve_connection, respond, budget)

    def create_protocol() -> asyncio.Protocol:
        reader = asyncio.StreamReader(limit=MAX_HEAD_BYTES)
        return asyncio.StreamReaderProtocol(reader, serve)

    def accept() -> asyncio.Protocol:
        if ssl_context is None:
            return create_protocol()
        return HandshakeProtocol(
            create_protocol, ssl_context, budget, LISTENER, loop.time
        )

    return await loop.create_server(accept, sock=open_listener(host, port))


async def _serve_connection(
    respond: Respond,
    budget: ConnectionBudget,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    clock = asyncio.get_running_loop().time
    transport = writer.transport
    usage = budget.open(LISTENER, lambda lingers: transport.abort(), clock())
    held = ACCEPTED_CONNECTION_BYTES + 2 * MAX_HEAD_BYTES
    budget.report(usage, held, clock())
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
            data = _encode(respond(*_parse(head)))
            budget.report(usage, held + len(data), clock())
            writer.write(data)
            writer.close()
            await writer.wait_closed()
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        # The client disconnected, sent no HTTP request, or does not read the response.
        transport.abort()
    finally:
        budget.close(usage)


def _parse(head: bytes) -> tuple[str, str]:
    """Return the path of a request and the value of its Accept header."""
    first, *lines = head.decode("latin-1").split("\r\n")
    words = first.split(" ")
    target = words[1] if len(words) > 1 else ""
    accept = ""
    for line in lines:
        name, _, value = line.partition(":")
        if name.lower() == "accept":
            accept = value.strip()
    return target.partition("?")[0], accept


def _encode(response: MonitoringResponse) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(response.body)}", "Connection: close"]
    return "\r\n".join([*lines, "", ""]).encode() + response.body
