"""Exceptions for the error responses that this process sends to callers itself."""

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
    "ShuttingDown",
    "TimeUp",
]


# Retry-After for callers if it is unknown when a server will be available.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


class Refusal(WasabideckError):
    """A response of this process itself; 503 states that the request has not run."""

    status = 503


class CallerLeft(Refusal):
    """The caller has disconnected; nobody reads the response."""


class ConfigurationUnknown(Refusal):
    """No configuration was received, or a newer one may exist."""

    retry_after = 0.3


class NeverSent(Refusal):
    """The request timed out, and no server has run it or will run it."""

    retry_after = DEFAULT_RETRY_AFTER_SECONDS


class NoRoute(Refusal):
    """No route of the configuration matches."""

    status = 404


class KeyUnknown(Refusal):
    """No organisation holds the request's key."""

    status = 401


class NoServer(Refusal):
    """No server can run the request now.

    Parameters
    ----------
    available_in : float or None
        Seconds until a server can run it, if known.
    """

    def __init__(self, service: str, available_in: float | None = None):
        super().__init__(f"{service}: server available in {available_in} s")
        self.retry_after = available_in or DEFAULT_RETRY_AFTER_SECONDS


class AllFull(Refusal):
    """All servers that could run the request are at capacity."""

    retry_after = 1.0


class Quarantined(Refusal):
    """The request has crashed servers that ran it; this attempt has not run."""

    # Crashes are kept for this time.
    retry_after = KEEP_SECONDS


class ServersRefused(Refusal):
    """All servers that were tried refused the request without running it."""

    retry_after = 0.5


class ShuttingDown(Refusal):
    """The request could outlast this process, which shuts down; it has not run."""

    # Other entries can take the request immediately.
    retry_after = 0.1


class OutcomeUnknown(Refusal):
    """A server received the request but sent no complete response: it may have run."""

    status = 502


class TimeUp(Refusal):
    """The time limit of the route or of the caller has passed."""

    status = 504
