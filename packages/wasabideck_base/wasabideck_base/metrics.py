"""Metrics of both binaries in the Prometheus format."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Registry, render
from attrs import define, field

__all__ = ["Metrics", "render_metrics"]

ORIGIN = "origin"
PEER = "peer"
MAX_TRACKED_REQUESTS = 10_000


@define
class Metrics:
    """Counters and gauges of one process; metric names include the unit."""

    registry: Registry = field(factory=Registry)
    requests: Counter = field(init=False)
    retries: Counter = field(init=False)
    transferred: Counter = field(init=False)
    weight_link_bytes: Counter = field(init=False)
    ticket_in_force: Gauge = field(init=False)
    in_progress: Gauge = field(init=False)
    claims: Counter = field(init=False)
    table_failures: Counter = field(init=False)
    ticket_seen: Gauge = field(init=False)
    events: Counter = field(init=False)
    events_lost: Gauge = field(init=False)
    _newest_ticket: int = 0
    _attempted_requests: dict[str, None] = field(factory=dict)

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
        self.weight_link_bytes = Counter(
            "wasabideck_weight_link_bytes_total", "Weight bytes, by direction.", **reg
        )
        self.ticket_in_force = Gauge(
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
        """Count an event; registered with ``Events`` as a listener."""
        self.events.inc({"kind": kind})
        if counter := _COUNTERS_BY_KIND.get(kind):
            counter(self, fields)

    def count_attempt(self, fields: Mapping[str, object]) -> None:
        """Count an attempt as a retry unless it is the first of its request."""
        request = str(fields["request"])
        if request in self._attempted_requests:
            self.retries.inc({})
        self._attempted_requests[request] = None
        # A request whose caller disconnected has no final event.
        while len(self._attempted_requests) > MAX_TRACKED_REQUESTS:
            del self._attempted_requests[next(iter(self._attempted_requests))]

    def forget_request(self, fields: Mapping[str, object]) -> None:
        """Remove a finished request from the requests with an attempt."""
        self._attempted_requests.pop(str(fields["request"]), None)

    def count_transferred_bytes(self, fields: Mapping[str, object]) -> None:
        """Count a transfer's bytes; peers share a label because there are many VMs."""
        for source, size in fields["sources"].items():
            kind = ORIGIN if source == ORIGIN else PEER
            self.transferred.add({"source": kind}, size)

    def record_ticket(self, fields: Mapping[str, object]) -> None:
        """Record the newest ticket that the process has learned of."""
        self._newest_ticket = max(self._newest_ticket, int(fields["ticket"]))
        self.ticket_seen.set({}, self._newest_ticket)


_COUNTERS_BY_KIND: dict[str, Callable[[Metrics, Mapping[str, object]], None]] = {
    "attempt.sent": Metrics.count_attempt,
    "request.final": Metrics.forget_request,
    "transfer.verified": Metrics.count_transferred_bytes,
    "ticket.seen": Metrics.record_ticket,
    "claim.taken": lambda metrics, fields: metrics.claims.inc(
        {"verdict": fields["action"]}
    ),
    "table.unavailable": lambda metrics, fields: metrics.table_failures.inc({}),
    "claim.unrecorded": lambda metrics, fields: metrics.table_failures.inc({}),
    "claim.unsettled": lambda metrics, fields: metrics.table_failures.inc({}),
}


def render_metrics(metrics: Metrics, accept: str) -> tuple[bytes, dict[str, str]]:
    """Return the body and headers of the response to a scrape."""
    return render(metrics.registry, [accept or "text/plain"])
