"""Attempts of requests, with their numbered events, kept for a connection to resume."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field
from wasabideck_policy.arrivals import Arrivals
from wasabideck_policy.outcomes import Outcome
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import final_from

__all__ = ["Attempt", "Attempts", "EventsForgotten"]

# The server is not read further while so much is unsent to a slow reader.
UNSENT_BYTES = 256 * 1024
# Sent events are kept for a resume. A sender is never further ahead of its reader
# than the flow-control window of one stream (4 MiB, grpclib's default), so whatever
# lies further back than this has been consumed and is never asked for again.
SENT_BYTES = 5 << 20
# Events of all attempts that ended; beyond it the oldest are dropped first.
ENDED_BYTES = 16 << 20


class EventsForgotten(Exception):
    """A reader asked for events from before the window that is kept."""

    def __init__(self, attempt: str, offset: int):
        super().__init__(f"attempt {attempt}: event {offset} is kept no longer")
        self.attempt = attempt
        self.offset = offset


@define(eq=False)
class Attempt:
    """One try of a request on this server.

    Attributes
    ----------
    started : bool
        Whether the server may have begun to run it.
    unrecorded : bool
        Whether its answer still has to reach the table, so that it is kept.
    readers : int
        Streams that send its events now.
    """

    req: pb.RunRequest
    deadline: float
    started: bool = False
    cancelled: bool = False
    unrecorded: bool = False
    ended_at: float | None = None
    final: pb.Final | None = None
    task: asyncio.Task | None = None
    readers: int = 0
    unread_since: float = 0.0
    _first: int = 0
    _events: deque[pb.RunEvent] = field(factory=deque)
    _sent: int = 0
    _unsent_bytes: int = 0
    _sent_bytes: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def begin(self) -> bool:
        """Whether the server may be given it now.

        No await may stand between this and the call: a cancel that came in between
        would be told that nothing ran.
        """
        if self.cancelled or self.ended_at is not None:
            return False
        self.started = True
        return True

    def add(self, **kind: object) -> None:
        """Append one event and wake its readers."""
        event = pb.RunEvent(offset=self._first + len(self._events), **kind)
        self._events.append(event)
        self._unsent_bytes += event.ByteSize()
        self._wake()

    def finish(self, outcome: Outcome, now: float) -> None:
        """Append the final event; a second one changes nothing."""
        if self.ended_at is None:
            self.ended_at = now
            self.final = final_from(outcome)
            self.add(final=self.final)
            # It is remembered for a minute yet, and bodies are the bulk of it.
            self.req.ClearField("body")
            self.req.ClearField("prefix")

    @property
    def size(self) -> int:
        """Bytes of the events that are kept."""
        return self._sent_bytes + self._unsent_bytes

    def drop_events(self) -> None:
        """Keep no event; whoever still asks for one is told so."""
        self._first += len(self._events)
        self._events.clear()
        self._sent = self._first
        self._sent_bytes = self._unsent_bytes = 0

    def answer(self) -> bytes:
        """All pieces so far, joined."""
        pieces = (e.piece.data for e in self._events if e.HasField("piece"))
        return b"".join(pieces)

    def event(self, offset: int) -> pb.RunEvent:
        """An event that has happened; raises ``EventsForgotten`` on an old one."""
        if offset < self._first:
            raise EventsForgotten(self.req.attempt, offset)
        return self._events[offset - self._first]

    def sent(self, offset: int) -> None:
        """Note that a reader sent an event, and drop what no reader can ask for."""
        if offset < self._sent:
            return
        size = self.event(offset).ByteSize()
        self._sent = offset + 1
        self._unsent_bytes -= size
        self._sent_bytes += size
        # An answer that is still to be recorded is needed whole.
        while self._sent_bytes > SENT_BYTES and self.req.repeatable:
            self._sent_bytes -= self._events.popleft().ByteSize()
            self._first += 1
        self._wake()

    async def room(self) -> None:
        """Wait until the reader has caught up: this pushes the server back."""
        while self._unsent_bytes > UNSENT_BYTES and not self.cancelled:
            await self._changed.wait()

    async def grown(self, offset: int, timeout: float) -> bool:
        """Wait until there are events from an offset on; False on a timeout."""
        limit = asyncio.get_running_loop().time() + timeout
        while self._first + len(self._events) <= offset:
            left = limit - asyncio.get_running_loop().time()
            if left <= 0 or not await self._change(left):
                return False
        return True

    async def has_reader(self, timeout: float) -> bool:
        """Wait until somebody reads the events; False on a timeout."""
        limit = asyncio.get_running_loop().time() + timeout
        while not self.readers:
            left = limit - asyncio.get_running_loop().time()
            if left <= 0 or not await self._change(left):
                return self.readers > 0
        return True

    def cancel(self) -> None:
        """Mark it as given up, and wake whoever waits on it."""
        self.cancelled = True
        self._wake()

    @contextmanager
    def reading(self, clock: Callable[[], float]) -> Iterator[None]:
        """Count a reader."""
        self.readers += 1
        self._wake()
        try:
            yield
        finally:
            self.readers -= 1
            self.unread_since = clock()

    async def _change(self, timeout: float) -> bool:
        # asyncio.wait_for swallows a cancel that comes together with the change: a
        # stream that was told to stop would go on for ever.
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@define
class Attempts:
    """All attempts of this agent process that are known by their id."""

    arrivals: Arrivals
    _known: dict[str, Attempt] = field(factory=dict)

    def get(self, name: str) -> Attempt | None:
        """A known attempt, or None."""
        return self._known.get(name)

    def add(self, attempt: Attempt) -> None:
        """Know an attempt by its id."""
        self._known[attempt.req.attempt] = attempt

    def in_progress(self) -> list[Attempt]:
        """Attempts without a final event."""
        return [a for a in self._known.values() if a.ended_at is None]

    def orphans(self, limit: float) -> list[Attempt]:
        """Attempts in progress that nobody has read since a moment."""
        return [
            a
            for a in self.in_progress()
            if not a.readers and a.unread_since and a.unread_since < limit
        ]

    def forget_old(self, now: float) -> None:
        """Drop what ended, or was given up, long ago."""
        for name, attempt in self._known.items():
            if attempt.ended_at is not None and not attempt.unrecorded:
                self.arrivals.end(name, attempt.ended_at)
        for name in self.arrivals.forget_old(now):
            self._known.pop(name, None)
        self._drop_oldest_events()

    def _drop_oldest_events(self) -> None:
        ended = [a for a in self._known.values() if a.ended_at is not None]
        total = sum(attempt.size for attempt in ended)
        for attempt in sorted(ended, key=lambda a: a.ended_at):
            if total <= ENDED_BYTES:
                return
            if not attempt.unrecorded and not attempt.readers:
                total -= attempt.size
                attempt.drop_events()
