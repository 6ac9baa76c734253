"""Conversion of server crashes between messages and a quarantine."""

from __future__ import annotations

from collections.abc import Iterable

from wasabideck_policy.quarantine import Quarantine

from . import inner_pb2 as pb

__all__ = ["merge_crashes", "crashes_to_messages"]


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
