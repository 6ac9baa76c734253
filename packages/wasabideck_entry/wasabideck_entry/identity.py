"""Who asks: operators and callers, by their credentials."""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Mapping

from wasabideck_base.settings import (
    CallerSettings,
    EntrySettings,
    OperatorSettings,
)
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["NotAuthorised", "OtherOrganisation", "caller_of", "check", "operator_of"]

BEARER = "Bearer "
CALLERS_PATH = "/v1/services/"
OPEN_PATHS = frozenset({"/ready", "/metrics"})
ORGANISATION = "x-organisation"


class NotAuthorised(WasabideckError):
    """The credential is missing or wrong."""

    status = 401

    def __init__(self, who: str):
        super().__init__(f"no {who} has this credential")


class OtherOrganisation(WasabideckError):
    """The credential is another organisation's than the request names."""

    status = 403

    def __init__(self, named: str):
        super().__init__(f"the credential is not {named[:100]!r}'s")


def check(cfg: EntrySettings, path: str, headers: Mapping[str, str]) -> str:
    """Who may go on with a request, known before its body is read.

    Returns
    -------
    who : str
        The organisation of a caller, the name of an operator, or nothing for what
        anyone may ask.

    Raises
    ------
    NotAuthorised
        The credential is missing or wrong.
    OtherOrganisation
        The request names another organisation than its credential's.
    """
    if path in OPEN_PATHS:
        return ""
    header = headers.get("authorization", "")
    if not path.startswith(CALLERS_PATH):
        return operator_of(header, cfg.operators)
    organisation = caller_of(header, cfg.callers)
    named = headers.get(ORGANISATION, organisation)
    if named != organisation:
        raise OtherOrganisation(named)
    return organisation


def operator_of(header: str, operators: Iterable[OperatorSettings]) -> str:
    """Name of the operator whose credential this is; raises ``NotAuthorised``."""
    found = [one.name for one in operators if _same(header, one.token)]
    if not found:
        raise NotAuthorised("operator")
    return found[0]


def caller_of(header: str, callers: Iterable[CallerSettings]) -> str:
    """Organisation whose credential this is; raises ``NotAuthorised``."""
    found = [one.organisation for one in callers if _same(header, one.token)]
    if not found:
        raise NotAuthorised("caller")
    return found[0]


def _same(header: str, token: str) -> bool:
    # Compared in constant time, and with every token: how long a refusal takes says
    # nothing about how much of a guessed token was right.
    given = header.encode(errors="surrogateescape")
    return hmac.compare_digest(given, f"{BEARER}{token}".encode())
