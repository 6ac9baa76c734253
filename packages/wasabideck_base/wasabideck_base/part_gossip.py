"""Spreads evidence against prompt parts that may crash servers to all entries.

Each entry sends what is new to it to a few others, drawn at random, which do the same.
Who is left out by chance, or was cut off, receives it with its next regular poll.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Sequence

from attrs import define, field
from wasabideck_policy.part_quarantine import PartQuarantine
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.crashes import (
    merge_suspects,
    suspects_lacking,
    suspects_to_messages,
)

from .events import Events

__all__ = ["PartGossip"]

# Number of entries to which new evidence is sent. Each sends it on to as many, so that
# one in 3,000 is left out.
PUSH_FANOUT = 8
# Delay in which evidence is collected before it is sent, and the minimum interval
# between two pushes while servers crash one after the other.
COLLECT_SECONDS = 0.02
PUSH_INTERVAL_SECONDS = 0.15
# Maximum number of parts in one message.
MAX_PARTS_SENT = 16


@define
class PartGossip:
    """A process's evidence against prompt parts, and its exchange with its peers.

    Attributes
    ----------
    other_entries : callable
        Returns the addresses of the other entries.
    push : callable
        Sends messages to the peers at some addresses.
    relays : bool
        Whether this process sends on what is new to it.
    on_quarantined : callable
        Called when the set of quarantined parts has changed.
    """

    events: Events
    rng: random.Random
    other_entries: Callable[[], list[str]]
    push: Callable[[list[pb.SuspectPart], list[str]], Awaitable[None]]
    relays: bool = True
    on_quarantined: Callable[[], None] = lambda: None
    parts: PartQuarantine = field(factory=PartQuarantine)
    _unsent: dict[str, None] = field(factory=dict)
    _push_due: asyncio.Event = field(factory=asyncio.Event)
    _known_quarantined: frozenset[str] = frozenset()

    def note_evidence(self, parts: Iterable[str], source: str) -> None:
        """Log what new evidence on parts changes, and have it sent to other entries."""
        if self.relays:
            self._unsent.update(dict.fromkeys(parts))
            self._push_due.set()
        self._log_changes(source)

    def merge(self, messages: Iterable[pb.SuspectPart], source: str) -> None:
        """Merge a peer's evidence."""
        changed = merge_suspects(self.parts, messages, self.events.wall())
        if changed:
            self.note_evidence(changed, source)

    def poll_messages(self) -> list[pb.SuspectPart]:
        """Return the evidence for a peer that this process polls."""
        if not self.parts.suspects:
            return []
        names = self.parts.strongest(MAX_PARTS_SENT, self.events.wall())
        return suspects_to_messages(self.parts, names)

    def reply_messages(
        self, received: Sequence[pb.SuspectPart]
    ) -> list[pb.SuspectPart]:
        """Return the evidence that a peer lacks which has sent its own."""
        if not self.parts.suspects:
            return []
        named = {message.part for message in received}
        quarantined = self.parts.quarantined(self.events.wall())
        names = [*suspects_lacking(self.parts, received), *sorted(quarantined - named)]
        return suspects_to_messages(self.parts, names[:MAX_PARTS_SENT])

    async def run_pushes(self) -> None:
        """Send new evidence to other entries, until cancelled."""
        while True:
            await self._push_due.wait()
            await asyncio.sleep(COLLECT_SECONDS)
            self._push_due.clear()
            names = list(self._unsent)[:MAX_PARTS_SENT]
            for name in names:
                del self._unsent[name]
            if self._unsent:
                self._push_due.set()
            await self._push(suspects_to_messages(self.parts, names))
            await asyncio.sleep(PUSH_INTERVAL_SECONDS)

    async def _push(self, messages: list[pb.SuspectPart]) -> None:
        entries = sorted(self.other_entries())
        if not messages or not entries:
            return
        chosen = self.rng.sample(entries, min(PUSH_FANOUT, len(entries)))
        await self.push(messages, chosen)

    def _log_changes(self, source: str) -> None:
        """Log parts whose quarantine has begun or ended."""
        quarantined = self.parts.quarantined(self.events.wall())
        if quarantined == self._known_quarantined:
            return
        for part in sorted(quarantined - self._known_quarantined):
            suspect = self.parts.suspects[part]
            self.events.emit(
                "part.quarantined",
                part=part,
                crashes=sorted(suspect.crashes),
                rounds=suspect.last_round,
                until=round(suspect.until, 1),
                source=source,
            )
        for part in sorted(self._known_quarantined - quarantined):
            self.events.emit("part.released", part=part, source=source)
        self._known_quarantined = quarantined
        self.on_quarantined()
