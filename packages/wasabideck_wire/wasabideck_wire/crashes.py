"""Conversion of server crashes between messages and quarantines."""

from __future__ import annotations

from collections.abc import Iterable

from wasabideck_policy.part_quarantine import PartQuarantine
from wasabideck_policy.quarantine import Quarantine
from wasabideck_policy.suspect_parts import PartCrash, SuspectPart

from . import inner_pb2 as pb

__all__ = [
    "crashes_to_messages",
    "merge_crashes",
    "merge_suspects",
    "suspects_lacking",
    "suspects_to_messages",
]


def crashes_to_messages(quarantine: Quarantine, now: float) -> list[pb.Quarantined]:
    """Return the messages for the crashes of a quarantine that have not expired."""
    return [
        pb.Quarantined(
            fingerprint=fingerprint,
            crashes=sorted(crashes),
            until=max(crashes.values()),
        )
        for fingerprint, crashes in quarantine.unexpired_crashes(now).items()
    ]


def merge_crashes(
    quarantine: Quarantine, messages: Iterable[pb.Quarantined], now: float
) -> None:
    """Merge crashes that other processes reported into a quarantine."""
    for message in messages:
        for crash in message.crashes:
            quarantine.merge_crash(message.fingerprint, crash, message.until, now)


def suspects_to_messages(
    parts: PartQuarantine, names: Iterable[str]
) -> list[pb.SuspectPart]:
    """Return the messages for the evidence against some prompt parts."""
    return [
        _suspect_to_message(name, parts.suspects[name])
        for name in names
        if name in parts.suspects
    ]


def merge_suspects(
    parts: PartQuarantine, messages: Iterable[pb.SuspectPart], now: float
) -> list[str]:
    """Merge the evidence of another process; return the parts with new evidence."""
    return [
        message.part
        for message in messages
        if parts.merge(message.part, _suspect_of(message), now)
    ]


def suspects_lacking(
    parts: PartQuarantine, messages: Iterable[pb.SuspectPart]
) -> list[str]:
    """Return the parts of which another process does not know all evidence."""
    return [
        message.part
        for message in messages
        if message.part in parts.suspects
        and parts.suspects[message.part].knows_more_than(_suspect_of(message))
    ]


def _suspect_to_message(name: str, suspect: SuspectPart) -> pb.SuspectPart:
    crashes = [
        pb.PartCrash(crash=crash, round=evidence.round, request=evidence.request)
        for crash, evidence in sorted(suspect.crashes.items())
    ]
    return pb.SuspectPart(
        part=name,
        depth=suspect.depth,
        until=suspect.until,
        crashes=crashes,
        refuted_round=suspect.refuted_round,
    )


def _suspect_of(message: pb.SuspectPart) -> SuspectPart:
    crashes = {c.crash: PartCrash(c.round, c.request) for c in message.crashes}
    return SuspectPart(message.depth, message.until, crashes, message.refuted_round)
