"""Runs requests on the backend server, and streams their events."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from grpclib.server import Stream
from wasabideck_platform.events import Events
from wasabideck_platform.http import PlatformUnavailable
from wasabideck_platform.servers import (
    Engine,
    Loaded,
    PlainService,
    ServerDied,
    ServerRefused,
)
from wasabideck_policy.admission import Gate
from wasabideck_policy.claims import Claim
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import RunsBase

from .attempts import Attempt, Attempts
from .claim_store import ClaimStore, stored_answer
from .slots import Slot, Slots

__all__ = ["Runner", "RunsService"]

BEAT_SECONDS = 1.0


@define
class Runner:
    """Admits attempts and runs them, each at most once.

    Attributes
    ----------
    in_force : Loaded
        What the engine serves, as last read back.
    """

    vm: str
    gate: Gate
    events: Events
    engine: Engine | None
    plain: PlainService | None
    claims: ClaimStore
    attempts: Attempts = field(factory=Attempts)
    in_force: Loaded = field(factory=Loaded)
    clock: Callable[[], float] = time.monotonic
    slots: Slots = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the slots behind the gate."""
        self.slots = Slots(self.gate, self.clock)

    def start(self, req: pb.RunRequest) -> Attempt:
        """The attempt of that id, begun now unless it is known."""
        if known := self.attempts.get(req.attempt):
            return known
        now = self.clock()
        attempt = Attempt(req, now + req.deadline_ms / 1000)
        self.attempts.add(attempt)
        if self.attempts.buried(req.attempt):
            attempt.finish(NotRun(Failure("Cancelled", "given up earlier")), now)
        elif refusal := self.slots.refusal(attempt):
            attempt.finish(refusal, now)
        else:
            attempt.task = asyncio.create_task(self._run(attempt))
        return attempt

    async def cancel(self, name: str) -> bool:
        """Give an attempt up; whether it certainly did not and will not run."""
        now = self.clock()
        attempt = self.attempts.get(name)
        if attempt is None:
            self.attempts.bury(name, now)
            return True
        attempt.cancelled = True
        if attempt.ended_at is None and attempt.started and self.engine:
            await self.engine.cancel(name)
        if attempt.ended_at is None and attempt.task and not attempt.started:
            attempt.task.cancel()
            attempt.finish(NotRun(Failure("Cancelled", "given up")), now)
        return not attempt.started

    async def _run(self, attempt: Attempt) -> None:
        async with Slot(self.slots, attempt) as refusal:
            outcome = refusal or await self._run_now(attempt)
        attempt.finish(outcome, self.clock())
        self.events.emit(
            "attempt.final",
            attempt=attempt.req.attempt,
            request=attempt.req.request,
            outcome=type(outcome).__name__,
        )

    async def _run_now(self, attempt: Attempt) -> Outcome:
        try:
            if attempt.req.repeatable:
                return await self._serve(attempt)
            return await self._serve_once(attempt)
        except ServerRefused as exc:
            return NotRun(Failure("ServerRefused", str(exc)), 1.0)
        except ServerDied as exc:
            self.events.emit("server.died", attempt=attempt.req.attempt, why=str(exc))
            return Unknown(Failure("ServerDied", str(exc)), crashed=True)
        except PlatformUnavailable as exc:
            return NotRun(Failure(type(exc).__name__, str(exc)), exc.retry_after)

    async def _serve_once(self, attempt: Attempt) -> Outcome:
        """Run a call that may not be repeated, under a claim."""
        req = attempt.req
        claim = Claim(
            req.organisation, req.idempotency_key, req.body_digest, req.attempt, self.vm
        )
        verdict = await self.claims.take(claim)
        self.events.emit("claim.taken", attempt=req.attempt, action=verdict.action)
        if verdict.action == "refuse":
            return NotRun(Failure("KeyReused", "the key came with another body"))
        if verdict.action == "replay":
            attempt.add(piece=pb.Piece(data=stored_answer(verdict.claim)))
            return Answered(replayed=True)
        if verdict.action == "ask-holder":
            return Unknown(Failure("ClaimHeld", f"held at {verdict.claim.vm}"), 2.0)
        outcome = await self._serve(attempt)
        await self._record(claim, attempt, outcome)
        return outcome

    async def _record(self, claim: Claim, attempt: Attempt, outcome: Outcome) -> None:
        if not isinstance(outcome, Answered):
            return
        pieces = (e.piece.data for e in attempt.events if e.HasField("piece"))
        try:
            await self.claims.finish(claim, b"".join(pieces))
        except PlatformUnavailable as exc:
            self.events.emit("claim.unrecorded", attempt=claim.attempt, why=str(exc))

    async def _serve(self, attempt: Attempt) -> Outcome:
        serve = self._serve_engine if self.engine else self._serve_plain
        return await serve(attempt)

    async def _serve_plain(self, attempt: Attempt) -> Outcome:
        req = attempt.req
        attempt.started = True
        attempt.add(started=pb.Started())
        timeout = attempt.deadline - self.clock()
        data = await self.plain.call(
            req.attempt, req.route, req.idempotency_key, req.body, timeout
        )
        attempt.add(piece=pb.Piece(data=data))
        return Answered()

    async def _serve_engine(self, attempt: Attempt) -> Outcome:
        req = attempt.req
        attempt.started = True
        serving = self.in_force
        attempt.add(
            started=pb.Started(
                ticket=serving.fence,
                model=serving.model,
                version=serving.version,
                manifest=serving.manifest,
            )
        )
        timeout = attempt.deadline - self.clock()
        lines = self.engine.generate(
            req.attempt, req.route, req.body, req.priority, timeout
        )
        async for line in lines:
            if line.get("done"):
                break
            if line["version"] != serving.version:
                # The engine swapped without our order: whatever it says now would
                # mix two versions' weights in one answer.
                self.gate.open = False
                return Unknown(Failure("MixedVersion", line["version"]), 1.0)
            attempt.add(piece=pb.Piece(data=line["text"].encode()))
        if attempt.cancelled:
            return Unknown(Failure("Cancelled", "stopped while it ran"))
        return Answered()


@define
class RunsService(RunsBase):
    """The inner protocol's face of a runner."""

    runner: Runner

    async def Run(self, stream: Stream[pb.RunRequest, pb.RunEvent]) -> None:
        """Run one attempt, or go on with it if it is known."""
        req = await stream.recv_message()
        await self._send(stream.send_message, self.runner.start(req), 0)

    async def Resume(self, stream: Stream[pb.ResumeRequest, pb.RunEvent]) -> None:
        """Go on with an attempt's events from an offset."""
        req = await stream.recv_message()
        attempt = self.runner.attempts.get(req.attempt)
        if attempt is None:
            self.runner.attempts.bury(req.attempt, self.runner.clock())
            refusal = pb.Final(outcome=pb.Final.NOT_RUN, reason="NeverArrived")
            await stream.send_message(pb.RunEvent(offset=req.offset, final=refusal))
            return
        await self._send(stream.send_message, attempt, req.offset)

    async def Cancel(self, stream: Stream[pb.CancelRequest, pb.CancelReply]) -> None:
        """Give an attempt up."""
        req = await stream.recv_message()
        not_run = await self.runner.cancel(req.attempt)
        await stream.send_message(pb.CancelReply(not_run=not_run))

    async def _send(
        self,
        send: Callable[[pb.RunEvent], Awaitable[None]],
        attempt: Attempt,
        offset: int,
    ) -> None:
        while True:
            if not await attempt.grown(offset, BEAT_SECONDS):
                await send(pb.RunEvent(offset=offset, beat=pb.Beat()))
                continue
            event = attempt.events[offset]
            await send(event)
            offset += 1
            if event.HasField("final"):
                return
