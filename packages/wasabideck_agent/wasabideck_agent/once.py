"""Calls that may not be repeated: run under a claim, or answered by its holder."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.claim_rows import stored_answer
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_policy.claims import Claim, Verdict
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_from
from wasabideck_wire.inner_grpc import RunsStub

from .attempts import Attempt
from .claim_store import ClaimStore, ClaimUnresolved

__all__ = ["Holder", "Once"]

SILENCE_SECONDS = 3.0
# An entry whose connection broke is back with a new one by then; one that died is not.
READER_SECONDS = 4.0
HOLDER_TRIES = 20
HOLDER_PAUSE = 0.1

Serve = Callable[[Attempt], Awaitable[Outcome]]


@define
class Holder:
    """Where this agent process is asked about the claims that it holds."""

    vm: str
    address: str
    incarnation: str


@define
class Once:
    """Sees to it that one key runs once, whoever sends it how often."""

    holder: Holder
    claims: ClaimStore
    channels: Channels
    events: Events
    clock: Callable[[], float] = time.monotonic
    patience: float = READER_SECONDS
    silence: float = SILENCE_SECONDS
    _recording: set[asyncio.Task] = field(factory=set)

    async def run(self, attempt: Attempt, serve: Serve) -> Outcome:
        """Outcome of an attempt's key: of this run of it, or of the one that was."""
        claim = self._claim(attempt.req)
        for _ in range(HOLDER_TRIES):
            if not await attempt.has_reader(self.patience):
                return NotRun(Failure("NoReader", "its entry is gone"))
            try:
                verdict = await self._take(claim)
            except (PlatformUnavailable, PlatformRefused) as exc:
                return NotRun(Failure(type(exc).__name__, str(exc)), exc.retry_after)
            self.events.emit(
                "claim.taken", attempt=claim.attempt, action=verdict.action
            )
            outcome = await self._obey(verdict, claim, attempt, serve)
            if not _moot(verdict, outcome):
                return outcome
            # The holder did not run it and is giving its claim back.
            await asyncio.sleep(HOLDER_PAUSE)
        return Unknown(Failure("ClaimHeld", "its holder keeps it"), 1.0)

    @property
    def unrecorded(self) -> int:
        """Answers that still have to reach the table."""
        return len(self._recording)

    async def _take(self, claim: Claim) -> Verdict:
        try:
            return await self.claims.take(claim)
        except (ClaimUnresolved, asyncio.CancelledError):
            # The insert may have taken effect, or yet may, and nothing runs under it.
            self.claims.settle(claim)
            raise

    async def _obey(
        self, verdict: Verdict, claim: Claim, attempt: Attempt, serve: Serve
    ) -> Outcome:
        if verdict.action == "run":
            return await self._run_held(claim, attempt, serve)
        if verdict.action == "refuse":
            return NotRun(Failure("KeyReused", "the key came with another body"))
        if verdict.action == "give-up":
            return NotRun(Failure("Cancelled", "barred by its entry"), settled=True)
        if verdict.action == "replay":
            attempt.add(piece=pb.Piece(data=stored_answer(verdict.claim)))
            return Answered(replayed=True)
        return await self._ask_holder(verdict.claim, attempt)

    async def _run_held(self, claim: Claim, attempt: Attempt, serve: Serve) -> Outcome:
        """Run under a claim that this attempt holds."""
        try:
            outcome = await self._run_if_wanted(attempt, serve)
        except asyncio.CancelledError:
            if not attempt.started:
                self.claims.settle(claim)
            raise
        if isinstance(outcome, NotRun):
            settled = await self.claims.release(claim)
            return NotRun(outcome.failure, outcome.retry_after, settled)
        if isinstance(outcome, Answered):
            self._record(claim, attempt)
        return outcome

    async def _run_if_wanted(self, attempt: Attempt, serve: Serve) -> Outcome:
        # A process that was paused while it took its claim wakes here: its caller
        # may have been told by now that nobody knows, and a late order helps nobody.
        if self.clock() >= attempt.deadline:
            return NotRun(Failure("DeadlinePassed", "before it ran"))
        if not await attempt.has_reader(self.patience):
            return NotRun(Failure("NoReader", "its entry is gone"))
        return await serve(attempt)

    def _record(self, claim: Claim, attempt: Attempt) -> None:
        """Store the answer; it goes out at once and does not wait for the table."""
        attempt.unrecorded = True
        task = asyncio.create_task(self.claims.finish_soon(claim, attempt.answer()))
        self._recording.add(task)

        def recorded(task: asyncio.Task) -> None:
            self._recording.discard(task)
            attempt.unrecorded = False

        task.add_done_callback(recorded)

    async def _ask_holder(self, held: Claim, attempt: Attempt) -> Outcome:
        """The answer of the attempt that holds the claim, wherever it runs."""
        channel = self.channels.get(held.address)
        req = pb.ResumeRequest(
            attempt=held.attempt, incarnation=held.incarnation, watch=True
        )
        try:
            return await self._follow(RunsStub(channel), req, attempt)
        except LINK_FAILURES as exc:
            self.channels.drop(held.address, channel)
            why = f"{held.vm}: {exc or type(exc).__name__}"
            return Unknown(Failure("HolderGone", why), 2.0)

    async def _follow(
        self, stub: RunsStub, req: pb.ResumeRequest, attempt: Attempt
    ) -> Outcome:
        pieces: list[bytes] = []
        async with stub.Resume.open() as stream:
            async with asyncio.timeout(self.silence):
                await stream.send_message(req, end=True)
            while self.clock() < attempt.deadline:
                async with asyncio.timeout(self.silence):
                    event = await stream.recv_message()
                if event is None:
                    raise ConnectionResetError("it ended early")
                if event.HasField("piece"):
                    pieces.append(event.piece.data)
                if event.HasField("final"):
                    return _heard(outcome_from(event.final), pieces, attempt)
            await stream.cancel()
        return Unknown(Failure("ClaimHeld", "it runs elsewhere still"), 1.0)

    def _claim(self, req: pb.RunRequest) -> Claim:
        return Claim(
            req.organisation,
            req.idempotency_key,
            req.body_digest,
            req.attempt,
            self.holder.vm,
            address=self.holder.address,
            incarnation=self.holder.incarnation,
        )


def _heard(outcome: Outcome, pieces: list[bytes], attempt: Attempt) -> Outcome:
    if not isinstance(outcome, Answered):
        return outcome
    attempt.add(piece=pb.Piece(data=b"".join(pieces)))
    return Answered(replayed=True)


def _moot(verdict: Verdict, outcome: Outcome) -> bool:
    return verdict.action == "ask-holder" and isinstance(outcome, NotRun)
