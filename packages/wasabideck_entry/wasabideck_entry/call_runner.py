"""Sends a caller's request to backend servers and streams the response back."""

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
from wasabideck_policy.cache_affinity import prefix_digest
from wasabideck_policy.load_balancing import (
    LoadBalancingPolicy,
    RoutingRequest,
    ServerState,
)
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_policy.retry_budget import RetryBudget, is_free_retry, may_retry
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_from_final

from .attempt_resolver import AttemptResolver, barring_claim
from .attempt_stream import RECEIVE_TIMEOUT_SECONDS, AttemptStream
from .crash_suspects import CrashSuspects
from .fleet import Fleet

__all__ = ["Call", "CallRunner", "Completed", "StreamEvent", "Started"]

MAX_ATTEMPTS = 4
# A longer response cannot be resumed on another server.
MAX_RESUMABLE_BYTES = 1 << 20


@frozen
class Call:
    """One request of a caller.

    Attributes
    ----------
    is_retry : bool
        Whether the caller sent this idempotency key before and does not know the
        outcome.
    """

    request_id: str
    organisation: str
    service: str
    route: str
    body: bytes
    idempotency_key: str
    body_digest: str
    repeatable: bool
    priority: int
    deadline: float
    is_retry: bool = False


@frozen
class Started:
    """The start of a response, with the weights and the ticket that it comes from."""

    ticket: int
    version: str
    manifest: str


@frozen
class StreamEvent:
    """One event of a response's stream."""

    data: bytes


@frozen
class Completed:
    """The request's outcome; the last item of a response."""

    outcome: Outcome


ResponseItem = Started | StreamEvent | Completed


@define
class _Progress:
    """What the caller has received so far, and what earlier attempts may have done.

    Attributes
    ----------
    event_count : int
        Number of stream events that the caller was sent.
    data : bytearray
        Contents of these events, as far as they are kept for a resumption.
    tried_vms : set of str
        Servers to which an attempt was sent.
    may_have_run : bool
        Whether an earlier attempt may have run.
    """

    started: Started | None = None
    event_count: int = 0
    data: bytearray = field(factory=bytearray)
    tried_vms: set[str] = field(factory=set)
    may_have_run: bool = False

    def record(self, item: Started | StreamEvent) -> bool:
        """Record an item; return whether it has to be sent to the caller."""
        if isinstance(item, Started):
            # A server that resumes the response serves the same manifest, so the caller
            # is not sent its start again.
            first, self.started = not self.event_count, item
            return first
        self.event_count += 1
        if len(self.data) <= MAX_RESUMABLE_BYTES:
            self.data += item.data
        return True

    @property
    def required_manifest(self) -> str:
        """Manifest that must produce the remaining events; empty if any may."""
        return self.started.manifest if self.event_count and self.started else ""

    @property
    def can_resume(self) -> bool:
        """Whether another server could resume the response."""
        return not self.event_count or (
            bool(self.required_manifest) and len(self.data) <= MAX_RESUMABLE_BYTES
        )

    def request_outcome(self, outcome: Outcome) -> Outcome:
        """Return the outcome of the whole request, given that of its last attempt.

        If the last attempt was refused, an earlier one may still have run, and events
        may already have been sent to the caller.
        """
        if isinstance(outcome, NotRun) and (self.may_have_run or self.event_count):
            return Unknown(outcome.failure, outcome.retry_after)
        return outcome


@define
class CallRunner:
    """Sends calls to servers, and retries on other servers within a retry budget."""

    fleet: Fleet
    channels: Channels
    events: Events
    choose: LoadBalancingPolicy
    rng: random.Random
    suspects: CrashSuspects
    resolver: AttemptResolver
    budget: RetryBudget = field(factory=RetryBudget)
    clock: Callable[[], float] = time.monotonic
    receive_timeout: float = RECEIVE_TIMEOUT_SECONDS
    _cancel_tasks: set[asyncio.Task] = field(factory=set)

    async def run(self, call: Call) -> AsyncIterator[ResponseItem]:
        """Return the response to a call; its last item is ``Completed``."""
        self.budget.earn()
        progress = _Progress()
        outcome: Outcome = NotRun(
            Failure("NoServer", "no server is available for the request"), 1.0
        )
        fingerprint = self.suspects.fingerprint_of(call)
        for _ in range(MAX_ATTEMPTS):
            if self.suspects.is_quarantined(fingerprint):
                outcome = NotRun(
                    Failure(
                        "Quarantined", "the request crashed the servers that ran it"
                    )
                )
                break
            server = self._choose_server(call, progress, fingerprint)
            if server is None or not self._has_retry_budget(progress, outcome):
                break
            progress.tried_vms.add(server.vm)
            async with aclosing(
                self._run_attempt(call, server, progress, fingerprint)
            ) as items:
                async for item in items:
                    if isinstance(item, Completed):
                        outcome = item.outcome
                    elif progress.record(item):
                        yield item
            progress.may_have_run |= isinstance(outcome, Unknown)
            self.fleet.record_outcome(server, outcome)
            await self.suspects.record_outcome(fingerprint, outcome)
            if not self._may_retry(call, progress, outcome):
                break
        yield Completed(_outcome_for_retry(call, progress.request_outcome(outcome)))

    async def wait_for_cancels(self, timeout: float) -> None:
        """Wait for the cancellation of calls whose callers have disconnected."""
        if self._cancel_tasks:
            await asyncio.wait(self._cancel_tasks, timeout=timeout)

    def _choose_server(
        self, call: Call, progress: _Progress, fingerprint: str
    ) -> ServerState | None:
        servers = self.fleet.eligible_servers(call.service, progress.tried_vms)
        if progress.required_manifest:
            servers = [s for s in servers if s.manifest == progress.required_manifest]
        servers = self.suspects.eligible_servers(fingerprint, servers)
        if not servers:
            return None
        routing_request = RoutingRequest(prefix_digest(call.body), self.fleet.region)
        return self.choose(servers, routing_request, self.clock(), self.rng)

    def _has_retry_budget(self, progress: _Progress, outcome: Outcome) -> bool:
        first = not progress.tried_vms
        return first or is_free_retry(outcome) or self.budget.spend()

    def _may_retry(self, call: Call, progress: _Progress, outcome: Outcome) -> bool:
        before_deadline = self.clock() < call.deadline
        return (
            before_deadline
            and progress.can_resume
            and may_retry(outcome, call.repeatable)
        )

    async def _run_attempt(
        self, call: Call, server: ServerState, progress: _Progress, fingerprint: str
    ) -> AsyncIterator[ResponseItem]:
        attempt = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.events.emit(
            "attempt.sent", request=call.request_id, attempt=attempt, server=server.vm
        )
        req = _run_request(call, attempt, self.clock())
        req.alone = self.suspects.must_run_alone(fingerprint)
        if progress.event_count:
            req.only_manifest = progress.required_manifest
            req.resume_from = progress.event_count
            req.prefix = bytes(progress.data)
        bar = barring_claim(
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
            lambda: self.resolver.resolve(bar),
            self.clock,
            self.receive_timeout,
        )
        server.in_progress += 1
        finished = False
        try:
            async with aclosing(stream.run()) as events:
                async for event in events:
                    finished = event.HasField("final")
                    yield _response_item(event)
        finally:
            server.in_progress -= 1
            if not finished and stream.sent:
                self._start_cancel(stream)

    def _start_cancel(self, stream: AttemptStream) -> None:
        """Cancel the attempt of a disconnected caller in the background."""
        task = asyncio.create_task(stream.cancel())
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)


def _outcome_for_retry(call: Call, outcome: Outcome) -> Outcome:
    """Return the outcome for a caller that may have sent this key before.

    The caller's earlier request may have run although this one did not, unless this
    one held the key's claim: no other attempt can have run under a held claim.
    """
    if not call.is_retry or call.repeatable or not isinstance(outcome, NotRun):
        return outcome
    return outcome if outcome.settled else Unknown(outcome.failure, outcome.retry_after)


def _run_request(call: Call, attempt: str, now: float) -> pb.RunRequest:
    return pb.RunRequest(
        attempt=attempt,
        request=call.request_id,
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


def _response_item(event: pb.RunEvent) -> ResponseItem:
    if event.HasField("started"):
        started = event.started
        return Started(started.ticket, started.version, started.manifest)
    if event.HasField("piece"):
        return StreamEvent(event.piece.data)
    return Completed(outcome_from_final(event.final))
