"""The filter of the delivery rows in a report."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime

from attrs import frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["FilterError", "ReportFilter", "parse_time"]


class FilterError(WasabideckError):
    """A report's filter is malformed; the error has the field and the value."""

    status = 400
    exit_code = 2

    def __init__(self, field: str, value: object, why: str):
        super().__init__(f"report: {field} = {value!r}: {why}")
        self.field = field
        self.value = value


def parse_time(field: str, text: str) -> float:
    """Return an ISO 8601 time as seconds since the epoch; 0 for an empty text.

    A time without an offset is in UTC.
    """
    if not text:
        return 0.0
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise FilterError(field, text, "must be an ISO 8601 time") from None
    return (time if time.tzinfo else time.replace(tzinfo=UTC)).timestamp()


@frozen
class ReportFilter:
    """Conditions that all rows of a report meet; zero and empty match any row.

    Attributes
    ----------
    manifest : str
        Prefix of the manifest's digest.
    since, until : float
        Seconds since the epoch; deliveries whose interval overlaps this one match.
    """

    ticket: int = 0
    vm: str = ""
    manifest: str = ""
    since: float = 0.0
    until: float = 0.0

    @classmethod
    def from_query(cls, query: Mapping[str, str]) -> ReportFilter:
        """Return the filter of a query; raise ``FilterError`` if it is malformed."""
        for name in query:
            if name not in _PARSERS:
                raise FilterError(name, query[name], "unknown filter")
        return cls(**{name: _PARSERS[name](name, query[name]) for name in query})

    def to_query(self) -> dict[str, str]:
        """Return the query of a request, without values that match any row."""
        values = {name: getattr(self, name) for name in _PARSERS}
        return {name: str(value) for name, value in values.items() if value}

    @property
    def key_prefix(self) -> str:
        """Prefix of the keys of all rows that can match."""
        return f"{self.ticket:020d}/" if self.ticket else ""

    def matching_rows(self, rows: Iterable[dict]) -> list[dict]:
        """Return the rows that match, in their order."""
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
        # A delivery that is not yet in effect is still in progress.
        return not row["in_force"] or row["in_force"] >= self.since


def _parse_ticket_number(field: str, text: str) -> int:
    if not text.isdecimal() or len(text) > 19:
        raise FilterError(field, text[:40], "must be a ticket's number")
    return int(text)


def _parse_seconds(field: str, text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds < math.inf:
        raise FilterError(field, text[:40], "must be seconds")
    return seconds


def _parse_text(field: str, text: str) -> str:
    return text


_PARSERS = {
    "ticket": _parse_ticket_number,
    "vm": _parse_text,
    "manifest": _parse_text,
    "since": _parse_seconds,
    "until": _parse_seconds,
}
