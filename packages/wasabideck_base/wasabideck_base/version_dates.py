"""Dates at which versions were named, in the store for processes that begin later.

The store tells the newest version's number and not its age, and a process that begins
has nobody to ask when all begin at once. So entries that see a version named publish
its date, by the store's own clock, which all processes share.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

import orjson
from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

from .events import Events
from .http_answers import PlatformRefused, PlatformUnavailable
from .rows import Changes, Row, RowStore, RowWrite, WriteConflict

__all__ = ["DATES", "MalformedDates", "VersionDates", "dates_of"]

DATES = "wasabideck-version-dates"
# Version of a row that is not there.
ABSENT = 0
# The longer an answer takes, the older a version is taken for: one that takes longer is
# asked for again (seconds).
READ_SECONDS = 0.5
# Pauses between tries (seconds).
FIRST_PAUSE = 0.2
LONGEST_PAUSE = 3.0
# The entry that is next in rank waits so much longer before it looks whether the dates
# are published, so that one of a region writes them (seconds).
RANK_SECONDS = 0.2
LONGEST_RANK_SECONDS = 1.0


class MalformedDates(WasabideckError):
    """A row of dates cannot be read; names the row and its value."""

    status = 400

    def __init__(self, row: Row):
        super().__init__(f"{DATES}/{row.key}: {row.value!r}"[:300])
        self.key = row.key
        self.value = row.value


def dates_of(row: Row) -> dict[int, float]:
    """Dates by version, seconds of the store's clock; raises ``MalformedDates``."""
    try:
        dates = {int(n): float(at) for n, at in orjson.loads(row.value).items()}
    except (ValueError, TypeError, AttributeError) as exc:
        raise MalformedDates(row) from exc
    if not all(map(math.isfinite, dates.values())):
        raise MalformedDates(row)
    return dates


@define
class VersionDates:
    """Publishes dates of versions in the store, and looks up those unknown here.

    Attributes
    ----------
    ages : callable
        Seconds since a model's versions were named, by number; empty when not known.
    undated : callable
        Models with a version whose age is not known.
    on_date : callable
        Given a model, a version and since when it is named, seconds of ``clock``.
    rank : callable
        Place of this entry among those that publish dates, from 0.
    """

    store: RowStore
    ages: Callable[[str], dict[int, float]]
    undated: Callable[[], list[str]]
    on_date: Callable[[str, int, float], None]
    rank: Callable[[], int]
    clock: Callable[[], float]
    events: Events
    rng: random.Random
    _unpublished: set[str] = field(factory=set)
    _lookup_due: asyncio.Event = field(factory=asyncio.Event)
    _publishing_due: asyncio.Event = field(factory=asyncio.Event)

    def look_up(self) -> None:
        """Note that a version was heard of whose date may be older than is known."""
        self._lookup_due.set()

    def publish(self, model: str) -> None:
        """Note that a version of a model was seen named."""
        self._unpublished.add(model)
        self._publishing_due.set()

    async def run_lookups(self) -> None:
        """Look up dates whenever that is due, for ever."""
        while True:
            await self._lookup_due.wait()
            self._lookup_due.clear()
            await self._repeat(self._look_up_all)

    async def run_publishing(self) -> None:
        """Publish dates whenever a version was seen named, for ever."""
        while True:
            await self._publishing_due.wait()
            self._publishing_due.clear()
            await asyncio.sleep(min(RANK_SECONDS * self.rank(), LONGEST_RANK_SECONDS))
            await self._repeat(self._publish_all)

    async def _repeat(self, step: Callable) -> None:
        """Try until a step is done, further apart each time."""
        pause = FIRST_PAUSE
        while True:
            try:
                if await step():
                    return
            except (PlatformUnavailable, PlatformRefused, TimeoutError) as exc:
                why = f"{type(exc).__name__}: {exc}"
                self.events.emit("dates.unavailable", why=why)
            await asyncio.sleep(pause * self.rng.uniform(0.6, 1.0))
            pause = min(2 * pause, LONGEST_PAUSE)

    async def _look_up_all(self) -> bool:
        """Read the published dates; whether none is unknown any more."""
        await self._read()
        return not self.undated()

    async def _publish_all(self) -> bool:
        """Publish what is not published yet; whether that is done."""
        for model in sorted(self._unpublished):
            if await self._publish(model):
                self._unpublished.discard(model)
        return not self._unpublished

    async def _publish(self, model: str) -> bool:
        """Publish a model's dates unless another entry has; whether that is done."""
        rows, offset = await self._read()
        ages = self.ages(model)
        if not ages:
            return model not in self.undated()
        kept = rows.get(model, Row(DATES, model, b"", ABSENT))
        if max(_readable(kept), default=0) >= max(ages):
            return True
        now = self.clock()
        dates = {str(n): round(now - age + offset, 3) for n, age in ages.items()}
        write = RowWrite(DATES, model, orjson.dumps(dates))
        try:
            await self.store.write([write], [kept])
        except WriteConflict:
            return False
        self.events.emit("dates.published", model=model, versions=sorted(ages))
        return True

    async def _read(self) -> tuple[dict[str, Row], float]:
        """Rows by model, and the store's clock less this one, at the least."""
        asked_at = self.clock()
        async with asyncio.timeout(READ_SECONDS):
            changes = await self.store.read(DATES)
        if changes.answered_at is None:
            raise PlatformUnavailable(DATES, "no clock", False)
        self._take_in(changes, changes.answered_at - asked_at)
        rows = {row.key: row for row in changes.rows}
        return rows, changes.answered_at - self.clock()

    def _take_in(self, changes: Changes, offset: float) -> None:
        """Take in published dates; ``offset`` is the store's clock less this one."""
        for row in changes.rows:
            try:
                dates = dates_of(row)
            except MalformedDates as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            now = self.clock()
            for number, date in dates.items():
                self.on_date(row.key, number, min(date - offset, now))


def _readable(row: Row) -> dict[int, float]:
    with contextlib.suppress(MalformedDates):
        return dates_of(row)
    return {}
