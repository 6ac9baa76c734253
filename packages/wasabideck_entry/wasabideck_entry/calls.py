"""Carries one request to a backend server, and its answer back."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from attrs import define, field, frozen
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events
from wasabideck_policy.affinity import prefix_name
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_policy.retry import RetryBudget, costs_nothing, may_retry
from wasabideck_policy.routing import Ask, Choice, Server
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_from

from .fleet import Fleet
from .resolve import Resolver, barring
from .streams import SILENCE_SECONDS, AttemptStream
from .suspects import Suspects

__all__ = ["Call", "Caller", "Ended", "Part", "Started"]

MOST_ATTEMPTS = 4
# An answer that is longer cannot be gone on with at another server.
PREFIX_BYTES = 1 << 20


@frozen
class Call:
    """One request of a caller.

    Attributes
    ----------
    again : bool
        Whether the caller sent this key before and does not know what became of it.
    """

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
    again: bool = False


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
class _Progress:
    """What the caller has of its answer, and what its tries may have left behind.

    Attributes
    ----------
    ran : bool
        Whether some try may have run.
    """

    started: Started | None = None
    pieces: int = 0
    text: bytearray = field(factory=bytearray)
    tried: set[str] = field(factory=set)
    ran: bool = False

    def take(self, item: Started | Part) -> bool:
        """Take an item in; whether the caller has to be given it."""
        if isinstance(item, Started):
            # Another server that goes on with the answer serves the same manifest.
            first, self.started = not self.pieces, item
            return first
        self.pieces += 1
        if len(self.text) <= PREFIX_BYTES:
            self.text += item.data
        return True

    @property
    def manifest(self) -> str:
        """Weights that the rest has to come from; empty while any will do."""
        return self.started.manifest if self.pieces and self.started else ""

    @property
    def can_go_on(self) -> bool:
        """Whether another server could go on from here."""
        return not self.pieces or (
            bool(self.manifest) and len(self.text) <= PREFIX_BYTES
        )

    def judge(self, outcome: Outcome) -> Outcome:
        """The outcome of the whole request, given that of its last try.

        A last try that was refused says nothing of an earlier one that may have run,
        nor of pieces that went out.
        """
        if isinstance(outcome, NotRun) and (self.ran or self.pieces):
            return Unknown(outcome.failure, outcome.retry_after)
        return outcome


@define
class Caller:
    """Sends calls to servers, and tries others within a budget."""

    fleet: Fleet
    channels: Channels
    events: Events
    choose: Choice
    rng: random.Random
    suspects: Suspects
    resolver: Resolver
    budget: RetryBudget = field(factory=RetryBudget)
    clock: Callable[[], float] = time.monotonic
    silence: float = SILENCE_SECONDS
    _cancels: set[asyncio.Task] = field(factory=set)

    async def run(self, call: Call) -> AsyncIterator[Answer]:
        """The answer of a call; its last item is ``Ended``."""
        self.budget.earn()
        progress = _Progress()
        outcome: Outcome = NotRun(Failure("NoServer", "no server can take it"), 1.0)
        name = self.suspects.name(call)
        for _ in range(MOST_ATTEMPTS):
            if self.suspects.refused(name):
                outcome = NotRun(Failure("Quarantined", "it crashes its servers"))
                break
            server = self._pick(call, progress, name)
            if server is None or not self._affords(progress, outcome):
                break
            progress.tried.add(server.vm)
            async with aclosing(self._attempt(call, server, progress, name)) as items:
                async for item in items:
                    if isinstance(item, Ended):
                        outcome = item.outcome
                    elif progress.take(item):
                        yield item
            progress.ran |= isinstance(outcome, Unknown)
            self.fleet.observe(server, outcome)
            await self.suspects.hear(name, outcome)
            if not self._goes_on(call, progress, outcome):
                break
        yield Ended(_as_resent(call, progress.judge(outcome)))

    async def settled(self, timeout: float) -> None:
        """Wait for the cancels of calls whose callers went away."""
        if self._cancels:
            await asyncio.wait(self._cancels, timeout=timeout)

    def _pick(self, call: Call, progress: _Progress, name: str) -> Server | None:
        servers = self.fleet.candidates(call.service, progress.tried)
        if progress.manifest:
            servers = [s for s in servers if s.manifest == progress.manifest]
        servers = self.suspects.narrow(name, servers)
        if not servers:
            return None
        ask = Ask(prefix_name(call.body), self.fleet.region)
        return self.choose(servers, ask, self.clock(), self.rng)

    def _affords(self, progress: _Progress, outcome: Outcome) -> bool:
        first = not progress.tried
        return first or costs_nothing(outcome) or self.budget.spend()

    def _goes_on(self, call: Call, progress: _Progress, outcome: Outcome) -> bool:
        in_time = self.clock() < call.deadline
        return in_time and progress.can_go_on and may_retry(outcome, call.repeatable)

    async def _attempt(
        self, call: Call, server: Server, progress: _Progress, name: str
    ) -> AsyncIterator[Answer]:
        attempt = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.events.emit(
            "attempt.sent", request=call.request, attempt=attempt, server=server.vm
        )
        req = _run_request(call, attempt, self.clock())
        req.alone = self.suspects.alone(name)
        if progress.pieces:
            req.only_manifest = progress.manifest
            req.resume_from = progress.pieces
            req.prefix = bytes(progress.text)
        claim = barring(
            call.organisation,
            call.idempotency_key,
            call.body_digest,
            attempt,
            server.vm,
        )
        stream = AttemptStream(
            server,
            req,
            call.deadline,
            self.channels,
            self.events,
            lambda: self.resolver.resolve(claim),
            self.clock,
            self.silence,
        )
        server.in_progress += 1
        finished = False
        try:
            async with aclosing(stream.run()) as events:
                async for event in events:
                    finished = event.HasField("final")
                    yield _answer(event)
        finally:
            server.in_progress -= 1
            if not finished and stream.sent:
                self._cancel_soon(stream)

    def _cancel_soon(self, stream: AttemptStream) -> None:
        """Cancel what a caller that went away has left, without holding it up."""
        task = asyncio.create_task(stream.cancel())
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _as_resent(call: Call, outcome: Outcome) -> Outcome:
    """Outcome for a caller that sent this key before.

    Its earlier try may have run although this one did not, unless this one held the
    key's claim, under which nothing else can have run.
    """
    if not call.again or call.repeatable or not isinstance(outcome, NotRun):
        return outcome
    return outcome if outcome.settled else Unknown(outcome.failure, outcome.retry_after)


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
