"""Quarantined prompt parts, kept in the store for processes that start later.

Entries exchange the evidence against parts by gossip, and after a full restart of the
deployment no running process has it. So one entry publishes the parts that become
quarantined, with their evidence, and each entry reads them once after its start. Times
in the table are those of the store's clock, which all processes share.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import random
from collections.abc import Awaitable, Callable, Iterable

import orjson
from attrs import define, evolve, field, frozen
from wasabideck_policy.crash_explanation import MAX_QUARANTINED
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.part_quarantine import QUARANTINE_SECONDS, PartQuarantine
from wasabideck_policy.suspect_parts import PartCrash, SuspectPart

from .events import Events
from .http_responses import MALFORMED_DATA, PlatformRefused, PlatformUnavailable
from .rows import Row, RowStore, RowWrite, WriteConflict

__all__ = [
    "PARTS_TABLE",
    "MalformedPart",
    "PartQuarantineStore",
    "StoredPart",
    "part_key",
    "part_row",
    "parse_part",
    "plan_changes",
]

PARTS_TABLE = "wasabideck-quarantined-parts"
# Version of a row that does not exist.
ABSENT_VERSION = 0
# Rows that are kept; of more, those that expire last.
MAX_ROWS = MAX_QUARANTINED
# Parts and requests are named by callers: larger rows are not written.
MAX_ROW_BYTES = 4096
# Maximum depth and round in a row; no message can carry arbitrarily large numbers.
MAX_NUMBER = 1_000_000
# A transaction of the store has at most 100 entries, and a change takes two.
MAX_CHANGES_PER_WRITE = 40
# Part ids in one event, and characters of each.
MAX_PARTS_LOGGED = 8
MAX_PART_LOGGED_CHARS = 64
# A row is only replaced, by itself or by that of another part, if the new one expires
# more than this later.
REFRESH_SECONDS = 30.0
# Tolerance for the rounding of times and the resolution of the store's clock.
CLOCK_TOLERANCE_SECONDS = 1.0
# Timeout of a read or a write. Processes that start at the same time share slow links:
# a shorter timeout would cancel reads that make progress.
CALL_TIMEOUT_SECONDS = 2.0
# First and maximum backoff between attempts.
FIRST_BACKOFF_SECONDS = 0.2
MAX_LOADING_BACKOFF_SECONDS = 3.0
MAX_PUBLISHING_BACKOFF_SECONDS = 15.0
# Delay per rank before an entry checks whether the parts are published, so that only
# one entry writes them, and its maximum. Entries at the maximum, several hundred in a
# large deployment, are spread over twice that time again.
RANK_DELAY_SECONDS = 0.2
MAX_RANK_DELAY_SECONDS = 1.0
# Minimum delay after a start before an entry changes rows that it found. Its rank is
# unknown until the members are: all entries that start together would write at once.
FIRST_CHANGE_DELAY_SECONDS = 5.0

FAILURES = (PlatformUnavailable, PlatformRefused, TimeoutError)


class MalformedPart(WasabideckError):
    """A row of a quarantined part is unreadable; the text has its key and value."""

    status = 400

    def __init__(self, row: Row, why: str):
        super().__init__(f"{PARTS_TABLE}/{row.key}: {why}: {row.value!r}"[:300])
        self.key = row.key
        self.value = row.value


@frozen
class StoredPart:
    """A quarantined part as it is stored.

    Attributes
    ----------
    found : SuspectPart
        Its evidence; ``until`` is a time of the store's clock.
    """

    part: str
    found: SuspectPart


@frozen
class _Contents:
    """Contents of the table.

    Attributes
    ----------
    rows : dict of str to Row
        All rows by key, with expired and unreadable ones.
    live : dict of str to StoredPart
        Unexpired parts by key.
    offset : float
        The store's clock minus the wall clock.
    """

    rows: dict[str, Row]
    live: dict[str, StoredPart]
    offset: float = 0.0


def part_key(part: str) -> str:
    """Return the key of a part's row: callers choose the part's id, of any length."""
    data = part.encode(errors="surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def part_row(part: str, found: SuspectPart) -> RowWrite | None:
    """Return the row of a part; None if its ids are too long or cannot be encoded."""
    row = {
        "part": part,
        "depth": found.depth,
        "until": math.floor(found.until * 1000) / 1000,
        "crashes": {
            crash: [evidence.round, evidence.request]
            for crash, evidence in sorted(found.crashes.items())
        },
        "refuted_round": found.refuted_round,
    }
    try:
        value = orjson.dumps(row)
    except TypeError:
        return None
    if len(value) > MAX_ROW_BYTES:
        return None
    return RowWrite(PARTS_TABLE, part_key(part), value)


def parse_part(row: Row) -> StoredPart:
    """Return the part that a row describes; raises ``MalformedPart``."""
    if len(row.value) > MAX_ROW_BYTES:
        raise MalformedPart(row, "too large")
    try:
        data = orjson.loads(row.value)
        crashes = {
            crash: PartCrash(_number(round), _text(request))
            for crash, (round, request) in data["crashes"].items()
        }
        found = SuspectPart(
            _number(data["depth"]),
            float(data["until"]),
            crashes,
            _number(data["refuted_round"]),
        )
        part = _text(data["part"])
    except MALFORMED_DATA as exc:
        raise MalformedPart(row, f"{type(exc).__name__}: {exc}") from exc
    if not crashes:
        raise MalformedPart(row, "no evidence")
    if row.key != part_key(part):
        raise MalformedPart(row, "key of another part")
    return StoredPart(part, found)


def plan_changes(
    table: _Contents, quarantine: PartQuarantine, now: float
) -> tuple[list[RowWrite], list[Row]]:
    """Return the rows to write and the rows to remove at wall time ``now``."""
    kept = {
        key: stored.found.until
        for key, stored in table.live.items()
        if not _is_withdrawn(stored, quarantine, now)
    }
    due = {}
    for part in quarantine.quarantined(now) & quarantine.suspects.keys():
        suspect = quarantine.suspects[part]
        until = min(suspect.until, now + QUARANTINE_SECONDS) + table.offset
        write = part_row(part, evolve(suspect, until=until))
        if write is None:
            continue
        # The margin also prevents that rows that expire at about the same time replace
        # each other over and over.
        if until - REFRESH_SECONDS > kept.get(write.key, float("-inf")):
            due[write.key] = write
            kept[write.key] = until - REFRESH_SECONDS
    newest = set(sorted(kept, key=lambda key: (kept[key], key))[-MAX_ROWS:])
    writes = [due[key] for key in sorted(due.keys() & newest)]
    return writes, [row for key, row in table.rows.items() if key not in newest]


@define
class PartQuarantineStore:
    """Publishes quarantined parts in the store, and loads them after a start.

    Attributes
    ----------
    quarantine : PartQuarantine
        The evidence known to this process.
    rank : callable
        Rank of this entry among all entries, from 0.
    wall_clock : callable
        Returns the wall time, by which the quarantine expires.
    on_loaded : callable
        Called once with the parts that were loaded, possibly none.
    """

    store: RowStore
    quarantine: PartQuarantine
    rank: Callable[[], int]
    wall_clock: Callable[[], float]
    events: Events
    rng: random.Random
    on_loaded: Callable[[list[str]], None] = lambda parts: None
    _publishing_due: asyncio.Event = field(factory=asyncio.Event)
    _may_publish: asyncio.Event = field(factory=asyncio.Event)
    _rows_loaded: bool = False

    def request_publishing(self) -> None:
        """Request publishing, as the set of quarantined parts may have changed."""
        self._publishing_due.set()

    async def run_loading(self) -> None:
        """Load the published parts once, as soon as the store returns them."""
        await self._retry(self._load, MAX_LOADING_BACKOFF_SECONDS, lambda: True)
        if self._rows_loaded:
            await asyncio.sleep(FIRST_CHANGE_DELAY_SECONDS * self.rng.uniform(1.0, 2.0))
            self.request_publishing()
        self._may_publish.set()

    async def run_publishing(self) -> None:
        """Publish quarantined parts on request, until cancelled.

        Waits for ``run_loading`` first.
        """
        await self._may_publish.wait()
        while True:
            await self._publishing_due.wait()
            await asyncio.sleep(self._publishing_delay())
            self._publishing_due.clear()
            await self._retry(
                self._publish,
                MAX_PUBLISHING_BACKOFF_SECONDS,
                lambda: bool(self.quarantine.quarantined(self.wall_clock())),
            )

    def _publishing_delay(self) -> float:
        longest = MAX_RANK_DELAY_SECONDS * self.rng.uniform(1.0, 3.0)
        return min(RANK_DELAY_SECONDS * self.rank(), longest)

    async def _retry(
        self,
        step: Callable[[], Awaitable[bool]],
        max_backoff: float,
        is_needed: Callable[[], bool],
    ) -> None:
        """Repeat a step with increasing backoff until it is done."""
        backoff = FIRST_BACKOFF_SECONDS
        while True:
            try:
                if await step():
                    return
            except FAILURES as exc:
                self._log_unavailable(exc)
                if not is_needed():
                    return
            await asyncio.sleep(backoff * self.rng.uniform(0.6, 1.0))
            backoff = min(2 * backoff, max_backoff)

    async def _load(self) -> bool:
        """Merge the published parts into the quarantine."""
        table = await self._read()
        now = self.wall_clock()
        newest = sorted(table.live.values(), key=lambda s: (s.found.until, s.part))
        newest = newest[-MAX_ROWS:]
        for stored in newest:
            until = stored.found.until - table.offset
            loaded = evolve(stored.found, until=until)
            self.quarantine.merge(stored.part, loaded, now)
        parts = sorted(stored.part for stored in newest)
        if table.rows:
            ignored = len(table.rows) - len(parts)
            self.events.emit("parts.loaded", parts=_logged(parts), ignored=ignored)
        self._rows_loaded = bool(table.rows)
        self.on_loaded(parts)
        return True

    async def _publish(self) -> bool:
        """Make changes that no other entry has made; return whether none is left."""
        table = await self._read()
        writes, removed = plan_changes(table, self.quarantine, self.wall_clock())
        return await self._write(writes, table.rows) and await self._remove(removed)

    async def _write(self, due: list[RowWrite], rows: dict[str, Row]) -> bool:
        """Write rows in one transaction; return whether none is left."""
        writes = due[:MAX_CHANGES_PER_WRITE]
        if not writes:
            return True
        expected = [
            rows.get(write.key, Row(PARTS_TABLE, write.key, b"", ABSENT_VERSION))
            for write in writes
        ]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.store.write(writes, expected)
        except WriteConflict:
            return False
        parts = [orjson.loads(write.value)["part"] for write in writes]
        self.events.emit("parts.published", parts=_logged(parts))
        return len(writes) == len(due)

    async def _remove(self, due: list[Row]) -> bool:
        """Remove rows in one transaction; return whether none is left to be tried."""
        rows = due[:MAX_CHANGES_PER_WRITE]
        if not rows:
            return True
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await self.store.write([], rows, rows)
        except WriteConflict:
            return False
        except FAILURES as exc:
            # Readers ignore these rows, and the next publisher removes them.
            self._log_unavailable(exc)
            return True
        return len(rows) == len(due)

    async def _read(self) -> _Contents:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            changes = await self.store.read(PARTS_TABLE)
        responded_at = changes.store_responded_at
        rows = {row.key: row for row in changes.rows}
        if responded_at is None:
            if rows or self.quarantine.quarantined(self.wall_clock()):
                raise PlatformUnavailable(PARTS_TABLE, "no time in the answer", False)
            return _Contents({}, {})
        parsed = {key: self._parse_or_log(row) for key, row in rows.items()}
        live = {
            key: stored
            for key, stored in parsed.items()
            if stored is not None and _is_live(stored.found, responded_at)
        }
        return _Contents(rows, live, responded_at - self.wall_clock())

    def _parse_or_log(self, row: Row) -> StoredPart | None:
        try:
            return parse_part(row)
        except MalformedPart as exc:
            self.events.emit("row.unreadable", why=str(exc))
            return None

    def _log_unavailable(self, exc: Exception) -> None:
        self.events.emit("parts.unavailable", why=f"{type(exc).__name__}: {exc}")


def _is_live(found: SuspectPart, store_time: float) -> bool:
    # A time that is too far ahead was written before the store's clock was reset.
    remaining = found.until - store_time
    return 0.0 < remaining <= QUARANTINE_SECONDS + CLOCK_TOLERANCE_SECONDS


def _is_withdrawn(stored: StoredPart, quarantine: PartQuarantine, now: float) -> bool:
    """Whether all stored evidence is known here, and the part is not quarantined."""
    suspect = quarantine.suspects.get(stored.part)
    if suspect is None or stored.part in quarantine.quarantined(now):
        return False
    return all(
        crash in suspect.crashes or evidence.round <= suspect.refuted_round
        for crash, evidence in stored.found.crashes.items()
    )


def _number(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"not a number from 0 to {MAX_NUMBER}")
    return value


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


def _logged(parts: Iterable[str]) -> list[str]:
    return [part[:MAX_PART_LOGGED_CHARS] for part in list(parts)[:MAX_PARTS_LOGGED]]
