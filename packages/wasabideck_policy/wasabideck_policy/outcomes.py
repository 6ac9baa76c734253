"""Outcome types of a request, and the base class of all exceptions."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Answered", "Failure", "NotRun", "Outcome", "Unknown", "WasabideckError"]


class WasabideckError(Exception):
    """Base class of all exceptions of the system; the class is the kind of failure.

    Attributes
    ----------
    retry_after : float
        Seconds after which a retry can succeed; 0 if it cannot.
    """

    status = 500
    retry_after = 0.0


@dataclass(frozen=True, slots=True)
class Failure:
    """Why a request has no response: the kind, and one line of text for people."""

    kind: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete response was delivered."""

    replayed: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request certainly did not run and never will.

    Attributes
    ----------
    retry_after : float
        Seconds after which a retry can succeed; 0 if it cannot.
    settled : bool
        Whether no other attempt with the same key ran either, because this attempt
        held its claim.
    """

    failure: Failure
    retry_after: float = 0.0
    settled: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """It cannot be determined whether the request ran.

    Attributes
    ----------
    crash : str
        Name of the crash, if the backend server crashed while it ran the request.
    """

    failure: Failure
    retry_after: float = 0.0
    crash: str = ""


Outcome = Answered | NotRun | Unknown
