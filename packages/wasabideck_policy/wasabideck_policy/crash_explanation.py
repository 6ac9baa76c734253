"""Chooses the parts of prompts that explain crashes of servers."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping

from attrs import frozen

from .suspect_parts import SuspectPart

__all__ = ["MAX_QUARANTINED", "Strength", "smallest_explanation", "strength_of"]

# Rounds of unexplained crashes after which a part is quarantined, and of that many
# crashes or more. Two rounds of few crashes occur by chance while servers crash several
# times a second.
MIN_ROUNDS = 3
MIN_ROUNDS_OF_MANY = 2
MANY_CRASHES = 5
# Different requests that must have been in progress in these crashes: a single request
# that crashes servers says nothing about its parts.
MIN_REQUESTS = 2
# Share of the crashes of a part above which a deeper part is chosen instead.
MIN_DEEPER_RATIO = 0.4
# Maximum number of chosen parts.
MAX_QUARANTINED = 16


@frozen
class Strength:
    """How much evidence is against one part.

    Attributes
    ----------
    rounds, crashes, requests : int
        Number of different rounds, of crashes and of different requests.
    """

    rounds: int
    crashes: int
    requests: int

    @property
    def suffices(self) -> bool:
        """Whether it is enough to quarantine the part."""
        min_rounds = MIN_ROUNDS if self.crashes < MANY_CRASHES else MIN_ROUNDS_OF_MANY
        return self.rounds >= min_rounds and self.requests >= MIN_REQUESTS


def smallest_explanation(
    suspects: Mapping[str, SuspectPart], answered: Container[str]
) -> set[str]:
    """Return parts that explain the crashes, each with enough evidence of its own.

    The part with the most evidence is chosen first, and its crashes are no evidence
    against the others.
    """
    chosen: list[str] = []
    explained: set[str] = set()
    sufficient = {part: strength_of(suspect) for part, suspect in suspects.items()}
    while True:
        sufficient = {
            part: strength
            for part in sufficient
            if part not in chosen
            and (strength := strength_of(suspects[part], explained)).suffices
        }
        if not sufficient or len(chosen) == MAX_QUARANTINED:
            return _without_redundant(chosen, suspects)
        # A part that was answered before is more likely to be sound again.
        never_answered = {
            part: strength
            for part, strength in sufficient.items()
            if not suspects[part].was_refuted and part not in answered
        }
        best = _most_specific(never_answered or sufficient, suspects)
        chosen.append(best)
        explained |= suspects[best].crashes.keys()


def _most_specific(
    strengths: Mapping[str, Strength], suspects: Mapping[str, SuspectPart]
) -> str:
    """Return the part with the most evidence, or a deeper one with much of it.

    A part that many requests share is also in progress in most crashes by others.
    """
    best = max(strengths, key=lambda p: _choice_rank(p, strengths, suspects))
    while True:
        deeper = [
            part
            for part, strength in strengths.items()
            if suspects[part].depth > suspects[best].depth
            and strength.crashes >= strengths[best].crashes * MIN_DEEPER_RATIO
        ]
        if not deeper:
            return best
        best = max(deeper, key=lambda p: _choice_rank(p, strengths, suspects))


def _without_redundant(
    chosen: Iterable[str], suspects: Mapping[str, SuspectPart]
) -> set[str]:
    """Return the chosen parts without those whose crashes the others explain."""
    kept = set(chosen)
    for part in sorted(kept, key=lambda p: (len(suspects[p].crashes), p)):
        suspect = suspects[part]
        # Outages seem to explain the crashes of a bad part by parts that were sound.
        is_firm = not suspect.was_refuted and len(suspect.crashes) >= MANY_CRASHES
        others = (
            suspects[other].crashes.keys()
            for other in kept - {part}
            if not (is_firm and suspects[other].was_refuted)
        )
        if not strength_of(suspect, set().union(*others)).suffices:
            kept.discard(part)
    return kept


def _choice_rank(
    part: str, strengths: Mapping[str, Strength], suspects: Mapping[str, SuspectPart]
) -> tuple:
    # Of parts that are always sent together, the deepest one is shared by the fewest
    # requests.
    strength = strengths[part]
    return (
        strength.crashes,
        strength.rounds,
        strength.requests,
        suspects[part].depth,
        part,
    )


def strength_of(suspect: SuspectPart, explained: Container[str] = ()) -> Strength:
    """Return the strength of the evidence, without some explained crashes."""
    counted = [c for crash, c in suspect.crashes.items() if crash not in explained]
    return Strength(
        rounds=len({evidence.round for evidence in counted}),
        crashes=len(counted),
        requests=len({evidence.request for evidence in counted}),
    )
