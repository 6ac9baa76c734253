"""Gossip between processes, encoded as entries of the inner protocol's messages."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from attrs import frozen
from wasabideck_policy.declarations import Declaration
from wasabideck_wire import inner_pb2 as pb

from .compression import compress, decompress
from .rows import Row
from .table_watch import TablePosition

__all__ = [
    "DECLARED",
    "FOLLOWS",
    "AGE",
    "COMPRESSED",
    "COMPLETE",
    "TABLE",
    "DeclarationAges",
    "ReaderReply",
    "age_entries",
    "complete_entry",
    "declared_between",
    "declaration_entry",
    "declaration_of",
    "position_entry",
    "position_of",
    "row_entry",
    "rows_of",
    "staleness_of",
]

# Slots, the kinds of entries: a declaration, a declaration with compressed content, the
# age of a declared version, the maximum age of declarations that the sender lacks, the
# version of a table's newest row, how far a process follows a table, a row, and the
# removal of a row.
DECLARED = "declared"
COMPRESSED = "packed"
AGE = "named"
COMPLETE = "complete"
TABLE = "table"
FOLLOWS = "follows"
ROW = "row"
REMOVED = "gone"

NO_ERRORS: Mapping[int, float] = MappingProxyType({})


@frozen
class DeclarationAges:
    """What a process knows of the ages of declarations.

    Attributes
    ----------
    known : callable
        Maximum ages of a key's declarations in seconds, by number; empty if unknown.
    errors : callable
        By how many seconds they may be younger, by number.
    unexpired : callable
        The same, but empty if all of them have expired.
    is_uncertain : callable
        Whether a key's newest declaration is known but its age only estimated.
    on_age : callable
        Called with a key, a number, the earliest and the latest time of declaration
        that a peer's report allows, and whether the earliest is only an estimate.
    on_missing_age : callable
        Called with a key and a newer number that a peer sends without an age.
    """

    known: Callable[[str], dict[int, float]] = lambda key: {}
    errors: Callable[[str], dict[int, float]] = lambda key: {}
    unexpired: Callable[[str], dict[int, float]] = lambda key: {}
    is_uncertain: Callable[[str], bool] = lambda key: False
    on_age: Callable[[str, int, float, float, bool], None] = lambda *report: None
    on_missing_age: Callable[[str, int], None] = lambda key, number: None


@frozen
class ReaderReply:
    """Reply of an entry that may follow a table.

    Attributes
    ----------
    position : TablePosition or None
        How far the entry follows the table; None if it does not.
    newest : int
        Version of the newest row that the entry knows.
    is_complete : bool
        Whether this process now has all declarations that the entry has.
    """

    position: TablePosition | None
    newest: int
    is_complete: bool


def age_entries(
    key: str, ages: dict[int, float], errors: Mapping[int, float] = NO_ERRORS
) -> list[pb.Entry]:
    """Return entries with the ages of a key's declarations.

    Parameters
    ----------
    ages : dict of int to float
        Maximum ages in seconds, by number.
    errors : dict of int to float
        By how many seconds they may be younger; exact where a number is missing.
    """
    entries = []
    for number, age in ages.items():
        # Microseconds first: the sum of an exact age may be off by less than that.
        oldest = math.ceil(round(age * 1000, 3))
        youngest = math.floor(round((age - errors.get(number, 0.0)) * 1000, 3))
        entries.append(
            pb.Entry(
                scope=key,
                slot=AGE,
                ticket=number,
                age_ms=oldest,
                age_error_ms=oldest - max(0, youngest),
            )
        )
    return entries


def declared_between(
    entry: pb.Entry, requested_at: float, arrived_at: float
) -> tuple[float, float]:
    """Return the earliest and latest declaration that an entry's age allows.

    Parameters
    ----------
    requested_at, arrived_at : float
        Between which times the peer told the age, seconds.
    """
    youngest_ms = max(0, entry.age_ms - entry.age_error_ms)
    return requested_at - entry.age_ms / 1000, arrived_at - youngest_ms / 1000


def declaration_entry(declaration: Declaration) -> pb.Entry:
    """Return the entry of a declaration, compressed where that makes it smaller."""
    compressed = compress(declaration.content)
    is_smaller = len(compressed) < len(declaration.content)
    return pb.Entry(
        scope=declaration.key,
        slot=COMPRESSED if is_smaller else DECLARED,
        ticket=declaration.number,
        change=compressed if is_smaller else declaration.content,
    )


def declaration_of(entry: pb.Entry) -> Declaration | None:
    """Return the declaration in an entry, or None if it contains none.

    The entries of a request contain only numbers. Raises ``MalformedContent``.
    """
    if entry.slot not in (DECLARED, COMPRESSED) or not entry.change:
        return None
    content = entry.change
    if entry.slot == COMPRESSED:
        content = decompress(entry.scope, content)
    return Declaration(entry.scope, entry.ticket, content)


def complete_entry(staleness_seconds: float) -> pb.Entry:
    """Return the entry that reports how stale the sender's declarations may be."""
    return pb.Entry(slot=COMPLETE, age_ms=math.ceil(staleness_seconds * 1000))


def staleness_of(entries: Iterable[pb.Entry]) -> float | None:
    """Return how stale a peer's declarations may be; None if it does not say."""
    for entry in entries:
        if entry.slot == COMPLETE:
            return entry.age_ms / 1000
    return None


def position_entry(table: str, position: TablePosition) -> pb.Entry:
    """Return the entry that reports how far this process follows a table."""
    return pb.Entry(
        scope=table,
        slot=FOLLOWS,
        ticket=position.version,
        age_ms=math.ceil(position.staleness_seconds * 1000),
    )


def position_of(table: str, entries: Iterable[pb.Entry]) -> TablePosition | None:
    """Return how far a peer follows a table; None if it does not."""
    for entry in entries:
        if entry.slot == FOLLOWS and entry.scope == table:
            return TablePosition(entry.ticket, entry.age_ms / 1000)
    return None


def row_entry(row: Row) -> pb.Entry:
    """Return the entry of a row or of its removal."""
    return pb.Entry(
        scope=f"{row.table}/{row.key}",
        slot=REMOVED if row.removed else ROW,
        ticket=row.version,
        change=row.value,
    )


def rows_of(table: str, entries: Iterable[pb.Entry]) -> list[Row]:
    """Return the rows of a table among entries."""
    prefix = f"{table}/"
    return [
        Row(
            table,
            entry.scope.removeprefix(prefix),
            entry.change,
            entry.ticket,
            entry.slot == REMOVED,
        )
        for entry in entries
        if entry.slot in (ROW, REMOVED) and entry.scope.startswith(prefix)
    ]
