"""When data of a table arrives, also of responses that are not complete yet."""

from __future__ import annotations

from attrs import define

from .rows import RowStore

__all__ = ["Arrivals"]


@define
class Arrivals:
    """Observes the bytes received for a table.

    Over a full link a response takes seconds: what arrives of it shows that it is on
    its way.
    """

    store: RowStore
    table: str
    _bytes: int = 0
    _last_at: float = float("-inf")
    _bytes_at_call: int = 0

    def last_at(self, now: float) -> float:
        """Return when data last arrived, as far as it was checked; -inf if never."""
        received = self.store.received_bytes(self.table)
        if received > self._bytes:
            self._last_at, self._bytes = now, received
        return self._last_at

    def begin_call(self) -> None:
        """Count the bytes of a new call from here."""
        self._bytes_at_call = self.store.received_bytes(self.table)

    @property
    def bytes_since_call(self) -> int:
        """Bytes received since the last call began."""
        return self.store.received_bytes(self.table) - self._bytes_at_call
