"""Determines the outcome of an attempt from the table when its agent is lost."""

from __future__ import annotations

from attrs import define, frozen
from wasabideck_base.claim_rows import (
    conditional_claim_write,
    read_claim,
    stored_response,
)
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.table import Table
from wasabideck_policy.claims import DONE, RELEASED, RUNNING, Claim
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome

__all__ = ["Resolved", "AttemptResolver", "barring_claim"]

MAX_WRITE_ATTEMPTS = 3


@frozen
class Resolved:
    """The outcome of a lost attempt, and the stored response if there is one."""

    outcome: Outcome
    response: bytes = b""


@define
class AttemptResolver:
    """Resolves attempts of calls that must not be repeated, through their claims.

    A call runs only after its attempt has taken the claim. An attempt that has not
    taken the claim is barred from it in the claim's row. The bar holds whatever the
    agent does later: it may be terminated, partitioned, or suspended and about to
    resume. So "not run" is certain, and the call may be sent to another server.
    """

    table: Table

    async def resolve(self, claim: Claim) -> Resolved | None:
        """Return the outcome of an attempt; None while it cannot be known."""
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                stored = await read_claim(self.table, claim.organisation, claim.key)
                if stored is not None and stored.state == RUNNING:
                    return None
                if stored is not None and stored.state == DONE:
                    return _resolve_done(claim, stored)
                if await self._write_bar(stored, claim):
                    failure = Failure(
                        "Barred", "its agent was lost before the attempt ran"
                    )
                    return Resolved(NotRun(failure, 1.0, settled=True))
        except (PlatformUnavailable, PlatformRefused):
            # It is unknown whether the bar was written, so the outcome is unknown too.
            return None
        return None

    async def _write_bar(self, stored: Claim | None, claim: Claim) -> bool:
        check, write = conditional_claim_write(stored, claim)
        return await self.table.transact([check], [write]) is None


def barring_claim(
    organisation: str, key: str, body_digest: str, attempt: str, vm: str
) -> Claim:
    """Return the row that bars an attempt from a key and leaves the key to others."""
    return Claim(
        organisation, key, body_digest, attempt, vm, state=RELEASED, barred=[attempt]
    )


def _resolve_done(claim: Claim, stored: Claim) -> Resolved | None:
    if stored.body_digest != claim.body_digest:
        return None
    return Resolved(Answered(replayed=True), stored_response(stored))
