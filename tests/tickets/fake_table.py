"""An in-memory table that injects lost responses, delayed writes and stale reads."""

import copy
from collections import deque

from attrs import define, field
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.table import CheckFailed


@define
class FakeTable:
    """A table whose ``faults`` hold one fault per write, "" for none.

    "down" refuses the write, "lose" executes it and loses the response, and "late"
    keeps it in ``late`` until the test executes it by ``apply_late``. ``reads_down``
    fails all reads, and ``stale`` replaces the rows that reads return.
    """

    rows: dict = field(factory=dict)
    faults: deque = field(factory=deque)
    late: list = field(factory=list)
    log: list = field(factory=list)
    reads_down: bool = False
    stale: dict | None = None

    async def get(self, table, key):
        self._raise_if_reads_down()
        rows = self.rows if self.stale is None else self.stale
        return copy.deepcopy(rows.get((table, key)))

    async def scan(self, table, prefix="", above=-1):
        self._raise_if_reads_down()
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
            if not _matches(row, check.expected):
                self.log.append(f"write failed: {check.table} {check.key}")
                return CheckFailed(check, copy.deepcopy(row))
        for write in writes:
            self.rows[write.table, write.key] = copy.deepcopy(write.row)
        self.log.append("written: " + ", ".join(f"{w.table} {w.key}" for w in writes))
        return None

    def apply_late(self):
        """Execute the delayed writes in order."""
        late, self.late = self.late, []
        return [self.apply(*write) for write in late]

    def snapshot(self):
        return copy.deepcopy(self.rows)

    def _raise_if_reads_down(self):
        if self.reads_down:
            raise PlatformUnavailable("fake", "read timed out", maybe_applied=True)


def _matches(row, expected):
    if row is None or expected is None:
        return row is expected
    return all(row.get(name) == value for name, value in expected.items())
