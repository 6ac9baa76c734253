"""Quarantine of requests that crash the servers that run them."""

from __future__ import annotations

import hashlib
from collections.abc import Container

from attrs import define, field

__all__ = ["Quarantine", "fingerprint"]

MAX_CRASHES = 2
KEEP_SECONDS = 600.0
# Maximum requests whose crashes are kept, and crashes of one request; the oldest are
# dropped. Servers restart within seconds, so that few can crash in ``KEEP_SECONDS``.
MAX_REQUESTS = 5000
MAX_CRASHES_PER_REQUEST = 64


def fingerprint(organisation: str, service: str, route: str, body: bytes) -> str:
    """Return the fingerprint of a request's content, the same at every entry."""
    digest = hashlib.sha256()
    for part in (organisation, service, route):
        digest.update(part.encode() + b"\0")
    # Not joined with the other parts, which would copy it.
    digest.update(body)
    return digest.hexdigest()[:24]


@define
class Quarantine:
    """Crashes by fingerprint; merging is a union, so gossip may repeat them."""

    crashes: dict[str, dict[str, float]] = field(factory=dict)

    def record_crash(self, name: str, crash: str, now: float) -> None:
        """Record that a request was in progress at a crash (``VM/process/count``)."""
        self._extend(name, crash, now + KEEP_SECONDS)

    def merge_crash(self, name: str, crash: str, until: float, now: float) -> None:
        """Merge a crash reported by another process, until a wall time."""
        # A sender whose clock is ahead must not quarantine a request for longer.
        self._extend(name, crash, min(until, now + KEEP_SECONDS))

    def unexpired_crashes(self, now: float) -> dict[str, dict[str, float]]:
        """Return the crashes that still count, by fingerprint; deletes the others."""
        kept = {
            name: {crash: until for crash, until in crashes.items() if until > now}
            for name, crashes in self.crashes.items()
        }
        self.crashes = {name: crashes for name, crashes in kept.items() if crashes}
        return self.crashes

    def crashed_vms(self, name: str, now: float) -> set[str]:
        """Return the VMs that crashed while the request was in progress."""
        crashes = self.crashes.get(name, {})
        return {crash.partition("/")[0] for crash, t in crashes.items() if t > now}

    def count_crashes(
        self, name: str, now: float, explained: Container[str] = ()
    ) -> int:
        """Return the number of the request's crashes that still count.

        Parameters
        ----------
        explained : container of str
            Crashes that something else has caused.
        """
        crashes = self.crashes.get(name, {})
        return sum(
            until > now and crash not in explained for crash, until in crashes.items()
        )

    def is_quarantined(
        self, name: str, now: float, explained: Container[str] = ()
    ) -> bool:
        """Whether the request is quarantined: it must be refused, and not retried."""
        return self.count_crashes(name, now, explained) >= MAX_CRASHES

    def must_run_alone(self, name: str, now: float) -> bool:
        """Whether the request may run only on a server without other requests."""
        return self.count_crashes(name, now) == 1

    def _extend(self, name: str, crash: str, until: float) -> None:
        crashes = self.crashes.setdefault(name, {})
        crashes[crash] = max(crashes.get(crash, 0.0), until)
        if len(crashes) > MAX_CRASHES_PER_REQUEST:
            del crashes[min(crashes, key=crashes.get)]
        if len(self.crashes) > MAX_REQUESTS:
            del self.crashes[next(iter(self.crashes))]
