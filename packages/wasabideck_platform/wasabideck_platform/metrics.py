"""Metrics that both binaries publish, as Prometheus reads them."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Registry, render
from attrs import define, field

__all__ = ["Metrics", "render_metrics"]


@define
class Metrics:
    """Counters and gauges of one process; units are part of their names."""

    registry: Registry = field(factory=Registry)
    requests: Counter = field(init=False)
    retries: Counter = field(init=False)
    transferred: Counter = field(init=False)
    link: Counter = field(init=False)
    ticket: Gauge = field(init=False)
    in_progress: Gauge = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register every metric."""
        reg = {"registry": self.registry}
        self.requests = Counter(
            "wasabideck_requests_total", "Requests ended, by outcome.", **reg
        )
        self.retries = Counter(
            "wasabideck_retries_total", "Attempts after the first.", **reg
        )
        self.transferred = Counter(
            "wasabideck_transferred_bytes_total", "Weight bytes, by source.", **reg
        )
        self.link = Counter(
            "wasabideck_weight_link_bytes_total", "Weight bytes, by direction.", **reg
        )
        self.ticket = Gauge(
            "wasabideck_ticket_in_force", "Newest ticket in force here.", **reg
        )
        self.in_progress = Gauge(
            "wasabideck_requests_in_progress", "Requests in progress.", **reg
        )


def render_metrics(metrics: Metrics, accept: str) -> tuple[bytes, dict[str, str]]:
    """Body and headers of a scrape's answer."""
    return render(metrics.registry, [accept or "text/plain"])
