"""Cost model of the engine stand-in: one batch that advances in common steps.

The model includes the costs that make routing and admission limits matter: a step takes
longer with more requests in the batch, prompts are read in chunks that share a budget,
and a prompt prefix that is still in the limited cache isn't read again.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict

from attrs import define, field, frozen

__all__ = ["Batch", "Costs", "PREFIX_BYTES", "PrefixCache"]

PREFIX_BYTES = 64
MAX_KEPT_EVENTS = 512


@frozen
class Costs:
    """Cost parameters of an engine.

    Attributes
    ----------
    step_seconds : float
        Duration of a step with an empty batch.
    sequence_seconds : float
        Time that each request adds to a step.
    chunk_seconds : float
        Time that one prompt chunk adds to a step. One chunk is read per step.
    prompt_chunks : int
        Chunks of a prompt whose prefix isn't cached. A prompt with a cached prefix has
        1 chunk.
    max_prefixes : int
        Maximum number of prefixes in the cache.
    """

    step_seconds: float = 0.030
    sequence_seconds: float = 0.002
    chunk_seconds: float = 0.020
    prompt_chunks: int = 4
    max_prefixes: int = 24

    def max_throughput(
        self, capacity: int, tokens: float, prompt_chunks: float
    ) -> float:
        """Return the requests per second that a fully loaded engine completes."""
        prompt_limit = 1 / prompt_chunks
        batch_limit = capacity / (tokens + prompt_chunks)
        reading_fraction = min(1.0, batch_limit / prompt_limit)
        seconds = (
            self.step_seconds
            + self.sequence_seconds * capacity
            + self.chunk_seconds * reading_fraction
        )
        return min(prompt_limit, batch_limit) / seconds


@define
class PrefixCache:
    """The prefixes cached by an engine, and the events of additions and evictions."""

    max_prefixes: int
    events: list[tuple[int, str, bool]] = field(factory=list)
    last_event_number: int = 0
    _cached: OrderedDict[str, None] = field(factory=OrderedDict)

    def access(self, name: str) -> bool:
        """Add a prefix to the cache; return whether it was cached before."""
        hit = name in self._cached
        self._cached[name] = None
        self._cached.move_to_end(name)
        if not hit:
            self._record_event(name, True)
        if len(self._cached) > self.max_prefixes:
            self._record_event(self._cached.popitem(last=False)[0], False)
        return hit

    def _record_event(self, name: str, stored: bool) -> None:
        self.last_event_number += 1
        self.events.append((self.last_event_number, name, stored))
        del self.events[:-MAX_KEPT_EVENTS]


@define(eq=False)
class _Sequence:
    priority: int
    arrival: int
    unread_chunks: int
    waiter: asyncio.Future | None = None


@define
class Batch:
    """The requests in an engine; the running ones advance in common steps.

    Attributes
    ----------
    speed : float
        1 for an engine of normal speed, less for a slow engine.
    """

    costs: Costs
    capacity: int
    speed: float = 1.0
    hits: int = 0
    misses: int = 0
    cache: PrefixCache = field(init=False)
    _requests: list[_Sequence] = field(factory=list)
    _last_arrival: int = 0
    _step_task: asyncio.Task | None = None

    def __attrs_post_init__(self) -> None:
        """Create the prefix cache."""
        self.cache = PrefixCache(self.costs.max_prefixes)

    @property
    def load(self) -> float:
        """Return the number of requests in the engine over its capacity."""
        return len(self._requests) / self.capacity

    def add(self, prefix: str, priority: int) -> _Sequence:
        """Add a request; it waits in the engine while the batch is full."""
        hit = self.cache.access(prefix)
        self.hits += hit
        self.misses += not hit
        self._last_arrival += 1
        chunks = 1 if hit else self.costs.prompt_chunks
        request = _Sequence(priority, self._last_arrival, chunks)
        self._requests.append(request)
        return request

    def remove(self, request: _Sequence) -> None:
        """Remove a request."""
        self._requests.remove(request)

    async def next_token(self, request: _Sequence) -> None:
        """Wait for the request's next token."""
        request.waiter = asyncio.get_running_loop().create_future()
        if self._step_task is None or self._step_task.done():
            self._step_task = asyncio.create_task(self._step_while_busy())
        await request.waiter

    async def _step_while_busy(self) -> None:
        while batch := self._next_batch():
            reading = next((m for m in batch if m.unread_chunks), None)
            seconds = self.costs.step_seconds + self.costs.sequence_seconds * len(batch)
            seconds += self.costs.chunk_seconds if reading else 0.0
            await asyncio.sleep(seconds / self.speed)
            if reading:
                reading.unread_chunks -= 1
            for request in batch:
                if not request.unread_chunks and not request.waiter.done():
                    request.waiter.set_result(None)
            # Lets the readers of these tokens request their next token before the next
            # step.
            await asyncio.sleep(0)
            await asyncio.sleep(0)

    def _next_batch(self) -> list[_Sequence]:
        """Return those of the most urgent requests that are waiting for a token.

        At most ``capacity`` requests are in the batch.
        """
        order = sorted(self._requests, key=lambda m: (m.priority, m.arrival))
        batch = order[: self.capacity]
        return [m for m in batch if m.waiter and not m.waiter.cancelled()]
