"""Results of a load run as seen by callers: counts and latency percentiles."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import define, field
from hdrh.histogram import HdrHistogram

from .load_workload import Arrival

__all__ = ["RequestRecord", "fair_shares", "jains_index", "percentiles", "summarize"]

MAX_LATENCY_MICROS = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)


@define
class RequestRecord:
    """One request as seen by its caller; times are in seconds since it was due."""

    arrival: Arrival
    outcome: str = "unknown"
    reason: str = "NoAnswer"
    first_seconds: float | None = None
    gap_seconds: list[float] = field(factory=list)
    total_seconds: float = 0.0

    @property
    def in_time(self) -> bool:
        """Whether the request was answered in full before its deadline."""
        return (
            self.outcome == "answered"
            and self.total_seconds <= self.arrival.kind.deadline_seconds
        )


def percentiles(seconds: Iterable[float]) -> dict[str, float]:
    """Return the percentiles in milliseconds, and the number of values."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(MAX_LATENCY_MICROS, int(value * 1e6))))
    figures = {
        f"p{p}": round(histogram.get_value_at_percentile(p) / 1000, 1)
        for p in PERCENTILES
    }
    return figures | {"n": histogram.get_total_count()}


def fair_shares(total: float, demands: dict[str, float]) -> dict[str, float]:
    """Return the max-min fair shares of a total; no share exceeds its demand."""
    shares: dict[str, float] = {}
    remaining = total
    for rank, name in enumerate(sorted(demands, key=demands.get)):
        shares[name] = min(demands[name], remaining / (len(demands) - rank))
        remaining -= shares[name]
    return shares


def jains_index(ratios: Iterable[float]) -> float:
    """Return Jain's fairness index, which is 1 when all values are equal."""
    values = list(ratios)
    squares = sum(v * v for v in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def summarize(records: list[RequestRecord], seconds: float) -> dict:
    """Return the figures of one run as a row."""
    drafting = [s for s in records if s.arrival.kind.service == "drafting"]
    ratios = _fair_share_ratios(drafting)
    refusals = Counter(f"{s.outcome}:{s.reason}" for s in records if not s.in_time)
    smallest = min(ratios, key=lambda name: _count_requests(drafting, name), default="")
    return {
        "sent": len(records),
        "goodput": round(sum(s.in_time for s in records) / seconds, 2),
        "drafting_goodput": round(sum(s.in_time for s in drafting) / seconds, 2),
        "refused": dict(refusals),
        "drafting": _latency_figures(drafting),
        "classes": _figures_by_group(
            records, lambda s: f"{s.arrival.kind.priority} {_label_of(s)}"
        ),
        "organisations": _figures_by_group(drafting, lambda s: s.arrival.organisation),
        "refusal_ms": percentiles(
            s.total_seconds for s in records if s.outcome == "not-run"
        ),
        "fairness": round(jains_index(ratios.values()), 4),
        "smallest_to_fair": round(ratios.get(smallest, 0.0), 3),
        "least_to_fair": round(min(ratios.values(), default=0.0), 3),
    }


def _label_of(record: RequestRecord) -> str:
    return record.arrival.kind.label


def _count_requests(records: list[RequestRecord], organisation: str) -> int:
    return sum(s.arrival.organisation == organisation for s in records)


def _latency_figures(records: list[RequestRecord]) -> dict:
    return {
        "good": sum(s.in_time for s in records),
        "first_ms": percentiles(s.first_seconds for s in records if s.in_time),
        "between_ms": percentiles(
            g for s in records if s.in_time for g in s.gap_seconds
        ),
    }


def _figures_by_group(records: list[RequestRecord], name_of) -> dict[str, dict]:
    groups: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        groups[name_of(record)].append(record)
    return {
        name: {"sent": len(groups[name])} | _latency_figures(groups[name])
        for name in sorted(groups)
    }


def _fair_share_ratios(records: list[RequestRecord]) -> dict[str, float]:
    """Return each organisation's answered requests over its max-min fair share.

    The fair shares are computed separately within each priority class.
    """
    answered: Counter = Counter()
    fair_total: Counter = Counter()
    for priority in {s.arrival.kind.priority for s in records}:
        of_class = [s for s in records if s.arrival.kind.priority == priority]
        demands = Counter(s.arrival.organisation for s in of_class)
        good = Counter(s.arrival.organisation for s in of_class if s.in_time)
        answered.update(good)
        fair_total.update(fair_shares(sum(good.values()), demands))
    return {name: answered[name] / share for name, share in fair_total.items() if share}
