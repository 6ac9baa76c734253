"""What of a request and of an answer matters for forwarding them.

Which headers say it depends on the deployment: an adapter fills these types in, and
writes the head that a server gets.
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
    "header_of",
    "keep_alive_seconds",
    "names_close",
    "passed_on",
]

Headers = Sequence[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1), and those that
# this proxy writes anew.
_HOP = frozenset(
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
    """Requests that a server runs, that wait there, and how many it runs at once."""

    running: int
    waiting: int
    slots: int


@frozen
class RequestHead:
    """A caller's request, as far as its headers decide how it is handled.

    Attributes
    ----------
    request : str
        Name of this try of the caller.
    deadline : float or None
        Seconds that the caller will wait.
    key : str
        The caller's key; empty when there is none.
    model : str
        The model asked for; empty for plain services.
    prompt, answer : int
        Tokens of the prompt, and the most that are to be written.
    last_event : bytes
        Name of the last event that the caller has of a broken stream.
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
    """A whole request as it was read.

    Attributes
    ----------
    arrived : float
        When its first byte was read, seconds.
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
        """The path alone, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@frozen
class Sending:
    """What a request is sent to a server with, beside what the caller sent.

    Attributes
    ----------
    server : str
        The server that is meant; any other refuses.
    left : float or None
        Seconds left for it.
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
    """A server's answer, as far as its headers decide what is done with it.

    Attributes
    ----------
    request : str
        The request that it answers; empty when not said.
    refused : bool
        The server says that it has not run the request and will not.
    other_server : bool
        The address is another server's by now.
    version : int
        Version of the weights that made it; 0 when not said.
    at_fault : str
        Address of another server that made the request fail.
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
    """How heads are read and written on a deployment.

    Attributes
    ----------
    read_request : callable
        ``RequestHead`` of a request's headers.
    write_request : callable
        Bytes of the head that a server gets.
    read_answer : callable
        ``AnswerHead`` of a status and headers.
    """

    read_request: Callable[[Headers], RequestHead]
    write_request: Callable[[CallerRequest, Sending], bytes]
    read_answer: Callable[[int, Headers], AnswerHead]
    most_left: float = field(default=3600.0)


def header_of(headers: Headers, name: bytes) -> bytes:
    """Value of the first header of a name in lower case; empty when there is none."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return b""


def passed_on(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Headers that go on to the other side; those of one connection do not."""
    named = header_of(headers, b"connection").lower()
    dropped = {token.strip() for token in named.split(b",")} if named else ()
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP and name.lower() not in dropped
    ]


def names_close(headers: Headers) -> bool:
    """Whether the sender closes the connection after this message."""
    return b"close" in header_of(headers, b"connection").lower()


def keep_alive_seconds(headers: Headers) -> float | None:
    """How long the sender keeps an idle connection, seconds; None when not said."""
    for part in header_of(headers, b"keep-alive").split(b","):
        name, _, value = part.partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
