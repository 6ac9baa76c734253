"""Writes which VM got which weights, when and from where, across store outages."""

from __future__ import annotations

import reprlib

import orjson
from attrs import asdict, define, field, fields
from wasabideck_base.rows import Row, RowStore, RowWrite, WriteConflict
from wasabideck_policy.delivery_row import Delivery, delivery_key
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["DELIVERIES_TABLE", "DeliveryLog", "MalformedDelivery", "parse_delivery"]

DELIVERIES_TABLE = "wasabideck-deliveries"
# Version of a row that does not exist.
ABSENT = 0


class MalformedDelivery(WasabideckError):
    """A delivery row cannot be read; the message has its row, field and value."""

    status = 400

    def __init__(self, key: str, name: str, value: object):
        # A value that is nested deeply has no plain representation.
        text = reprlib.repr(value)
        super().__init__(f"{DELIVERIES_TABLE}/{key}: {name} = {text}"[:300])
        self.key = key
        self.field = name
        self.value = value


def parse_delivery(row: Row) -> Delivery:
    """Return the delivery of a row; raise ``MalformedDelivery`` if it is malformed."""
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
class DeliveryLog:
    """Delivery rows that are kept in memory until the store has them."""

    store: RowStore
    _queued: dict[str, RowWrite] = field(factory=dict)
    _queued_if_absent: dict[str, RowWrite] = field(factory=dict)

    def add(self, delivery: Delivery) -> None:
        """Queue the row of a delivery that this agent carried out."""
        write = _row_write(delivery)
        self._queued[write.key] = write

    def add_if_absent(self, delivery: Delivery) -> None:
        """Queue the row of weights that were found in effect, if the store lacks it.

        An agent that restarts finds its engine serving, and doesn't know how its
        weights arrived. A row of its own that replaced the row of the delivery would
        lose the time and the sources in the report.
        """
        write = _row_write(delivery)
        if write.key not in self._queued:
            self._queued_if_absent[write.key] = write

    async def write(self) -> None:
        """Write the queued rows; raise the store's error if that fails."""
        await self._write_queued()
        for write in list(self._queued_if_absent.values()):
            absent = Row(write.table, write.key, b"", ABSENT)
            try:
                await self.store.write([write], [absent])
            except WriteConflict:
                # The row exists, from an earlier write or one whose reply was lost.
                pass
            self._queued_if_absent.pop(write.key, None)

    async def _write_queued(self) -> None:
        writes = list(self._queued.values())
        if not writes:
            return
        # Writing a row twice has the same result, so a lost reply does no harm.
        await self.store.write(writes)
        for write in writes:
            if self._queued.get(write.key) is write:
                del self._queued[write.key]


def _row_write(delivery: Delivery) -> RowWrite:
    return RowWrite(
        DELIVERIES_TABLE, delivery_key(delivery), orjson.dumps(asdict(delivery))
    )
