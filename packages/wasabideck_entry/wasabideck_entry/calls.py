"""Carries one request to a backend server, and its answer back."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import AsyncIterator, Callable

from attrs import define, field, frozen
from wasabideck_platform.channels import LINK_FAILURES, Channels
from wasabideck_platform.events import Events
from wasabideck_policy.admission import SHARE_USED
from wasabideck_policy.affinity import prefix_name
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_policy.retry import RetryBudget
from wasabideck_policy.routing import Ask, Choice, Server
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import final_from, outcome_from
from wasabideck_wire.inner_grpc import RunsStub

from .fleet import Fleet

__all__ = ["Call", "Caller", "Ended", "Part", "Started"]

SILENCE_SECONDS = 3.0
CANCEL_TIMEOUT = 1.0
MOST_ATTEMPTS = 3


@frozen
class Call:
    """One request of a caller."""

    request: str
    organisation: str
    service: str
    route: str
    body: bytes
    idempotency_key: str
    body_digest: str
    repeatable: bool
    priority: int
    deadline: float


@frozen
class Started:
    """The answer begins; it comes from these weights, by this ticket."""

    ticket: int
    version: str
    manifest: str


@frozen
class Part:
    """A piece of the answer."""

    data: bytes


@frozen
class Ended:
    """The request's outcome, and nothing after it."""

    outcome: Outcome


Answer = Started | Part | Ended


@define
class Caller:
    """Sends calls to servers, resumes silent streams and retries within a budget."""

    fleet: Fleet
    channels: Channels
    events: Events
    choose: Choice
    rng: random.Random
    budget: RetryBudget = field(factory=RetryBudget)
    clock: Callable[[], float] = time.monotonic

    async def run(self, call: Call) -> AsyncIterator[Answer]:
        """The answer of a call; its last item is ``Ended``."""
        self.budget.earn()
        tried: set[str] = set()
        outcome: Outcome = NotRun(Failure("NoServer", "no server can take it"), 1.0)
        while len(tried) < MOST_ATTEMPTS:
            servers = self.fleet.candidates(call.service, tried)
            if not servers or (tried and not self.budget.spend()):
                break
            ask = Ask(prefix_name(call.body), self.fleet.region)
            server = self.choose(servers, ask, self.clock(), self.rng)
            tried.add(server.vm)
            begun = False
            async for item in self._attempt(call, server):
                if isinstance(item, Ended):
                    outcome = item.outcome
                else:
                    begun = begun or isinstance(item, Part)
                    yield item
            self.fleet.observe(server, outcome)
            if begun or not _retryable(call, outcome):
                break
        yield Ended(outcome)

    async def _attempt(self, call: Call, server: Server) -> AsyncIterator[Answer]:
        attempt = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.events.emit(
            "attempt.sent", request=call.request, attempt=attempt, server=server.vm
        )
        server.in_progress += 1
        finished = False
        try:
            async for event in self._events(call, server, attempt):
                if event.HasField("final"):
                    finished = True
                yield _answer(event)
        finally:
            server.in_progress -= 1
            if not finished:
                await self._cancel(server, attempt)

    async def _events(
        self, call: Call, server: Server, attempt: str
    ) -> AsyncIterator[pb.RunEvent]:
        """Events of an attempt, on as many connections as it takes.

        A connection that went silent is known by its missing heartbeats; another
        one resumes from the offset reached, so nothing is lost or doubled.
        """
        offset = 0
        sent = False
        while self.clock() < call.deadline:
            try:
                async for event in self._stream(call, server, attempt, offset, sent):
                    sent = True
                    if event.HasField("beat"):
                        continue
                    offset = event.offset + 1
                    yield event
                    if event.HasField("final"):
                        return
            except ConnectionRefusedError as exc:
                if not sent:
                    yield _final(NotRun(Failure("Unreachable", str(exc)), 1.0))
                    return
            except LINK_FAILURES as exc:
                sent = True
                self.channels.drop(server.address)
                self.events.emit("attempt.resumed", attempt=attempt, why=str(exc))
            await asyncio.sleep(0.05)
        yield _final(await self._give_up(server, attempt))

    async def _stream(
        self, call: Call, server: Server, attempt: str, offset: int, resume: bool
    ) -> AsyncIterator[pb.RunEvent]:
        stub = RunsStub(self.channels.get(server.address))
        method = stub.Resume if resume else stub.Run
        if resume:
            req = pb.ResumeRequest(attempt=attempt, offset=offset)
        else:
            req = _run_request(call, attempt, self.clock())
        async with method.open() as stream:
            await asyncio.wait_for(stream.send_message(req, end=True), SILENCE_SECONDS)
            while True:
                event = await asyncio.wait_for(stream.recv_message(), SILENCE_SECONDS)
                if event is None:
                    return
                yield event

    async def _give_up(self, server: Server, attempt: str) -> Outcome:
        if await self._cancel(server, attempt):
            return NotRun(Failure("DeadlinePassed", "it did not begin in time"))
        return Unknown(Failure("DeadlinePassed", "it had begun"))

    async def _cancel(self, server: Server, attempt: str) -> bool:
        """Cancel an attempt; whether it certainly did not and will not run."""
        stub = RunsStub(self.channels.get(server.address))
        try:
            reply = await stub.Cancel(
                pb.CancelRequest(attempt=attempt), timeout=CANCEL_TIMEOUT
            )
        except LINK_FAILURES:
            return False
        return reply.not_run


_FINAL = {"KeyReused", "Cancelled", "Quarantined", SHARE_USED}


def _retryable(call: Call, outcome: Outcome) -> bool:
    if isinstance(outcome, NotRun):
        return outcome.failure.kind not in _FINAL
    return isinstance(outcome, Unknown) and call.repeatable


def _run_request(call: Call, attempt: str, now: float) -> pb.RunRequest:
    return pb.RunRequest(
        attempt=attempt,
        request=call.request,
        organisation=call.organisation,
        service=call.service,
        route=call.route,
        idempotency_key=call.idempotency_key,
        body=call.body,
        repeatable=call.repeatable,
        priority=call.priority,
        deadline_ms=max(0, int((call.deadline - now) * 1000)),
        body_digest=call.body_digest,
    )


def _answer(event: pb.RunEvent) -> Answer:
    if event.HasField("started"):
        started = event.started
        return Started(started.ticket, started.version, started.manifest)
    if event.HasField("piece"):
        return Part(event.piece.data)
    return Ended(outcome_from(event.final))


def _final(outcome: Outcome) -> pb.RunEvent:
    return pb.RunEvent(final=final_from(outcome))
