"""The inner protocol's face of a runner."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import define
from grpclib.server import Stream
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import final_from
from wasabideck_wire.inner_grpc import RunsBase

from .attempts import Attempt, EventsForgotten
from .runs import Runner

__all__ = ["RunsService"]

BEAT_SECONDS = 0.5


@define
class RunsService(RunsBase):
    """Streams attempts' events, from any offset, on any connection."""

    runner: Runner
    beat: float = BEAT_SECONDS

    async def Run(self, stream: Stream[pb.RunRequest, pb.RunEvent]) -> None:
        """Run one attempt, or go on with it if it is known."""
        req = await stream.recv_message()
        await self._send(stream.send_message, self.runner.start(req), 0)

    async def Resume(self, stream: Stream[pb.ResumeRequest, pb.RunEvent]) -> None:
        """Go on with an attempt's events from an offset."""
        req = await stream.recv_message()
        attempt = self.runner.attempts.get(req.attempt)
        if attempt is None:
            final = final_from(self._never(req))
            await stream.send_message(pb.RunEvent(offset=req.offset, final=final))
            return
        await self._send(stream.send_message, attempt, req.offset)

    async def Cancel(self, stream: Stream[pb.CancelRequest, pb.CancelReply]) -> None:
        """Give an attempt up."""
        req = await stream.recv_message()
        not_run = await self.runner.cancel(req)
        await stream.send_message(pb.CancelReply(not_run=not_run))

    def _never(self, req: pb.ResumeRequest) -> Outcome:
        """Outcome of an attempt that this process does not know."""
        if not req.watch and self.runner.attempts.arrivals.give_up(
            req.attempt, req.incarnation, req.not_after_ms / 1000, self.runner.clock()
        ):
            return NotRun(Failure("NeverArrived", "its run request got lost"), 1.0)
        return Unknown(Failure("Forgotten", "this agent process knows nothing of it"))

    async def _send(
        self,
        send: Callable[[pb.RunEvent], Awaitable[None]],
        attempt: Attempt,
        offset: int,
    ) -> None:
        self.runner.streams += 1
        try:
            with attempt.reading(self.runner.clock):
                await self._send_all(send, attempt, offset)
        except EventsForgotten as exc:
            final = final_from(Unknown(Failure("EventsForgotten", str(exc))))
            await send(pb.RunEvent(offset=offset, final=final))
        finally:
            self.runner.streams -= 1

    async def _send_all(
        self,
        send: Callable[[pb.RunEvent], Awaitable[None]],
        attempt: Attempt,
        offset: int,
    ) -> None:
        while True:
            if not await attempt.grown(offset, self.beat):
                await send(pb.RunEvent(offset=offset, beat=pb.Beat()))
                continue
            event = attempt.event(offset)
            await send(event)
            attempt.sent(offset)
            offset += 1
            if event.HasField("final"):
                return
