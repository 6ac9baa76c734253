"""Transfers chunks between agents over plain HTTP, in small parts.

A chunk is requested in parts of a few kilobytes, one after the other, so that few bytes
of it wait in the link's queue ahead of the streams of the engine beside its sender. The
messages are those of the inner protocol. Framing them by HTTP/2 in Python took most of
an agent's processor time during a rollout.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator

import httptools
from google.protobuf.message import DecodeError, Message
from wasabideck_base.accounted_protocol import AccountedProtocol
from wasabideck_base.addresses import split_address
from wasabideck_base.connection_budget import ConnectionBudget
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.kernel_buffers import open_listener
from wasabideck_wire import inner_pb2 as pb

from .chunks_service import ChunksService
from .peer_calls import PeerCalls

__all__ = ["chunk_port", "http_calls", "listen_for_chunks"]

# Bytes of a chunk that are requested at once.
PART_BYTES = 4096
# A request takes a few hundred bytes; a longer one is malformed and closes the
# connection.
MAX_REQUEST_BYTES = 16 * 1024
BACKLOG = 256
# Maximum response bytes that a peer has not read. The connection to a peer that sends
# further requests without reading is closed.
MAX_UNREAD_BYTES = 64 * 1024
LISTENER = "chunks"


def chunk_port(inner_port: int) -> int:
    """Return the port on which an agent serves chunks, next to the inner protocol's."""
    return inner_port + 1


def http_calls(pool: HttpPool) -> PeerCalls:
    """Return calls to agents that listen with ``listen_for_chunks``."""

    async def fetch(
        address: str, req: pb.FetchRequest, seconds: float
    ) -> AsyncIterator[pb.FetchPart]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        offset = 0
        while True:
            path = f"/chunk/{_encoded(req)}"
            if offset:
                # This path is short, as requests share the link that sends chunks.
                path = f"/more/{req.vm}/{req.index}/{offset}"
            data = await _call(pool, address, path, deadline - loop.time())
            part = _decoded(pb.FetchPart, data)
            yield part
            offset += len(part.data)
            if part.refused or part.holdings:
                return

    async def holdings(
        address: str, req: pb.HoldingsRequest, seconds: float
    ) -> pb.HoldingsReply:
        data = await _call(pool, address, f"/holdings/{_encoded(req)}", seconds)
        return _decoded(pb.HoldingsReply, data)

    return PeerCalls(
        fetch, holdings, lambda address: pool.discard_idle(_chunk_address(address))
    )


async def listen_for_chunks(
    service: ChunksService, ip: str, port: int, budget: ConnectionBudget | None = None
) -> asyncio.Server:
    """Serve chunks to other agents on a port."""
    loop = asyncio.get_running_loop()
    budget = budget or ConnectionBudget()

    def factory() -> AccountedProtocol:
        protocol = _ChunkProtocol(service)
        return AccountedProtocol(
            protocol,
            budget,
            LISTENER,
            loop.time,
            lambda: protocol.request_bytes,
            is_answered=lambda: protocol.answered,
        )

    listener = open_listener(ip, port, BACKLOG)
    return await loop.create_server(factory, sock=listener, backlog=BACKLOG)


async def _call(pool: HttpPool, address: str, path: str, seconds: float) -> bytes:
    client = PooledClient(_chunk_address(address), max(seconds, 0.01), pool)
    try:
        _, data = await client.call("GET", path)
    except (PlatformUnavailable, PlatformRefused) as exc:
        # A peer is no service of the platform, so the error is that of a failed link.
        raise ConnectionError(str(exc)) from exc
    return data


def _chunk_address(address: str) -> str:
    """Return the address at which the agent with this address serves chunks."""
    host, port = split_address(address)
    return f"{host}:{chunk_port(port)}"


def _encoded(req: Message) -> str:
    return base64.urlsafe_b64encode(req.SerializeToString()).decode()


def _decoded(kind: type[Message], data: bytes) -> Message:
    try:
        return kind.FromString(data)
    except DecodeError as exc:
        raise ConnectionError(f"malformed {kind.__name__}") from exc


class _ChunkProtocol(asyncio.Protocol):
    """Serves one peer's connection, one request after the other."""

    def __init__(self, service: ChunksService):
        self._service = service
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self.request_bytes = 0
        self.answered = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes; abort the connection if they are no request."""
        self.request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self.request_bytes > MAX_REQUEST_BYTES:
            self._transport.abort()

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        if len(self._url) <= MAX_REQUEST_BYTES:
            self._url += url

    def on_message_complete(self) -> None:
        url, self._url, self.request_bytes = self._url, b"", 0
        self.answered = True
        response = _respond(self._service, url)
        status = b"400 Bad Request" if response is None else b"200 OK"
        body = response.SerializeToString() if response is not None else b""
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self._transport.abort()
            return
        self._transport.write(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
        )


def _respond(service: ChunksService, url: bytes) -> Message | None:
    """Return the response to a request, or None if the request is malformed."""
    kind, *rest = url.removeprefix(b"/").split(b"/")
    try:
        if kind == b"more":
            vm, index, offset = rest
            return service.next_part(vm.decode(), int(index), int(offset), PART_BYTES)
        (encoded,) = rest
        data = base64.b64decode(encoded, b"-_", validate=True)
        if kind == b"chunk":
            return service.first_part(pb.FetchRequest.FromString(data), PART_BYTES)
        if kind == b"holdings":
            return service.holdings(pb.HoldingsRequest.FromString(data))
    except (binascii.Error, DecodeError, ValueError):
        return None
    return None
