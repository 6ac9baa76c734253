"""Runs requests on the backend server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.servers import (
    Engine,
    Generation,
    Loaded,
    PlainService,
    ServerDied,
    ServerFailed,
    ServerRefused,
    ServerSilent,
)
from wasabideck_policy.admission import Gate
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_policy.quarantine import Quarantine, fingerprint
from wasabideck_wire import inner_pb2 as pb

from .attempts import Attempt, Attempts
from .once import Once
from .slots import Slot, Slots
from .solo import Solo

__all__ = ["Runner"]

ORPHAN_SECONDS = 10.0
# Requests that break within this time of each other broke in one crash.
SAME_CRASH_SECONDS = 0.5

_CANCELLED = NotRun(Failure("Cancelled", "given up before it ran"))


@define
class Runner:
    """Admits attempts and runs them, each at most once.

    Attributes
    ----------
    in_force : Loaded
        What the engine serves, as last read back.
    streams : int
        Streams of events that are open now.
    heard_at : float
        When a run request came last.
    """

    vm: str
    gate: Gate
    events: Events
    engine: Engine | None
    plain: PlainService | None
    once: Once
    attempts: Attempts
    quarantine: Quarantine = field(factory=Quarantine)
    in_force: Loaded = field(factory=Loaded)
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    solo: Solo = field(factory=Solo)
    crashes: int = 0
    streams: int = 0
    heard_at: float = 0.0
    slots: Slots = field(init=False)
    _crashed_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Make the slots behind the gate."""
        self.slots = Slots(self.gate, self.clock)

    def start(self, req: pb.RunRequest) -> Attempt:
        """The attempt of that id, begun now unless it is known."""
        if known := self.attempts.get(req.attempt):
            return known
        self.heard_at = now = self.clock()
        attempt = Attempt(req, now + req.deadline_ms / 1000)
        barred = self.attempts.arrivals.arrive(
            req.attempt, req.incarnation, req.not_after_ms / 1000, now
        )
        self.attempts.add(attempt)
        if barred:
            attempt.finish(NotRun(barred, 1.0), now)
        elif refusal := self._barred(attempt) or self.slots.refusal(attempt):
            attempt.finish(refusal, now)
        else:
            attempt.task = asyncio.create_task(self._run(attempt))
        return attempt

    def idle(self, quiet_seconds: float) -> bool:
        """Whether all is finished, heard by its readers, recorded, and quiet since."""
        open_work = self.attempts.in_progress() or self.streams
        open_claims = self.once.unrecorded or self.once.claims.unsettled
        quiet = self.clock() - self.heard_at > quiet_seconds
        return not open_work and not open_claims and quiet

    async def cancel(self, req: pb.CancelRequest) -> bool:
        """Give an attempt up; whether it certainly did not and will not run."""
        attempt = self.attempts.get(req.attempt)
        if attempt is None:
            return self.attempts.arrivals.give_up(
                req.attempt, req.incarnation, req.not_after_ms / 1000, self.clock()
            )
        await self.stop(attempt)
        final = attempt.final
        return final is not None and final.outcome == pb.Final.NOT_RUN

    async def stop(self, attempt: Attempt) -> None:
        """Stop an attempt: at once before it started, later only an engine's."""
        if attempt.ended_at is not None:
            return
        if not attempt.started:
            attempt.cancel()
            attempt.finish(_CANCELLED, self.clock())
            if attempt.task:
                attempt.task.cancel()
        elif attempt.req.repeatable:
            attempt.cancel()
            await self._stop_engine(attempt)

    async def stop_orphans(self) -> None:
        """Stop what nobody has read for long: its entry died with its caller's link."""
        for attempt in self.attempts.orphans(self.clock() - ORPHAN_SECONDS):
            self.events.emit("attempt.orphaned", attempt=attempt.req.attempt)
            await self.stop(attempt)

    def _barred(self, attempt: Attempt) -> NotRun | None:
        """Refusal of a request that crashes servers, or whose server just crashed."""
        if self.clock() - self._crashed_at < SAME_CRASH_SECONDS:
            # A server that is starting again breaks what comes too soon, and each of
            # those requests would pass for the cause of another crash.
            return NotRun(Failure("ServerDown", "it crashed just now"), 1.0)
        if self.quarantine.crashes and self.quarantine.refused(
            _fingerprint(attempt.req), self.wall()
        ):
            return NotRun(Failure("Quarantined", "it crashes the servers that run it"))
        return None

    def _alone(self, req: pb.RunRequest) -> bool:
        if req.alone or not self.quarantine.crashes:
            return req.alone
        return self.quarantine.alone(_fingerprint(req), self.wall())

    async def _stop_engine(self, attempt: Attempt) -> None:
        if self.engine is None:
            return
        try:
            await self.engine.cancel(attempt.req.attempt)
        except (PlatformUnavailable, PlatformRefused) as exc:
            self.events.emit("cancel.failed", attempt=attempt.req.attempt, why=str(exc))

    async def _run(self, attempt: Attempt) -> None:
        async with Slot(self.slots, attempt) as refusal:
            outcome = refusal or await self._run_in_slot(attempt)
        attempt.finish(outcome, self.clock())
        self.events.emit(
            "attempt.final",
            attempt=attempt.req.attempt,
            request=attempt.req.request,
            outcome=type(outcome).__name__,
        )

    async def _run_in_slot(self, attempt: Attempt) -> Outcome:
        async with self.solo.running(self._alone(attempt.req)):
            # Another copy of a suspect may have crashed the server while this waited.
            if refusal := self._barred(attempt):
                return refusal
            if attempt.req.repeatable:
                return await self._serve_or_fail(attempt)
            return await self.once.run(attempt, self._serve_or_fail)

    async def _serve_or_fail(self, attempt: Attempt) -> Outcome:
        """Give the server the request; its failure as what it says of the request."""
        try:
            if self.engine:
                return await self._serve_engine(attempt)
            return await self._serve_plain(attempt)
        except ServerRefused as exc:
            return NotRun(Failure("ServerRefused", str(exc)), exc.retry_after)
        except ServerDied as exc:
            crash = self._note_crash(attempt, exc)
            return Unknown(Failure("ServerDied", str(exc)), crash=crash)
        except (ServerSilent, ServerFailed) as exc:
            return Unknown(Failure(type(exc).__name__, str(exc)))

    def _note_crash(self, attempt: Attempt, exc: ServerDied) -> str:
        now = self.clock()
        if now - self._crashed_at > SAME_CRASH_SECONDS:
            self.crashes += 1
            self._crashed_at = now
        crash = f"{self.vm}/{self.attempts.arrivals.incarnation}/{self.crashes}"
        self.quarantine.record(_fingerprint(attempt.req), crash, self.wall())
        self.events.emit(
            "server.died", attempt=attempt.req.attempt, crash=crash, why=str(exc)
        )
        return crash

    async def _serve_plain(self, attempt: Attempt) -> Outcome:
        req = attempt.req
        if not attempt.begin():
            return _CANCELLED
        attempt.add(started=pb.Started())
        timeout = attempt.deadline - self.clock()
        data = await self.plain.call(
            req.attempt, req.route, req.idempotency_key, req.body, timeout
        )
        attempt.add(piece=pb.Piece(data=data))
        return Answered()

    async def _serve_engine(self, attempt: Attempt) -> Outcome:
        serving = self.in_force
        if attempt.req.only_manifest not in ("", serving.manifest):
            return NotRun(Failure("OtherManifest", serving.manifest), 1.0)
        if not attempt.begin():
            return _CANCELLED
        attempt.add(started=_started(serving))
        async for line in self.engine.generate(self._generation(attempt)):
            if line.get("done"):
                break
            if line["version"] != serving.version:
                # The engine swapped without our order: whatever it says now would
                # mix two versions' weights in one answer. With our order, the gate is
                # closed and opened by what the engine is read back to serve.
                if line["version"] != self.in_force.version:
                    self.gate.open = False
                return Unknown(Failure("MixedVersion", line["version"]), 1.0)
            attempt.add(piece=pb.Piece(data=line["text"].encode()))
            await attempt.room()
        if attempt.cancelled:
            return Unknown(Failure("Cancelled", "stopped while it ran"))
        return Answered()

    def _generation(self, attempt: Attempt) -> Generation:
        req = attempt.req
        return Generation(
            req.attempt,
            req.route,
            req.body,
            req.priority,
            attempt.deadline - self.clock(),
            req.resume_from,
            req.prefix,
        )


def _started(serving: Loaded) -> pb.Started:
    return pb.Started(
        ticket=serving.fence,
        model=serving.model,
        version=serving.version,
        manifest=serving.manifest,
    )


def _fingerprint(req: pb.RunRequest) -> str:
    return fingerprint(req.organisation, req.service, req.route, req.body)
