"""Where prompt prefixes are cached: from events that come late and with gaps."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

import xxhash
from attrs import define, field

__all__ = ["CacheView", "home", "prefix_name"]

PREFIX_BYTES = 64
# How long a prefix is still believed in after an event was missed: it may have been
# the one that told of its end.
DOUBT_SECONDS = 10.0
# An engine that was replaced has an empty cache and tells nobody that it lost the
# old one; what was believed of it ends by itself.
BELIEVED_SECONDS = 120.0


class _Placed(Protocol):
    vm: str


S = TypeVar("S", bound=_Placed)


def prefix_name(body: bytes) -> str:
    """Name of a prompt's prefix."""
    return hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:8]


def home(prefix: str, servers: Sequence[S]) -> S:
    """The server where a prefix belongs, the same for every entry (rendezvous)."""

    def rank(server: S) -> int:
        return xxhash.xxh64_intdigest(f"{prefix}/{server.vm}".encode())

    return max(servers, key=rank)


@define
class CacheView:
    """Prefixes that an engine is believed to hold.

    Attributes
    ----------
    sequence : int
        Number of the last event taken in.
    changes : int
        How often the set changed.
    """

    sequence: int = 0
    changes: int = 0
    _until: dict[str, float] = field(factory=dict)

    def apply(self, events: Iterable[tuple[int, str, bool]], now: float) -> None:
        """Take events in: number, prefix, and whether it was stored or dropped."""
        for number, name, stored in sorted(events):
            if number <= self.sequence:
                continue
            if number > self.sequence + 1:
                self._doubt(now)
            self.sequence = number
            if stored:
                self._until[name] = now + BELIEVED_SECONDS
            else:
                self._until.pop(name, None)
            self.changes += 1

    def held(self, now: float) -> list[str]:
        """Prefixes believed in at present."""
        gone = [name for name, until in self._until.items() if until < now]
        for name in gone:
            del self._until[name]
        self.changes += bool(gone)
        return sorted(self._until)

    def _doubt(self, now: float) -> None:
        limit = now + DOUBT_SECONDS
        for name, until in self._until.items():
            self._until[name] = min(until, limit)
