"""Reads the engine's reports: its load and the prompt prefixes in its cache."""

from __future__ import annotations

import time
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.http_responses import PlatformUnavailable, parse_response
from wasabideck_base.server_clients import ModelEngineClient
from wasabideck_policy.cache_affinity import PrefixCacheView

__all__ = ["LOAD_POLL_INTERVAL_SECONDS", "LoadReader"]

LOAD_POLL_INTERVAL_SECONDS = 0.5


@define
class LoadReader:
    """Keeps the engine's last reports.

    Attributes
    ----------
    engine : ModelEngineClient or None
        None if the server reports nothing.
    load : float
        From 0 (idle) to 1 (full); more when requests wait inside the engine.
    reported_at : float
        Wall time of the load report, seconds.
    """

    engine: ModelEngineClient | None
    load: float = 0.0
    reported_at: float = 0.0
    cache: PrefixCacheView = field(factory=PrefixCacheView)
    clock: Callable[[], float] = time.monotonic

    async def read(self) -> None:
        """Read the reports; keep the last ones when the engine does not respond."""
        if self.engine is None:
            return
        try:
            report = await self.engine.read_load()
            events = await self.engine.read_cache_events(self.cache.sequence)
            url = self.engine.http.base_url
            self.load, self.reported_at = parse_response(url, report, _parse_load)
            parse_response(
                url, events, lambda body: self.cache.apply(body, self.clock())
            )
        except PlatformUnavailable:
            return

    def cached_prefixes(self, now: float) -> tuple[list[str], int]:
        """Return the prefixes assumed to be cached, and the number of their set."""
        held = self.cache.cached_prefixes(now)
        return held, self.cache.changes


def _parse_load(report: dict) -> tuple[float, float]:
    return float(report["load"]), float(report["at"])
