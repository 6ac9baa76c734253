"""Audits a fault scenario against the records that the stand-ins keep."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from attrs import frozen

from .caller_traffic import RequestResult, response_subject
from .lab_fleet import LabFleet

__all__ = ["Audit", "audit"]


@frozen
class Audit:
    """Counts of one scenario. The last five count violations and must be 0.

    Attributes
    ----------
    sent, answered, not_run, unknown : int
        Requests sent, and how many of them had each outcome.
    reasons : dict of str to int
        Requests that were not answered, by outcome and reason.
    run_twice : int
        Non-repeatable requests that plain services ran more than once.
    falsely_not_run : int
        Non-repeatable requests reported as not run that a plain service did run.
    reverted : int
        Orders that an engine carried out after one with a higher fencing number.
    mixed : int
        Partial or mixed models that engines loaded, and responses to which more
        than one version contributed.
    not_whole : int
        Responses with the outcome "answered" that were incomplete, or another
        request's.
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
        """Whether there were no violations."""
        violations = (self.run_twice, self.falsely_not_run, self.reverted)
        return not any((*violations, self.mixed, self.not_whole))


def audit(lab: LabFleet, results: Iterable[RequestResult]) -> Audit:
    """Return the audit: the callers' results compared with the servers' records."""
    results = list(results)
    outcomes = Counter(r.outcome for r in results)
    refused = (r for r in results if r.outcome != "answered")
    runs = _runs_by_key(lab)
    once = [r for r in results if r.route == "print"]
    return Audit(
        sent=len(results),
        answered=outcomes["answered"],
        not_run=outcomes["not-run"],
        unknown=outcomes["unknown"],
        reasons=dict(Counter(f"{r.outcome}:{r.reason}" for r in refused)),
        run_twice=sum(runs[r.key] > 1 for r in once),
        falsely_not_run=sum(runs[r.key] > 0 for r in once if r.outcome == "not-run"),
        reverted=sum(
            _count_reversals(engine.history) for engine in lab.engines.values()
        ),
        mixed=_count_mixed(lab, results),
        not_whole=sum(
            not _is_complete(lab, r) for r in results if r.outcome == "answered"
        ),
    )


def _runs_by_key(lab: LabFleet) -> Counter:
    runs: Counter = Counter()
    for plain in lab.plain_services.values():
        runs.update(plain.runs_by_key)
    return runs


def _count_reversals(history: list[int]) -> int:
    pairs = zip(history, history[1:], strict=False)
    return sum(later < earlier for earlier, later in pairs)


def _count_mixed(lab: LabFleet, results: list[RequestResult]) -> int:
    """Return how many loads were partial or mixed plus how many responses were mixed.

    More than one version contributed to a mixed response.
    """
    mixed_loads = sum(engine.mixed_loads for engine in lab.engines.values())
    drafts = (r for r in results if r.service == "drafting")
    return mixed_loads + sum(len(_versions(r)) > 1 for r in drafts)


def _versions(result: RequestResult) -> set[str]:
    words = (line["text"].split("-") for line in result.lines if "text" in line)
    return {word[1] for word in words}


def _is_complete(lab: LabFleet, result: RequestResult) -> bool:
    text = "".join(line.get("text", "") for line in result.lines)
    if result.service != "drafting":
        return f'"{result.key}"' in text
    tokens = next(iter(lab.engines.values())).tokens_per_response
    subject = response_subject(result.body)
    expected = "".join(f"{subject}-{result.version}-{i} " for i in range(tokens))
    return text == expected
