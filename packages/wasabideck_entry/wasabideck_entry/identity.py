"""Who asks: operators and callers, by their credentials."""

from __future__ import annotations

import hmac
from collections.abc import Iterable

from wasabideck_platform.settings import CallerSettings, OperatorSettings
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["NotAuthorised", "caller_of", "operator_of"]

BEARER = "Bearer "


class NotAuthorised(WasabideckError):
    """The credential is missing or wrong."""

    status = 401

    def __init__(self, who: str):
        super().__init__(f"no {who} has this credential")


def operator_of(header: str, operators: Iterable[OperatorSettings]) -> str:
    """Name of the operator whose credential this is; raises ``NotAuthorised``."""
    for operator in operators:
        if _same(header, operator.token):
            return operator.name
    raise NotAuthorised("operator")


def caller_of(header: str, callers: Iterable[CallerSettings]) -> str:
    """Organisation whose credential this is; raises ``NotAuthorised``."""
    for caller in callers:
        if _same(header, caller.token):
            return caller.organisation
    raise NotAuthorised("caller")


def _same(header: str, token: str) -> bool:
    return hmac.compare_digest(header.encode(), f"{BEARER}{token}".encode())
