"""Switchable faults of a stand-in."""

from __future__ import annotations

import asyncio
import random

from aiohttp import web
from attrs import define, field

__all__ = ["FAULTS", "Faults"]

FAULTS = {
    "down": "any but plain: every request is answered 503",
    "slow": "any: seconds added before every answer",
    "lose_answer": "table: share of writes that take effect, then hang up",
    "apply_late": "table: seconds after which a hung-up write takes effect",
    "lag": "members: seconds by which the list is old",
    "corrupt": "weights, agents' chunks: share of chunks sent with a flipped byte",
    "stall": "weights: share of chunk reads that never end",
    "crash_on": "engine, plain: a body that holds this text kills the server",
    "order_late": "engine: seconds after which an order takes effect, unanswered",
    "lose_order": "engine: share of orders that take effect, then hang up",
    "ignore_fence": "engine: 1 carries out orders with old fencing numbers",
    "load_lag": "engine: seconds by which the load report is old",
    "fail_after": "plain: share of calls that run, then answer 500",
    "cache_gaps": "engine: share of cache events that are never told",
    "silent": "engine, plain: requests run and are never answered",
}


@define
class Faults:
    """Faults of one stand-in, by name; absent means off."""

    rng: random.Random
    active: dict[str, float | str] = field(factory=dict)

    def value(self, name: str) -> float:
        """A fault's number; 0 when it is off."""
        return float(self.active.get(name, 0.0))

    def text(self, name: str) -> str:
        """A fault's text; empty when it is off."""
        return str(self.active.get(name, ""))

    def strikes(self, name: str) -> bool:
        """Whether a fault that is a share of the cases strikes now."""
        return name in self.active and self.rng.random() < self.value(name)

    async def delay(self) -> None:
        """Wait as long as ``slow`` says, and refuse when ``down``."""
        if self.value("slow"):
            await asyncio.sleep(self.value("slow"))
        if self.value("down"):
            raise web.HTTPServiceUnavailable()
