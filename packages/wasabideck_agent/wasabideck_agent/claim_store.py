"""Claims in the platform's table, made just before a call runs."""

from __future__ import annotations

import base64

from attrs import asdict, define
from wasabideck_platform.http import PlatformUnavailable
from wasabideck_platform.table import Check, Table, Write
from wasabideck_policy.claims import DONE, Claim, Verdict, claim_key, judge

__all__ = ["ClaimStore", "ClaimUnresolved", "stored_answer"]

CLAIMS = "claims"


class ClaimUnresolved(PlatformUnavailable):
    """The claim's answer was lost and it could not be read back; nothing ran."""

    def __init__(self, url: str, why: str):
        super().__init__(url, why, maybe_applied=True)


@define
class ClaimStore:
    """Takes and closes claims."""

    table: Table

    async def take(self, claim: Claim) -> Verdict:
        """Insert a claim; the verdict says whether its holder may run.

        Raises
        ------
        PlatformUnavailable
            The table is down and the claim certainly does not stand.
        ClaimUnresolved
            The claim may stand; the call must not run all the same.
        """
        key = claim_key(claim.organisation, claim.key)
        write = Write(CLAIMS, key, asdict(claim))
        try:
            failed = await self.table.transact([Check(CLAIMS, key, None)], [write])
        except PlatformUnavailable as exc:
            if not exc.maybe_applied:
                raise
            return judge(claim, await self._read_back(key, exc))
        if failed is None:
            return Verdict("run", claim)
        return judge(claim, Claim(**failed.found))

    async def finish(self, claim: Claim, answer: bytes) -> None:
        """Store the answer of a run, so that a repeat gets it again."""
        key = claim_key(claim.organisation, claim.key)
        done = asdict(claim) | {
            "state": DONE,
            "answer": base64.b64encode(answer).decode(),
        }
        held = {"attempt": claim.attempt}
        await self.table.transact(
            [Check(CLAIMS, key, held)], [Write(CLAIMS, key, done)]
        )

    async def _read_back(self, key: str, lost: PlatformUnavailable) -> Claim:
        try:
            row = await self.table.get(CLAIMS, key)
        except PlatformUnavailable as exc:
            raise ClaimUnresolved(exc.url, str(exc)) from lost
        if row is None:
            raise ClaimUnresolved(lost.url, "the write may be applied late") from lost
        return Claim(**row)


def stored_answer(claim: Claim) -> bytes:
    """Answer that a finished claim keeps."""
    return base64.b64decode(claim.answer)
