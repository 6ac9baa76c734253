"""Requests that crash the servers that run them."""

from __future__ import annotations

import hashlib

from attrs import define, field

__all__ = ["Quarantine", "fingerprint"]

MOST_CRASHES = 2
KEEP_SECONDS = 600.0


def fingerprint(organisation: str, service: str, route: str, body: bytes) -> str:
    """Name of a request by its content, the same through every entry."""
    parts = (organisation.encode(), service.encode(), route.encode(), body)
    return hashlib.sha256(b"\0".join(parts)).hexdigest()[:24]


@define
class Quarantine:
    """Crashes by fingerprint; merging is a union, so gossip may repeat."""

    crashes: dict[str, dict[str, float]] = field(factory=dict)

    def record(self, name: str, crash: str, now: float) -> None:
        """Note that a request was in progress at a crash (a VM and a count)."""
        until = self.crashes.setdefault(name, {})
        until[crash] = max(until.get(crash, 0.0), now + KEEP_SECONDS)

    def count(self, name: str, now: float) -> int:
        """Crashes seen and not yet forgotten."""
        return sum(1 for until in self.crashes.get(name, {}).values() if until > now)

    def refused(self, name: str, now: float) -> bool:
        """Whether the request is to be refused for good."""
        return self.count(name, now) >= MOST_CRASHES

    def alone(self, name: str, now: float) -> bool:
        """Whether the request may only run beside nothing else."""
        return self.count(name, now) == 1
