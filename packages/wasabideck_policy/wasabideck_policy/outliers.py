"""Servers that fail are left out for a while, and come back."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

__all__ = ["Outliers"]

FAILURES = 3
FIRST_SECONDS = 1.0
MOST_SECONDS = 30.0
# With more than this share of a service left out, the fault is no server's own, and
# what is left would only be crushed.
MOST_SHARE = 0.5


@define
class _Record:
    failures: int = 0
    times: int = 0
    until: float = 0.0


@define
class Outliers:
    """Failures in a row by VM, and until when it is left out."""

    _records: dict[str, _Record] = field(factory=dict)

    def succeeded(self, vm: str) -> None:
        """Note a success: the VM is sound, also if it was left out."""
        self._records.pop(vm, None)

    def failed(self, vm: str, now: float) -> None:
        """Note a failure; each third in a row leaves the VM out for longer."""
        record = self._records.setdefault(vm, _Record())
        record.failures += 1
        if record.failures % FAILURES == 0:
            _leave_out(record, now)

    def lost(self, vm: str, now: float) -> None:
        """Leave a VM out at once: no connection to it came about.

        Each request that tried it again would wait out the same time before it goes
        elsewhere; a dark server cost every second one of an entry 0.3 s.
        """
        record = self._records.setdefault(vm, _Record())
        # Requests that were under way to it at the same time tell the same.
        if now >= record.until:
            _leave_out(record, now)

    def out(self, vm: str, now: float) -> bool:
        """Whether a VM is left out now."""
        record = self._records.get(vm)
        return record is not None and now < record.until

    def any_out(self, now: float) -> bool:
        """Whether any VM is left out now."""
        return any(now < record.until for record in self._records.values())

    def sound(self, vms: Iterable[str], now: float) -> set[str]:
        """VMs that may be used; all of them when too many would be left out."""
        known = set(vms)
        left = {vm for vm in known if not self.out(vm, now)}
        return left if len(left) >= len(known) * (1 - MOST_SHARE) else known


def _leave_out(record: _Record, now: float) -> None:
    record.until = now + min(MOST_SECONDS, FIRST_SECONDS * 2**record.times)
    record.times += 1
    # One failure after its return is enough to leave it out again.
    record.failures = FAILURES - 1
