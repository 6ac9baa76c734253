"""Writes who got which weights, when and from where, however long the store is away."""

from __future__ import annotations

import orjson
from attrs import asdict, define, field, fields
from wasabideck_base.rows import Row, RowStore, RowWrite, WriteConflict
from wasabideck_policy.deliveries import Delivery, row_key
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["DELIVERIES", "DeliveriesLog", "MalformedDelivery", "delivery_of"]

DELIVERIES = "wasabideck-deliveries"
# Version of a row that is not there.
ABSENT = 0


class MalformedDelivery(WasabideckError):
    """A delivery row cannot be read; names the row, field and value."""

    status = 400

    def __init__(self, key: str, name: str, value: object):
        super().__init__(f"{DELIVERIES}/{key}: {name} = {value!r}"[:300])
        self.key = key
        self.field = name
        self.value = value


def delivery_of(row: Row) -> Delivery:
    """The delivery that a row tells of; raises ``MalformedDelivery``."""
    try:
        data = orjson.loads(row.value)
        known = {f.name: data[f.name] for f in fields(Delivery)}
    except (ValueError, TypeError) as exc:
        raise MalformedDelivery(row.key, "(value)", row.value[:60]) from exc
    except KeyError as exc:
        raise MalformedDelivery(row.key, str(exc.args[0]), None) from exc
    for name, kind in _KINDS.items():
        if isinstance(known[name], bool) or not isinstance(known[name], kind):
            raise MalformedDelivery(row.key, name, known[name])
    return Delivery(**known)


_KINDS = {
    **dict.fromkeys(("vm", "service", "slot", "model", "version", "manifest"), str),
    "ticket": int,
    **dict.fromkeys(("begun", "verified", "in_force"), int | float),
    "sources": dict,
}


@define
class DeliveriesLog:
    """Delivery rows that wait in memory until the store has them."""

    store: RowStore
    _waiting: dict[str, RowWrite] = field(factory=dict)
    _found: dict[str, RowWrite] = field(factory=dict)

    def add(self, delivery: Delivery) -> None:
        """Have the row of a delivery that was made here written."""
        write = _write_of(delivery)
        self._waiting[write.key] = write

    def add_found(self, delivery: Delivery) -> None:
        """Have the row of weights that were found in force written, if it lacks.

        An agent that starts again finds its engine served and knows no more of how it
        came to be: written over the row of the delivery, its own would leave a report
        without when and from where.
        """
        write = _write_of(delivery)
        if write.key not in self._waiting:
            self._found[write.key] = write

    async def write(self) -> None:
        """Write what waits; raises what the store's failure is."""
        await self._write_waiting()
        for write in list(self._found.values()):
            absent = Row(write.table, write.key, b"", ABSENT)
            try:
                await self.store.write([write], [absent])
            except WriteConflict:
                # There is a row, from before or from a write whose answer was lost.
                pass
            self._found.pop(write.key, None)

    async def _write_waiting(self) -> None:
        writes = list(self._waiting.values())
        if not writes:
            return
        # The same row written twice says the same: a lost answer does no harm.
        await self.store.write(writes)
        for write in writes:
            if self._waiting.get(write.key) is write:
                del self._waiting[write.key]


def _write_of(delivery: Delivery) -> RowWrite:
    return RowWrite(DELIVERIES, row_key(delivery), orjson.dumps(asdict(delivery)))
