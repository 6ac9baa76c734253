"""Chunks between agents over plain HTTP, a small part at a time.

A chunk is asked for in parts of a few kilobytes, one after the other, so that few bytes
of it wait in the link's queue before the streams of the engine beside its sender. The
messages are the inner protocol's; their framing by HTTP/2 in Python took most of an
agent's time while a version came.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator

import httptools
from google.protobuf.message import DecodeError, Message
from wasabideck_base.addresses import split_address
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.http_pool import HttpPool, PooledClient
from wasabideck_wire import inner_pb2 as pb

from .chunks_service import ChunksService
from .peer_calls import PeerCalls

__all__ = ["http_calls", "listen_for_chunks", "port_of_chunks"]

# Bytes of a chunk that are asked for at once.
PART_BYTES = 4096
# A question is a few hundred bytes; who sends more asks nothing.
MOST_QUESTION_BYTES = 16 * 1024
BACKLOG = 256
# Answers that a peer has not read; who asks on without reading is left.
MOST_UNREAD_BYTES = 64 * 1024


def port_of_chunks(inner_port: int) -> int:
    """The port beside the inner protocol's on which an agent gives chunks."""
    return inner_port + 1


def http_calls(pool: HttpPool) -> PeerCalls:
    """Calls of agents that listen with ``listen_for_chunks``."""

    async def fetch(
        address: str, req: pb.FetchRequest, seconds: float
    ) -> AsyncIterator[pb.FetchPart]:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        begin = 0
        while True:
            path = f"/chunk/{_quoted(req)}"
            if begin:
                # Short, as it goes over the link that carries chunks to others.
                path = f"/more/{req.vm}/{req.index}/{begin}"
            data = await _call(pool, address, path, until - loop.time())
            part = _message(pb.FetchPart, data)
            yield part
            begin += len(part.data)
            if part.refused or part.holdings:
                return

    async def holdings(
        address: str, req: pb.HoldingsRequest, seconds: float
    ) -> pb.HoldingsReply:
        data = await _call(pool, address, f"/holdings/{_quoted(req)}", seconds)
        return _message(pb.HoldingsReply, data)

    return PeerCalls(fetch, holdings, lambda address: pool.drop_idle(_beside(address)))


async def listen_for_chunks(
    service: ChunksService, ip: str, port: int
) -> asyncio.Server:
    """Give chunks to other agents on a port."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _Giver(service), ip, port, backlog=BACKLOG)


async def _call(pool: HttpPool, address: str, path: str, seconds: float) -> bytes:
    client = PooledClient(_beside(address), max(seconds, 0.01), pool)
    try:
        _, data = await client.call("GET", path)
    except (PlatformUnavailable, PlatformRefused) as exc:
        # A peer is no service of the platform: its link has failed.
        raise ConnectionError(str(exc)) from exc
    return data


def _beside(address: str) -> str:
    """Where an agent gives chunks that has this address."""
    host, port = split_address(address)
    return f"{host}:{port_of_chunks(port)}"


def _quoted(req: Message) -> str:
    return base64.urlsafe_b64encode(req.SerializeToString()).decode()


def _message(kind: type[Message], data: bytes) -> Message:
    try:
        return kind.FromString(data)
    except DecodeError as exc:
        raise ConnectionError(f"malformed {kind.__name__}") from exc


class _Giver(asyncio.Protocol):
    """One peer's connection: answers one question after the other."""

    def __init__(self, service: ChunksService):
        self._service = service
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._url = b""
        self._asked = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came; what is no question ends the connection."""
        self._asked += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()
            return
        if self._asked > MOST_QUESTION_BYTES:
            self._transport.abort()

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        if len(self._url) <= MOST_QUESTION_BYTES:
            self._url += url

    def on_message_complete(self) -> None:
        url, self._url, self._asked = self._url, b"", 0
        answer = _answer(self._service, url)
        status = b"400 Bad Request" if answer is None else b"200 OK"
        body = answer.SerializeToString() if answer is not None else b""
        if self._transport.get_write_buffer_size() > MOST_UNREAD_BYTES:
            self._transport.abort()
            return
        self._transport.write(
            b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
        )


def _answer(service: ChunksService, url: bytes) -> Message | None:
    """The message that a question is answered with; None if it is none."""
    kind, *rest = url.removeprefix(b"/").split(b"/")
    try:
        if kind == b"more":
            vm, index, begin = rest
            return service.next_part(vm.decode(), int(index), int(begin), PART_BYTES)
        (question,) = rest
        data = base64.b64decode(question, b"-_", validate=True)
        if kind == b"chunk":
            return service.first_part(pb.FetchRequest.FromString(data), PART_BYTES)
        if kind == b"holdings":
            return service.holdings(pb.HoldingsRequest.FromString(data))
    except (binascii.Error, DecodeError, ValueError):
        return None
    return None
