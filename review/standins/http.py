"""A small HTTP/1.1 server on asyncio streams, which shows when its peer has left."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 503: "Service Unavailable"}


@dataclass
class Request:
    """One request, as it was read."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def peer_left(self) -> bool:
        """Whether the other side has closed or reset the connection."""
        gone = self.reader.at_eof() or self.reader.exception() is not None
        return gone or self.writer.is_closing()


@dataclass
class Response:
    """A whole response; None in place of one means that the handler wrote it."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[Request], Awaitable[Response | None]]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    headers = (("Content-Type", "application/json"),)
    return Response(status, json.dumps(value).encode(), headers)


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers, in lower case; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    """Return the next request on a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    path, _, query = target.partition("?")
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None
    fields = dict(parse_qsl(query))
    return Request(method, unquote(path), fields, headers, body, reader, writer)


def write_response(writer: asyncio.StreamWriter, response: Response) -> None:
    """Write a whole response."""
    reason = REASONS.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    lines.append(f"Content-Length: {len(response.body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + response.body)


async def start(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests one after the other on each connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (req := await read_request(reader, writer)) is not None:
                response = await handler(req)
                if response is not None:
                    write_response(writer, response)
                if writer.is_closing():
                    break
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, ip, port, backlog=512)
