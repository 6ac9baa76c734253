"""One time line of events over all processes, in the order of cause and effect."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from pathlib import Path

import orjson
from attrs import define, field
from wasabideck_base.events import MICROS, Stamp
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["EventsUnreadable", "Timeline", "fields_of", "merge_events", "show_timeline"]

_HIDDEN = {"hlc", "vm", "message_type", "timestamp", "task_uuid", "task_level"}


class EventsUnreadable(WasabideckError):
    """An event file cannot be read, or a picture cannot be written."""

    def __init__(self, file: str, why: str):
        super().__init__(f"{file}: {why}")
        self.file = file


@define
class Timeline:
    """Merged events, and how many lines of each file are no events.

    A process that was killed leaves half a line at the end of its file, and one
    whose disk was full half a line in the middle.
    """

    events: list[dict] = field(factory=list)
    unreadable: dict[str, int] = field(factory=dict)


def merge_events(files: Iterable[str]) -> Timeline:
    """Events of all files, ordered by the hybrid logical clock.

    Raises
    ------
    EventsUnreadable
        A file cannot be read at all.
    """
    merged = Timeline()
    for file in files:
        _read(file, merged)
    merged.events.sort(key=lambda event: (Stamp.parse(event["hlc"]), event["vm"]))
    return merged


def show_timeline(files: Sequence[str], json: bool) -> None:
    """Print the merged events: JSON lines, or one line of text each."""
    merged = merge_events(files)
    for event in merged.events:
        print(orjson.dumps(event).decode() if json else _text(event))
    for file, lines in merged.unreadable.items():
        print(f"{file}: {lines} lines are no whole events", file=sys.stderr)


def fields_of(event: dict) -> str:
    """An event's own fields, as one line of text."""
    shown = {k: v for k, v in event.items() if k not in _HIDDEN}
    return " ".join(f"{name}={value}" for name, value in sorted(shown.items()))


def _read(file: str, merged: Timeline) -> None:
    try:
        lines = Path(file).read_bytes().splitlines()
    except OSError as exc:
        raise EventsUnreadable(file, exc.strerror) from exc
    for line in filter(None, lines):
        try:
            event = orjson.loads(line)
            if "message_type" in event and "hlc" not in event:
                continue  # a library's own message, which bears no stamp
            Stamp.parse(event["hlc"])
            known = isinstance(event["vm"], str)
            known = known and isinstance(event["message_type"], str)
        except (ValueError, TypeError, KeyError):
            known = False
        if known:
            merged.events.append(event)
        else:
            merged.unreadable[file] = merged.unreadable.get(file, 0) + 1


def _text(event: dict) -> str:
    stamp = Stamp.parse(event["hlc"])
    time = datetime.fromtimestamp(stamp.micros / MICROS, UTC).strftime("%H:%M:%S.%f")
    place = f"{time}+{stamp.counter}"
    return f"{place:<18} {event['vm']:<12} {event['message_type']:<18} " + fields_of(
        event
    )
