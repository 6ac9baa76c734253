"""Tagged outcomes of a request, and the base of every typed failure."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Answered", "Failure", "NotRun", "Outcome", "Unknown", "WasabideckError"]


class WasabideckError(Exception):
    """Base of every failure of the system; its class names the kind.

    Attributes
    ----------
    retry_after : float
        Seconds after which a later try can help; 0 when it cannot.
    """

    status = 500
    retry_after = 0.0


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request has no answer: the kind, and one line for a person."""

    kind: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer was given."""

    replayed: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run and never will.

    Attributes
    ----------
    retry_after : float
        Seconds after which a later try can help; 0 when it cannot.
    settled : bool
        Whether no other try of the same key ran either: its claim was held.
    """

    failure: Failure
    retry_after: float = 0.0
    settled: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """Nobody can say whether the request ran.

    Attributes
    ----------
    crash : str
        Name of the crash, when the backend server died with the request on it.
    """

    failure: Failure
    retry_after: float = 0.0
    crash: str = ""


Outcome = Answered | NotRun | Unknown
