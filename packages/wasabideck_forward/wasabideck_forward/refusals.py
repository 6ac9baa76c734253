"""Typed reasons for which a caller gets an answer of this process's own."""

from __future__ import annotations

from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.quarantine import KEEP_SECONDS

__all__ = [
    "AllFull",
    "CallerLeft",
    "ConfigurationUnknown",
    "KeyUnknown",
    "NeverSent",
    "NoRoute",
    "NoServer",
    "OutcomeUnknown",
    "Quarantined",
    "Refusal",
    "ServersRefused",
    "TimeUp",
]


# When a caller is told to come back if nobody knows when a server will be there.
UNKNOWN_SECONDS = 1.0


class Refusal(WasabideckError):
    """An answer of this process's own; 503 says that the request has not run."""

    status = 503


class CallerLeft(Refusal):
    """The caller has closed its connection; nobody reads an answer any more."""


class ConfigurationUnknown(Refusal):
    """No configuration, or none that is known to be the newest, has been heard."""

    retry_after = 0.3


class NeverSent(Refusal):
    """Time is up, and no server ran the request or will."""

    retry_after = UNKNOWN_SECONDS


class NoRoute(Refusal):
    """No route of the configuration matches."""

    status = 404


class KeyUnknown(Refusal):
    """The request's key is held by no organisation."""

    status = 401


class NoServer(Refusal):
    """No server can run the request now.

    Parameters
    ----------
    back_in : float or None
        Seconds until one can, when that is known.
    """

    def __init__(self, service: str, back_in: float | None = None):
        super().__init__(f"{service}: back in {back_in} s")
        self.retry_after = back_in or UNKNOWN_SECONDS


class AllFull(Refusal):
    """Each server that could run the request is too full."""

    retry_after = 1.0


class Quarantined(Refusal):
    """The request has crashed the servers that ran it; this try has not run."""

    # As long as the crashes are remembered.
    retry_after = KEEP_SECONDS


class ServersRefused(Refusal):
    """Each server that was tried refused it without running it."""

    retry_after = 0.5


class OutcomeUnknown(Refusal):
    """A server got the request and gave no whole answer: it may have run."""

    status = 502


class TimeUp(Refusal):
    """The time that the operators or the caller allow is over."""

    status = 504
