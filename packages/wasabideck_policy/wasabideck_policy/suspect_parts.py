"""Evidence against parts of prompts: the crashes at which they were in progress."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["MAX_CRASHES_PER_PART", "PartCrash", "SuspectPart"]

MAX_CRASHES_PER_PART = 16


@frozen
class PartCrash:
    """Evidence that a part crashed a server: a request with it was in progress there.

    Attributes
    ----------
    round : int
        One more than the latest round known to the entry that sent the request.
    request : str
        Id that differs between requests that share the part.
    """

    round: int
    request: str


@define
class SuspectPart:
    """A part with the crashes during which requests with it were in progress.

    Attributes
    ----------
    depth : int
        Position in the prompt; deeper parts are shared by fewer requests.
    until : float
        Wall time until which it is refused, if it is quarantined.
    crashes : dict of str to PartCrash
        Evidence by crash, without what is refuted.
    refuted_round : int
        Round up to which all evidence is refuted; 0 for none.
    """

    depth: int
    until: float
    crashes: dict[str, PartCrash] = field(factory=dict)
    refuted_round: int = 0

    @property
    def last_round(self) -> int:
        """The latest round of its crashes."""
        rounds = (evidence.round for evidence in self.crashes.values())
        return max(rounds, default=self.refuted_round)

    @property
    def was_refuted(self) -> bool:
        """Whether an answer with the part was completed after one of its crashes."""
        return self.refuted_round > 0

    def merge(self, other: SuspectPart) -> bool:
        """Merge the evidence of another process, and return whether any is new."""
        added = [self._add(crash, c) for crash, c in other.crashes.items()]
        refuted = self._refute(other.refuted_round)
        return any(added) or refuted

    def knows_more_than(self, other: SuspectPart) -> bool:
        """Whether the other process lacks any of this evidence."""
        return (
            self.refuted_round > other.refuted_round
            or not self.crashes.items() <= other.crashes.items()
        )

    def refute(self) -> bool:
        """Refute all known crashes, and return whether any counted until now."""
        return self._refute(self.last_round)

    def recency(self, crash: str) -> tuple:
        """Sort key by which all processes agree on the latest crash."""
        evidence = self.crashes[crash]
        return evidence.round, evidence.request, crash

    def _add(self, crash: str, evidence: PartCrash) -> bool:
        known = self.crashes.get(crash)
        if evidence.round <= self.refuted_round or (
            known is not None
            and (known.round, known.request) >= (evidence.round, evidence.request)
        ):
            return False
        self.crashes[crash] = evidence
        if len(self.crashes) > MAX_CRASHES_PER_PART:
            del self.crashes[min(self.crashes, key=self.recency)]
        return crash in self.crashes

    def _refute(self, round: int) -> bool:
        if round <= self.refuted_round:
            return False
        self.refuted_round = round
        self.crashes = {k: c for k, c in self.crashes.items() if c.round > round}
        return True
