"""Memory and descriptors that all connections of a process may use together.

A limit on each connection bounds nothing unless it is multiplied by the number of
connections. Here each connection reports what it holds, from the first byte read to the
last byte written. When the sum is too large, the connections that hold most without
progress are turned away, whoever comes next.
"""

from __future__ import annotations

import gc
import resource
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum

from attrs import define, field, frozen

__all__ = [
    "ACCEPTED_CONNECTION_BYTES",
    "BYTES_PER_MB",
    "DEFAULT_MEMORY_BYTES",
    "RELEASE_SECONDS",
    "RESERVED_DESCRIPTORS",
    "ConnectionBudget",
    "Limit",
    "ProcessLimits",
    "Usage",
]

BYTES_PER_MB = 1_000_000
# Memory of the program itself, with its state: configuration, servers, peers.
PROGRAM_BYTES = 64 * BYTES_PER_MB
# Share of the remaining memory that connections may report. The rest is for copies
# while a message is parsed or written, and for fragmentation of the heap.
REPORTED_RATIO = 0.5
MIN_REPORTED_BYTES = 8 * BYTES_PER_MB
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
MIN_DESCRIPTORS = 32
DEFAULT_MEMORY_BYTES = 256 * BYTES_PER_MB
# Share of the limit down to which connections are turned away at once, so that the
# search for them is not repeated for each byte that follows.
LOW_WATER_RATIO = 0.8
SOCKETS_LOW_WATER_RATIO = 0.95
# Memory of an accepted connection that holds no data: transport, protocol and parser.
ACCEPTED_CONNECTION_BYTES = 8192
# Weight of time without progress while the process is awaited, not the peer.
WAITING_HERE_WEIGHT = 0.1
# Bytes of aborted connections after which garbage is collected. Their parsers, tasks
# and protocols refer to each other, and the collector counts objects, not bytes.
COLLECTED_BYTES = 4 * BYTES_PER_MB
# Time within which the tasks of an aborted connection end. Reading waits that long if
# connections hold too much meanwhile.
RELEASE_SECONDS = 0.01
# Share of a listener's sockets beyond which connections that were never answered make
# room first: a crowd that only connects must not displace callers' kept connections.
UNANSWERED_RATIO = 0.5
# Minimum time without progress, so that what is held counts at once.
MIN_STALL_SECONDS = 0.1


class Limit(Enum):
    """Kind of limit for which a connection is closed."""

    MEMORY = "memory"
    SOCKETS = "sockets"
    SIZE = "size"
    TIME = "time"
    RATE = "rate"


@frozen
class ProcessLimits:
    """Limits of one process.

    Attributes
    ----------
    memory_bytes : int
        Resident memory beyond which the platform kills the process.
    descriptors : int
        Descriptors that may be open.
    """

    memory_bytes: int = DEFAULT_MEMORY_BYTES
    descriptors: int = 0

    @property
    def max_reported_bytes(self) -> int:
        """Return how much all connections may report as held, in bytes."""
        available = int((self.memory_bytes - PROGRAM_BYTES) * REPORTED_RATIO)
        return max(MIN_REPORTED_BYTES, available)

    @property
    def max_sockets(self) -> int:
        """Return how many sockets may be open.

        Without a setting, this follows from the operating system's limit.
        """
        descriptors = self.descriptors
        if not descriptors:
            descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return max(MIN_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)


@define(eq=False)
class Usage:
    """What one connection holds.

    Attributes
    ----------
    turn_away : callable
        Ends the connection. Receives whether it may stay open until its peer has read
        the refusal; it never stays open if it was turned away before.
    listener : str
        Name of the listener that accepted the connection.
    refresh : callable
        Reports again what the connection holds, which may have become less.
    held_bytes : int
        Memory that the connection holds.
    sockets : int
        Sockets that it uses, with those to servers.
    progress_at : float
        When its peer last sent or received anything, in seconds.
    waits_for_peer : bool
        Whether the peer has to act next.
    answered : bool
        Whether a request on the connection has been answered.
    turned_away : bool
        Whether the connection is being closed.
    aborted_bytes : int
        Memory that it held when it was aborted, until it is released.
    """

    turn_away: Callable[[bool], None]
    listener: str
    progress_at: float
    refresh: Callable[[], None] = lambda: None
    held_bytes: int = 0
    sockets: int = 1
    waits_for_peer: bool = True
    answered: bool = False
    turned_away: bool = False
    aborted_bytes: int = 0

    def stall_seconds(self, now: float) -> float:
        """Return the time without progress, weighted by who is awaited."""
        seconds = max(MIN_STALL_SECONDS, now - self.progress_at)
        return seconds if self.waits_for_peer else seconds * WAITING_HERE_WEIGHT


@define
class ConnectionBudget:
    """Accounts for all connections that a process has accepted.

    Attributes
    ----------
    limits : ProcessLimits
        Limits of the process.
    shares : mapping of str to float
        Share of the sockets that the connections of a listener may use, by its name.
    on_turned_away : callable
        Called with the usage of each connection that is closed for a limit, the limit,
        and the time.
    """

    limits: ProcessLimits = field(factory=ProcessLimits)
    shares: Mapping[str, float] = field(factory=dict)
    on_turned_away: Callable[[Usage, Limit, float], None] = lambda *closed: None
    held_bytes: int = 0
    aborted_bytes: int = 0
    _uncollected_bytes: int = 0
    _sockets: Counter = field(factory=Counter)
    _unanswered: Counter = field(factory=Counter)
    _usages: set[Usage] = field(factory=set)
    _is_freeing: bool = False

    def open(
        self,
        listener: str,
        turn_away: Callable[[bool], None],
        now: float,
        refresh: Callable[[], None] = lambda: None,
    ) -> Usage:
        """Account for an accepted connection, turning others away for it if need be."""
        usage = Usage(turn_away, listener, now, refresh, ACCEPTED_CONNECTION_BYTES)
        self._count_sockets(usage, 1)
        self._free_sockets(listener, now)
        self.held_bytes += usage.held_bytes
        self._usages.add(usage)
        return usage

    def report(self, usage: Usage, held_bytes: int, now: float) -> None:
        """Set what a connection holds; turn some away if all hold too much."""
        if usage not in self._usages:
            return
        self.held_bytes += held_bytes - usage.held_bytes
        usage.held_bytes = held_bytes
        limit = self.limits.max_reported_bytes
        if self.held_bytes > limit and not self._is_freeing:
            self._is_freeing = True
            try:
                self._free_memory(int(limit * LOW_WATER_RATIO), now)
            finally:
                self._is_freeing = False

    def use_sockets(self, usage: Usage, sockets: int, now: float) -> None:
        """Set how many sockets a connection uses; turn some away if need be."""
        if usage not in self._usages:
            return
        added = sockets - usage.sockets
        self._count_sockets(usage, added)
        usage.sockets = sockets
        if added > 0:
            self._free_sockets(usage.listener, now)

    def record_answered(self, usage: Usage) -> None:
        """Record that a request on the connection has been answered."""
        if usage in self._usages and not usage.answered:
            self._unanswered[usage.listener] -= usage.sockets
        usage.answered = True

    def close(self, usage: Usage) -> None:
        """Stop accounting for a connection that is closed; safe to repeat."""
        if usage not in self._usages:
            return
        self._usages.discard(usage)
        self.held_bytes -= usage.held_bytes
        self._count_sockets(usage, -usage.sockets)
        usage.held_bytes = usage.sockets = 0

    def abort(self, usage: Usage) -> None:
        """Stop accounting for an aborted connection, which still has to release all.

        Its owner calls ``release`` once it has. Until then nothing is gained by
        aborting others.
        """
        usage.aborted_bytes += usage.held_bytes
        self.aborted_bytes += usage.held_bytes
        self.close(usage)

    def release(self, usage: Usage) -> None:
        """Record that a connection has released what it held; safe to repeat."""
        self.close(usage)
        self.aborted_bytes -= usage.aborted_bytes
        self._uncollected_bytes += usage.aborted_bytes
        usage.aborted_bytes = 0
        if self._uncollected_bytes > COLLECTED_BYTES:
            self._uncollected_bytes = 0
            gc.collect()

    @property
    def is_exhausted(self) -> bool:
        """Whether reading has to wait until aborted connections are released."""
        return self.held_bytes + self.aborted_bytes > self.limits.max_reported_bytes

    def max_sockets(self, listener: str) -> int:
        """Return how many sockets the connections of a listener may use."""
        return max(1, int(self.limits.max_sockets * self.shares.get(listener, 1.0)))

    def _count_sockets(self, usage: Usage, added: int) -> None:
        self._sockets[usage.listener] += added
        if not usage.answered:
            self._unanswered[usage.listener] += added

    def _free_memory(self, target: int, now: float) -> None:
        for usage in list(self._usages):
            usage.refresh()
        if self.held_bytes <= self.limits.max_reported_bytes:
            return
        candidates = sorted(
            self._usages,
            key=lambda u: u.held_bytes * u.stall_seconds(now),
            reverse=True,
        )
        for usage in candidates:
            if self.held_bytes <= target:
                return
            if usage in self._usages:
                self._turn_away(usage, Limit.MEMORY, now)

    def _free_sockets(self, listener: str, now: float) -> None:
        limit = self.max_sockets(listener)
        if self._sockets[listener] <= limit:
            return
        target = int(limit * SOCKETS_LOW_WATER_RATIO)
        unanswered_first = self._unanswered[listener] > limit * UNANSWERED_RATIO
        # Connections that are already being closed only wait for their peers to read.
        candidates = sorted(
            (u for u in self._usages if u.listener == listener),
            key=lambda u: (
                u.turned_away,
                u.answered != unanswered_first,
                u.stall_seconds(now),
                -u.progress_at,
            ),
            reverse=True,
        )
        for usage in candidates:
            if self._sockets[listener] <= target:
                return
            self._turn_away(usage, Limit.SOCKETS, now, lingers=False)
            self.close(usage)

    def _turn_away(
        self, usage: Usage, limit: Limit, now: float, lingers: bool = True
    ) -> None:
        usage.turned_away = True
        self.on_turned_away(usage, limit, now)
        usage.turn_away(lingers)
