"""Follows a table of the store across outages, stale responses and lost history."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Iterator

from attrs import define, evolve, field, frozen
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.reader_selection import CONFIRMATION_VALID_SECONDS

from .arrivals import Arrivals
from .events import Events
from .http_responses import PlatformRefused, PlatformUnavailable
from .rows import HistoryLost, Row, RowChanges, RowStore
from .transit_time import TransitTime

__all__ = ["TablePosition", "TableWatch"]

# Maximum time for which the store may hold a response while nothing changes. Each call
# costs money, and keep-alive probes detect an unresponsive connection.
LONG_POLL_SECONDS = 15.0
# A process that others rely on keeps reporting that it follows the table for this long
# after the store's response was due, or after the last byte of a response: over a full
# link an empty response takes a few tenths of a second.
RESPONSE_GRACE_SECONDS = 0.4
# Delay after a change before the next call: servers join and operators write in bursts,
# and one response then contains what would otherwise take several calls.
SETTLE_SECONDS = 0.4
# Changes that follow each other within this interval form a burst.
BURST_INTERVAL_SECONDS = 1.0
# Size from which a row fills a region's link for a noticeable time: it is not
# transferred again while it may be on its way.
LARGE_ROW_BYTES = 64 * 1024
# Maximum number of rows sent to a peer at once, which exceeds the number of servers
# that leave or join at the same moment.
MAX_ROWS_SENT = 64
# Time allowed for a newer row that a peer knows to arrive here: the response that
# brought it to the peer should have arrived here as well.
STALLED_CALL_SECONDS = 0.8
# A response later than this, beside the time that the store takes for one, was held by
# the store until something changed.
HELD_RESPONSE_SECONDS = 0.5
# Fraction of the longest recent response time that is kept at each response: one
# response that was delayed on its way says little about the store.
RESPONSE_TIME_DECAY = 0.5
# Minimum age of a response, its transit included, where the store does not report when
# it responded.
MIN_TRANSIT_SECONDS = 0.1
# A call that takes longer than this, beside the time for which the store may hold its
# response, is logged.
SLOW_CALL_SECONDS = 0.5
# First and maximum backoff while the store does not respond. The maximum stays below
# the time in which a change has to be in effect after the store's return.
FIRST_BACKOFF_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 0.8
# What was written during a longer time without a response counts, for every process,
# from at most this long before the store's return: the maximum backoff plus the time of
# a response.
MAX_BACKDATING_SECONDS = 1.0


@frozen
class TablePosition:
    """How far a process follows a table.

    Attributes
    ----------
    version : int
        Version of the store that its copy reflects.
    staleness_seconds : float
        Maximum age of rows that the copy lacks, in seconds.
    """

    version: int
    staleness_seconds: float


@define
class _MissingRow:
    """A row that a peer knows and this process has not yet received.

    Attributes
    ----------
    first_seen_at : float
        When a peer first reported the row, seconds.
    idle_since : float
        Start of the time in which no byte arrived, as far as was checked, seconds.
    received_bytes : int
        Bytes that had arrived by then.
    """

    version: int
    first_seen_at: float
    idle_since: float
    received_bytes: int


class _CallDropped(Exception):
    """A pending call was dropped, and is to be made again at once."""


@define
class TableWatch:
    """Keeps a process's copy of a table.

    Attributes
    ----------
    on_rows : callable
        Called with new rows, including removals.
    on_full_read : callable
        Called with all rows of the table after a full read.
    on_complete : callable
        Called with a time up to which the copy is complete, seconds.
    on_recovery : callable
        Called with the length in seconds of an outage of the store, at its end.
    on_behind : callable
        Called when a row that a peer knows stays missing here.
    prefers_full_read : bool
        Whether the whole table is small, and its rows are large and change often.
    small_rows_prefix : str
        Prefix of the keys of rows that stay small where others are large; empty for
        none.
    version : int
        Version of the store that the copy reflects; -1 before the first read.
    newest : int
        Version of the newest known row, including removals.
    responded_at : float
        When the store sent its newest response, seconds.
    last_response_at : float
        When that response arrived here, seconds.
    response_seconds : float
        Time that the store takes for a response which it does not hold.
    wait_seconds : float
        Maximum time for which the store may hold a response.
    arrivals : Arrivals
        When data of the table arrives.
    settle_seconds : float
        Delay after a response with changes, in which more of them are collected.
    written_since : float
        Earliest time at which rows of the current response may have been written.
    adopted_version : int
        Version up to which a peer sent all that the table holds; -1 for none.
    heard_row_bytes : int
        Size of the newest row that peers sent in another form.
    first_read_unverified : bool
        Whether nothing has confirmed yet that the first read, or the one after lost
        history, was current: rows missing in it may be old.
    """

    store: RowStore
    table: str
    on_rows: Callable[[list[Row]], None]
    on_full_read: Callable[[list[Row]], None]
    on_recovery: Callable[[float], None]
    clock: Callable[[], float]
    events: Events
    rng: random.Random
    prefers_full_read: bool = False
    small_rows_prefix: str = ""
    on_complete: Callable[[float], None] = lambda until: None
    on_behind: Callable[[], None] = lambda: None
    version: int = -1
    newest: int = 0
    _changed_at: float = float("-inf")
    responded_at: float = float("-inf")
    last_response_at: float = float("-inf")
    response_seconds: float = 0.0
    wait_seconds: float = LONG_POLL_SECONDS
    settle_seconds: float = SETTLE_SECONDS
    written_since: float = float("inf")
    adopted_version: int = -1
    first_read_unverified: bool = False
    heard_row_bytes: int = 0
    _adopted_complete_until: float = float("-inf")
    _complete_until: float = float("-inf")
    _follow_started_at: float = float("inf")
    _requested_at: float = float("-inf")
    arrivals: Arrivals = field(init=False)
    _transit: TransitTime = field(factory=TransitTime)
    _rows: dict[str, Row] = field(factory=dict)
    _failures: int = 0
    _checks_fail: bool = False
    _drops_call: bool = False
    _wants_confirmation: bool = False
    _failing_since: float = 0.0
    _needs_full_read: bool = True
    _pending_call: asyncio.Task | None = None
    _is_reading: bool = False
    _missing_row: _MissingRow | None = None

    def __attrs_post_init__(self) -> None:
        """Observe what arrives of the table."""
        self.arrivals = Arrivals(self.store, self.table)

    @property
    def failing(self) -> bool:
        """Whether the store did not respond to the last call or check."""
        return self._failures > 0 or self._checks_fail or self.version < 0

    @property
    def complete_until(self) -> float:
        """Up to when the copy is complete, as shown by responses; -inf if unknown.

        A pending call shows nothing: its connection may be unresponsive. The same holds
        for a position that a peer bases on its pending call.
        """
        return self._complete_until

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self.step()
            except HistoryLost as exc:
                self.events.emit("watch.history-lost", table=self.table, why=str(exc))
                self._needs_full_read = True
                # A full read may be stale, and the history after it lost again.
                await asyncio.sleep(FIRST_BACKOFF_SECONDS)
            except _CallDropped:
                continue
            except (PlatformUnavailable, PlatformRefused) as exc:
                self._record_failure(exc)
                await asyncio.sleep(self._next_backoff())

    async def step(self) -> None:
        """Make one call: read the whole table at first, then what has changed."""
        if self._needs_full_read:
            await self._read()
        else:
            await self._follow()

    async def check(self) -> bool:
        """Ask the store for changes beside a pending call, and apply them.

        Where rows are large only the small ones are read.

        Returns
        -------
        newer : bool
            Whether there are changes that no other call has brought.

        Raises
        ------
        PlatformUnavailable, PlatformRefused
            The store sent no usable response.
        """
        missing_since, max_age = self._missing_bounds()
        version, requested_at = self._checked_version, self.clock()
        small_rows_only = self.has_large_rows
        try:
            changes = await self._call_for_check(version, small_rows_only)
        except HistoryLost as exc:
            self.events.emit("watch.history-lost", table=self.table, why=str(exc))
            self._needs_full_read = self.first_read_unverified = True
            self.drop_call(self.clock())
            return False
        if changes.version < version:
            raise PlatformUnavailable(self.table, "stale response", False)
        self._note_response_time(requested_at)
        responded_at = self._record_response(changes, requested_at)
        if self.version < 0:
            self._apply_before_first_read(changes, small_rows_only)
            return False
        if changes.version < self.version:
            # The response to a later call was faster.
            return False
        self.written_since = max(missing_since, responded_at - max_age)
        if small_rows_only:
            return self._apply_small_rows(changes, requested_at)
        newer = self._apply(changes)
        # How long an answer travelled is known only against a faster one.
        self._note_complete(changes, requested_at)
        return newer

    async def _call_for_check(self, version: int, small_rows_only: bool) -> RowChanges:
        with self._log_if_slow("check"):
            if small_rows_only:
                return await self.store.read(self.table, self.small_rows_prefix)
            return await self.store.wait_for_changes(self.table, version, 0.0)

    def _apply_small_rows(self, changes: RowChanges, requested_at: float) -> bool:
        """Apply the small rows of a table; return whether others have changed."""
        self._apply_newer_rows(changes.rows)
        if changes.version > self.version:
            return True
        self._note_complete(evolve(changes, rows=()), requested_at)
        return False

    @property
    def is_checkable(self) -> bool:
        """Whether a version is known after which the store can be asked for changes."""
        return self.version >= 0 or self.newest > 0

    @property
    def _checked_version(self) -> int:
        """Version after which a check asks for changes.

        Before the first read it is that of the rows that a peer has sent.
        """
        return self.version if self.version >= 0 else self.newest

    def begin_after(self, newest: int) -> None:
        """Record that a peer sent all that the table holds up to a version.

        A first read shows what the store held when it began. Until its response is
        here, checks bring what was written since.
        """
        if self.version < 0:
            self.newest = max(self.newest, newest)

    def _apply_before_first_read(
        self, changes: RowChanges, small_rows_only: bool
    ) -> None:
        """Apply newer rows of a check whose response was faster than the first read."""
        newer = [row for row in changes.rows if row.version > self.newest]
        if not newer:
            return
        if not small_rows_only:
            # Otherwise larger rows may be missing among them.
            self.newest = max(row.version for row in newer)
        self.on_rows(newer)

    def record_failed_check(self, exc: WasabideckError) -> None:
        """Record that the store did not respond to a check."""
        if not self._checks_fail:
            self._checks_fail = True
            self.events.emit("watch.unconfirmed", table=self.table, why=str(exc))

    def drop_call(self, before: float) -> None:
        """Drop a held call that began before a time; it is made again at once.

        Its connection may be unresponsive: nothing would arrive on it until it times
        out. A read of the whole table is repeated by the store's client.
        """
        if self._pending_call is None or self._requested_at >= before:
            return
        if self._is_reading:
            return
        if self.has_large_rows and self.arrivals.last_at(self.clock()) > before:
            # The response is on its way, and would begin again.
            return
        self.events.emit("watch.call-dropped", table=self.table)
        self._drops_call = True
        # A check of small rows shows that others may have changed, and not up to when
        # the copy is complete.
        self._wants_confirmation = self.has_large_rows or self.last_response_at < before
        self._pending_call.cancel()

    def is_retrying(self, now: float, seconds: float) -> bool:
        """Whether calls fail at once: the next one follows, or began a moment ago."""
        if self._failures == 0:
            return False
        return self._pending_call is None or now - self._requested_at < seconds

    def merge_rows(self, rows: Iterable[Row]) -> None:
        """Merge rows sent by a peer; the watch itself still has to receive them.

        While the store refuses this process, or its connection is unresponsive, the
        shutdown of a server becomes known within a second and not when the call ends.
        """
        if self.version < 0:
            # Rows kept now would not count as new in the first read, and so would never
            # be acted on.
            return
        # The read of a whole table contains no record of a removal, so an older row may
        # be one that was removed.
        newer = [
            row
            for row in rows
            if row.version > max(self.version, self._known_version(row.key))
        ]
        for row in newer:
            self._rows[row.key] = row
        if newer:
            self.events.emit("rows.heard", table=self.table, rows=len(newer))
            # The peer does not report when the rows were written.
            self.written_since = self.clock()
            self.on_rows(newer)

    def rows_newer_than(self, version: int) -> list[Row]:
        """Return the rows newer than a version, only the newest ones if many."""
        newer = [row for row in self._rows.values() if row.version > version]
        return sorted(newer, key=lambda row: row.version)[-MAX_ROWS_SENT:]

    @property
    def largest_row_bytes(self) -> int:
        """Size of the largest row that this process or a peer has received."""
        sizes = (len(row.value) for row in self._rows.values())
        return max(self.heard_row_bytes, max(sizes, default=0))

    @property
    def has_large_rows(self) -> bool:
        """Whether a change may bring rows that take long to transfer.

        A check then reads only the small rows, with the store's version: its response
        shows whether the pending call, of this process or of a reader of its region, is
        unresponsive.
        """
        if not self.small_rows_prefix:
            return False
        known = max(self.largest_row_bytes, self.arrivals.bytes_since_call)
        return known >= LARGE_ROW_BYTES

    @property
    def _reflected_version(self) -> int:
        """Version up to which no row is missing; a full read has no removals."""
        return max(self.version, self.newest)

    def _known_version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else -1

    def note_newer_row(self, newest: int) -> None:
        """Record that a peer knows a newer row: the current call may be unresponsive.

        A check then tells whether it is. A call whose response is arriving continues:
        over a full link a response takes seconds, and a new call would transfer all of
        it again.
        """
        now, received = self.clock(), self.store.received_bytes(self.table)
        if newest <= self._reflected_version:
            return
        missing = self._missing_row
        if missing is None or missing.version <= self._reflected_version:
            self._missing_row = _MissingRow(newest, now, now, received)
        elif received > missing.received_bytes:
            missing.idle_since, missing.received_bytes = now, received
        elif (
            now - missing.idle_since >= STALLED_CALL_SECONDS
            and self._pending_call is not None
        ):
            self.events.emit("watch.behind", table=self.table, peer=newest)
            missing.idle_since = now
            self.on_behind()

    def is_lagging(self, now: float, seconds: float) -> bool:
        """Whether a row that a peer knows has been missing here for ``seconds``."""
        missing = self._missing_row
        if missing is None or missing.version <= self._reflected_version:
            return False
        return now - missing.first_seen_at >= seconds

    def missing_since(self, now: float) -> float:
        """Return the earliest time at which rows missing here may have been written."""
        waited = now - self._follow_started_at
        if self._min_held_seconds < waited <= self.wait_seconds:
            return now - MIN_TRANSIT_SECONDS - self.response_seconds
        return max(self._complete_until, self._adopted_complete_until)

    def position(self, now: float) -> TablePosition | None:
        """Return how far the table is followed; None while the store does not respond.

        Nor does a process report its position whose first read may have been stale.
        An unresponsive connection looks like one on which nothing changes, until a
        response is overdue.
        """
        last_activity_at = max(
            self.last_response_at, self._requested_at, self.arrivals.last_at(now)
        )
        if (
            self.failing
            or self.first_read_unverified
            or now - last_activity_at > self.wait_seconds + self._response_grace
        ):
            return None
        return TablePosition(self.version, now - self.missing_since(now))

    @property
    def _min_held_seconds(self) -> float:
        """Time after which a call that the store has not answered is held by it."""
        return HELD_RESPONSE_SECONDS + self.response_seconds

    @property
    def _response_grace(self) -> float:
        """Time for a response after the store has stopped holding it."""
        return RESPONSE_GRACE_SECONDS + self.response_seconds

    def adopt_position(
        self, peer: TablePosition, newest: int, requested_at: float
    ) -> None:
        """Adopt a peer's position in the table.

        Valid only for a process that lacks nothing that the peer has.

        Parameters
        ----------
        newest : int
            Version of the newest row that the peer knows.
        requested_at : float
            When the peer was polled, seconds.
        """
        if peer.version >= self.version:
            self._needs_full_read = False
            self.version = peer.version
        self.adopted_version = max(self.adopted_version, peer.version)
        self.newest = max(self.newest, newest)
        self._adopted_complete_until = max(
            self._adopted_complete_until, requested_at - peer.staleness_seconds
        )
        # Nothing that the first read lacked is missing any more.
        self.first_read_unverified = False

    def mark_covered(self) -> None:
        """Record that a peer now follows the table for this process.

        Without a call of its own this process has no outage of its own either.
        """
        self._failures = 0
        self._checks_fail = False

    async def _read(self) -> None:
        missing_since, max_age = self._missing_bounds()
        requested_at = self.clock()
        self.first_read_unverified = self.first_read_unverified or self.version < 0
        with self._log_if_slow("read"):
            read = self.store.read(self.table)
            changes = await self._await_call(read, is_read=True)
        if changes.version < self.version:
            # A response older than the copy would remove rows that were added since.
            await asyncio.sleep(self._next_backoff())
            return
        responded_at = self._record_response(changes, requested_at)
        self._needs_full_read = False
        self.written_since = max(missing_since, responded_at - max_age)
        self._apply(changes)
        listed = {row.key for row in changes.rows}
        self._rows = {key: row for key, row in self._rows.items() if key in listed}
        if not self.first_read_unverified:
            self._mark_complete(requested_at)
        self.on_full_read(list(changes.rows))

    async def _follow(self) -> None:
        missing_since, max_age = self._missing_bounds()
        requested_at = self.clock()
        # Until the store has responded again, a call that it may hold shows nothing.
        unconfirmed = self._failures > 0 or self._wants_confirmation
        wait = 0.0 if unconfirmed else self.wait_seconds
        self._follow_started_at = float("inf") if unconfirmed else requested_at
        version = self.version
        follow = self.store.wait_for_changes(self.table, version, wait)
        try:
            with self._log_if_slow("follow", wait):
                changes = await self._await_call(follow)
        except HistoryLost:
            self.first_read_unverified = True
            raise
        finally:
            self._follow_started_at = float("inf")
        if changes.version < version:
            await asyncio.sleep(self._next_backoff())
            return
        if not wait:
            self._note_response_time(requested_at)
        responded_at = self._record_response(changes, requested_at)
        self._wants_confirmation = False
        if changes.version < self.version:
            # A check was faster, and brought more.
            return
        if self._min_held_seconds < responded_at - requested_at <= wait:
            missing_since = responded_at - MIN_TRANSIT_SECONDS
            self.first_read_unverified = False
        self.written_since = max(missing_since, responded_at - max_age)
        self._apply(changes)
        self._note_complete(changes, responded_at if wait else requested_at)
        if not changes.rows:
            return
        # Following returns every change, each with the whole row; reading the table
        # returns only the last one. Where operators write every few hundred ms, this
        # keeps ten entries from filling a region's link.
        now = self.clock()
        in_burst = now - self._changed_at < BURST_INTERVAL_SECONDS
        self._needs_full_read = in_burst and self.prefers_full_read
        self._changed_at = now
        await asyncio.sleep(self.settle_seconds)

    def _missing_bounds(self) -> tuple[float, float]:
        """Return the next response's earliest write time of rows, and a maximum age.

        A follower that has just lost its region readers calls the store later than
        processes with a pending call, and not because the store had an outage.
        """
        missing_since = max(self.responded_at, self._adopted_complete_until)
        if self._failures or self._adopted_complete_until <= self.last_response_at:
            return missing_since, MAX_BACKDATING_SECONDS
        return missing_since, MAX_BACKDATING_SECONDS + CONFIRMATION_VALID_SECONDS

    async def _await_call(self, call: object, is_read: bool = False) -> RowChanges:
        """Return the response to a call, which other methods may cancel."""
        self._pending_call = asyncio.ensure_future(call)
        self.arrivals.begin_call()
        self._is_reading, self._drops_call = is_read, False
        self._requested_at = self.clock()
        try:
            return await self._pending_call
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                self._pending_call.cancel()
                raise
            if self._drops_call:
                raise _CallDropped from None
            raise PlatformUnavailable(self.table, "no data received", False) from None
        finally:
            self._pending_call = None

    @contextlib.contextmanager
    def _log_if_slow(self, call: str, wait: float = 0.0) -> Iterator[None]:
        """Log the call within the block if it takes long or is given up late."""
        started_at = self.clock()
        outcome, expected_seconds = "given up", 0.0
        try:
            yield
            outcome, expected_seconds = "answered", wait
        except WasabideckError as exc:
            outcome = type(exc).__name__
            raise
        finally:
            seconds = self.clock() - started_at
            if seconds - expected_seconds > SLOW_CALL_SECONDS:
                self.events.emit(
                    "store.slow",
                    table=self.table,
                    call=call,
                    outcome=outcome,
                    seconds=round(seconds, 3),
                    wait=wait,
                )

    def _apply(self, changes: RowChanges) -> bool:
        """Apply the rows of a response; return whether any was not yet known."""
        self.newest = max([self.newest, *(row.version for row in changes.rows)])
        self.version = max(self.version, changes.version)
        return self._apply_newer_rows(changes.rows)

    def _apply_newer_rows(self, rows: Iterable[Row]) -> bool:
        """Apply rows that are newer than the known ones; return whether any is."""
        newer = [row for row in rows if row.version > self._known_version(row.key)]
        for row in newer:
            self._rows[row.key] = row
        if newer:
            self.on_rows(newer)
        return bool(newer)

    def _note_complete(self, changes: RowChanges, until: float) -> None:
        """Record up to when the copy is complete, unless a stale read may lack more.

        A response with rows may be one part of what the first read lacked. Before it
        was applied, a response that the store had held verified the first read.
        """
        if not changes.rows:
            self.first_read_unverified = False
        if not self.first_read_unverified:
            self._mark_complete(until)

    def _mark_complete(self, until: float) -> None:
        self._complete_until = max(self._complete_until, until)
        self.on_complete(self.complete_until)

    def _note_response_time(self, requested_at: float) -> None:
        """Record how long a response took that the store did not hold."""
        self.response_seconds = max(
            self.clock() - requested_at, RESPONSE_TIME_DECAY * self.response_seconds
        )

    def _record_response(self, changes: RowChanges, requested_at: float) -> float:
        """Record a response; return when the store sent it, seconds."""
        self.last_response_at = self.clock()
        responded_at = self.last_response_at - self._transit.excess(
            changes.store_responded_at, requested_at, self.last_response_at
        )
        # A check and a pending call may be answered in any order.
        self.responded_at = max(self.responded_at, responded_at)
        self._checks_fail = False
        if self._failures:
            self._failures = 0
            outage_seconds = self.last_response_at - self._failing_since
            self.events.emit(
                "store.back", table=self.table, seconds=round(outage_seconds, 3)
            )
            self.on_recovery(outage_seconds)
        return responded_at

    def _record_failure(self, exc: WasabideckError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._failing_since = self.clock()
            self.events.emit("store.lost", table=self.table, why=str(exc))

    def _next_backoff(self) -> float:
        max_backoff = min(
            MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** min(self._failures, 8)
        )
        return max_backoff * self.rng.uniform(0.6, 1.0)
