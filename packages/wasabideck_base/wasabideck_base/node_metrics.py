"""Counters and latency histograms of a process on a node, and where they are read."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from functools import partial

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from attrs import define, field

from .events import Events

__all__ = ["NodeMetrics", "listen_for_scrapes"]

# Seconds; the goals of drafts are 0.3 to 0.4, of orders 0.13, and deadlines 0.6 and 6.
BUCKETS = (0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 6.0)
# A scraper that sends nothing for so long is left (seconds).
SCRAPE_SECONDS = 5.0


@define
class NodeMetrics:
    """Counts events; given to ``Events`` as a listener."""

    registry: Registry = field(factory=Registry)
    events: Counter = field(init=False)
    requests: Counter = field(init=False)
    seconds: Histogram = field(init=False)
    first_seconds: Histogram = field(init=False)
    number: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register every metric."""
        reg = {"registry": self.registry}
        self.events = Counter("wasabideck_events_total", "Events, by kind.", **reg)
        self.requests = Counter(
            "wasabideck_requests_total", "Requests ended, by outcome and reason.", **reg
        )
        self.seconds = Histogram(
            "wasabideck_request_seconds",
            "Time from a request's first byte to its end.",
            buckets=BUCKETS,
            **reg,
        )
        self.first_seconds = Histogram(
            "wasabideck_first_event_seconds",
            "Time from a request's first byte to its stream's first event.",
            buckets=BUCKETS,
            **reg,
        )
        self.number = Gauge(
            "wasabideck_declaration_number",
            "Newest declaration, by what it is of.",
            **reg,
        )

    def count(self, kind: str, fields: Mapping[str, object]) -> None:
        """Count one event."""
        self.events.inc({"kind": kind})
        if kind == "request.ended":
            reason = str(fields.get("reason", ""))
            self.requests.inc({"outcome": str(fields["outcome"]), "reason": reason})
            self.seconds.observe({}, fields["seconds"])
            if fields.get("first") is not None:
                self.first_seconds.observe({}, fields["first"])
        elif kind == "declaration.seen":
            self.number.set({"of": str(fields["touched"])}, fields["number"])


async def listen_for_scrapes(
    metrics: NodeMetrics, ip: str, port: int, events: Events
) -> asyncio.Server | None:
    """Serve the metrics on a port; a port that is taken costs the metrics only."""
    try:
        return await asyncio.start_server(partial(_answer, metrics), ip, port)
    except OSError as exc:
        events.emit("metrics.unavailable", port=port, why=str(exc))
        return None


async def _answer(
    metrics: NodeMetrics, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    try:
        async with asyncio.timeout(SCRAPE_SECONDS):
            await reader.readuntil(b"\r\n\r\n")
            body, _ = render(metrics.registry, ["text/plain"])
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\n"
                b"Connection: close\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        # Whoever asked is gone, or asked no HTTP: nobody waits for an answer.
        return
    finally:
        writer.close()
