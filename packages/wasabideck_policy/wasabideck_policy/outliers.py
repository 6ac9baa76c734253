"""Outlier ejection: failing servers are excluded for a while and then used again."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

__all__ = ["OutlierEjection"]

FAILURES_PER_EJECTION = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
# If more than this fraction of a service is ejected, the fault is not with the servers,
# and the remaining ones would only be overloaded.
MAX_EJECTED_RATIO = 0.5


@define
class _Record:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


@define
class OutlierEjection:
    """Consecutive failures by VM, and until when a VM is ejected."""

    _records: dict[str, _Record] = field(factory=dict)

    def record_success(self, vm: str) -> None:
        """Record a success: the VM is healthy, even if it was ejected."""
        self._records.pop(vm, None)

    def record_failure(self, vm: str, now: float) -> None:
        """Record a failure; each third in a row ejects the VM, each time for longer.

        Failures of an ejected VM are mostly of requests that it already had, and are
        not counted.
        """
        record = self._records.setdefault(vm, _Record())
        if now < record.ejected_until:
            return
        record.failures += 1
        if record.failures % FAILURES_PER_EJECTION == 0:
            _eject(record, now)

    def eject(self, vm: str, now: float) -> None:
        """Eject a VM immediately, because a connection to it could not be opened.

        Each request that tries the VM again would wait for the same timeout before it
        is sent elsewhere. One unreachable server delayed every second request of an
        entry by 0.3 s.
        """
        record = self._records.setdefault(vm, _Record())
        # Concurrent requests to the VM fail for the same reason and count only once.
        if now >= record.ejected_until:
            _eject(record, now)

    def is_ejected(self, vm: str, now: float) -> bool:
        """Whether a VM is ejected now."""
        record = self._records.get(vm)
        return record is not None and now < record.ejected_until

    def any_ejected(self, now: float) -> bool:
        """Whether any VM is ejected now."""
        return any(now < record.ejected_until for record in self._records.values())

    def healthy(self, vms: Iterable[str], now: float) -> set[str]:
        """Return the VMs that may be used: all of them if too many are ejected."""
        known = set(vms)
        healthy = {vm for vm in known if not self.is_ejected(vm, now)}
        return (
            healthy if len(healthy) >= len(known) * (1 - MAX_EJECTED_RATIO) else known
        )


def _eject(record: _Record, now: float) -> None:
    record.ejected_until = now + min(
        MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**record.ejections
    )
    record.ejections += 1
    # After the ejection, a single failure ejects the VM again.
    record.failures = FAILURES_PER_EJECTION - 1
