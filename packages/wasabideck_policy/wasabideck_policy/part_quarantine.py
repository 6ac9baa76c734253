"""Quarantine of prompt parts that crash the servers which begin to answer them.

Requests that share such a part are otherwise all different. A crash makes a suspect of
each part that was in progress there, and most of these parts are harmless. Three things
tell them apart:

- An answer that is completed when a crash is known refutes it, and the earlier ones,
  for all parts of its prompt.
- Crashes that are explained by one part are no evidence against the others.
- Crashes at the same moment, as after a power failure, count once: a further crash only
  counts for a part if its request was sent when the crash before was known.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from attrs import define, field

from .crash_explanation import MIN_ROUNDS, smallest_explanation, strength_of
from .suspect_parts import MAX_CRASHES_PER_PART, PartCrash, SuspectPart

__all__ = ["EVIDENCE_SECONDS", "QUARANTINE_SECONDS", "PartQuarantine"]

# Time after the last crash for which evidence against a part counts, and for which a
# quarantined part is refused, in seconds.
EVIDENCE_SECONDS = 30.0
QUARANTINE_SECONDS = 600.0
# Delay before a request with a quarantined part is sent as a probe, and the factor by
# which it grows with each failed one.
PROBE_SECONDS = 1.5
LATE_PROBE_SECONDS = 20.0
PROBE_BACKOFF = 16
MAX_PARTS = 256
# Parts of completed answers that are remembered.
MAX_ANSWERED = 1024


@define
class _ProbeTurn:
    """When this process may next send a request with a quarantined part.

    Attributes
    ----------
    waits_since : float
        Time of the last new evidence or of the last probe.
    recorded : set of str
        Crashes that this process recorded itself; the others have theirs.
    """

    waits_since: float
    recorded: set[str] = field(factory=set)


@define
class PartQuarantine:
    """Evidence against prompt parts; merging is a union, so gossip may repeat it."""

    suspects: dict[str, SuspectPart] = field(factory=dict)
    _answered: dict[str, None] = field(factory=dict)
    _probes: dict[str, _ProbeTurn] = field(factory=dict)
    _quarantined: frozenset[str] = frozenset()
    _recheck_at: float = float("inf")
    _changed: bool = False

    def is_quarantined(self, parts: Iterable[str], now: float) -> bool:
        """Whether a prompt with these parts must not be sent to any server."""
        return bool(self.suspects) and not self.quarantined(now).isdisjoint(parts)

    def quarantined(self, now: float) -> frozenset[str]:
        """Return the quarantined parts."""
        if self._changed or now >= self._recheck_at:
            self._update(now)
        return self._quarantined

    def claim_probe(self, parts: Sequence[str], now: float) -> bool:
        """Whether a prompt may be sent although one of its parts is quarantined.

        Without such requests, nothing could refute evidence against a sound part. Call
        this only when the request can be sent at once.
        """
        quarantined = self.quarantined(now).intersection(parts)
        if len(quarantined) != 1:
            return False
        (part,) = quarantined
        turn = self._probes.get(part)
        if turn is None or now < turn.waits_since + self._probe_delay(part, turn):
            return False
        turn.waits_since = now
        return True

    def strongest(self, count: int, now: float) -> list[str]:
        """Return parts with crashes in succession, the quarantined ones first."""
        quarantined = self.quarantined(now)
        strengths = {part: strength_of(s) for part, s in self.suspects.items()}

        def rank(part: str) -> tuple:
            strength = strengths[part]
            return part not in quarantined, -strength.rounds, -strength.crashes, part

        repeated = [part for part, s in strengths.items() if s.rounds > 1]
        return sorted(repeated, key=rank)[:count]

    def explained_crashes(self, now: float) -> set[str]:
        """Return the crashes that quarantined parts explain."""
        parts = self.quarantined(now)
        return {crash for part in parts for crash in self.suspects[part].crashes}

    def known_rounds(self, parts: Iterable[str]) -> dict[str, int]:
        """Return the latest known rounds of the parts of a prompt that is sent now."""
        if not self.suspects:
            return {}
        return {p: self.suspects[p].last_round for p in parts if p in self.suspects}

    def record_crash(
        self,
        crash: str,
        parts: Sequence[str],
        request: str,
        known_rounds: Mapping[str, int],
        now: float,
    ) -> None:
        """Record that a request with these parts was in progress at a crash.

        Parameters
        ----------
        known_rounds : mapping of str to int
            Result of ``known_rounds`` when the request was sent.
        """
        for depth, part in enumerate(parts):
            evidence = PartCrash(known_rounds.get(part, 0) + 1, request)
            found = SuspectPart(depth, now + QUARANTINE_SECONDS, {crash: evidence})
            self.merge(part, found, now)
            if part in self.suspects:
                turn = self._probes.setdefault(part, _ProbeTurn(now))
                turn.recorded.add(crash)

    def record_sound(self, parts: Iterable[str]) -> bool:
        """Record a completed answer; return whether that refutes any evidence."""
        for part in parts:
            self._answered.pop(part, None)
            self._answered[part] = None
        while len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        if not self.suspects:
            return False
        refuted = [p for p in parts if p in self.suspects and self.suspects[p].refute()]
        self._changed = self._changed or bool(refuted)
        return bool(refuted)

    def merge(self, part: str, found: SuspectPart, now: float) -> bool:
        """Merge evidence, and return whether any of it is new."""
        # A sender whose clock is ahead must not extend the quarantine.
        until = min(found.until, now + QUARANTINE_SECONDS)
        if until <= now or not (found.crashes or found.refuted_round):
            return False
        suspect = self.suspects.setdefault(part, SuspectPart(found.depth, until))
        suspect.depth = max(suspect.depth, found.depth)
        if not suspect.merge(found):
            return False
        suspect.until = max(suspect.until, until)
        self._changed = True
        if part in self._probes:
            self._probes[part].waits_since = now
        if len(self.suspects) > MAX_PARTS:
            self._drop_weakest()
        return part in self.suspects

    def _update(self, now: float) -> None:
        """Choose the parts to quarantine, and forget what has expired."""
        unexpired = {p: s for p, s in self.suspects.items() if s.until > now}
        chosen = smallest_explanation(unexpired, self._answered.keys())
        self.suspects = {
            part: suspect
            for part, suspect in unexpired.items()
            if part in chosen or _expiry(suspect, False) > now
        }
        self._probes = {p: t for p, t in self._probes.items() if p in self.suspects}
        self._quarantined = frozenset(chosen)
        expiries = (_expiry(s, p in chosen) for p, s in self.suspects.items())
        self._recheck_at = min(expiries, default=float("inf"))
        self._changed = False

    def _probe_delay(self, part: str, turn: _ProbeTurn) -> float:
        """Return how long after the last new evidence a probe may be sent.

        Each failed probe is a further round, and its evidence spreads before it is the
        turn of the next entry.
        """
        suspect = self.suspects[part]
        rounds = strength_of(suspect).rounds
        was_sound = suspect.was_refuted or part in self._answered
        delay = PROBE_SECONDS if was_sound else LATE_PROBE_SECONDS
        delay *= PROBE_BACKOFF ** max(rounds - MIN_ROUNDS, 0)
        newest_first = sorted(suspect.crashes, key=suspect.recency, reverse=True)
        ranks = (n for n, c in enumerate(newest_first) if c in turn.recorded)
        return delay * (1 + 2 * next(ranks, MAX_CRASHES_PER_PART))

    def _drop_weakest(self) -> None:
        """Forget the oldest of the parts with the fewest rounds."""

        def rank(part: str) -> tuple:
            suspect = self.suspects[part]
            return suspect.last_round, suspect.until, part

        del self.suspects[min(self.suspects.keys() - self._quarantined, key=rank)]


def _expiry(suspect: SuspectPart, quarantined: bool) -> float:
    """Return the wall time at which the evidence against a part expires."""
    if quarantined:
        return suspect.until
    return suspect.until - QUARANTINE_SECONDS + EVIDENCE_SECONDS
