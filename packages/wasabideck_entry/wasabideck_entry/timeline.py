"""One time line of events over all processes, in the order of cause and effect."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import orjson
from wasabideck_platform.events import Stamp
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["EventsUnreadable", "merge_events", "show_timeline"]

_HIDDEN = {"hlc", "vm", "message_type", "timestamp", "task_uuid", "task_level"}


class EventsUnreadable(WasabideckError):
    """An event file cannot be read."""

    def __init__(self, file: str, why: str):
        super().__init__(f"{file}: {why}")
        self.file = file


def merge_events(files: Iterable[str]) -> list[dict]:
    """Events of all files, ordered by the hybrid logical clock."""
    events = [event for file in files for event in _read(file)]
    return sorted(events, key=lambda event: (Stamp.parse(event["hlc"]), event["vm"]))


def show_timeline(files: Iterable[str], json: bool) -> None:
    """Print the merged events: JSON lines, or one line of text each."""
    for event in merge_events(files):
        print(orjson.dumps(event).decode() if json else _text(event))


def _read(file: str) -> list[dict]:
    try:
        lines = Path(file).read_bytes().splitlines()
        events = [orjson.loads(line) for line in lines]
    except (OSError, ValueError) as exc:
        raise EventsUnreadable(file, str(exc)) from exc
    return [event for event in events if "hlc" in event]


def _text(event: dict) -> str:
    fields = {k: v for k, v in event.items() if k not in _HIDDEN}
    shown = " ".join(f"{name}={value}" for name, value in sorted(fields.items()))
    return f"{event['hlc']:>22}  {event['vm']:<12} {event['message_type']:<20} {shown}"
