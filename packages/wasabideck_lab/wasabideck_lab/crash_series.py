"""Compares rules that quarantine prompt parts under simulated crashes."""

from __future__ import annotations

from collections.abc import Callable, Container, Iterator, Mapping
from contextlib import contextmanager
from statistics import mean

from attrs import evolve
from wasabideck_policy import crash_explanation, part_quarantine
from wasabideck_policy.suspect_parts import SuspectPart

from .crash_model import BadPart, CrashSeries, Outage, simulate_crashes

__all__ = ["RULES", "SERIES", "crash_series", "rule_in_force"]

_DEEP = BadPart("bad", ("first-0", "*", "bad"))
_OTHER = BadPart("worse", ("first-1", "*", "worse"))
_LONE_CRASHES = tuple(Outage(at + 0.5, 0.06) for at in range(2, 40, 2))
_FLAPS = tuple(Outage(10 + at / 2) for at in range(30))
# One of the servers every 0.3 s on average.
_ROLLING = tuple(Outage(10 + at * 0.3, 1 / 16) for at in range(60))

SERIES: Mapping[str, CrashSeries] = {
    "bad": CrashSeries(bad=[_DEEP]),
    "bad-1-per-s": CrashSeries(bad=[evolve(_DEEP, rate=1.0)]),
    "bad-20-per-s": CrashSeries(bad=[evolve(_DEEP, rate=20.0)]),
    "bad-waves": CrashSeries(
        bad=[evolve(_DEEP, waves=((8, 11), (18, 21), (30, 33), (36, 40)))]
    ),
    "bad-bursts": CrashSeries(
        bad=[evolve(_DEEP, rate=20, waves=[(t, t + 0.3) for t in range(8, 40, 4)])]
    ),
    "small": CrashSeries(4, 8, 16, 40.0, bad=[_DEEP]),
    "large": CrashSeries(36, 78, 8, 150.0, bad=[_DEEP]),
    "large-20-per-s": CrashSeries(36, 78, 8, 150.0, bad=[evolve(_DEEP, rate=20.0)]),
    "two-bad": CrashSeries(bad=[_DEEP, _OTHER]),
    "two-bad-one-first": CrashSeries(
        bad=[_DEEP, evolve(_OTHER, prompt=("first-0", "*", "worse"))]
    ),
    "first-bad": CrashSeries(bad=[BadPart("bad", ("bad", "*"))]),
    "bad-before-shared": CrashSeries(
        bad=[evolve(_DEEP, prompt=("first-0", "bad", "*"))]
    ),
    "turns-bad": CrashSeries(
        bad=[BadPart("some-0-3", ("first-0", "some-0-3"), 3, ((0, 40),), 12.0)]
    ),
    "common-turns-bad": CrashSeries(
        bad=[BadPart("common-0-1", ("first-0", "common-0-1"), 1, ((0, 40),), 12.0)]
    ),
    "bad-and-lone": CrashSeries(bad=[_DEEP], outages=_LONE_CRASHES),
    "bad-in-outage": CrashSeries(
        bad=[_DEEP], outages=(Outage(8.5), Outage(9.5), Outage(14), Outage(15))
    ),
    "bad-and-flapping": CrashSeries(bad=[_DEEP], outages=_FLAPS),
    "outage-by-bad": CrashSeries(
        servers=8, bad=[evolve(_DEEP, rate=20.0), evolve(_OTHER, rate=20.0)]
    ),
    "lone-crashes": CrashSeries(outages=_LONE_CRASHES),
    "partial-outage": CrashSeries(outages=(Outage(10, 0.15), Outage(20, 0.15))),
    "outage": CrashSeries(outages=(Outage(10), Outage(20))),
    "flapping": CrashSeries(outages=_FLAPS),
    "rolling": CrashSeries(outages=_ROLLING),
    "rolling-small": CrashSeries(
        4, 8, 16, 40.0, outages=[evolve(o, ratio=1 / 8) for o in _ROLLING]
    ),
    "many-parts": CrashSeries(
        rare_parts=5000, requests_per_second=120, bad=[_DEEP], outages=_ROLLING
    ),
    "restarted-entry": CrashSeries(bad=[_DEEP], restarts=(14.0, 20.0)),
    "unreachable-entry": CrashSeries(bad=[_DEEP], unreachable=(7.0, 25.0)),
}

Chooser = Callable[[Mapping[str, SuspectPart], Container[str]], set[str]]


def _by_rounds(limit: int) -> Chooser:
    """Choose parts by their rounds of crashes alone, refuted ones as well."""

    def choose(
        suspects: Mapping[str, SuspectPart], answered: Container[str]
    ) -> set[str]:
        return {part for part, s in suspects.items() if s.last_round >= limit}

    return choose


def _by_count(limit: int) -> Chooser:
    """Choose parts by their crashes that are not refuted."""

    def choose(
        suspects: Mapping[str, SuspectPart], answered: Container[str]
    ) -> set[str]:
        return {part for part, s in suspects.items() if len(s.crashes) >= limit}

    return choose


def _by_unexplained(limit: int) -> Chooser:
    """Choose the part with the most crashes, and ignore what it explains."""

    def choose(
        suspects: Mapping[str, SuspectPart], answered: Container[str]
    ) -> set[str]:
        chosen: set[str] = set()
        explained: set[str] = set()
        while True:
            counts = {
                part: (
                    sum(crash not in explained for crash in suspect.crashes),
                    suspect.depth,
                    part,
                )
                for part, suspect in suspects.items()
            }
            best = max(counts, key=counts.__getitem__, default=None)
            if best is None or counts[best][0] < limit:
                return chosen
            chosen.add(best)
            explained |= suspects[best].crashes.keys()

    return choose


def _replace_choice(choose: Chooser) -> dict[str, Chooser]:
    return {"smallest_explanation": choose}


# Attributes of the policy that are replaced. The keys are printed.
RULES: Mapping[str, Mapping[str, object]] = {
    "product": {},
    "rounds-2": {"MIN_ROUNDS": 2},
    "rounds-3": {"MIN_ROUNDS_OF_MANY": 3},
    "rounds-4": {"MIN_ROUNDS": 4, "MIN_ROUNDS_OF_MANY": 4},
    "no-probes": {"PROBE_SECONDS": 1e9, "LATE_PROBE_SECONDS": 1e9},
    **{f"all-rounds-{n}": _replace_choice(_by_rounds(n)) for n in (2, 3, 5)},
    **{f"refuted-{n}": _replace_choice(_by_count(n)) for n in (2, 3, 5)},
    **{f"unexplained-{n}": _replace_choice(_by_unexplained(n)) for n in (3, 5)},
}


@contextmanager
def rule_in_force(name: str) -> Iterator[None]:
    """Replace the product's rule by another."""
    modules = (part_quarantine, crash_explanation)
    changes = [
        (module, key, value, getattr(module, key))
        for key, value in RULES[name].items()
        for module in modules
        if hasattr(module, key)
    ]
    for module, key, value, _ in changes:
        setattr(module, key, value)
    try:
        yield
    finally:
        for module, key, _, original in changes:
            setattr(module, key, original)


def crash_series(
    seeds: int = 3,
    rule: str = "all",
    series: str = "all",
    suspect_seconds: float = 0.5,
    sound_at_end: bool = True,
) -> None:
    """Simulate crashes by parts of prompts under each rule and print the outcomes.

    Parameters
    ----------
    seeds : int
        Number of seeds with which each series is simulated.
    rule, series : str
        Name of one rule or series, or ``all``.
    suspect_seconds : float
        Time after its first event for which a request is a suspect of a crash.
    sound_at_end : bool
        Whether an answer refutes evidence only when it ends.
    """
    columns = "crashes missed refused begun wrong seconds at_end".split()
    print(f"{'series':<20}{'rule':<15}", *(f"{c:>8}" for c in columns))
    for series_name in SERIES if series == "all" else [series]:
        for rule_name in RULES if rule == "all" else [rule]:
            changed = evolve(
                SERIES[series_name],
                suspect_seconds=suspect_seconds,
                sound_at_end=sound_at_end,
            )
            with rule_in_force(rule_name):
                results = [simulate_crashes(changed, seed) for seed in range(seeds)]
            cells = (
                f"{max(r.crashes for r in results):>8}",
                f"{max(r.missed for r in results):>8}",
                f"{mean(r.refused for r in results):>8.3f}",
                f"{min(r.begun for r in results):>8.2f}",
                f"{max(r.wrong_parts for r in results):>8}",
                f"{max(r.wrong_seconds for r in results):>8.2f}",
                f"{max(r.wrong_at_end for r in results):>8}",
            )
            print(f"{series_name:<20}{rule_name:<15}", *cells, flush=True)
