"""Counters and latency histograms of a process, and their scrape endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from attrs import define, field

from .connection_budget import ConnectionBudget
from .events import Events
from .monitoring_http import MonitoringResponse, serve_monitoring

__all__ = ["VMMetrics", "serve_metrics"]

# Latency targets are 0.3 to 0.4 s for drafts and 0.13 s for orders; deadlines are 0.6 s
# and 6 s.
LATENCY_BUCKETS_SECONDS = (
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    1.0,
    2.0,
    4.0,
    6.0,
)


@define
class VMMetrics:
    """Counts events; registered with ``Events`` as a listener."""

    registry: Registry = field(factory=Registry)
    events: Counter = field(init=False)
    requests: Counter = field(init=False)
    request_seconds: Histogram = field(init=False)
    first_event_seconds: Histogram = field(init=False)
    declaration_number: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register every metric."""
        reg = {"registry": self.registry}
        self.events = Counter("wasabideck_events_total", "Events, by kind.", **reg)
        self.requests = Counter(
            "wasabideck_requests_total", "Requests ended, by outcome and reason.", **reg
        )
        self.request_seconds = Histogram(
            "wasabideck_request_seconds",
            "Time from a request's first byte to its end.",
            buckets=LATENCY_BUCKETS_SECONDS,
            **reg,
        )
        self.first_event_seconds = Histogram(
            "wasabideck_first_event_seconds",
            "Time from a request's first byte to its stream's first event.",
            buckets=LATENCY_BUCKETS_SECONDS,
            **reg,
        )
        self.declaration_number = Gauge(
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
            self.request_seconds.observe({}, fields["seconds"])
            if fields.get("first") is not None:
                self.first_event_seconds.observe({}, fields["first"])
        elif kind == "declaration.seen":
            self.declaration_number.set(
                {"of": str(fields["touched"])}, fields["number"]
            )


async def serve_metrics(
    metrics: VMMetrics, ip: str, port: int, events: Events, budget: ConnectionBudget
) -> asyncio.Server | None:
    """Serve the metrics on a port; return None if the port is in use."""

    def respond(path: str, accept: str) -> MonitoringResponse:
        body, _ = render(metrics.registry, ["text/plain"])
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        return MonitoringResponse(body, headers=headers)

    try:
        return await serve_monitoring(respond, ip, port, budget)
    except OSError as exc:
        events.emit("metrics.unavailable", port=port, why=str(exc))
        return None
