"""Parts of requests and responses that decide how they are forwarded.

Which headers carry them depends on the deployment. An adapter creates these types from
headers, and writes the head of a request to a server.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from attrs import define, field, frozen

__all__ = [
    "REPORTED_BYTES",
    "HeaderBlock",
    "ResponseHead",
    "ResponseUsage",
    "CallerRequest",
    "Headers",
    "ServerLoad",
    "RequestHead",
    "RequestParameters",
    "HeadCodec",
    "announces_close",
    "ends_with_connection",
    "first_header",
    "keep_alive_seconds",
    "end_to_end_headers",
]

Headers = Iterable[tuple[bytes, bytes]]

# A response that holds less is not reported each time it changes.
REPORTED_BYTES = 16 * 1024

# Headers of a request that are kept as pairs, and the least bytes of a line beside its
# name and value.
MAX_HEADER_PAIRS = 32
LINE_OVERHEAD_BYTES = 2

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that this proxy writes
# itself.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class HeaderBlock:
    """Headers of a request; beyond a few, they are kept in one block of bytes.

    A tuple of two byte strings takes some 180 bytes for a line of four, and a request
    keeps its headers until it is answered.
    """

    def __init__(self) -> None:
        self._pairs: list[tuple[bytes, bytes]] = []
        self._lines = bytearray()
        self._size = 0

    def append(self, name: bytes, value: bytes) -> None:
        """Append a header; a parser has checked that neither contains a line end."""
        self._size += len(name) + len(value) + LINE_OVERHEAD_BYTES
        self._pairs.append((name, value))
        if len(self._pairs) > MAX_HEADER_PAIRS:
            for pair in self._pairs:
                self._lines += b"%s:%s\n" % pair
            self._pairs.clear()

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        if not self._lines:
            return iter(self._pairs)
        return chain(self._parse_lines(), self._pairs)

    def _parse_lines(self) -> Iterator[tuple[bytes, bytes]]:
        for line in bytes(self._lines).split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield name, value

    @property
    def size(self) -> int:
        """The size in bytes, without the optional spaces of the lines received."""
        return self._size


@frozen
class ServerLoad:
    """Running and queued requests of a server, and the maximum that it runs at once."""

    running: int
    waiting: int
    slots: int


@frozen
class RequestHead:
    """Values from a request's headers that decide how it is handled.

    Attributes
    ----------
    request_id : str
        Id of the request; each retry of the caller has its own.
    wait_seconds : float or None
        Seconds that the caller waits.
    api_key : str
        The caller's key; empty if there is none.
    model : str
        The requested model; empty for plain services.
    prompt_tokens, max_response_tokens : int
        Tokens of the prompt, and the maximum tokens of the response.
    prompt_parts : tuple of str
        Ids of the prompt's parts in order. Other requests may share all but the last.
    last_event_id : bytes
        Id of the last event that the caller received of an aborted stream.
    """

    request_id: str
    host: str
    wait_seconds: float | None = None
    api_key: str = ""
    model: str = ""
    prompt_tokens: int = 0
    max_response_tokens: int = 0
    prompt_parts: tuple[str, ...] = ()
    last_event_id: bytes = b""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        return self.prompt_parts[:-1]


@define(eq=False)
class ResponseUsage:
    """Bytes of a response that are held until they are written to the caller.

    Attributes
    ----------
    sockets : int
        Connections to servers that the request uses.
    on_change : callable
        Called when what is held changes, except by a few bytes.
    on_sockets : callable
        Called with the number of connections when it changes.
    """

    held_bytes: int = 0
    sockets: int = 0
    on_change: Callable[[], None] = lambda: None
    on_sockets: Callable[[int], None] = lambda sockets: None

    def add(self, held_bytes: int) -> None:
        """Change what is held; negative numbers release it."""
        before = self.held_bytes
        self.held_bytes += held_bytes
        if max(before, self.held_bytes) >= REPORTED_BYTES:
            self.on_change()

    def add_sockets(self, count: int) -> None:
        """Change the number of connections to servers."""
        self.sockets += count
        self.on_sockets(self.sockets)


@define(eq=False)
class CallerRequest:
    """A complete request as it was read.

    Attributes
    ----------
    arrived_at : float
        When its first byte was received, in seconds.
    usage : ResponseUsage
        What of the response is held for the caller.
    """

    method: bytes
    target: bytes
    headers: Headers
    head: RequestHead
    arrived_at: float
    keep_alive: bool = True
    http10: bool = False
    body: bytes | bytearray = b""
    usage: ResponseUsage = field(factory=lambda: ResponseUsage())

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class RequestParameters:
    """Values that are sent to a server in addition to the caller's request.

    Attributes
    ----------
    server : str
        The server that the request is for; any other server refuses it.
    seconds_left : float or None
        Seconds left until the deadline.
    version : int
        The only version of weights that may run it; 0 for any.
    """

    server: str
    seconds_left: float | None
    organisation: str = ""
    last_event_id: bytes = b""
    version: int = 0
    priority: int | None = None


@frozen
class ResponseHead:
    """Values from a response's headers that decide how it is handled.

    Attributes
    ----------
    request_id : str
        Id of the request that it answers; empty if unknown.
    refused : bool
        Whether the server has not run the request and never will.
    misdirected : bool
        Whether the address now belongs to another server.
    version : int
        Version of the weights that produced it; 0 if unknown.
    failed_server : str
        Address of another server that caused the request to fail.
    """

    status: int
    headers: Headers
    request_id: str = ""
    refused: bool = False
    misdirected: bool = False
    load: ServerLoad | None = None
    version: int = 0
    failed_server: str = ""


@frozen
class HeadCodec:
    """Functions that parse and write heads in the format of a deployment.

    Attributes
    ----------
    parse_request_head : callable
        Returns the ``RequestHead`` of a request's headers.
    format_request_head : callable
        Returns the bytes of the head that is sent to a server.
    parse_response_head : callable
        Returns the ``ResponseHead`` of a status and headers.
    """

    parse_request_head: Callable[[Headers], RequestHead]
    format_request_head: Callable[[CallerRequest, RequestParameters], bytes]
    parse_response_head: Callable[[int, Headers], ResponseHead]
    max_seconds_left: float = field(default=3600.0)


def first_header(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header with a name, or empty bytes.

    The name is passed in lower case.
    """
    for header, value in headers:
        if header.lower() == name:
            return value
    return b""


def end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded, without the hop-by-hop headers."""
    options = first_header(headers, b"connection").lower()
    dropped = {option.strip() for option in options.split(b",")} if options else ()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_FORWARDED and name.lower() not in dropped
    ]


def announces_close(headers: Headers) -> bool:
    """Whether the sender closes the connection after this message."""
    return b"close" in first_header(headers, b"connection").lower()


def ends_with_connection(headers: Headers) -> bool:
    """Whether only the end of its connection ends the body of a response."""
    names = {name.lower() for name, _ in headers}
    return b"content-length" not in names and b"transfer-encoding" not in names


def keep_alive_seconds(headers: Headers) -> float | None:
    """Return how long the sender keeps an idle connection; None if it does not say."""
    for part in first_header(headers, b"keep-alive").split(b","):
        name, _, value = part.partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
