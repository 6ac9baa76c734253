"""Typed failures for responses of the platform's services."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "MALFORMED_DATA",
    "PlatformNonsense",
    "PlatformRefused",
    "PlatformUnavailable",
    "raise_for_failure",
    "parse_response",
]

T = TypeVar("T")

# Errors of a parser that meets data of another type, range or depth than it expects.
MALFORMED_DATA = (
    TypeError,
    ValueError,
    LookupError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


class PlatformUnavailable(WasabideckError):
    """A service of the platform sent no response.

    Attributes
    ----------
    maybe_applied : bool
        Whether a write may have taken effect although its response was lost.
    """

    status = 503
    retry_after = 2.0

    def __init__(self, url: str, why: str, maybe_applied: bool):
        super().__init__(f"{url}: {why}")
        self.url = url
        self.maybe_applied = maybe_applied


class PlatformNonsense(PlatformUnavailable):
    """A service of the platform sent a malformed response.

    Handled like a lost response: a write may have taken effect.
    """

    def __init__(self, url: str, why: str):
        super().__init__(url, f"nonsense: {why}", maybe_applied=True)


class PlatformRefused(WasabideckError):
    """A service of the platform rejected the request."""

    def __init__(self, url: str, status: int, body: bytes):
        super().__init__(f"{url}: status {status}: {body[:200]!r}")
        self.url = url
        self.response_status = status
        self.body = body


def parse_response(url: str, value: object, parse: Callable[[object], T]) -> T:
    """Return ``parse(value)``; raise ``PlatformNonsense`` if the value is malformed."""
    try:
        return parse(value)
    except (*MALFORMED_DATA, WasabideckError) as exc:
        raise PlatformNonsense(url, f"{type(exc).__name__}: {exc}"[:200]) from exc


def raise_for_failure(url: str, status: int) -> None:
    """Raise ``PlatformUnavailable`` for 5xx; only 503 says that nothing was done."""
    if status == 503:
        raise PlatformUnavailable(url, "status 503", maybe_applied=False)
    if status >= 500:
        # A write may have taken effect although a gateway returns 500, 502 or 504.
        raise PlatformUnavailable(url, f"status {status}", True)
