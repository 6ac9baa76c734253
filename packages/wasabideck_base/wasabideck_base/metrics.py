"""Metrics that both binaries publish, as Prometheus reads them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Registry, render
from attrs import define, field

__all__ = ["Metrics", "render_metrics"]

ORIGIN = "origin"
PEER = "peer"
MOST_TRIED = 10_000


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
    claims: Counter = field(init=False)
    table_failures: Counter = field(init=False)
    ticket_seen: Gauge = field(init=False)
    events: Counter = field(init=False)
    events_lost: Gauge = field(init=False)
    _newest: int = 0
    _tried: dict[str, None] = field(factory=dict)

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
        self.claims = Counter(
            "wasabideck_claims_total", "Claims of calls, by verdict.", **reg
        )
        self.table_failures = Counter(
            "wasabideck_table_failures_total", "Failed uses of the table.", **reg
        )
        self.ticket_seen = Gauge(
            "wasabideck_ticket_seen", "Newest ticket heard of.", **reg
        )
        self.events = Counter("wasabideck_events_total", "Events, by kind.", **reg)
        self.events_lost = Gauge(
            "wasabideck_events_lost", "Events that could not be written.", **reg
        )

    def count(self, kind: str, fields: Mapping[str, object]) -> None:
        """Count an event; given to ``Events`` as a listener."""
        self.events.inc({"kind": kind})
        if counter := _COUNTERS.get(kind):
            counter(self, fields)

    def count_attempt(self, fields: Mapping[str, object]) -> None:
        """Count an attempt as a retry unless it is its request's first."""
        request = str(fields["request"])
        if request in self._tried:
            self.retries.inc({})
        self._tried[request] = None
        # A caller that went away leaves no final event behind.
        while len(self._tried) > MOST_TRIED:
            del self._tried[next(iter(self._tried))]

    def forget_request(self, fields: Mapping[str, object]) -> None:
        """Forget a request that has ended."""
        self._tried.pop(str(fields["request"]), None)

    def count_sources(self, fields: Mapping[str, object]) -> None:
        """Count a transfer's bytes; one label for all peers, as VMs are many."""
        for source, size in fields["sources"].items():
            kind = ORIGIN if source == ORIGIN else PEER
            self.transferred.add({"source": kind}, size)

    def see_ticket(self, fields: Mapping[str, object]) -> None:
        """Keep the newest ticket that was heard of."""
        self._newest = max(self._newest, int(fields["ticket"]))
        self.ticket_seen.set({}, self._newest)


_COUNTERS: dict[str, Callable[[Metrics, Mapping[str, object]], None]] = {
    "attempt.sent": Metrics.count_attempt,
    "request.final": Metrics.forget_request,
    "transfer.verified": Metrics.count_sources,
    "ticket.seen": Metrics.see_ticket,
    "claim.taken": lambda metrics, fields: metrics.claims.inc(
        {"verdict": fields["action"]}
    ),
    "table.unavailable": lambda metrics, fields: metrics.table_failures.inc({}),
    "claim.unrecorded": lambda metrics, fields: metrics.table_failures.inc({}),
    "claim.unsettled": lambda metrics, fields: metrics.table_failures.inc({}),
}


def render_metrics(metrics: Metrics, accept: str) -> tuple[bytes, dict[str, str]]:
    """Body and headers of a scrape's answer."""
    return render(metrics.registry, [accept or "text/plain"])
