"""Writes who got which weights, when and from where, however long the store is away."""

from __future__ import annotations

import orjson
from attrs import asdict, define, field
from wasabideck_base.rows import RowStore, RowWrite
from wasabideck_policy.deliveries import Delivery, row_key
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["DELIVERIES", "DeliveriesLog"]

DELIVERIES = "wasabideck-deliveries"


@define
class DeliveriesLog:
    """Delivery rows that wait in memory until the store has them."""

    store: RowStore
    _waiting: dict[str, RowWrite] = field(factory=dict)

    def add(self, delivery: Delivery) -> None:
        """Have a delivery's row written."""
        key = row_key(delivery)
        value = orjson.dumps(asdict(delivery))
        self._waiting[key] = RowWrite(DELIVERIES, key, value)

    async def write(self) -> None:
        """Write what waits; raises what the store's failure is."""
        writes = list(self._waiting.values())
        if not writes:
            return
        # The same row written twice says the same: a lost answer does no harm.
        await self.store.write(writes)
        for write in writes:
            if self._waiting.get(write.key) is write:
                del self._waiting[write.key]

    async def try_write(self) -> WasabideckError | None:
        """Like ``write``; gives back the failure instead of raising it."""
        try:
            await self.write()
        except WasabideckError as exc:
            return exc
        return None
