"""Attempts of requests, with numbered events that a new connection can resume."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field
from wasabideck_policy.attempt_registry import AttemptRegistry
from wasabideck_policy.outcomes import Outcome
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import outcome_to_final

__all__ = ["Attempt", "Attempts", "EventsForgotten"]

# Limit for events not yet sent to a slow reader; above it the server's response is
# not read further.
MAX_UNSENT_BYTES = 256 * 1024
# Sent events are kept so that a reader can resume. A sender is never further ahead of
# its reader than the flow-control window of one stream (4 MiB, grpclib's default), so
# the reader has consumed all earlier events and never requests them again.
MAX_SENT_BYTES = 5 << 20
# Limit for the events of all ended attempts; above it the oldest are dropped first.
MAX_ENDED_BYTES = 16 << 20


class EventsForgotten(Exception):
    """A reader requested events that are no longer kept."""

    def __init__(self, attempt: str, offset: int):
        super().__init__(f"attempt {attempt}: event {offset} is no longer kept")
        self.attempt = attempt
        self.offset = offset


@define(eq=False)
class Attempt:
    """One attempt to run a request on this server.

    Attributes
    ----------
    started : bool
        Whether the server may have started to run it.
    record_pending : bool
        Whether its answer is not yet stored in the table. Until then its events are
        kept.
    readers : int
        Number of streams that are sending its events.
    unread_since : float
        Time at which the last reader left, 0 before the first one.
    """

    req: pb.RunRequest
    deadline: float
    started: bool = False
    cancelled: bool = False
    record_pending: bool = False
    ended_at: float | None = None
    final: pb.Final | None = None
    task: asyncio.Task | None = None
    readers: int = 0
    unread_since: float = 0.0
    _first_offset: int = 0
    _events: deque[pb.RunEvent] = field(factory=deque)
    _next_unsent: int = 0
    _unsent_bytes: int = 0
    _sent_bytes: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)

    def try_start(self) -> bool:
        """Mark the attempt as started; False if it was cancelled or has ended.

        The caller must not await anything between this and the call of the server:
        a cancel in between would be answered with "not run".
        """
        if self.cancelled or self.ended_at is not None:
            return False
        self.started = True
        return True

    def add_event(self, **kind: object) -> None:
        """Append one event and wake its readers."""
        event = pb.RunEvent(offset=self._first_offset + len(self._events), **kind)
        self._events.append(event)
        self._unsent_bytes += event.ByteSize()
        self._notify()

    def finish(self, outcome: Outcome, now: float) -> None:
        """Append the final event, unless there is one."""
        if self.ended_at is None:
            self.ended_at = now
            self.final = outcome_to_final(outcome)
            self.add_event(final=self.final)
            # The attempt is kept for another minute, and the bodies are most of it.
            self.req.ClearField("body")
            self.req.ClearField("prefix")

    @property
    def size(self) -> int:
        """Size of the events that are kept, in bytes."""
        return self._sent_bytes + self._unsent_bytes

    def drop_events(self) -> None:
        """Drop all events; a reader of one gets ``EventsForgotten`` afterwards."""
        self._first_offset += len(self._events)
        self._events.clear()
        self._next_unsent = self._first_offset
        self._sent_bytes = self._unsent_bytes = 0

    def answer(self) -> bytes:
        """Return the data of all events so far, joined."""
        parts = (e.piece.data for e in self._events if e.HasField("piece"))
        return b"".join(parts)

    def event(self, offset: int) -> pb.RunEvent:
        """Return an event of the past.

        Raises
        ------
        EventsForgotten
            The event is no longer kept.
        """
        if offset < self._first_offset:
            raise EventsForgotten(self.req.attempt, offset)
        return self._events[offset - self._first_offset]

    def mark_sent(self, offset: int) -> None:
        """Record that an event was sent; drop events that no reader can request."""
        if offset < self._next_unsent:
            return
        size = self.event(offset).ByteSize()
        self._next_unsent = offset + 1
        self._unsent_bytes -= size
        self._sent_bytes += size
        # The answer of a call that may not be repeated is stored in the table, so all
        # of its events are kept.
        while self._sent_bytes > MAX_SENT_BYTES and self.req.repeatable:
            self._sent_bytes -= self._events.popleft().ByteSize()
            self._first_offset += 1
        self._notify()

    async def wait_for_slow_reader(self) -> None:
        """Wait until few bytes are unsent: this is the backpressure on the server."""
        while self._unsent_bytes > MAX_UNSENT_BYTES and not self.cancelled:
            await self._changed.wait()

    async def wait_for_event(self, offset: int, timeout: float) -> bool:
        """Wait until the event with an offset exists; False on a timeout."""
        limit = asyncio.get_running_loop().time() + timeout
        while self._first_offset + len(self._events) <= offset:
            left = limit - asyncio.get_running_loop().time()
            if left <= 0 or not await self._wait_for_change(left):
                return False
        return True

    async def wait_for_reader(self, timeout: float) -> bool:
        """Wait until somebody reads the events; False on a timeout."""
        limit = asyncio.get_running_loop().time() + timeout
        while not self.readers:
            left = limit - asyncio.get_running_loop().time()
            if left <= 0 or not await self._wait_for_change(left):
                return self.readers > 0
        return True

    def cancel(self) -> None:
        """Mark the attempt as cancelled and wake all tasks that wait on it."""
        self.cancelled = True
        self._notify()

    @contextmanager
    def attach_reader(self, clock: Callable[[], float]) -> Iterator[None]:
        """Count one more reader inside the ``with`` block."""
        self.readers += 1
        self._notify()
        try:
            yield
        finally:
            self.readers -= 1
            self.unread_since = clock()

    async def _wait_for_change(self, timeout: float) -> bool:
        # asyncio.wait_for swallows a cancellation that arrives together with the
        # change, and a cancelled stream would continue forever.
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@define
class Attempts:
    """All attempts that this agent process keeps, by id."""

    arrivals: AttemptRegistry
    _by_id: dict[str, Attempt] = field(factory=dict)

    def get(self, attempt_id: str) -> Attempt | None:
        """Return the attempt with an id, or None if it is unknown."""
        return self._by_id.get(attempt_id)

    def add(self, attempt: Attempt) -> None:
        """Add an attempt under its id."""
        self._by_id[attempt.req.attempt] = attempt

    def in_progress(self) -> list[Attempt]:
        """Return the attempts that have no final event."""
        return [a for a in self._by_id.values() if a.ended_at is None]

    def orphans(self, limit: float) -> list[Attempt]:
        """Return attempts in progress whose last reader left before ``limit``."""
        return [
            a
            for a in self.in_progress()
            if not a.readers and a.unread_since and a.unread_since < limit
        ]

    def remove_expired(self, now: float) -> None:
        """Drop attempts that ended, or were cancelled, long ago."""
        for attempt_id, attempt in self._by_id.items():
            if attempt.ended_at is not None and not attempt.record_pending:
                self.arrivals.record_end(attempt_id, attempt.ended_at)
        for attempt_id in self.arrivals.remove_expired(now):
            self._by_id.pop(attempt_id, None)
        self._drop_oldest_events()

    def _drop_oldest_events(self) -> None:
        ended = [a for a in self._by_id.values() if a.ended_at is not None]
        total = sum(attempt.size for attempt in ended)
        for attempt in sorted(ended, key=lambda a: a.ended_at):
            if total <= MAX_ENDED_BYTES:
                return
            if not attempt.record_pending and not attempt.readers:
                total -= attempt.size
                attempt.drop_events()
