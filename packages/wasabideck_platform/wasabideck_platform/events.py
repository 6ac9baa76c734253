"""Events of every process: one vocabulary, ordered by a hybrid logical clock."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import IO

import eliot
from attrs import define, frozen

__all__ = ["Clock", "Events", "Stamp", "open_events"]

COUNTER_LIMIT = 1 << 20


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
        micros, _, counter = text.partition(".")
        return cls(int(micros), int(counter))


@define
class Clock:
    """A clock that never runs behind what it has heard.

    A message carries the sender's stamp and the receiver moves past it, so an
    effect is always stamped after its cause, also where wall clocks are skewed.
    """

    last: Stamp = Stamp(0, 0)

    def tick(self, now: float) -> Stamp:
        """Stamp of an event that happens at wall time ``now`` (seconds)."""
        micros = int(now * 1e6)
        if micros > self.last.micros:
            self.last = Stamp(micros, 0)
        else:
            self.last = Stamp(self.last.micros, self.last.counter + 1)
        return self.last

    def observe(self, heard: Stamp) -> None:
        """Move past a stamp that came with a message."""
        self.last = max(self.last, heard)


@define
class Events:
    """Writes a process's events.

    Attributes
    ----------
    wall : callable
        Present wall time in seconds.
    """

    vm: str
    clock: Clock
    wall: Callable[[], float]

    def emit(self, kind: str, /, **fields: object) -> None:
        """Write one event; ``kind`` is ``thing.happening``."""
        stamp = self.clock.tick(self.wall())
        eliot.log_message(message_type=kind, vm=self.vm, hlc=str(stamp), **fields)


def open_events(
    vm: str, path: str, wall: Callable[[], float] = time.time
) -> tuple[Events, IO]:
    """Events written to a file (standard error when the path is empty)."""
    file = open(path, "a", buffering=1) if path else sys.stderr
    eliot.to_file(file)
    return Events(vm, Clock(), wall), file
