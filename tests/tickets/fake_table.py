"""A table in memory whose answers are lost, late or stale as a test says."""

import copy
from collections import deque

from attrs import define, field
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.table import CheckFailed


@define
class FakeTable:
    """``faults`` names, write by write, what befalls it: "" for nothing.

    "down" refuses it, "lose" carries it out and loses the answer, "late" keeps it
    in ``late`` until the test carries it out.
    """

    rows: dict = field(factory=dict)
    faults: deque = field(factory=deque)
    late: list = field(factory=list)
    log: list = field(factory=list)
    reads_down: bool = False
    stale: dict | None = None

    async def get(self, table, key):
        self._refuse_read()
        rows = self.rows if self.stale is None else self.stale
        return copy.deepcopy(rows.get((table, key)))

    async def scan(self, table, prefix="", above=-1):
        self._refuse_read()
        rows = self.rows if self.stale is None else self.stale
        return [
            (key, copy.deepcopy(row))
            for (name, key), row in sorted(rows.items())
            if name == table and key.startswith(prefix)
            if row.get("sequence", 0) > above
        ]

    async def transact(self, checks, writes):
        fault = self.faults.popleft() if self.faults else ""
        if fault == "down":
            self.log.append("write refused: down")
            raise PlatformUnavailable("fake", "down", maybe_applied=False)
        if fault == "late":
            self.late.append((checks, writes))
            self.log.append("write on its way, answer lost")
            raise PlatformUnavailable("fake", "late", maybe_applied=True)
        failed = self.apply(checks, writes)
        if fault == "lose":
            self.log.append("answer lost")
            raise PlatformUnavailable("fake", "lost", maybe_applied=True)
        return failed

    def apply(self, checks, writes):
        for check in checks:
            row = self.rows.get((check.table, check.key))
            if not _holds(row, check.expected):
                self.log.append(f"write failed: {check.table} {check.key}")
                return CheckFailed(check, copy.deepcopy(row))
        for write in writes:
            self.rows[write.table, write.key] = copy.deepcopy(write.row)
        self.log.append("written: " + ", ".join(f"{w.table} {w.key}" for w in writes))
        return None

    def apply_late(self):
        """Carry out the writes that were on their way, in order."""
        late, self.late = self.late, []
        return [self.apply(*write) for write in late]

    def snapshot(self):
        return copy.deepcopy(self.rows)

    def _refuse_read(self):
        if self.reads_down:
            raise PlatformUnavailable("fake", "read timed out", maybe_applied=True)


def _holds(row, expected):
    if row is None or expected is None:
        return row is expected
    return all(row.get(name) == value for name, value in expected.items())
