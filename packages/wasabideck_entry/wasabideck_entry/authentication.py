"""Authentication of operators and callers by their credentials."""

from __future__ import annotations

import hmac
from collections.abc import Iterable, Mapping

from wasabideck_base.settings import (
    CallerSettings,
    EntrySettings,
    OperatorSettings,
)
from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "NotAuthorised",
    "OtherOrganisation",
    "authenticate",
    "operator_name_of",
    "organisation_of",
]

BEARER_PREFIX = "Bearer "
CALLER_PATH_PREFIX = "/v1/services/"
UNAUTHENTICATED_PATHS = frozenset({"/ready", "/metrics"})
ORGANISATION_HEADER = "x-organisation"


class NotAuthorised(WasabideckError):
    """The credential is missing or wrong."""

    status = 401

    def __init__(self, role: str):
        super().__init__(f"the credential is missing or belongs to no {role}")


class OtherOrganisation(WasabideckError):
    """The credential does not belong to the organisation that the request names."""

    status = 403

    def __init__(self, requested: str):
        super().__init__(
            f"the credential does not belong to organisation {requested[:100]!r}"
        )


def authenticate(cfg: EntrySettings, path: str, headers: Mapping[str, str]) -> str:
    """Return who sent a request; called before the request's body is read.

    Returns
    -------
    principal : str
        The organisation of a caller, the name of an operator, or an empty string for
        paths that need no credential.

    Raises
    ------
    NotAuthorised
        The credential is missing or wrong.
    OtherOrganisation
        The request names another organisation than that of its credential.
    """
    if path in UNAUTHENTICATED_PATHS:
        return ""
    header = headers.get("authorization", "")
    if not path.startswith(CALLER_PATH_PREFIX):
        return operator_name_of(header, cfg.operators)
    organisation = organisation_of(header, cfg.callers)
    requested = headers.get(ORGANISATION_HEADER, organisation)
    if requested != organisation:
        raise OtherOrganisation(requested)
    return organisation


def operator_name_of(header: str, operators: Iterable[OperatorSettings]) -> str:
    """Return the name of the operator with this credential.

    Raises
    ------
    NotAuthorised
        No operator has this credential.
    """
    found = [
        operator.name
        for operator in operators
        if _credential_matches(header, operator.token)
    ]
    if not found:
        raise NotAuthorised("operator")
    return found[0]


def organisation_of(header: str, callers: Iterable[CallerSettings]) -> str:
    """Return the organisation with this credential.

    Raises
    ------
    NotAuthorised
        No caller has this credential.
    """
    found = [
        caller.organisation
        for caller in callers
        if _credential_matches(header, caller.token)
    ]
    if not found:
        raise NotAuthorised("caller")
    return found[0]


def _credential_matches(header: str, token: str) -> bool:
    # The comparison takes constant time, and callers of this function compare every
    # token. So the duration of a refusal does not reveal how much of a guessed token
    # was right.
    received = header.encode(errors="surrogateescape")
    return hmac.compare_digest(received, f"{BEARER_PREFIX}{token}".encode())
