"""The ``Runs`` service of the inner protocol, backed by a runner."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from attrs import define
from grpclib.server import Stream
from wasabideck_policy.outcomes import Failure, NotRun, Outcome, Unknown
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_to_final
from wasabideck_wire.inner_grpc import RunsBase

from .attempts import Attempt, EventsForgotten
from .runner import Runner

__all__ = ["RunsService"]

HEARTBEAT_INTERVAL_SECONDS = 0.5


@define
class RunsService(RunsBase):
    """Streams the events of attempts, from any offset, on any connection."""

    runner: Runner
    heartbeat_seconds: float = HEARTBEAT_INTERVAL_SECONDS

    async def Run(self, stream: Stream[pb.RunRequest, pb.RunEvent]) -> None:
        """Start an attempt, or resume it if it is known, and stream its events."""
        req = await stream.recv_message()
        await self._stream_events(stream.send_message, self.runner.start(req), 0)

    async def Resume(self, stream: Stream[pb.ResumeRequest, pb.RunEvent]) -> None:
        """Stream an attempt's events from an offset."""
        req = await stream.recv_message()
        attempt = self.runner.attempts.get(req.attempt)
        if attempt is None:
            final = outcome_to_final(self._resolve_unknown(req))
            await stream.send_message(pb.RunEvent(offset=req.offset, final=final))
            return
        await self._stream_events(stream.send_message, attempt, req.offset)

    async def Cancel(self, stream: Stream[pb.CancelRequest, pb.CancelReply]) -> None:
        """Cancel an attempt."""
        req = await stream.recv_message()
        not_run = await self.runner.cancel(req)
        await stream.send_message(pb.CancelReply(not_run=not_run))

    def _resolve_unknown(self, req: pb.ResumeRequest) -> Outcome:
        """Return the outcome of an attempt that this process does not know.

        If the entry that sent the attempt resumes it, the attempt is barred. A query
        with ``watch`` does not bar it.
        """
        if not req.watch and self.runner.attempts.arrivals.cancel(
            req.attempt, req.incarnation, req.not_after_ms / 1000, self.runner.clock()
        ):
            return NotRun(
                Failure("NeverArrived", "its run request did not arrive"), 1.0
            )
        return Unknown(
            Failure("Forgotten", "this agent process does not know the attempt")
        )

    async def _stream_events(
        self,
        send: Callable[[pb.RunEvent], Awaitable[None]],
        attempt: Attempt,
        offset: int,
    ) -> None:
        self.runner.open_streams += 1
        try:
            with attempt.attach_reader(self.runner.clock):
                await self._send_until_final(send, attempt, offset)
        except EventsForgotten as exc:
            final = outcome_to_final(Unknown(Failure("EventsForgotten", str(exc))))
            await send(pb.RunEvent(offset=offset, final=final))
        finally:
            self.runner.open_streams -= 1

    async def _send_until_final(
        self,
        send: Callable[[pb.RunEvent], Awaitable[None]],
        attempt: Attempt,
        offset: int,
    ) -> None:
        while True:
            if not await attempt.wait_for_event(offset, self.heartbeat_seconds):
                await send(pb.RunEvent(offset=offset, beat=pb.Beat()))
                continue
            event = attempt.event(offset)
            await send(event)
            attempt.mark_sent(offset)
            offset += 1
            if event.HasField("final"):
                return
