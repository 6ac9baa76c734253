"""Results of a load run: what callers saw, counted and in percentiles."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from attrs import define, field
from hdrh.histogram import HdrHistogram

from .load_mix import Arrival

__all__ = ["Seen", "fair_shares", "fairness", "percentiles", "summary"]

LONGEST_MICROS = 120_000_000
DIGITS = 3
PERCENTILES = (50, 95, 99)


@define
class Seen:
    """What the caller of one request saw; times in seconds from when it was due."""

    arrival: Arrival
    outcome: str = "unknown"
    reason: str = "NoAnswer"
    first: float | None = None
    gaps: list[float] = field(factory=list)
    end: float = 0.0

    @property
    def good(self) -> bool:
        """Whether it was answered in full and in time."""
        return self.outcome == "answered" and self.end <= self.arrival.kind.deadline


def percentiles(seconds: Iterable[float]) -> dict[str, float]:
    """Percentiles in milliseconds, and how many values there are."""
    histogram = HdrHistogram(1, LONGEST_MICROS, DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(LONGEST_MICROS, int(value * 1e6))))
    shown = {
        f"p{p}": round(histogram.get_value_at_percentile(p) / 1000, 1)
        for p in PERCENTILES
    }
    return shown | {"n": histogram.get_total_count()}


def fair_shares(total: float, demands: dict[str, float]) -> dict[str, float]:
    """Max-min fair shares of a total: nobody is given more than it asks for."""
    shares: dict[str, float] = {}
    left = total
    for place, name in enumerate(sorted(demands, key=demands.get)):
        shares[name] = min(demands[name], left / (len(demands) - place))
        left -= shares[name]
    return shares


def fairness(ratios: Iterable[float]) -> float:
    """Jain's index: 1 when all are alike."""
    values = list(ratios)
    squares = sum(v * v for v in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 0.0


def summary(seen: list[Seen], seconds: float) -> dict:
    """Figures of one run."""
    drafts = [s for s in seen if s.arrival.kind.service == "drafting"]
    ratios = _ratios_to_fair(drafts)
    refused = Counter(f"{s.outcome}:{s.reason}" for s in seen if not s.good)
    smallest = min(ratios, key=lambda name: _count(drafts, name), default="")
    return {
        "sent": len(seen),
        "goodput": round(sum(s.good for s in seen) / seconds, 2),
        "drafting_goodput": round(sum(s.good for s in drafts) / seconds, 2),
        "refused": dict(refused),
        "drafting": _latency(drafts),
        "classes": _by(seen, lambda s: f"{s.arrival.kind.priority} {_label(s)}"),
        "organisations": _by(drafts, lambda s: s.arrival.organisation),
        "refusal_ms": percentiles(s.end for s in seen if s.outcome == "not-run"),
        "fairness": round(fairness(ratios.values()), 4),
        "smallest_to_fair": round(ratios.get(smallest, 0.0), 3),
        "least_to_fair": round(min(ratios.values(), default=0.0), 3),
    }


def _label(seen: Seen) -> str:
    return seen.arrival.kind.label


def _count(seen: list[Seen], organisation: str) -> int:
    return sum(s.arrival.organisation == organisation for s in seen)


def _latency(seen: list[Seen]) -> dict:
    return {
        "good": sum(s.good for s in seen),
        "first_ms": percentiles(s.first for s in seen if s.good),
        "between_ms": percentiles(g for s in seen if s.good for g in s.gaps),
    }


def _by(seen: list[Seen], name_of) -> dict[str, dict]:
    groups: dict[str, list[Seen]] = defaultdict(list)
    for one in seen:
        groups[name_of(one)].append(one)
    return {
        name: {"sent": len(groups[name])} | _latency(groups[name])
        for name in sorted(groups)
    }


def _ratios_to_fair(seen: list[Seen]) -> dict[str, float]:
    """What each organisation got over its max-min fair share within each class."""
    got: Counter = Counter()
    fair: Counter = Counter()
    for priority in {s.arrival.kind.priority for s in seen}:
        members = [s for s in seen if s.arrival.kind.priority == priority]
        demands = Counter(s.arrival.organisation for s in members)
        good = Counter(s.arrival.organisation for s in members if s.good)
        got.update(good)
        fair.update(fair_shares(sum(good.values()), demands))
    return {name: got[name] / share for name, share in fair.items() if share}
