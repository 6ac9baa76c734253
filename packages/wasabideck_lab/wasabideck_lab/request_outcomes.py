"""Counts how requests ended, by time window, from the event logs of entries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import orjson
from attrs import frozen
from wasabideck_policy.placement import Urgency

__all__ = ["EndedRequest", "count_by_window", "losses", "read_ended_requests"]

ENDED_EVENT = "request.ended"
AHEAD, BEHIND = "ahead", "behind"


@frozen
class EndedRequest:
    """How one request ended.

    Attributes
    ----------
    arrived_at : float
        When an entry read the request, seconds.
    first_event_seconds : float or None
        Time from the request's arrival to its first event.
    outcome : str
        ``answered``, or the reason why it was not answered.
    priority : str
        Whether it was sent ahead of other requests or behind them. Empty if it was not
        sent to an engine.
    """

    arrived_at: float
    first_event_seconds: float | None
    outcome: str
    priority: str

    def describe(self, goal: float) -> str:
        """Return a short description of how the request ended."""
        if self.outcome != "answered":
            return f"{self.priority} {self.outcome}".strip()
        if self.first_event_seconds is None:
            return "plain"
        in_time = "in time" if self.first_event_seconds <= goal else "late"
        return f"{self.priority} {in_time}".strip()


def read_ended_requests(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the ended requests from lines of events.

    Ignores any text before the event in a line, and lines without an event: the log
    may contain the output of several programs.
    """
    for line in lines:
        start = line.find("{")
        if start < 0 or ENDED_EVENT not in line:
            continue
        try:
            event = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if event.get("message_type") == ENDED_EVENT:
            yield _parse_ended(event)


def _parse_ended(event: dict) -> EndedRequest:
    priorities = {Urgency.IN_TIME: AHEAD, Urgency.LATE: BEHIND}
    outcome = event["outcome"]
    if outcome != "answered":
        outcome = event.get("reason") or outcome
    return EndedRequest(
        event["timestamp"] - event["seconds"],
        event.get("first"),
        outcome,
        priorities.get(event.get("urgency"), ""),
    )


def count_by_window(
    ended: Iterable[EndedRequest], goal: float, window: float
) -> list[tuple[float, Counter[str]]]:
    """Count how requests ended, by the window in which they arrived.

    Windows are given by their start in seconds after the first arrival.

    Parameters
    ----------
    goal : float
        Time within which a first event is in time, seconds.
    window : float
        Length of a window, seconds.
    """
    rows: dict[int, Counter[str]] = {}
    requests = sorted(ended, key=lambda request: request.arrived_at)
    for request in requests:
        index = int((request.arrived_at - requests[0].arrived_at) / window)
        rows.setdefault(index, Counter())[request.describe(goal)] += 1
    return [(index * window, rows[index]) for index in sorted(rows)]


def losses(*files: str, goal: float = 0.4, window: float = 1.0) -> None:
    """Print how requests ended, by time window, from the logs of entries.

    Parameters
    ----------
    files : str
        Logs of entries.
    goal : float
        Time within which a first event is in time, seconds.
    window : float
        Length of a window, seconds.
    """
    ended = (e for name in files for e in read_ended_requests(_lines(Path(name))))
    for second, counts in count_by_window(ended, goal, window):
        ends = ", ".join(f"{end} {n}" for end, n in sorted(counts.items()))
        print(f"{second:7.1f} s  {ends}")


def _lines(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file
