"""Claims in the platform's table, inserted just before a call runs."""

from __future__ import annotations

import asyncio
import base64

from attrs import asdict, define, evolve, field
from wasabideck_base.claim_rows import (
    CLAIMS_TABLE,
    claim_of,
    conditional_claim_write,
    read_claim,
)
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.table import Check, CheckFailed, Table, Write
from wasabideck_policy.claims import (
    DONE,
    RELEASED,
    RUNNING,
    Claim,
    Decision,
    as_released,
    claim_key,
    decide,
    next_row,
)

from .claim_batch import ClaimBatch

__all__ = ["ClaimStore", "ClaimUnresolved"]

MAX_TAKE_TRIES = 5
RETRY_INTERVAL_SECONDS = 0.5
# Maximum time that a refusal waits for the release of its claim. After that it is sent
# as unsettled.
RELEASE_TIMEOUT_SECONDS = 0.5


class ClaimUnresolved(PlatformUnavailable):
    """The response to the claim was lost and reading it back failed; nothing ran."""

    def __init__(self, url: str, why: str):
        super().__init__(url, why, maybe_applied=True)


@define
class ClaimStore:
    """Takes and closes claims.

    A row changes from absent or released to running, and from running to done or
    released; only the attempt that holds the claim does the latter. A row is never
    deleted. So a write whose response was lost and that is applied late finds a row
    that fails its check: each write except the last one also increments the row's
    ``draw``.

    Attributes
    ----------
    retry_seconds : float
        Interval between tries of a background write.
    """

    table: Table
    events: Events
    retry_seconds: float = RETRY_INTERVAL_SECONDS
    batch: ClaimBatch = field(init=False)
    _release_tasks: dict[str, asyncio.Task] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the batch through which all writes share transactions."""
        self.batch = ClaimBatch(self.table)

    async def acquire(self, claim: Claim) -> Decision:
        """Insert a claim; the verdict says whether its holder may run the call.

        Raises
        ------
        PlatformUnavailable
            The table is unavailable and the claim certainly does not exist.
        ClaimUnresolved
            The claim may exist; the call must not run in either case.
        """
        found: Claim | None = None
        for _ in range(MAX_TAKE_TRIES):
            verdict = await self._take_once(claim, found)
            if verdict.action != "retake":
                return verdict
            found = verdict.claim
        raise ClaimUnresolved(
            claim_key(claim.organisation, claim.key),
            "other attempts kept changing the claim",
        )

    async def store_answer(self, claim: Claim, answer: bytes) -> None:
        """Store the answer of a run, which later requests with its key get.

        Raises
        ------
        PlatformUnavailable
            The answer may not be stored; storing it again is safe.
        """
        text = base64.b64encode(answer).decode()
        row = asdict(evolve(claim, state=DONE, answer=text))
        held = {"attempt": claim.attempt, "state": RUNNING}
        key = claim_key(claim.organisation, claim.key)
        await self.batch.put(
            Check(CLAIMS_TABLE, key, held), Write(CLAIMS_TABLE, key, row)
        )

    async def store_answer_with_retries(self, claim: Claim, answer: bytes) -> None:
        """Store the answer of a run; retry for as long as the table is unavailable."""
        while True:
            try:
                return await self.store_answer(claim, answer)
            except PlatformUnavailable as exc:
                why = str(exc)
                self.events.emit("claim.unrecorded", attempt=claim.attempt, why=why)
                await asyncio.sleep(self.retry_seconds)

    async def release(self, claim: Claim) -> bool:
        """Release a claim under which nothing ran; whether the release is stored."""
        self.release_in_background(claim)
        await asyncio.wait(
            {self._release_tasks[claim.attempt]}, timeout=RELEASE_TIMEOUT_SECONDS
        )
        return claim.attempt not in self._release_tasks

    def release_in_background(self, claim: Claim) -> None:
        """Release a claim, whether it was inserted or not; retry until it is done."""
        if claim.attempt not in self._release_tasks:
            task = asyncio.create_task(self._release_with_retries(claim))
            self._release_tasks[claim.attempt] = task
            task.add_done_callback(lambda _: self._release_tasks.pop(claim.attempt))

    async def read(self, claim: Claim) -> Claim | None:
        """Return the row of a claim's key; raises ``PlatformUnavailable``."""
        return await read_claim(self.table, claim.organisation, claim.key)

    @property
    def pending_releases(self) -> int:
        """Number of claims that may still be held although nothing runs under them."""
        return len(self._release_tasks)

    async def _take_once(self, claim: Claim, found: Claim | None) -> Decision:
        try:
            failed = await self._put(found, claim)
        except PlatformUnavailable as exc:
            if not exc.maybe_applied:
                raise
            return await self._resolve_lost_write(claim, found, exc)
        if failed is None:
            return Decision("run", claim)
        return decide(claim, claim_of(failed.found))

    async def _resolve_lost_write(
        self, claim: Claim, found: Claim | None, lost: PlatformUnavailable
    ) -> Decision:
        """Find out whether an insert whose response was lost has taken effect."""
        try:
            now = await self.read(claim)
            if now == found:
                # The insert has not taken effect but still may. Writing a released
                # row of this attempt makes the late insert fail its check; the claim
                # is then taken again on top of that row.
                barred = await self._put(found, as_released(claim))
                now = next_row(found, as_released(claim))
                if barred is not None:
                    now = claim_of(barred.found)
        except PlatformUnavailable as exc:
            raise ClaimUnresolved(exc.url, str(exc)) from lost
        return decide(claim, now)

    async def _release_with_retries(self, claim: Claim) -> None:
        while True:
            try:
                if await self._try_release(claim):
                    return
            except PlatformUnavailable as exc:
                self.events.emit("claim.unsettled", attempt=claim.attempt, why=str(exc))
            await asyncio.sleep(self.retry_seconds)

    async def _try_release(self, claim: Claim) -> bool:
        """Write a released row if this claim holds the key or may still get it."""
        found = await self.read(claim)
        ours = found is not None and found.attempt == claim.attempt
        if found is None or found.state == RELEASED or ours:
            return await self._put(found, as_released(claim)) is None
        # The row belongs to another attempt, running or done. No insert of this
        # attempt passes its check any more.
        return True

    async def _put(self, found: Claim | None, row: Claim) -> CheckFailed | None:
        return await self.batch.put(*conditional_claim_write(found, row))
