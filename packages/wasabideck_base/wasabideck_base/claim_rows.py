"""Rows of claims in the platform's table, read and written by agents and entries."""

from __future__ import annotations

import base64

from attrs import asdict
from wasabideck_policy.claims import Claim, claim_key, next_row

from .http_responses import parse_response
from .table import Check, Table, Write

__all__ = [
    "CLAIMS_TABLE",
    "claim_of",
    "conditional_claim_write",
    "read_claim",
    "stored_response",
]

CLAIMS_TABLE = "claims"


async def read_claim(table: Table, organisation: str, key: str) -> Claim | None:
    """Return the claim of a key, or None; raises ``PlatformUnavailable``."""
    row = await table.get(CLAIMS_TABLE, claim_key(organisation, key))
    return None if row is None else claim_of(row)


def claim_of(row: dict) -> Claim:
    """Return the claim in a row; raises ``PlatformNonsense`` for another row."""
    return parse_response(CLAIMS_TABLE, row, lambda found: Claim(**found))


def conditional_claim_write(found: Claim | None, row: Claim) -> tuple[Check, Write]:
    """Return the check and the write that replace exactly the row that was found."""
    key = claim_key(row.organisation, row.key)
    expected = None
    if found is not None:
        expected = {"attempt": found.attempt, "state": found.state, "draw": found.draw}
    write = Write(CLAIMS_TABLE, key, asdict(next_row(found, row)))
    return Check(CLAIMS_TABLE, key, expected), write


def stored_response(claim: Claim) -> bytes:
    """Return the response that is stored in a finished claim."""
    return base64.b64decode(claim.answer)
