"""What answers of the platform's services mean, as typed failures."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "PlatformNonsense",
    "PlatformRefused",
    "PlatformUnavailable",
    "raise_for_failure",
    "understood",
]

T = TypeVar("T")


class PlatformUnavailable(WasabideckError):
    """A service of the platform gave no answer.

    Attributes
    ----------
    maybe_applied : bool
        Whether a write may have taken effect although its answer was lost.
    """

    status = 503
    retry_after = 2.0

    def __init__(self, url: str, why: str, maybe_applied: bool):
        super().__init__(f"{url}: {why}")
        self.url = url
        self.maybe_applied = maybe_applied


class PlatformNonsense(PlatformUnavailable):
    """A service of the platform answered what is no answer.

    Treated as a lost answer: a write may have taken effect.
    """

    def __init__(self, url: str, why: str):
        super().__init__(url, f"nonsense: {why}", maybe_applied=True)


class PlatformRefused(WasabideckError):
    """A service of the platform answered that it won't."""

    def __init__(self, url: str, status: int, body: bytes):
        super().__init__(f"{url}: status {status}: {body[:200]!r}")
        self.url = url
        self.answer_status = status
        self.body = body


def understood(url: str, value: object, make: Callable[[object], T]) -> T:
    """What ``make`` makes of an answer; raises ``PlatformNonsense`` if it cannot."""
    try:
        return make(value)
    except (TypeError, ValueError, LookupError, AttributeError) as exc:
        raise PlatformNonsense(url, f"{type(exc).__name__}: {exc}"[:200]) from exc


def raise_for_failure(url: str, status: int) -> None:
    """Raise ``PlatformUnavailable`` for a status that says that nothing was done."""
    if status == 503:
        raise PlatformUnavailable(url, "status 503", maybe_applied=False)
    if status >= 500:
        # A gateway's 500, 502 or 504 may hide a write that took effect.
        raise PlatformUnavailable(url, f"status {status}", True)
