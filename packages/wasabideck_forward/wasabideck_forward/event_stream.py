"""Whole events of a stream, out of pieces that end anywhere."""

from __future__ import annotations

from attrs import define, field, frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["Event", "EventSplitter", "EventTooLong"]

_ENDS = (b"\n\n", b"\r\n\r\n")
# An event holds a few tokens. One without end would fill this process's memory, and
# its caller would see none of it.
MOST_EVENT_BYTES = 64 * 1024


class EventTooLong(WasabideckError):
    """A stream's bytes go on and on without the end of an event."""

    status = 502


@frozen
class Event:
    """One whole event: its bytes as they came, and its id (empty if none)."""

    data: bytes
    event_id: bytes


@define
class EventSplitter:
    """Cuts a stream's bytes into events, and keeps what is not whole yet.

    A server may stop in the middle of an event. Only whole events may go on to the
    caller, or another server's events would be joined to half of one.
    """

    _rest: bytes = b""
    last_id: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[Event]:
        """The events that are whole now; raises ``EventTooLong``."""
        self._rest += data
        events = []
        while (end := self._end()) >= 0:
            whole, self._rest = self._rest[:end], self._rest[end:]
            event = Event(whole, _id_of(whole))
            self.last_id = event.event_id or self.last_id
            events.append(event)
        if len(self._rest) > MOST_EVENT_BYTES:
            raise EventTooLong(f"{len(self._rest)} bytes of an event without its end")
        return events

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def restart(self) -> None:
        """Drop half an event: another server begins it anew."""
        self._rest = b""

    def _end(self) -> int:
        """Place behind the first whole event; -1 when there is none."""
        ends = (
            (self._rest.find(mark), len(mark)) for mark in _ENDS if mark in self._rest
        )
        found, size = min(ends, default=(-1, 0))
        return found + size if found >= 0 else -1


def _id_of(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
