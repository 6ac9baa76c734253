"""Admission and execution of requests on the backend server."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.events import Events
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.server_clients import (
    GenerationRequest,
    ModelEngineClient,
    PlainServiceClient,
    ServedState,
    ServerDied,
    ServerFailed,
    ServerRefused,
    ServerSilent,
)
from wasabideck_policy.admission import AdmissionControl
from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_policy.quarantine import Quarantine, fingerprint
from wasabideck_wire import inner_pb2 as pb

from .at_most_once import AtMostOnce
from .attempts import Attempt, Attempts
from .exclusive_run import ExclusiveRun
from .slots import Slot, Slots

__all__ = ["Runner"]

ORPHAN_TIMEOUT_SECONDS = 10.0
# Requests that fail within this time of each other failed in the same crash.
SAME_CRASH_SECONDS = 0.5

_CANCELLED = NotRun(Failure("Cancelled", "cancelled before it ran"))


@define
class Runner:
    """Admits attempts and runs each of them at most once.

    Attributes
    ----------
    serving : ServedState
        What the engine served when it was last read back.
    open_streams : int
        Number of event streams to readers that are open.
    last_request_at : float
        Time of the last run request, on ``clock``.
    """

    vm: str
    admission: AdmissionControl
    events: Events
    engine: ModelEngineClient | None
    plain: PlainServiceClient | None
    at_most_once: AtMostOnce
    attempts: Attempts
    quarantine: Quarantine = field(factory=Quarantine)
    serving: ServedState = field(factory=ServedState)
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    exclusive_run: ExclusiveRun = field(factory=ExclusiveRun)
    crash_count: int = 0
    open_streams: int = 0
    last_request_at: float = 0.0
    slots: Slots = field(init=False)
    _crashed_at: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        """Create the slots that the admission control assigns."""
        self.slots = Slots(self.admission, self.clock)

    def start(self, req: pb.RunRequest) -> Attempt:
        """Return the attempt with the request's id; start it if it is unknown."""
        if known := self.attempts.get(req.attempt):
            return known
        self.last_request_at = now = self.clock()
        attempt = Attempt(req, now + req.deadline_ms / 1000)
        barred = self.attempts.arrivals.record_arrival(
            req.attempt, req.incarnation, req.not_after_ms / 1000, now
        )
        self.attempts.add(attempt)
        if barred:
            attempt.finish(NotRun(barred, 1.0), now)
        elif refusal := self._crash_refusal(attempt) or self.slots.refusal(attempt):
            attempt.finish(refusal, now)
        else:
            attempt.task = asyncio.create_task(self._run(attempt))
        return attempt

    def idle(self, min_idle_seconds: float) -> bool:
        """Whether the runner has had nothing to do for some time.

        All attempts have ended, all streams and claims are closed, all answers are
        recorded, and no run request has arrived for ``min_idle_seconds``.
        """
        open_work = self.attempts.in_progress() or self.open_streams
        open_claims = (
            self.at_most_once.pending_records
            or self.at_most_once.claims.pending_releases
        )
        no_requests = self.clock() - self.last_request_at > min_idle_seconds
        return not open_work and not open_claims and no_requests

    async def cancel(self, req: pb.CancelRequest) -> bool:
        """Cancel an attempt; whether it certainly did not run and never will."""
        attempt = self.attempts.get(req.attempt)
        if attempt is None:
            return self.attempts.arrivals.cancel(
                req.attempt, req.incarnation, req.not_after_ms / 1000, self.clock()
            )
        await self.stop(attempt)
        final = attempt.final
        return final is not None and final.outcome == pb.Final.NOT_RUN

    async def stop(self, attempt: Attempt) -> None:
        """Stop an attempt that has not started, or a repeatable one that has.

        A call that may not be repeated keeps running once it has started.
        """
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
        """Stop attempts without a reader for ``ORPHAN_TIMEOUT_SECONDS``.

        Their entry died, and with it the connection of the caller.
        """
        for attempt in self.attempts.orphans(self.clock() - ORPHAN_TIMEOUT_SECONDS):
            self.events.emit("attempt.orphaned", attempt=attempt.req.attempt)
            await self.stop(attempt)

    def _crash_refusal(self, attempt: Attempt) -> NotRun | None:
        """Refuse requests that crash servers, and all requests just after a crash."""
        if self.clock() - self._crashed_at < SAME_CRASH_SECONDS:
            # A server that is restarting fails the requests that arrive too early,
            # and each of them would be recorded as the cause of another crash.
            return NotRun(Failure("ServerDown", "the server has just crashed"), 1.0)
        if self.quarantine.crashes and self.quarantine.is_quarantined(
            _fingerprint(attempt.req), self.wall()
        ):
            return NotRun(
                Failure("Quarantined", "the request crashes the servers that run it")
            )
        return None

    def _must_run_alone(self, req: pb.RunRequest) -> bool:
        if req.alone or not self.quarantine.crashes:
            return req.alone
        return self.quarantine.must_run_alone(_fingerprint(req), self.wall())

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
        async with self.exclusive_run.hold(self._must_run_alone(attempt.req)):
            # Another copy of a request suspected of crashing servers may have crashed
            # this server while the attempt waited.
            if refusal := self._crash_refusal(attempt):
                return refusal
            if attempt.req.repeatable:
                return await self._serve(attempt)
            return await self.at_most_once.run(attempt, self._serve)

    async def _serve(self, attempt: Attempt) -> Outcome:
        """Pass the request to the server; return its response or failure as outcome."""
        try:
            if self.engine:
                return await self._serve_engine(attempt)
            return await self._serve_plain(attempt)
        except ServerRefused as exc:
            return NotRun(Failure("ServerRefused", str(exc)), exc.retry_after)
        except ServerDied as exc:
            crash = self._record_crash(attempt, exc)
            return Unknown(Failure("ServerDied", str(exc)), crash=crash)
        except (ServerSilent, ServerFailed) as exc:
            return Unknown(Failure(type(exc).__name__, str(exc)))

    def _record_crash(self, attempt: Attempt, exc: ServerDied) -> str:
        """Record that the request was running at a crash; return the crash's id."""
        now = self.clock()
        if now - self._crashed_at > SAME_CRASH_SECONDS:
            self.crash_count += 1
            self._crashed_at = now
        crash = f"{self.vm}/{self.attempts.arrivals.incarnation}/{self.crash_count}"
        self.quarantine.record_crash(_fingerprint(attempt.req), crash, self.wall())
        self.events.emit(
            "server.died", attempt=attempt.req.attempt, crash=crash, why=str(exc)
        )
        return crash

    async def _serve_plain(self, attempt: Attempt) -> Outcome:
        req = attempt.req
        if not attempt.try_start():
            return _CANCELLED
        attempt.add_event(started=pb.Started())
        timeout = attempt.deadline - self.clock()
        data = await self.plain.call(
            req.attempt, req.route, req.idempotency_key, req.body, timeout
        )
        attempt.add_event(piece=pb.Piece(data=data))
        return Answered()

    async def _serve_engine(self, attempt: Attempt) -> Outcome:
        serving = self.serving
        if attempt.req.only_manifest not in ("", serving.manifest):
            return NotRun(Failure("OtherManifest", serving.manifest), 1.0)
        if not attempt.try_start():
            return _CANCELLED
        attempt.add_event(started=_started_event(serving))
        async for line in self.engine.generate(self._generation(attempt)):
            if line.get("done"):
                break
            if line["version"] != serving.version:
                # The engine swapped while this answer was generated, so the rest
                # of it would come from the weights of another version. If this agent
                # did not order the swap, admission is closed here. If it did, the
                # order closed admission, and the next read-back sets it.
                if line["version"] != self.serving.version:
                    self.admission.accepting = False
                return Unknown(Failure("MixedVersion", line["version"]), 1.0)
            attempt.add_event(piece=pb.Piece(data=line["text"].encode()))
            await attempt.wait_for_slow_reader()
        if attempt.cancelled:
            return Unknown(Failure("Cancelled", "cancelled while it ran"))
        return Answered()

    def _generation(self, attempt: Attempt) -> GenerationRequest:
        req = attempt.req
        return GenerationRequest(
            req.attempt,
            req.route,
            req.body,
            req.priority,
            attempt.deadline - self.clock(),
            req.resume_from,
            req.prefix,
        )


def _started_event(serving: ServedState) -> pb.Started:
    return pb.Started(
        ticket=serving.fence,
        model=serving.model,
        version=serving.version,
        manifest=serving.manifest,
    )


def _fingerprint(req: pb.RunRequest) -> str:
    return fingerprint(req.organisation, req.service, req.route, req.body)
