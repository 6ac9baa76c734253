"""What the engine reports: its load, and which prompt prefixes it holds."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_answers import PlatformUnavailable, understood
from wasabideck_base.servers import Engine
from wasabideck_policy.affinity import CacheView

__all__ = ["LOAD_SECONDS", "LoadReader"]

LOAD_SECONDS = 0.5


@define
class LoadReader:
    """Keeps the engine's last reports.

    Attributes
    ----------
    engine : Engine or None
        None where the server reports nothing.
    value : float
        0 idle to 1 full; more when requests wait inside the engine.
    at : float
        Wall time of the report, seconds.
    """

    engine: Engine | None
    value: float = 0.0
    at: float = 0.0
    cache: CacheView = field(factory=CacheView)
    clock: Callable[[], float] = time.monotonic

    async def read(self) -> None:
        """Read the reports; the last ones stand when the engine is silent."""
        if self.engine is None:
            return
        try:
            report = await self.engine.load()
            events = await self.engine.cache_events(self.cache.sequence)
            url = self.engine.http.base
            self.value, self.at = understood(url, report, _numbers)
            understood(url, events, lambda told: self.cache.apply(told, self.clock()))
        except PlatformUnavailable:
            return

    def prefixes(self, now: float) -> tuple[list[str], int]:
        """Prefixes that the engine is believed to hold, and their set's number."""
        held = self.cache.held(now)
        return held, self.cache.changes


def _numbers(report: dict) -> tuple[float, float]:
    return float(report["load"]), float(report["at"])
