"""Receives the events of one attempt, reconnecting when a connection fails."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from attrs import define, field
from grpclib.client import Channel
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_base.events import Events
from wasabideck_policy.attempt_registry import MAX_REQUEST_AGE_SECONDS
from wasabideck_policy.load_balancing import ServerState
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_to_final
from wasabideck_wire.inner_grpc import RunsStub

from .attempt_resolver import Resolved

__all__ = ["RECEIVE_TIMEOUT_SECONDS", "AttemptStream"]

# An agent sends a heartbeat every half second. A connection that delivers nothing for
# this time is treated as failed, even if TCP still reports it as open.
RECEIVE_TIMEOUT_SECONDS = 2.0
CANCEL_TIMEOUT_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 0.05
# Consecutive refused connections after which the agent process counts as terminated.
MAX_REFUSED_CONNECTIONS = 2
# Consecutive failed or unresponsive connections after which a call is retried on
# another server, if it is repeatable or certainly did not run.
MAX_FAILED_CONNECTIONS = 2
# Extra wait after the deadline: the agent itself ends an attempt at the deadline, and
# the outcome that it reports is more precise.
DEADLINE_GRACE_SECONDS = 1.0


@define
class AttemptStream:
    """Sends one attempt to an agent and receives its events up to the final one.

    Attributes
    ----------
    deadline : float
        By this process's clock, seconds.
    resolve : callable
        Returns the outcome of the attempt when its agent is lost; None while the
        outcome cannot be known.
    """

    server: ServerState
    req: pb.RunRequest
    deadline: float
    channels: Channels
    events: Events
    resolve: Callable[[], Awaitable[Resolved | None]]
    clock: Callable[[], float] = time.monotonic
    receive_timeout: float = RECEIVE_TIMEOUT_SECONDS
    offset: int = 0
    sent: bool = False
    _failed_connections: int = 0
    _refused_connections: int = 0
    _event_count: int = 0
    _latest_arrival: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the agent process that the attempt is for and its latest arrival time."""
        self._latest_arrival = (
            self.clock() + self.server.clock_ahead + MAX_REQUEST_AGE_SECONDS
        )
        self.req.incarnation = self.server.incarnation
        self.req.not_after_ms = int(self._latest_arrival * 1000)

    async def run(self) -> AsyncIterator[pb.RunEvent]:
        """Return the events without heartbeats; the last one is final.

        A failed or unresponsive connection is replaced by a new one that resumes at
        the offset reached, so that no event is lost or duplicated.
        """
        outcome: Outcome | None = None
        resolved: Resolved | None = None
        while self.clock() < self.deadline + DEADLINE_GRACE_SECONDS:
            channel = self.channels.get(self.server.address)
            try:
                async for event in self._receive(channel):
                    yield event
                    if event.HasField("final"):
                        return
            except ConnectionRefusedError as exc:
                if outcome := self._refused_outcome(exc):
                    break
            except CALL_FAILURES as exc:
                self._record_failed_connection(channel, exc)
                if (
                    self._failed_connections >= MAX_FAILED_CONNECTIONS
                    and self.req.repeatable
                ):
                    break
                if self._failed_connections >= MAX_FAILED_CONNECTIONS and (
                    resolved := await self.resolve()
                ):
                    break
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)
        if outcome is None and resolved is None:
            outcome = await self.abandon()
        for event in await self._final_events(outcome, resolved):
            yield event

    async def _final_events(
        self, outcome: Outcome | None, resolved: Resolved | None
    ) -> list[pb.RunEvent]:
        """Return the final event, after a stored response that was not sent yet."""
        if (
            resolved is None
            and isinstance(outcome, Unknown)
            and not self.req.repeatable
        ):
            resolved = await self.resolve()
        if resolved is None:
            return [_final_event(self.offset, outcome)]
        final = _final_event(self.offset, resolved.outcome)
        if not resolved.response or self._event_count:
            return [final]
        piece = pb.Piece(data=resolved.response)
        return [pb.RunEvent(offset=self.offset, piece=piece), final]

    async def abandon(self) -> Outcome:
        """Cancel the attempt and return its outcome."""
        if not self.sent or await self.cancel():
            return NotRun(Failure("NotBegun", "cancelled before it ran"), 1.0)
        return Unknown(
            Failure("NoAnswer", f"no response from {self.server.vm} in time")
        )

    async def cancel(self) -> bool:
        """Cancel the attempt; return whether it certainly did not and will not run."""
        channel = self.channels.get(self.server.address)
        req = pb.CancelRequest(
            attempt=self.req.attempt,
            incarnation=self.req.incarnation,
            not_after_ms=self.req.not_after_ms,
        )
        try:
            reply = await RunsStub(channel).Cancel(req, timeout=CANCEL_TIMEOUT_SECONDS)
        except CALL_FAILURES:
            self.channels.close_channel(self.server.address, channel)
            return False
        return reply.not_run

    async def _receive(self, channel: Channel) -> AsyncIterator[pb.RunEvent]:
        """Return the events from the offset reached, on one connection."""
        stub = RunsStub(channel)
        method = stub.Resume if self.sent else stub.Run
        async with method.open() as stream:
            try:
                # Nothing can have been sent before the connection is established.
                async with asyncio.timeout(self.receive_timeout):
                    await stream.send_request()
                req = self._resume_request() if self.sent else self.req
                self.sent = True
                async with asyncio.timeout(self.receive_timeout):
                    await stream.send_message(req, end=True)
                while self.clock() < self.deadline + DEADLINE_GRACE_SECONDS:
                    async with asyncio.timeout(self.receive_timeout):
                        event = await stream.recv_message()
                    if event is None:
                        raise ConnectionResetError("the stream ended early")
                    self._failed_connections = self._refused_connections = 0
                    if event.HasField("beat"):
                        continue
                    self.offset = event.offset + 1
                    self._event_count += event.HasField("piece")
                    yield event
                    if event.HasField("final"):
                        return
            except CALL_FAILURES:
                # The connection is dropped before the stream's context ends: its end
                # would block on writing a reset to a connection that accepts no data.
                self.channels.close_channel(self.server.address, channel)
                raise

    def _resume_request(self) -> pb.ResumeRequest:
        return pb.ResumeRequest(
            attempt=self.req.attempt,
            offset=self.offset,
            incarnation=self.req.incarnation,
            not_after_ms=self.req.not_after_ms,
        )

    def _refused_outcome(self, exc: ConnectionRefusedError) -> Outcome | None:
        """Return the outcome if the agent is lost; None while it may be transient."""
        self.server.serving = False
        if not self.sent:
            return NotRun(Failure("Unreachable", str(exc)), 1.0)
        self._refused_connections += 1
        if self._refused_connections < MAX_REFUSED_CONNECTIONS:
            return None
        # The server may have crashed its whole VM. The identifier is the same at every
        # entry, so that the crash is counted once.
        crash = f"{self.server.vm}/{self.server.incarnation}/gone"
        failure = Failure("AgentGone", f"the agent of {self.server.vm} has terminated")
        return Unknown(failure, 1.0, crash)

    def _record_failed_connection(self, channel: Channel, exc: BaseException) -> None:
        self._failed_connections += 1
        self.channels.close_channel(self.server.address, channel)
        self.events.emit(
            "attempt.resumed",
            attempt=self.req.attempt,
            offset=self.offset,
            why=str(exc) or type(exc).__name__,
        )


def _final_event(offset: int, outcome: Outcome) -> pb.RunEvent:
    return pb.RunEvent(offset=offset, final=outcome_to_final(outcome))
