"""Events of all processes, ordered by a hybrid logical clock."""

from __future__ import annotations

import math
import os
import re
import sys
import time
from collections.abc import Callable

import eliot
import orjson
from attrs import define, field, frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "HybridClock",
    "EventFile",
    "Events",
    "EventsUnwritable",
    "Timestamp",
    "open_events",
    "round_finite",
]

MAX_COUNTER = 1 << 20
MICROS_PER_SECOND = 1_000_000
MAX_DRIFT_SECONDS = 60.0
TIMESTAMP_PATTERN = re.compile(r"[0-9]{1,17}\.[0-9]{1,7}")


class EventsUnwritable(WasabideckError):
    """The event file cannot be opened."""

    def __init__(self, file: str, why: str):
        super().__init__(f"{file}: {why}")
        self.file = file


@frozen(order=True)
class Timestamp:
    """Timestamp of the hybrid logical clock: microseconds and a counter."""

    micros: int
    counter: int

    def __str__(self) -> str:
        return f"{self.micros}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> Timestamp:
        """Return the timestamp of a text form; raise ``ValueError`` if malformed."""
        if not isinstance(text, str) or not TIMESTAMP_PATTERN.fullmatch(text):
            raise ValueError(f"malformed timestamp: {text!r}")
        micros, _, counter = text.partition(".")
        return cls(int(micros), int(counter))


@define
class HybridClock:
    """Hybrid logical clock that never falls behind the timestamps it receives.

    A message carries the sender's timestamp and the receiver advances past it, so
    an effect always has a later timestamp than its cause, even if wall clocks are
    skewed.

    Attributes
    ----------
    wall_clock : callable
        Returns the current wall time in seconds.
    """

    last: Timestamp = Timestamp(0, 0)
    wall_clock: Callable[[], float] = time.time

    def tick(self, now: float) -> Timestamp:
        """Return the timestamp of an event at wall time ``now`` (seconds)."""
        micros = int(now * MICROS_PER_SECOND)
        if micros > self.last.micros:
            self.last = Timestamp(micros, 0)
        elif self.last.counter < MAX_COUNTER:
            self.last = Timestamp(self.last.micros, self.last.counter + 1)
        else:
            self.last = Timestamp(self.last.micros + 1, 0)
        return self.last

    def observe(self, received: Timestamp, now: float) -> None:
        """Advance past a timestamp received with a message.

        A timestamp more than ``MAX_DRIFT_SECONDS`` ahead of wall time ``now`` is
        ignored: otherwise a single VM with a wrong clock would permanently move the
        timestamps of the whole fleet into the future.
        """
        if received.micros <= (now + MAX_DRIFT_SECONDS) * MICROS_PER_SECOND:
            self.last = max(self.last, received)

    def observe_text(self, text: object) -> None:
        """Observe a timestamp in its text form; ignore malformed text."""
        try:
            self.observe(Timestamp.parse(text), self.wall_clock())
        except ValueError:
            return


@define
class EventFile:
    """Appends one line per event; a failed write loses the event and nothing else.

    Attributes
    ----------
    lost_events : int
        Number of events that could not be written.
    """

    descriptor: int
    lost_events: int = 0
    _line_incomplete: bool = False

    def __call__(self, message: dict) -> None:
        """Write one event."""
        line = orjson.dumps(message, default=str, option=orjson.OPT_NON_STR_KEYS)
        # A partial write left an incomplete line: the next event starts a new one.
        data = (b"\n" if self._line_incomplete else b"") + line + b"\n"
        try:
            self._line_incomplete = os.write(self.descriptor, data) < len(data)
        except OSError:
            # A full disk must neither crash the process nor prevent its shutdown.
            self.lost_events += 1


@define
class Events:
    """Writes the events of a process and passes them to its listeners."""

    vm: str
    clock: HybridClock
    wall: Callable[[], float]
    listeners: list[Callable[[str, dict], None]] = field(factory=list)

    def emit(self, kind: str, /, **fields: object) -> None:
        """Write one event; ``kind`` is a key of ``event_kinds.EVENT_KINDS``."""
        stamp = self.clock.tick(self.wall())
        eliot.log_message(message_type=kind, vm=self.vm, hlc=str(stamp), **fields)
        for listener in self.listeners:
            listener(kind, fields)


def open_events(
    vm: str, path: str, wall: Callable[[], float] = time.time
) -> tuple[Events, EventFile]:
    """Return events that are written to a file (standard error if the path is empty).

    Raises
    ------
    EventsUnwritable
        The event file cannot be opened.
    """
    try:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(path, flags, 0o644) if path else sys.stderr.fileno()
    except OSError as exc:
        raise EventsUnwritable(path, exc.strerror) from exc
    file = EventFile(descriptor)
    eliot.add_destinations(file)
    return Events(vm, HybridClock(wall_clock=wall), wall), file


def round_finite(seconds: float) -> float | None:
    """Return seconds rounded for an event, or None if they are infinite."""
    return round(seconds, 3) if math.isfinite(seconds) else None
