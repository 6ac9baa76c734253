"""Which delivery rows a report shows."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime

from attrs import frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["FilterError", "ReportFilter", "moment"]


class FilterError(WasabideckError):
    """A report's filter is malformed; names the field and the value."""

    status = 400
    exit_code = 2

    def __init__(self, field: str, value: object, why: str):
        super().__init__(f"report: {field} = {value!r}: {why}")
        self.field = field
        self.value = value


def moment(field: str, text: str) -> float:
    """Wall seconds of an ISO 8601 time, UTC unless it says else; 0 for none."""
    if not text:
        return 0.0
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise FilterError(field, text, "must be an ISO 8601 time") from None
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()


@frozen
class ReportFilter:
    """What the rows of a report have in common; zero and empty mean any.

    Attributes
    ----------
    manifest : str
        Beginning of the manifest's digest.
    since, until : float
        Wall seconds; deliveries whose span touches this one.
    """

    ticket: int = 0
    vm: str = ""
    manifest: str = ""
    since: float = 0.0
    until: float = 0.0

    @classmethod
    def from_query(cls, query: Mapping[str, str]) -> ReportFilter:
        """Filter from a request's query; raises ``FilterError`` on a wrong one."""
        for name in query:
            if name not in _READERS:
                raise FilterError(name, query[name], "no such filter")
        return cls(**{name: _READERS[name](name, query[name]) for name in query})

    def to_query(self) -> dict[str, str]:
        """Query of a request, without what means any."""
        values = {name: getattr(self, name) for name in _READERS}
        return {name: str(value) for name, value in values.items() if value}

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all rows that can match."""
        return f"{self.ticket:020d}/" if self.ticket else ""

    def keep(self, rows: Iterable[dict]) -> list[dict]:
        """The rows that match, in their order."""
        return [row for row in rows if self._matches(row)]

    def _matches(self, row: dict) -> bool:
        if self.ticket and row["ticket"] != self.ticket:
            return False
        if self.vm and row["vm"] != self.vm:
            return False
        if not row["manifest"].startswith(self.manifest):
            return False
        if self.until and row["begun"] > self.until:
            return False
        # A delivery that is not yet in force goes on.
        return not row["in_force"] or row["in_force"] >= self.since


def _number(field: str, text: str) -> int:
    if not text.isdecimal() or len(text) > 19:
        raise FilterError(field, text[:40], "must be a ticket's number")
    return int(text)


def _seconds(field: str, text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds < math.inf:
        raise FilterError(field, text[:40], "must be seconds")
    return seconds


def _text(field: str, text: str) -> str:
    return text


_READERS = {
    "ticket": _number,
    "vm": _text,
    "manifest": _text,
    "since": _seconds,
    "until": _seconds,
}
