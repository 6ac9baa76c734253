"""Faults that can be switched on in a stand-in."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web
from attrs import define, field

__all__ = ["FAULTS", "FaultInjector"]

FAULTS = {
    "down": "any but plain: every request gets the response 503",
    "slow": "any: seconds of delay before every response",
    "lose_answer": "table: fraction of writes that are applied, but get no response",
    "apply_late": "table: seconds after which a write without a response is applied",
    "lag": "members: age of the list in seconds",
    "corrupt": "weights, agents' chunks: fraction of chunks sent with a corrupt byte",
    "stall": "weights: fraction of chunk reads that never end",
    "crash_on": "engine, plain: a request body with this text crashes the server",
    "order_late": "engine: seconds until an order, which gets no response, is executed",
    "lose_order": "engine: fraction of orders that are executed, but get no response",
    "ignore_fence": "engine: 1 executes orders with outdated fencing numbers",
    "load_lag": "engine: age of the load report in seconds",
    "fail_after": "plain: fraction of calls that run and then return 500",
    "cache_gaps": "engine: fraction of cache events that are never sent",
    "silent": "engine, plain: requests run and never get a response",
}


@define
class FaultInjector:
    """Faults of one stand-in.

    Attributes
    ----------
    active : dict
        Values of the faults that are on, by name.
    """

    rng: random.Random
    active: dict[str, float | str] = field(factory=dict)

    def value(self, name: str) -> float:
        """Return a fault's numeric value, or 0 if it is off."""
        return float(self.active.get(name, 0.0))

    def text(self, name: str) -> str:
        """Return a fault's text, or an empty string if it is off."""
        return str(self.active.get(name, ""))

    def occurs(self, name: str) -> bool:
        """Whether a fault that affects a fraction of the cases occurs now."""
        return name in self.active and self.rng.random() < self.value(name)

    async def apply_delay_or_refuse(self) -> None:
        """Apply the faults ``slow`` and ``down``: wait, or raise the response 503."""
        if self.value("slow"):
            await asyncio.sleep(self.value("slow"))
        if self.value("down"):
            raise web.HTTPServiceUnavailable()
