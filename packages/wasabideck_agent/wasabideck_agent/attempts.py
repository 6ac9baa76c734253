"""Attempts of requests: their buffered events, and the tombstones of those given up.

Events are numbered and kept until the attempt is forgotten, so a connection that
went silent is replaced by another that goes on from an offset.
"""

from __future__ import annotations

import asyncio

from attrs import define, field
from wasabideck_policy.outcomes import Outcome
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.convert import final_from

__all__ = ["Attempt", "Attempts"]

KEEP_SECONDS = 60.0


@define
class Attempt:
    """One try of a request on this server.

    Attributes
    ----------
    started : bool
        Whether the server may have begun to run it.
    """

    req: pb.RunRequest
    deadline: float
    events: list[pb.RunEvent] = field(factory=list)
    started: bool = False
    cancelled: bool = False
    ended_at: float | None = None
    task: asyncio.Task | None = None
    _grown: asyncio.Event = field(factory=asyncio.Event)

    def add(self, **kind: object) -> None:
        """Append one event and wake its readers."""
        self.events.append(pb.RunEvent(offset=len(self.events), **kind))
        grown, self._grown = self._grown, asyncio.Event()
        grown.set()

    def finish(self, outcome: Outcome, now: float) -> None:
        """Append the final event; a second one changes nothing."""
        if self.ended_at is None:
            self.ended_at = now
            self.add(final=final_from(outcome))

    async def grown(self, offset: int, timeout: float) -> bool:
        """Wait until there are events from an offset on; False on a timeout."""
        while len(self.events) <= offset:
            try:
                await asyncio.wait_for(self._grown.wait(), timeout)
            except TimeoutError:
                return False
        return True


@define
class Attempts:
    """All attempts of this server that are known by their id."""

    _known: dict[str, Attempt] = field(factory=dict)
    _tombstones: dict[str, float] = field(factory=dict)

    def get(self, name: str) -> Attempt | None:
        """A known attempt, or None."""
        return self._known.get(name)

    def add(self, attempt: Attempt) -> None:
        """Know an attempt by its id."""
        self._known[attempt.req.attempt] = attempt

    def bury(self, name: str, now: float) -> None:
        """Leave a tombstone, so that a late arrival does not run."""
        self._tombstones[name] = now

    def buried(self, name: str) -> bool:
        """Whether the attempt was given up before it arrived."""
        return name in self._tombstones

    def in_progress(self) -> list[Attempt]:
        """Attempts without a final event."""
        return [a for a in self._known.values() if a.ended_at is None]

    def forget_old(self, now: float) -> None:
        """Drop what ended, or was buried, long ago."""
        limit = now - KEEP_SECONDS
        self._known = {
            name: attempt
            for name, attempt in self._known.items()
            if attempt.ended_at is None or attempt.ended_at > limit
        }
        self._tombstones = {k: t for k, t in self._tombstones.items() if t > limit}
