"""Splits a stream, received in parts of any size, into complete events."""

from __future__ import annotations

from attrs import define, field, frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["Event", "EventSplitter", "EventTooLong"]

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
# An event holds a few tokens. An event that never ends would fill the memory of this
# process, and its caller would receive none of it.
MAX_EVENT_BYTES = 64 * 1024


class EventTooLong(WasabideckError):
    """A stream continues for too many bytes without the end of an event."""

    status = 502


@frozen
class Event:
    """One complete event: its bytes as received, and its id (empty if it has none)."""

    data: bytes
    event_id: bytes


@define
class EventSplitter:
    """Splits the bytes of a stream into events, and buffers an incomplete one.

    A server may stop in the middle of an event. Only complete events may be forwarded
    to the caller: otherwise the events of another server would be appended to a part
    of one.
    """

    _buffer: bytes = b""
    last_event_id: bytes = field(default=b"")

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete now; raise ``EventTooLong``."""
        self._buffer += data
        events = []
        while (end := self._find_event_end()) >= 0:
            complete, self._buffer = self._buffer[:end], self._buffer[end:]
            event = Event(complete, _parse_id(complete))
            self.last_event_id = event.event_id or self.last_event_id
            events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"{len(self._buffer)} bytes without the end of an event")
        return events

    @property
    def partial(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        return self._buffer

    def discard_partial(self) -> None:
        """Discard an incomplete event: another server sends it from its start."""
        self._buffer = b""

    def _find_event_end(self) -> int:
        """Return the index after the first complete event, or -1 if there is none."""
        ends = (
            (self._buffer.find(mark), len(mark))
            for mark in _EVENT_TERMINATORS
            if mark in self._buffer
        )
        found, size = min(ends, default=(-1, 0))
        return found + size if found >= 0 else -1


def _parse_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return b""
