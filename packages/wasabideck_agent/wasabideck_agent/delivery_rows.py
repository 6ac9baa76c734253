"""Rows of deliveries, which are kept in memory while the table is unavailable."""

from __future__ import annotations

from attrs import asdict, define, field
from wasabideck_base.http_responses import PlatformRefused, PlatformUnavailable
from wasabideck_base.table import Check, Table, Write
from wasabideck_policy.delivery_row import Delivery, delivery_key

__all__ = ["DeliveryRows"]

DELIVERIES_TABLE = "deliveries"


@define
class DeliveryRows:
    """Writes a row for each delivery, retrying while the table is unavailable."""

    table: Table
    _pending: dict[str, Write] = field(factory=dict)
    _pending_if_absent: dict[str, Write] = field(factory=dict)

    def add(self, delivery: Delivery) -> None:
        """Schedule the write of a delivery's row."""
        key = delivery_key(delivery)
        self._pending[key] = Write(DELIVERIES_TABLE, key, asdict(delivery))
        self._pending_if_absent.pop(key, None)

    def add_if_absent(self, delivery: Delivery) -> None:
        """Schedule the write of a delivery's row unless the table has one.

        A restarted agent calls this for weights that it finds in effect. The agent
        before it may have died before it wrote the row, and the report would lack
        the VM.
        """
        key = delivery_key(delivery)
        self._pending_if_absent[key] = Write(DELIVERIES_TABLE, key, asdict(delivery))

    async def write(self) -> None:
        """Write the scheduled rows; keep those that cannot be written now."""
        try:
            await self._write_pending()
            for key, write in list(self._pending_if_absent.items()):
                await self.table.transact([Check(DELIVERIES_TABLE, key, None)], [write])
                self._pending_if_absent.pop(key, None)
        except (PlatformUnavailable, PlatformRefused):
            return

    async def _write_pending(self) -> None:
        writes = list(self._pending.values())
        if not writes:
            return
        await self.table.transact([], writes)
        for write in writes:
            # A row that has changed in the meantime is written again.
            if self._pending.get(write.key) is write:
                del self._pending[write.key]
