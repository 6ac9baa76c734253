"""What a request costs on the engine's stand-in: one batch, stepped for all.

The costs are those that make routing and limits matter: a step takes longer with
more requests in the batch, prompts are read in chunks that share a budget, and a
prompt prefix that the limited cache still holds needs not be read again.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from attrs import define, field, frozen

__all__ = ["Batch", "Costs", "PREFIX_BYTES", "PrefixCache"]

PREFIX_BYTES = 64
EVENTS_KEPT = 512


@frozen
class Costs:
    """Costs of an engine.

    Attributes
    ----------
    step : float
        Seconds of one step of an empty batch.
    sequence : float
        Seconds that each request adds to a step.
    chunk : float
        Seconds that one chunk of a prompt adds to a step; one chunk a step is read.
    chunks : int
        Chunks of a prompt whose prefix is not cached; 1 when it is.
    prefixes : int
        Prefixes that the cache holds.
    """

    step: float = 0.030
    sequence: float = 0.002
    chunk: float = 0.020
    chunks: int = 4
    prefixes: int = 24

    def rate(self, capacity: int, tokens: float, chunks: float) -> float:
        """Requests a second that a full engine ends."""
        by_prompt = 1 / chunks
        by_batch = capacity / (tokens + chunks)
        busy = min(1.0, by_batch / by_prompt)
        step = self.step + self.sequence * capacity + self.chunk * busy
        return min(by_prompt, by_batch) / step


@define
class PrefixCache:
    """Prefixes that the engine holds, and its events of what came and went."""

    size: int
    events: list[tuple[int, str, bool]] = field(factory=list)
    sequence: int = 0
    _held: OrderedDict[str, None] = field(factory=OrderedDict)

    def use(self, name: str) -> bool:
        """Whether a prefix was held; it is held from now on."""
        hit = name in self._held
        self._held[name] = None
        self._held.move_to_end(name)
        if not hit:
            self._tell(name, True)
        if len(self._held) > self.size:
            self._tell(self._held.popitem(last=False)[0], False)
        return hit

    def _tell(self, name: str, stored: bool) -> None:
        self.sequence += 1
        self.events.append((self.sequence, name, stored))
        del self.events[:-EVENTS_KEPT]


@define(eq=False)
class _Sequence:
    priority: int
    arrival: int
    chunks: int
    waiter: asyncio.Future | None = None


@define
class Batch:
    """Requests that an engine works on, in steps that all of them share.

    Attributes
    ----------
    speed : float
        1 for a sound engine, less for a slow one.
    """

    costs: Costs
    capacity: int
    speed: float = 1.0
    hits: int = 0
    misses: int = 0
    cache: PrefixCache = field(init=False)
    _members: list[_Sequence] = field(factory=list)
    _arrivals: int = 0
    _stepping: asyncio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Make the cache."""
        self.cache = PrefixCache(self.costs.prefixes)

    @property
    def load(self) -> float:
        """Requests inside over the capacity."""
        return len(self._members) / self.capacity

    def enter(self, prefix: str, priority: int) -> _Sequence:
        """Put a request in; it waits here while the batch is full."""
        hit = self.cache.use(prefix)
        self.hits += hit
        self.misses += not hit
        self._arrivals += 1
        chunks = 1 if hit else self.costs.chunks
        member = _Sequence(priority, self._arrivals, chunks)
        self._members.append(member)
        return member

    def leave(self, member: _Sequence) -> None:
        """Take a request out."""
        self._members.remove(member)

    async def token(self, member: _Sequence) -> None:
        """Wait for the request's next token."""
        member.waiter = asyncio.get_running_loop().create_future()
        if self._stepping is None or self._stepping.done():
            self._stepping = asyncio.create_task(self._step_while_busy())
        await member.waiter

    async def _step_while_busy(self) -> None:
        while batch := self._next_batch():
            reading = next((m for m in batch if m.chunks), None)
            seconds = self.costs.step + self.costs.sequence * len(batch)
            seconds += self.costs.chunk if reading else 0.0
            await asyncio.sleep(seconds / self.speed)
            if reading:
                reading.chunks -= 1
            for member in batch:
                if not member.chunks and not member.waiter.done():
                    member.waiter.set_result(None)
            # Their readers ask for the next token before the next step begins.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _next_batch(self) -> list[_Sequence]:
        """The most urgent requests, as many as fit; they wait for a token."""
        order = sorted(self._members, key=lambda m: (m.priority, m.arrival))
        inside = order[: self.capacity]
        return [m for m in inside if m.waiter and not m.waiter.cancelled()]
