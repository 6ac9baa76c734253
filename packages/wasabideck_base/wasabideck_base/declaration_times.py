"""Declaration times of versions, published in the store for processes that start later.

The store returns the number of the newest version but not its age, and after a full
restart of the deployment no running process knows it. So entries that see a version
declared publish its time by the store's clock, which all processes share.
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
from .http_responses import MALFORMED_DATA, PlatformRefused, PlatformUnavailable
from .rows import Row, RowChanges, RowStore, RowWrite, WriteConflict

__all__ = ["TIMES_TABLE", "MalformedDates", "DeclarationTimes", "declaration_times_of"]

TIMES_TABLE = "wasabideck-version-dates"
# Largest version that a message between processes holds.
MAX_VERSION = (1 << 53) - 1
# Version of a row that does not exist.
ABSENT_VERSION = 0
# The longer a response takes, the more a version's age is overestimated: a read that
# takes longer than this is repeated beside the pending one, ever later.
FIRST_REPEAT_SECONDS = 0.5
# First and maximum backoff between attempts.
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 3.0
# Delay per rank before an entry checks whether the times are published, so that only
# one entry of a region writes them, and its maximum.
RANK_DELAY_SECONDS = 0.2
MAX_RANK_DELAY_SECONDS = 1.0


class MalformedDates(WasabideckError):
    """A row of declaration times is unreadable; the text has its key and value."""

    status = 400

    def __init__(self, row: Row):
        super().__init__(f"{TIMES_TABLE}/{row.key}: {row.value!r}"[:300])
        self.key = row.key
        self.value = row.value


def declaration_times_of(row: Row) -> dict[int, float]:
    """Return times by version in the store's clock; raises ``MalformedDates``."""
    try:
        times = {int(n): float(at) for n, at in orjson.loads(row.value).items()}
    except MALFORMED_DATA as exc:
        raise MalformedDates(row) from exc
    if not all(map(math.isfinite, times.values())):
        raise MalformedDates(row)
    if not all(0 <= number <= MAX_VERSION for number in times):
        raise MalformedDates(row)
    return times


@define
class DeclarationTimes:
    """Publishes declaration times in the store, and looks up those unknown here.

    Attributes
    ----------
    ages : callable
        Ages of a model's versions in seconds, by number; empty if unknown.
    unknown_models : callable
        Models with a version of unknown age.
    on_declaration_time : callable
        Called with a model, a version and the earliest and the latest time of its
        declaration, seconds of ``clock``.
    rank : callable
        Rank of this entry among those that publish times, from 0.
    """

    store: RowStore
    ages: Callable[[str], dict[int, float]]
    unknown_models: Callable[[], list[str]]
    on_declaration_time: Callable[[str, int, float, float], None]
    rank: Callable[[], int]
    clock: Callable[[], float]
    events: Events
    rng: random.Random
    _unpublished: set[str] = field(factory=set)
    _lookup_due: asyncio.Event = field(factory=asyncio.Event)
    _publishing_due: asyncio.Event = field(factory=asyncio.Event)

    def request_lookup(self) -> None:
        """Request a lookup for a version that may be older than is known here."""
        self._lookup_due.set()

    def request_publishing(self, model: str) -> None:
        """Request publishing for a model of which a version was seen declared."""
        self._unpublished.add(model)
        self._publishing_due.set()

    async def run_lookups(self) -> None:
        """Look up declaration times on request, until cancelled."""
        while True:
            await self._lookup_due.wait()
            self._lookup_due.clear()
            await self._retry(self._look_up_all)

    async def run_publishing(self) -> None:
        """Publish declaration times on request, until cancelled."""
        while True:
            await self._publishing_due.wait()
            self._publishing_due.clear()
            await asyncio.sleep(
                min(RANK_DELAY_SECONDS * self.rank(), MAX_RANK_DELAY_SECONDS)
            )
            await self._retry(self._publish_all)

    async def _retry(self, step: Callable) -> None:
        """Repeat a step with increasing backoff until it succeeds."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                if await step():
                    return
            except (PlatformUnavailable, PlatformRefused, TimeoutError) as exc:
                why = f"{type(exc).__name__}: {exc}"
                self.events.emit("dates.unavailable", why=why)
            await asyncio.sleep(backoff * self.rng.uniform(0.6, 1.0))
            backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)

    async def _look_up_all(self) -> bool:
        """Read the published times; return whether none is unknown any more."""
        await self._read()
        return not self.unknown_models()

    async def _publish_all(self) -> bool:
        """Publish all unpublished times; return whether that is done."""
        for model in sorted(self._unpublished):
            if await self._publish(model):
                self._unpublished.discard(model)
        return not self._unpublished

    async def _publish(self, model: str) -> bool:
        """Publish a model's times unless another entry has; return whether done."""
        rows, offset = await self._read()
        ages = self.ages(model)
        if not ages:
            return model not in self.unknown_models()
        published = rows.get(model, Row(TIMES_TABLE, model, b"", ABSENT_VERSION))
        if max(_times_or_empty(published), default=0) >= max(ages):
            return True
        now = self.clock()
        times = {str(n): round(now - age + offset, 3) for n, age in ages.items()}
        write = RowWrite(TIMES_TABLE, model, orjson.dumps(times))
        try:
            await self.store.write([write], [published])
        except WriteConflict:
            return False
        self.events.emit("dates.published", model=model, versions=sorted(ages))
        return True

    async def _read(self) -> tuple[dict[str, Row], float]:
        """Return rows by model, and the minimum offset of the store's clock."""
        requested_at, changes = await self._first_response()
        if changes.store_responded_at is None:
            raise PlatformUnavailable(TIMES_TABLE, "no time in the answer", False)
        min_offset = changes.store_responded_at - self.clock()
        max_offset = changes.store_responded_at - requested_at
        self._apply_times(changes, min_offset, max_offset)
        rows = {row.key: row for row in changes.rows}
        return rows, min_offset

    async def _first_response(self) -> tuple[float, RowChanges]:
        """Return the first response, and when its read was requested."""
        reads: dict[asyncio.Task, float] = {}
        interval = FIRST_REPEAT_SECONDS
        try:
            while True:
                read = asyncio.ensure_future(self.store.read(TIMES_TABLE))
                reads[read] = self.clock()
                done, _ = await asyncio.wait(
                    reads, timeout=interval, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    newest = max(done, key=lambda task: reads[task])
                    return reads[newest], newest.result()
                interval *= 2
        finally:
            for read in reads:
                read.cancel()

    def _apply_times(
        self, changes: RowChanges, min_offset: float, max_offset: float
    ) -> None:
        """Apply published times; an offset is the store's clock minus this clock."""
        for row in changes.rows:
            try:
                times = declaration_times_of(row)
            except MalformedDates as exc:
                self.events.emit("row.unreadable", why=str(exc))
                continue
            now = self.clock()
            for number, time in times.items():
                # The time itself counts as exact. It is the earliest possible one, so
                # that of others which contradict it the earlier still wins.
                earliest, latest = time - max_offset, time - min_offset
                self.on_declaration_time(
                    row.key, number, min(earliest, now), min(latest, now)
                )


def _times_or_empty(row: Row) -> dict[int, float]:
    with contextlib.suppress(MalformedDates):
        return declaration_times_of(row)
    return {}
