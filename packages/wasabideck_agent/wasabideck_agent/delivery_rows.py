"""Rows of deliveries, which wait in memory while the table is down."""

from __future__ import annotations

from attrs import asdict, define, field
from wasabideck_base.http_answers import PlatformRefused, PlatformUnavailable
from wasabideck_base.table import Check, Table, Write
from wasabideck_policy.deliveries import Delivery, row_key

__all__ = ["DeliveryRows"]

DELIVERIES = "deliveries"


@define
class DeliveryRows:
    """Writes each delivery's row, however long the table is down."""

    table: Table
    _waiting: dict[str, Write] = field(factory=dict)
    _found: dict[str, Write] = field(factory=dict)

    def add(self, delivery: Delivery) -> None:
        """Have a row written."""
        key = row_key(delivery)
        self._waiting[key] = Write(DELIVERIES, key, asdict(delivery))
        self._found.pop(key, None)

    def add_found(self, delivery: Delivery) -> None:
        """Have a row written unless there is one.

        For weights that a restarted agent finds in force: its predecessor may have
        died with the row in memory, and the report would lack the VM.
        """
        key = row_key(delivery)
        self._found[key] = Write(DELIVERIES, key, asdict(delivery))

    async def write(self) -> None:
        """Write what waits; what cannot be written now goes on waiting."""
        try:
            await self._write_waiting()
            for key, write in list(self._found.items()):
                await self.table.transact([Check(DELIVERIES, key, None)], [write])
                self._found.pop(key, None)
        except (PlatformUnavailable, PlatformRefused):
            return

    async def _write_waiting(self) -> None:
        writes = list(self._waiting.values())
        if not writes:
            return
        await self.table.transact([], writes)
        for write in writes:
            # A row that was changed meanwhile is written again.
            if self._waiting.get(write.key) is write:
                del self._waiting[write.key]
