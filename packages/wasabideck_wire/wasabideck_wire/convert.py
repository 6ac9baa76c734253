"""Conversion between the inner protocol's messages and attrs data."""

from __future__ import annotations

from collections.abc import Iterable

from wasabideck_policy.outcomes import Answered, Failure, NotRun, Outcome, Unknown
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.tickets import Assignment, change_from_json, change_to_json

from . import inner_pb2 as pb

__all__ = [
    "assignments_from",
    "crashes_from",
    "crashes_to",
    "entries_from",
    "final_from",
    "outcome_from",
]


def entries_from(assignments: Iterable[Assignment]) -> list[pb.Entry]:
    """Messages for assignments of tickets."""
    return [
        pb.Entry(
            scope=a.change.scope,
            slot=a.change.slot,
            ticket=a.ticket,
            change=change_to_json(a.change),
            sequence=a.sequence,
        )
        for a in assignments
    ]


def assignments_from(entries: Iterable[pb.Entry]) -> list[Assignment]:
    """Assignments of tickets from messages."""
    return [
        Assignment(entry.ticket, change_from_json(entry.change), entry.sequence)
        for entry in entries
    ]


def final_from(outcome: Outcome) -> pb.Final:
    """Message for a request's outcome."""
    if isinstance(outcome, Answered):
        return pb.Final(outcome=pb.Final.ANSWERED, replayed=outcome.replayed)
    not_run = isinstance(outcome, NotRun)
    return pb.Final(
        outcome=pb.Final.NOT_RUN if not_run else pb.Final.UNKNOWN,
        reason=outcome.failure.kind,
        detail=outcome.failure.detail,
        retry_after_ms=int(outcome.retry_after * 1000),
        crash=getattr(outcome, "crash", ""),
        settled=getattr(outcome, "settled", False),
    )


def outcome_from(final: pb.Final) -> Outcome:
    """Outcome of a request from its message."""
    if final.outcome == pb.Final.ANSWERED:
        return Answered(final.replayed)
    failure = Failure(final.reason, final.detail)
    retry_after = final.retry_after_ms / 1000
    if final.outcome == pb.Final.NOT_RUN:
        return NotRun(failure, retry_after, final.settled)
    return Unknown(failure, retry_after, final.crash)


def crashes_to(quarantine: Quarantine, now: float) -> list[pb.Quarantined]:
    """Messages for the crashes that a quarantine has not yet forgotten."""
    return [
        pb.Quarantined(
            fingerprint=name, crashes=sorted(crashes), until=max(crashes.values())
        )
        for name, crashes in quarantine.recent(now).items()
    ]


def crashes_from(
    quarantine: Quarantine, messages: Iterable[pb.Quarantined], now: float
) -> None:
    """Take other processes' crashes into a quarantine."""
    for message in messages:
        for crash in message.crashes:
            quarantine.take(message.fingerprint, crash, message.until, now)
