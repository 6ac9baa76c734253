"""Rows of a store that keeps tables: what is read, followed and written."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["Changes", "HistoryLost", "Row", "RowStore", "RowWrite", "WriteConflict"]


class HistoryLost(WasabideckError):
    """The store no longer knows what changed after a version."""

    status = 503

    def __init__(self, table: str, after: int):
        super().__init__(f"{table}: history after {after} is gone")
        self.table = table
        self.after = after


class WriteConflict(WasabideckError):
    """A row was not as a write expected it; nothing was written."""

    status = 409


@frozen
class Row:
    """One row as it was read, or word of its removal.

    Attributes
    ----------
    version : int
        Grows with each change in the store.
    """

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@frozen
class RowWrite:
    """A row to put."""

    table: str
    key: str
    value: bytes


@frozen
class Changes:
    """Rows, and the store's version that they bring a reader to.

    Attributes
    ----------
    answered_at : float or None
        When the store answered, seconds by its own steady clock, the last time if it
        took several calls; None when not told.
    """

    rows: tuple[Row, ...]
    version: int
    answered_at: float | None = None


class RowStore(Protocol):
    """What the product asks of a store of rows."""

    async def read(self, table: str) -> Changes:
        """All rows of a table."""

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """Changes after a version; raises ``HistoryLost``."""

    def received(self, table: str) -> int:
        """Bytes of answers about a table that have come so far."""

    async def write(
        self, writes: Iterable[RowWrite], expected: Iterable[Row] = ()
    ) -> None:
        """Put rows, all or none; raises ``WriteConflict``."""
