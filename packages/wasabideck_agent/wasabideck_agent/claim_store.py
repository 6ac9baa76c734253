"""Claims in the platform's table, made just before a call runs."""

from __future__ import annotations

import asyncio
import base64

from attrs import asdict, define, evolve, field
from wasabideck_base.claim_rows import CLAIMS, claim_write, read_claim
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.table import Check, CheckFailed, Table, Write
from wasabideck_policy.claims import (
    DONE,
    RELEASED,
    RUNNING,
    Claim,
    Verdict,
    claim_key,
    following,
    judge,
    released,
)

from .claim_batch import ClaimBatch

__all__ = ["ClaimStore", "ClaimUnresolved"]

MOST_TRIES = 5
SETTLE_SECONDS = 0.5
# A refusal waits so long for its claim to be given back, and goes out unsettled then.
RELEASE_SECONDS = 0.5


class ClaimUnresolved(PlatformUnavailable):
    """The claim's answer was lost and it could not be read back; nothing ran."""

    def __init__(self, url: str, why: str):
        super().__init__(url, why, maybe_applied=True)


@define
class ClaimStore:
    """Takes and closes claims.

    A row goes from absent or released to running, and from running, by its own
    attempt alone, to done or released. It is never deleted, so a write whose answer
    was lost and that is applied late meets a row that its check does not fit: each
    write but the last also counts the row's ``draw`` on.
    """

    table: Table
    events: Events
    pause: float = SETTLE_SECONDS
    batch: ClaimBatch = field(init=False)
    _settling: dict[str, asyncio.Task] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Share transactions between all writes."""
        self.batch = ClaimBatch(self.table)

    async def take(self, claim: Claim) -> Verdict:
        """Insert a claim; the verdict says whether its holder may run.

        Raises
        ------
        PlatformUnavailable
            The table is down and the claim certainly does not stand.
        ClaimUnresolved
            The claim may stand; the call must not run all the same.
        """
        found: Claim | None = None
        for _ in range(MOST_TRIES):
            verdict = await self._take_once(claim, found)
            if verdict.action != "retake":
                return verdict
            found = verdict.claim
        raise ClaimUnresolved(claim_key(claim.organisation, claim.key), "contended")

    async def finish(self, claim: Claim, answer: bytes) -> None:
        """Store the answer of a run, so that a repeat gets it again.

        Raises
        ------
        PlatformUnavailable
            It may not be stored; storing it again is safe.
        """
        text = base64.b64encode(answer).decode()
        row = asdict(evolve(claim, state=DONE, answer=text))
        held = {"attempt": claim.attempt, "state": RUNNING}
        key = claim_key(claim.organisation, claim.key)
        await self.batch.put(Check(CLAIMS, key, held), Write(CLAIMS, key, row))

    async def finish_soon(self, claim: Claim, answer: bytes) -> None:
        """Store the answer of a run, however long the table is down."""
        while True:
            try:
                return await self.finish(claim, answer)
            except PlatformUnavailable as exc:
                why = str(exc)
                self.events.emit("claim.unrecorded", attempt=claim.attempt, why=why)
                await asyncio.sleep(self.pause)

    async def release(self, claim: Claim) -> bool:
        """Give a held claim back, since nothing ran; whether that is in force."""
        self.settle(claim)
        await asyncio.wait({self._settling[claim.attempt]}, timeout=RELEASE_SECONDS)
        return claim.attempt not in self._settling

    def settle(self, claim: Claim) -> None:
        """See to it, however long it takes, that this claim does not stand."""
        if claim.attempt not in self._settling:
            task = asyncio.create_task(self._settle(claim))
            self._settling[claim.attempt] = task
            task.add_done_callback(lambda _: self._settling.pop(claim.attempt))

    async def read(self, claim: Claim) -> Claim | None:
        """The row of a claim's key; raises ``PlatformUnavailable``."""
        return await read_claim(self.table, claim.organisation, claim.key)

    @property
    def unsettled(self) -> int:
        """Claims that may stand although nothing runs under them."""
        return len(self._settling)

    async def _take_once(self, claim: Claim, found: Claim | None) -> Verdict:
        try:
            failed = await self._put(found, claim)
        except PlatformUnavailable as exc:
            if not exc.maybe_applied:
                raise
            return await self._read_back(claim, found, exc)
        if failed is None:
            return Verdict("run", claim)
        return judge(claim, Claim(**failed.found))

    async def _read_back(
        self, claim: Claim, found: Claim | None, lost: PlatformUnavailable
    ) -> Verdict:
        """What became of an insert whose answer was lost."""
        try:
            now = await self.read(claim)
            if now == found:
                # It did not take effect, but may yet: a row of our own in its place
                # makes its check fail, and we go on from there.
                barred = await self._put(found, released(claim))
                now = following(found, released(claim))
                if barred is not None:
                    now = Claim(**barred.found)
        except PlatformUnavailable as exc:
            raise ClaimUnresolved(exc.url, str(exc)) from lost
        return judge(claim, now)

    async def _settle(self, claim: Claim) -> None:
        while True:
            try:
                if await self._settled(claim):
                    return
            except PlatformUnavailable as exc:
                self.events.emit("claim.unsettled", attempt=claim.attempt, why=str(exc))
            await asyncio.sleep(self.pause)

    async def _settled(self, claim: Claim) -> bool:
        """Put a released row where this claim stands, or may yet come to stand."""
        found = await self.read(claim)
        ours = found is not None and found.attempt == claim.attempt
        if found is None or found.state == RELEASED or ours:
            return await self._put(found, released(claim)) is None
        # Somebody else's, running or done: no insert of ours fits it any more.
        return True

    async def _put(self, found: Claim | None, row: Claim) -> CheckFailed | None:
        return await self.batch.put(*claim_write(found, row))
