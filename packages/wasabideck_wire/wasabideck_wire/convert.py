"""Conversion between the inner protocol's messages and attrs classes."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import astuple
from wasabideck_policy.outcomes import (
    Answered,
    Failure,
    NotRun,
    Outcome,
    Unknown,
)
from wasabideck_policy.tickets import Assignment, change_from_json, change_to_json

from . import inner_pb2 as pb
from .errors import MalformedMessage

__all__ = [
    "assignments_from_entries",
    "assignments_to_entries",
    "outcome_to_final",
    "outcome_from_final",
]


def assignments_to_entries(assignments: Iterable[Assignment]) -> list[pb.Entry]:
    """Return the messages for assignments of tickets."""
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


def assignments_from_entries(entries: Iterable[pb.Entry]) -> list[Assignment]:
    """Return the assignments of tickets in messages; raises ``MalformedMessage``."""
    return [_parse_assignment(entry) for entry in entries]


def _parse_assignment(entry: pb.Entry) -> Assignment:
    try:
        change = change_from_json(entry.change)
    except (ValueError, TypeError) as exc:
        raise MalformedMessage("Entry.change", str(exc)) from exc
    # Names that are not strings would cause errors later, in the code that sorts and
    # compares them.
    if not all(isinstance(value, str) for value in astuple(change)):
        raise MalformedMessage("Entry.change", "a value is not a string")
    return Assignment(entry.ticket, change, entry.sequence)


def outcome_to_final(outcome: Outcome) -> pb.Final:
    """Return the message for a request's outcome."""
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


def outcome_from_final(final: pb.Final) -> Outcome:
    """Return the outcome of a request in a message."""
    if final.outcome == pb.Final.ANSWERED:
        return Answered(final.replayed)
    failure = Failure(final.reason, final.detail)
    retry_after = final.retry_after_ms / 1000
    if final.outcome == pb.Final.NOT_RUN:
        return NotRun(failure, retry_after, final.settled)
    return Unknown(failure, retry_after, final.crash)
