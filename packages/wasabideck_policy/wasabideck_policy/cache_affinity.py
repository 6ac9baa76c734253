"""Cache affinity: where prompt prefixes are cached, from delayed, incomplete events."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

import xxhash
from attrs import define, field

__all__ = ["PrefixCacheView", "home_server", "prefix_digest"]

PREFIX_BYTES = 64
# Expiry of all known prefixes after an event was missed: the event may have reported
# the removal of any of them.
GAP_EXPIRY_SECONDS = 10.0
# Expiry of a prefix. The replacement of an engine starts with an empty cache, and
# nobody reports the removal of the prefixes that the former engine held.
EXPIRY_SECONDS = 120.0


class _HasVM(Protocol):
    vm: str


S = TypeVar("S", bound=_HasVM)


def prefix_digest(body: bytes) -> str:
    """Return the name of a prompt's prefix, a short digest."""
    return hashlib.sha256(body[:PREFIX_BYTES]).hexdigest()[:8]


def home_server(prefix: str, servers: Sequence[S]) -> S:
    """Return the server that a prefix is assigned to, by rendezvous hashing.

    It is the same server for every entry.
    """

    def rank(server: S) -> int:
        return xxhash.xxh64_intdigest(f"{prefix}/{server.vm}".encode())

    return max(servers, key=rank)


@define
class PrefixCacheView:
    """Prefixes that an engine probably has in its cache.

    Attributes
    ----------
    sequence : int
        Number of the last applied event.
    changes : int
        How many times the set changed.
    """

    sequence: int = 0
    changes: int = 0
    _expires_at: dict[str, float] = field(factory=dict)

    def apply(self, events: Iterable[tuple[int, str, bool]], now: float) -> None:
        """Apply events: number, prefix, and whether it was stored or dropped."""
        for number, name, stored in sorted(events):
            if number <= self.sequence:
                continue
            if number > self.sequence + 1:
                self._shorten_expiry(now)
            self.sequence = number
            if stored:
                self._expires_at[name] = now + EXPIRY_SECONDS
            else:
                self._expires_at.pop(name, None)
            self.changes += 1

    def cached_prefixes(self, now: float) -> list[str]:
        """Return the prefixes that have not expired."""
        expired = [name for name, at in self._expires_at.items() if at < now]
        for name in expired:
            del self._expires_at[name]
        self.changes += bool(expired)
        return sorted(self._expires_at)

    def _shorten_expiry(self, now: float) -> None:
        limit = now + GAP_EXPIRY_SECONDS
        for name, at in self._expires_at.items():
            self._expires_at[name] = min(at, limit)
