"""Events of every process: one vocabulary, ordered by a hybrid logical clock."""

from __future__ import annotations

import os
import re
import sys
import time
from collections.abc import Callable

import eliot
import orjson
from attrs import define, field, frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["Clock", "EventFile", "Events", "EventsUnwritable", "Stamp", "open_events"]

COUNTER_LIMIT = 1 << 20
MICROS = 1_000_000
MOST_DRIFT_SECONDS = 60.0
FORM = re.compile(r"[0-9]{1,17}\.[0-9]{1,7}")


class EventsUnwritable(WasabideckError):
    """The file of events cannot be opened."""

    def __init__(self, file: str, why: str):
        super().__init__(f"{file}: {why}")
        self.file = file


@frozen(order=True)
class Stamp:
    """One moment of the hybrid logical clock: microseconds and a counter."""

    micros: int
    counter: int

    def __str__(self) -> str:
        return f"{self.micros}.{self.counter}"

    @classmethod
    def parse(cls, text: str) -> Stamp:
        """Stamp from its text form; raises ValueError on any other text."""
        if not isinstance(text, str) or not FORM.fullmatch(text):
            raise ValueError(f"no stamp: {text!r}")
        micros, _, counter = text.partition(".")
        return cls(int(micros), int(counter))


@define
class Clock:
    """A clock that never runs behind what it has heard.

    A message carries the sender's stamp and the receiver moves past it, so an
    effect is always stamped after its cause, also where wall clocks are skewed.

    Attributes
    ----------
    wall : callable
        Present wall time in seconds.
    """

    last: Stamp = Stamp(0, 0)
    wall: Callable[[], float] = time.time

    def tick(self, now: float) -> Stamp:
        """Stamp of an event that happens at wall time ``now`` (seconds)."""
        micros = int(now * MICROS)
        if micros > self.last.micros:
            self.last = Stamp(micros, 0)
        elif self.last.counter < COUNTER_LIMIT:
            self.last = Stamp(self.last.micros, self.last.counter + 1)
        else:
            self.last = Stamp(self.last.micros + 1, 0)
        return self.last

    def observe(self, heard: Stamp, now: float) -> None:
        """Move past a stamp that came with a message.

        A stamp far ahead of wall time ``now`` is ignored: one VM with a wild clock
        would otherwise carry the whole fleet's stamps off with it, for good.
        """
        if heard.micros <= (now + MOST_DRIFT_SECONDS) * MICROS:
            self.last = max(self.last, heard)

    def hear(self, text: object) -> None:
        """Observe a stamp in its text form; any other text is ignored."""
        try:
            self.observe(Stamp.parse(text), self.wall())
        except ValueError:
            return


@define
class EventFile:
    """Appends one line an event; a file that cannot be written loses events only.

    Attributes
    ----------
    lost : int
        Events that could not be written.
    """

    descriptor: int
    lost: int = 0
    _broken: bool = False

    def __call__(self, message: dict) -> None:
        """Write one event."""
        line = orjson.dumps(message, default=str, option=orjson.OPT_NON_STR_KEYS)
        # A write that was cut short left half a line: the next event begins anew.
        data = (b"\n" if self._broken else b"") + line + b"\n"
        try:
            self._broken = os.write(self.descriptor, data) < len(data)
        except OSError:
            # A full disk must neither take the process down nor stop its stop.
            self.lost += 1


@define
class Events:
    """Writes a process's events, and tells them to whoever counts them."""

    vm: str
    clock: Clock
    wall: Callable[[], float]
    listeners: list[Callable[[str, dict], None]] = field(factory=list)

    def emit(self, kind: str, /, **fields: object) -> None:
        """Write one event; ``kind`` is one of the vocabulary's."""
        stamp = self.clock.tick(self.wall())
        eliot.log_message(message_type=kind, vm=self.vm, hlc=str(stamp), **fields)
        for listener in self.listeners:
            listener(kind, fields)


def open_events(
    vm: str, path: str, wall: Callable[[], float] = time.time
) -> tuple[Events, EventFile]:
    """Events written to a file (standard error when the path is empty).

    Raises
    ------
    EventsUnwritable
        The file cannot be opened.
    """
    try:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        descriptor = os.open(path, flags, 0o644) if path else sys.stderr.fileno()
    except OSError as exc:
        raise EventsUnwritable(path, exc.strerror) from exc
    file = EventFile(descriptor)
    eliot.add_destinations(file)
    return Events(vm, Clock(wall=wall), wall), file
