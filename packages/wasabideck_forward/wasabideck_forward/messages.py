"""Parts of requests and responses that decide how they are forwarded.

Which headers carry them depends on the deployment. An adapter creates these types from
headers, and writes the head of a request to a server.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "Headers",
    "Load",
    "RequestHead",
    "Sending",
    "Wire",
    "announces_close",
    "header_of",
    "keep_alive_seconds",
    "passed_on",
]

Headers = Sequence[tuple[bytes, bytes]]

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


@frozen
class Load:
    """Running and queued requests of a server, and the most that it runs at once."""

    running: int
    waiting: int
    slots: int


@frozen
class RequestHead:
    """Values from a request's headers that decide how it is handled.

    Attributes
    ----------
    request : str
        Id of the request; each retry of the caller has its own.
    deadline : float or None
        Seconds that the caller waits.
    key : str
        The caller's key; empty if there is none.
    model : str
        The requested model; empty for plain services.
    prompt, answer : int
        Tokens of the prompt, and the maximum tokens of the response.
    last_event : bytes
        Id of the last event that the caller received of an aborted stream.
    """

    request: str
    host: str
    deadline: float | None = None
    key: str = ""
    model: str = ""
    prompt: int = 0
    answer: int = 0
    last_event: bytes = b""


@define(eq=False)
class CallerRequest:
    """A complete request as it was read.

    Attributes
    ----------
    arrived : float
        When its first byte was received, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    head: RequestHead
    arrived: float
    keep_alive: bool = True
    http10: bool = False
    body: bytes = b""

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class Sending:
    """Values that are sent to a server in addition to the caller's request.

    Attributes
    ----------
    server : str
        The server that the request is for; any other server refuses it.
    left : float or None
        Seconds left until the deadline.
    version : int
        The only version of weights that may run it; 0 for any.
    """

    server: str
    left: float | None
    organisation: str = ""
    last_event: bytes = b""
    version: int = 0
    priority: int | None = None


@frozen
class AnswerHead:
    """Values from a response's headers that decide how it is handled.

    Attributes
    ----------
    request : str
        Id of the request that it answers; empty if unknown.
    refused : bool
        Whether the server has not run the request and never will.
    other_server : bool
        Whether the address now belongs to another server.
    version : int
        Version of the weights that produced it; 0 if unknown.
    at_fault : str
        Address of another server that caused the request to fail.
    """

    status: int
    headers: Headers
    request: str = ""
    refused: bool = False
    other_server: bool = False
    load: Load | None = None
    version: int = 0
    at_fault: str = ""


@frozen
class Wire:
    """Functions that parse and write heads in the format of a deployment.

    Attributes
    ----------
    read_request : callable
        Returns the ``RequestHead`` of a request's headers.
    write_request : callable
        Returns the bytes of the head that is sent to a server.
    read_answer : callable
        Returns the ``AnswerHead`` of a status and headers.
    """

    read_request: Callable[[Headers], RequestHead]
    write_request: Callable[[CallerRequest, Sending], bytes]
    read_answer: Callable[[int, Headers], AnswerHead]
    max_seconds_left: float = field(default=3600.0)


def header_of(headers: Headers, name: bytes) -> bytes:
    """Return the value of the first header with a name, or empty bytes.

    The name is passed in lower case.
    """
    for header, value in headers:
        if header.lower() == name:
            return value
    return b""


def passed_on(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that are forwarded, without the hop-by-hop headers."""
    options = header_of(headers, b"connection").lower()
    dropped = {option.strip() for option in options.split(b",")} if options else ()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _NOT_FORWARDED and name.lower() not in dropped
    ]


def announces_close(headers: Headers) -> bool:
    """Whether the sender closes the connection after this message."""
    return b"close" in header_of(headers, b"connection").lower()


def keep_alive_seconds(headers: Headers) -> float | None:
    """Return how long the sender keeps an idle connection; None if it does not say."""
    for part in header_of(headers, b"keep-alive").split(b","):
        name, _, value = part.partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
