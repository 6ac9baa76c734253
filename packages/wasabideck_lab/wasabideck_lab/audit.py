"""Judges a scenario from the stand-ins' own books."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

from .launcher import Lab
from .traffic import Result, subject_of

__all__ = ["Audit", "audit"]


@frozen
class Audit:
    """Counts of one scenario; the last five must be 0.

    Attributes
    ----------
    not_whole : int
        Answers that were called answered and were not the whole own answer.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    reasons: dict[str, int]
    run_twice: int
    falsely_not_run: int
    reverted: int
    mixed: int
    not_whole: int

    @property
    def clean(self) -> bool:
        """Whether nothing that must never happen has happened."""
        wrong = (self.run_twice, self.falsely_not_run, self.reverted)
        return not any((*wrong, self.mixed, self.not_whole))


def audit(lab: Lab, results: Iterable[Result]) -> Audit:
    """Compare what callers were told with what the servers did."""
    results = list(results)
    outcomes = Counter(r.outcome for r in results)
    refused = (r for r in results if r.outcome != "answered")
    runs = _runs(lab)
    once = [r for r in results if r.route == "print"]
    return Audit(
        sent=len(results),
        answered=outcomes["answered"],
        not_run=outcomes["not-run"],
        unknown=outcomes["unknown"],
        reasons=dict(Counter(f"{r.outcome}:{r.reason}" for r in refused)),
        run_twice=sum(runs[r.key] > 1 for r in once),
        falsely_not_run=sum(runs[r.key] > 0 for r in once if r.outcome == "not-run"),
        reverted=sum(_reversals(engine.history) for engine in lab.engines.values()),
        mixed=_mixed(lab, results),
        not_whole=sum(not _whole(lab, r) for r in results if r.outcome == "answered"),
    )


def _runs(lab: Lab) -> Counter:
    runs: Counter = Counter()
    for plain in lab.plains.values():
        runs.update(plain.runs)
    return runs


def _reversals(history: list[int]) -> int:
    pairs = zip(history, history[1:], strict=False)
    return sum(later < earlier for earlier, later in pairs)


def _mixed(lab: Lab, results: list[Result]) -> int:
    """Partial or mixed models loaded, and answers made by more than one version."""
    loaded = sum(engine.mixed for engine in lab.engines.values())
    drafts = (r for r in results if r.service == "drafting")
    return loaded + sum(len(_versions(r)) > 1 for r in drafts)


def _versions(result: Result) -> set[str]:
    words = (line["text"].split("-") for line in result.lines if "text" in line)
    return {word[1] for word in words}


def _whole(lab: Lab, result: Result) -> bool:
    text = "".join(line.get("text", "") for line in result.lines)
    if result.service != "drafting":
        return f'"{result.key}"' in text
    tokens = next(iter(lab.engines.values())).tokens
    subject = subject_of(result.body)
    wanted = "".join(f"{subject}-{result.version}-{i} " for i in range(tokens))
    return text == wanted
