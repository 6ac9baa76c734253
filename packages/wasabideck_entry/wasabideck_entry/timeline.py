"""Merges the event files of several processes into one timeline in causal order."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from pathlib import Path

import orjson
from attrs import define, field
from wasabideck_base.events import MICROS_PER_SECOND, Timestamp
from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "EventsUnreadable",
    "Timeline",
    "format_fields",
    "merge_events",
    "print_timeline",
]

_HIDDEN_FIELDS = {"hlc", "vm", "message_type", "timestamp", "task_uuid", "task_level"}


class EventsUnreadable(WasabideckError):
    """An event file cannot be read, or a page cannot be written."""

    def __init__(self, file: str, why: str):
        super().__init__(f"{file}: {why}")
        self.file = file


@define
class Timeline:
    """Merged events, and the number of unreadable lines in each file.

    A process that was killed leaves an incomplete line at the end of its file, and a
    process whose disk was full an incomplete line in the middle.
    """

    events: list[dict] = field(factory=list)
    unreadable_lines: dict[str, int] = field(factory=dict)


def merge_events(files: Iterable[str]) -> Timeline:
    """Return the events of all files, ordered by their hybrid logical clock.

    Raises
    ------
    EventsUnreadable
        A file cannot be read at all.
    """
    merged = Timeline()
    for file in files:
        _read_file(file, merged)
    merged.events.sort(key=lambda event: (Timestamp.parse(event["hlc"]), event["vm"]))
    return merged


def print_timeline(files: Sequence[str], json: bool) -> None:
    """Print the merged events, each as a line of JSON or a line of text."""
    merged = merge_events(files)
    for event in merged.events:
        print(orjson.dumps(event).decode() if json else _event_line(event))
    for file, lines in merged.unreadable_lines.items():
        print(f"{file}: {lines} lines are no whole events", file=sys.stderr)


def format_fields(event: dict) -> str:
    """Return an event's own fields as one line of text."""
    shown = {k: v for k, v in event.items() if k not in _HIDDEN_FIELDS}
    return " ".join(f"{name}={value}" for name, value in sorted(shown.items()))


def _read_file(file: str, merged: Timeline) -> None:
    try:
        lines = Path(file).read_bytes().splitlines()
    except OSError as exc:
        raise EventsUnreadable(file, exc.strerror) from exc
    for line in filter(None, lines):
        try:
            event = orjson.loads(line)
            if "message_type" in event and "hlc" not in event:
                continue  # a message of a library, which has no timestamp
            Timestamp.parse(event["hlc"])
            valid = isinstance(event["vm"], str)
            valid = valid and isinstance(event["message_type"], str)
        except (ValueError, TypeError, KeyError):
            valid = False
        if valid:
            merged.events.append(event)
        else:
            merged.unreadable_lines[file] = merged.unreadable_lines.get(file, 0) + 1


def _event_line(event: dict) -> str:
    stamp = Timestamp.parse(event["hlc"])
    time = datetime.fromtimestamp(stamp.micros / MICROS_PER_SECOND, UTC).strftime(
        "%H:%M:%S.%f"
    )
    time_label = f"{time}+{stamp.counter}"
    return (
        f"{time_label:<18} {event['vm']:<12} {event['message_type']:<18} "
        + format_fields(event)
    )
