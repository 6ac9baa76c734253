"""At-most-once execution of calls that must not be repeated, guarded by claims."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.claim_rows import stored_response
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_policy.claims import Claim, Decision
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_from_final
from wasabideck_wire.inner_grpc import RunsStub

from .attempts import Attempt
from .claim_store import ClaimStore, ClaimUnresolved

__all__ = ["Holder", "AtMostOnce"]

HOLDER_TIMEOUT_SECONDS = 3.0
# An entry whose connection broke opens a new one within this time. An entry that
# needs longer has died.
READER_TIMEOUT_SECONDS = 4.0
MAX_CLAIM_TRIES = 20
CLAIM_RETRY_SECONDS = 0.1

Serve = Callable[[Attempt], Awaitable[Outcome]]


@define
class Holder:
    """Identity and address under which this agent process holds claims.

    Other agents send their queries about these claims to the address.
    """

    vm: str
    address: str
    incarnation: str


@define
class AtMostOnce:
    """Runs each idempotency key at most once, however often it is sent.

    Attributes
    ----------
    reader_timeout : float
        Maximum time to wait for an entry that reads an attempt's events, seconds.
    holder_timeout : float
        Time without data after which the holder of a claim is considered lost, seconds.
    """

    holder: Holder
    claims: ClaimStore
    channels: Channels
    events: Events
    clock: Callable[[], float] = time.monotonic
    reader_timeout: float = READER_TIMEOUT_SECONDS
    holder_timeout: float = HOLDER_TIMEOUT_SECONDS
    _record_tasks: set[asyncio.Task] = field(factory=set)

    async def run(self, attempt: Attempt, serve: Serve) -> Outcome:
        """Return the outcome of the attempt's key, from this run or an earlier one."""
        claim = self._make_claim(attempt.req)
        for _ in range(MAX_CLAIM_TRIES):
            if not await attempt.wait_for_reader(self.reader_timeout):
                return NotRun(Failure("NoReader", "no entry reads its events"))
            try:
                verdict = await self._take_claim(claim)
            except (PlatformUnavailable, PlatformRefused) as exc:
                return NotRun(Failure(type(exc).__name__, str(exc)), exc.retry_after)
            self.events.emit(
                "claim.taken", attempt=claim.attempt, action=verdict.action
            )
            outcome = await self._apply_verdict(verdict, claim, attempt, serve)
            if not _is_being_released(verdict, outcome):
                return outcome
            # The holder did not run the call and is releasing its claim.
            await asyncio.sleep(CLAIM_RETRY_SECONDS)
        return Unknown(Failure("ClaimHeld", "its holder has not released it"), 1.0)

    @property
    def pending_records(self) -> int:
        """Number of answers that are not yet stored in the table."""
        return len(self._record_tasks)

    async def _take_claim(self, claim: Claim) -> Decision:
        try:
            return await self.claims.acquire(claim)
        except (ClaimUnresolved, asyncio.CancelledError):
            # The insert may have taken effect or may still do so, but nothing will
            # run under this claim.
            self.claims.release_in_background(claim)
            raise

    async def _apply_verdict(
        self, verdict: Decision, claim: Claim, attempt: Attempt, serve: Serve
    ) -> Outcome:
        if verdict.action == "run":
            return await self._run_claimed(claim, attempt, serve)
        if verdict.action == "refuse":
            return NotRun(
                Failure("KeyReused", "the key was used with a different body")
            )
        if verdict.action == "give-up":
            return NotRun(
                Failure("Cancelled", "its entry barred it from the claim"), settled=True
            )
        if verdict.action == "replay":
            attempt.add_event(piece=pb.Piece(data=stored_response(verdict.claim)))
            return Answered(replayed=True)
        return await self._query_holder(verdict.claim, attempt)

    async def _run_claimed(
        self, claim: Claim, attempt: Attempt, serve: Serve
    ) -> Outcome:
        """Run the call under a claim that this attempt holds."""
        try:
            outcome = await self._run_unless_too_late(attempt, serve)
        except asyncio.CancelledError:
            if not attempt.started:
                self.claims.release_in_background(claim)
            raise
        if isinstance(outcome, NotRun):
            settled = await self.claims.release(claim)
            return NotRun(outcome.failure, outcome.retry_after, settled)
        if isinstance(outcome, Answered):
            self._record_answer(claim, attempt)
        return outcome

    async def _run_unless_too_late(self, attempt: Attempt, serve: Serve) -> Outcome:
        # A process that was paused while it took its claim resumes here. By now its
        # caller may have received "outcome unknown", so a late run is of no use.
        if self.clock() >= attempt.deadline:
            return NotRun(
                Failure("DeadlinePassed", "the deadline passed before it ran")
            )
        if not await attempt.wait_for_reader(self.reader_timeout):
            return NotRun(Failure("NoReader", "no entry reads its events"))
        return await serve(attempt)

    def _record_answer(self, claim: Claim, attempt: Attempt) -> None:
        """Store the answer in the background; the caller's copy does not wait."""
        attempt.record_pending = True
        task = asyncio.create_task(
            self.claims.store_answer_with_retries(claim, attempt.answer())
        )
        self._record_tasks.add(task)

        def recorded(task: asyncio.Task) -> None:
            self._record_tasks.discard(task)
            attempt.record_pending = False

        task.add_done_callback(recorded)

    async def _query_holder(self, held: Claim, attempt: Attempt) -> Outcome:
        """Return the outcome of the attempt that holds the claim, from its agent."""
        channel = self.channels.get(held.address)
        req = pb.ResumeRequest(
            attempt=held.attempt, incarnation=held.incarnation, watch=True
        )
        try:
            return await self._follow_holder(RunsStub(channel), req, attempt)
        except CALL_FAILURES as exc:
            self.channels.close_channel(held.address, channel)
            why = f"{held.vm}: {exc or type(exc).__name__}"
            return Unknown(Failure("HolderGone", why), 2.0)

    async def _follow_holder(
        self, stub: RunsStub, req: pb.ResumeRequest, attempt: Attempt
    ) -> Outcome:
        """Read the holder's events until its final event or the deadline."""
        data: list[bytes] = []
        async with stub.Resume.open() as stream:
            async with asyncio.timeout(self.holder_timeout):
                await stream.send_message(req, end=True)
            while self.clock() < attempt.deadline:
                async with asyncio.timeout(self.holder_timeout):
                    event = await stream.recv_message()
                if event is None:
                    raise ConnectionResetError("the stream ended without a final event")
                if event.HasField("piece"):
                    data.append(event.piece.data)
                if event.HasField("final"):
                    return _copy_answer(outcome_from_final(event.final), data, attempt)
            await stream.cancel()
        return Unknown(Failure("ClaimHeld", "it is still running elsewhere"), 1.0)

    def _make_claim(self, req: pb.RunRequest) -> Claim:
        return Claim(
            req.organisation,
            req.idempotency_key,
            req.body_digest,
            req.attempt,
            self.holder.vm,
            address=self.holder.address,
            incarnation=self.holder.incarnation,
        )


def _copy_answer(outcome: Outcome, data: list[bytes], attempt: Attempt) -> Outcome:
    """Add the holder's answer to the attempt; return the outcome for the attempt."""
    if not isinstance(outcome, Answered):
        return outcome
    attempt.add_event(piece=pb.Piece(data=b"".join(data)))
    return Answered(replayed=True)


def _is_being_released(verdict: Decision, outcome: Outcome) -> bool:
    """Whether the claim's holder reports that it did not run the call."""
    return verdict.action == "ask-holder" and isinstance(outcome, NotRun)
