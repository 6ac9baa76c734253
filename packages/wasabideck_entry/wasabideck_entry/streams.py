"""One attempt's events, on as many connections as it takes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from attrs import define, field
from grpclib.client import Channel
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_base.events import Events
from wasabideck_policy.arrivals import ARRIVAL_SECONDS
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_policy.routing import Server
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import final_from
from wasabideck_wire.inner_grpc import RunsStub

from .resolve import Resolved

__all__ = ["SILENCE_SECONDS", "AttemptStream"]

# An agent sends a heartbeat every half second: a connection without one for this
# long has gone silent, whatever TCP thinks of it.
SILENCE_SECONDS = 2.0
CANCEL_SECONDS = 1.0
RECONNECT_SECONDS = 0.05
# Refused connections in a row after which the agent process is taken for dead.
MOST_REFUSED = 2
# Silent or broken connections in a row after which a call goes elsewhere, if it may
# be repeated or certainly did not run.
MOST_SILENT = 2
# The agent itself ends an attempt at its deadline, and its word is the better one.
GRACE_SECONDS = 1.0


@define
class AttemptStream:
    """Sends one attempt to an agent, and stays on its events until the final one.

    Attributes
    ----------
    deadline : float
        By this process's clock, seconds.
    resolve : callable
        Finds out what became of the attempt when its agent is lost; None while
        nobody can know.
    """

    server: Server
    req: pb.RunRequest
    deadline: float
    channels: Channels
    events: Events
    resolve: Callable[[], Awaitable[Resolved | None]]
    clock: Callable[[], float] = time.monotonic
    silence: float = SILENCE_SECONDS
    offset: int = 0
    sent: bool = False
    _silent: int = 0
    _refused: int = 0
    _pieces: int = 0
    _not_after: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Name the agent process that is meant, and how late it may hear of it."""
        self._not_after = self.clock() + self.server.clock_ahead + ARRIVAL_SECONDS
        self.req.incarnation = self.server.incarnation
        self.req.not_after_ms = int(self._not_after * 1000)

    async def run(self) -> AsyncIterator[pb.RunEvent]:
        """Events without heartbeats; the last one is final.

        A connection that broke or went silent is replaced by another that goes on
        from the offset reached, so nothing is lost or doubled.
        """
        outcome: Outcome | None = None
        known: Resolved | None = None
        while self.clock() < self.deadline + GRACE_SECONDS:
            channel = self.channels.get(self.server.address)
            try:
                async for event in self._on(channel):
                    yield event
                    if event.HasField("final"):
                        return
            except ConnectionRefusedError as exc:
                if outcome := self._refusal(exc):
                    break
            except LINK_FAILURES as exc:
                self._note_break(channel, exc)
                if self._silent >= MOST_SILENT and self.req.repeatable:
                    break
                if self._silent >= MOST_SILENT and (known := await self.resolve()):
                    break
            await asyncio.sleep(RECONNECT_SECONDS)
        if outcome is None and known is None:
            outcome = await self.give_up()
        for event in await self._last(outcome, known):
            yield event

    async def _last(
        self, outcome: Outcome | None, known: Resolved | None
    ) -> list[pb.RunEvent]:
        """The final event, and before it a stored answer that has yet to be given."""
        if known is None and isinstance(outcome, Unknown) and not self.req.repeatable:
            known = await self.resolve()
        if known is None:
            return [_final(self.offset, outcome)]
        final = _final(self.offset, known.outcome)
        if not known.answer or self._pieces:
            return [final]
        piece = pb.Piece(data=known.answer)
        return [pb.RunEvent(offset=self.offset, piece=piece), final]

    async def give_up(self) -> Outcome:
        """Cancel the attempt; whether it certainly did not and will not run."""
        if not self.sent or await self.cancel():
            return NotRun(Failure("NotBegun", "given up before it ran"), 1.0)
        return Unknown(Failure("NoAnswer", f"none from {self.server.vm} in time"))

    async def cancel(self) -> bool:
        """Cancel the attempt; whether it certainly did not and will not run."""
        channel = self.channels.get(self.server.address)
        req = pb.CancelRequest(
            attempt=self.req.attempt,
            incarnation=self.req.incarnation,
            not_after_ms=self.req.not_after_ms,
        )
        try:
            reply = await RunsStub(channel).Cancel(req, timeout=CANCEL_SECONDS)
        except LINK_FAILURES:
            self.channels.drop(self.server.address, channel)
            return False
        return reply.not_run

    async def _on(self, channel: Channel) -> AsyncIterator[pb.RunEvent]:
        """Events from the offset reached, on one connection."""
        stub = RunsStub(channel)
        method = stub.Resume if self.sent else stub.Run
        async with method.open() as stream:
            try:
                # Until it is connected nothing can have been sent.
                async with asyncio.timeout(self.silence):
                    await stream.send_request()
                req = self._resume() if self.sent else self.req
                self.sent = True
                async with asyncio.timeout(self.silence):
                    await stream.send_message(req, end=True)
                while self.clock() < self.deadline + GRACE_SECONDS:
                    async with asyncio.timeout(self.silence):
                        event = await stream.recv_message()
                    if event is None:
                        raise ConnectionResetError("the stream ended early")
                    self._silent = self._refused = 0
                    if event.HasField("beat"):
                        continue
                    self.offset = event.offset + 1
                    self._pieces += event.HasField("piece")
                    yield event
                    if event.HasField("final"):
                        return
            except LINK_FAILURES:
                # Before the stream is left, which would wait to write its reset to a
                # connection that takes nothing any more.
                self.channels.drop(self.server.address, channel)
                raise

    def _resume(self) -> pb.ResumeRequest:
        return pb.ResumeRequest(
            attempt=self.req.attempt,
            offset=self.offset,
            incarnation=self.req.incarnation,
            not_after_ms=self.req.not_after_ms,
        )

    def _refusal(self, exc: ConnectionRefusedError) -> Outcome | None:
        """Outcome once nothing listens there; None while it may be a hiccup."""
        self.server.serving = False
        if not self.sent:
            return NotRun(Failure("Unreachable", str(exc)), 1.0)
        self._refused += 1
        if self._refused < MOST_REFUSED:
            return None
        # Its server may have taken the whole VM down: every entry names this alike.
        crash = f"{self.server.vm}/{self.server.incarnation}/gone"
        failure = Failure("AgentGone", f"{self.server.vm} died with it")
        return Unknown(failure, 1.0, crash)

    def _note_break(self, channel: Channel, exc: BaseException) -> None:
        self._silent += 1
        self.channels.drop(self.server.address, channel)
        self.events.emit(
            "attempt.resumed",
            attempt=self.req.attempt,
            offset=self.offset,
            why=str(exc) or type(exc).__name__,
        )


def _final(offset: int, outcome: Outcome) -> pb.RunEvent:
    return pb.RunEvent(offset=offset, final=final_from(outcome))
