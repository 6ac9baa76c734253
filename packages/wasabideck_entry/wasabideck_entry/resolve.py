"""Finds out from the table what became of an order whose agent is lost."""

from __future__ import annotations

from attrs import define, frozen
from wasabideck_base.claim_rows import claim_write, read_claim, stored_answer
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.table import Table
from wasabideck_policy.claims import DONE, RELEASED, RUNNING, Claim
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome

__all__ = ["Resolved", "Resolver", "barring"]

MOST_TRIES = 3


@frozen
class Resolved:
    """What became of a lost attempt, and the stored answer if there is one."""

    outcome: Outcome
    answer: bytes = b""


@define
class Resolver:
    """Settles attempts of calls that may not be repeated, through their claims.

    The claim is the point at which a call is bound to run. An attempt that has not
    taken it is barred from it in the row itself, whatever its agent does later: it
    may be dead, cut off, or paused and about to wake. So "not run" is certain, and
    another server may be given the call.
    """

    table: Table

    async def resolve(self, claim: Claim) -> Resolved | None:
        """What became of an attempt; None while nobody can know."""
        try:
            for _ in range(MOST_TRIES):
                found = await read_claim(self.table, claim.organisation, claim.key)
                if found is not None and found.state == RUNNING:
                    return None
                if found is not None and found.state == DONE:
                    return _done(claim, found)
                if await self._bar(found, claim):
                    failure = Failure("Barred", "its agent was lost before it ran")
                    return Resolved(NotRun(failure, 1.0, settled=True))
        except (PlatformUnavailable, PlatformRefused):
            # The bar may stand or not: nothing may be concluded from it.
            return None
        return None

    async def _bar(self, found: Claim | None, claim: Claim) -> bool:
        check, write = claim_write(found, claim)
        return await self.table.transact([check], [write]) is None


def barring(
    organisation: str, key: str, body_digest: str, attempt: str, vm: str
) -> Claim:
    """The row that bars an attempt from a key and leaves it free for others."""
    return Claim(
        organisation, key, body_digest, attempt, vm, state=RELEASED, barred=[attempt]
    )


def _done(claim: Claim, found: Claim) -> Resolved | None:
    if found.body_digest != claim.body_digest:
        return None
    return Resolved(Answered(replayed=True), stored_answer(found))
