"""Interface of a store of rows in tables: reading, watching and writing."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["RowChanges", "HistoryLost", "Row", "RowStore", "RowWrite", "WriteConflict"]


class HistoryLost(WasabideckError):
    """The store no longer keeps the changes after a version."""

    status = 503

    def __init__(self, table: str, after: int):
        super().__init__(f"{table}: changes after version {after} are no longer stored")
        self.table = table
        self.after = after


class WriteConflict(WasabideckError):
    """A row differed from what a write expected; nothing was written."""

    status = 409


@frozen
class Row:
    """One row as it was read, or the record of its removal.

    Attributes
    ----------
    version : int
        Version of the store when the row changed; increases with each change.
    """

    table: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@frozen
class RowWrite:
    """A row to write."""

    table: str
    key: str
    value: bytes


@frozen
class RowChanges:
    """Rows, and the store's version that a reader has reached after applying them.

    Attributes
    ----------
    store_responded_at : float or None
        Time of the store's response in seconds of the store's own monotonic clock;
        of the first response if several calls were needed. None if not reported.
    """

    rows: tuple[Row, ...]
    version: int
    store_responded_at: float | None = None


class RowStore(Protocol):
    """What the product requires of a store of rows."""

    async def read(self, table: str, key_prefix: str = "") -> RowChanges:
        """Return all rows of a table whose keys start with a prefix, as of a moment.

        That moment is no earlier than the call.
        """

    async def wait_for_changes(self, table: str, after: int, wait: float) -> RowChanges:
        """Wait for and return changes after a version; raises ``HistoryLost``."""

    def received_bytes(self, table: str) -> int:
        """Return the number of response bytes received so far for a table."""

    async def write(
        self,
        writes: Iterable[RowWrite],
        expected: Iterable[Row] = (),
        removed: Iterable[Row] = (),
    ) -> None:
        """Write and remove all rows or none; raises ``WriteConflict``."""
