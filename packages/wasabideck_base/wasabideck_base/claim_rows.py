"""Rows of claims in the platform's table, as agents and entries read and write them."""

from __future__ import annotations

import base64

from attrs import asdict
from wasabideck_policy.claims import Claim, claim_key, following

from .table import Check, Table, Write

__all__ = ["CLAIMS", "claim_write", "read_claim", "stored_answer"]

CLAIMS = "claims"


async def read_claim(table: Table, organisation: str, key: str) -> Claim | None:
    """The claim of a key, or None; raises ``PlatformUnavailable``."""
    row = await table.get(CLAIMS, claim_key(organisation, key))
    return None if row is None else Claim(**row)


def claim_write(found: Claim | None, row: Claim) -> tuple[Check, Write]:
    """Condition and write that put a row in the place of exactly the one found."""
    key = claim_key(row.organisation, row.key)
    held = None
    if found is not None:
        held = {"attempt": found.attempt, "state": found.state, "draw": found.draw}
    write = Write(CLAIMS, key, asdict(following(found, row)))
    return Check(CLAIMS, key, held), write


def stored_answer(claim: Claim) -> bytes:
    """Answer that a finished claim keeps."""
    return base64.b64decode(claim.answer)
