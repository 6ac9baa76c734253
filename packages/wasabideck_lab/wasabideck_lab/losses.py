"""Where requests were lost, window by window, from the entries' own logs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

import orjson
from attrs import frozen
from wasabideck_policy.placement import Urgency

__all__ = ["Ended", "losses", "read_ended", "tabulate"]

ENDED = "request.ended"
AHEAD, BEHIND = "ahead", "behind"


@frozen
class Ended:
    """How one request ended.

    Attributes
    ----------
    arrived : float
        When an entry read it, seconds.
    first : float or None
        How long its first event took, seconds.
    outcome : str
        ``answered``, or why not.
    lane : str
        Whether it was sent ahead of others or behind them; empty where it was not sent
        to an engine.
    """

    arrived: float
    first: float | None
    outcome: str
    lane: str

    def loss(self, goal: float) -> str:
        """What became of it, in a few words."""
        if self.outcome != "answered":
            return f"{self.lane} {self.outcome}".strip()
        if self.first is None:
            return "plain"
        in_time = "in time" if self.first <= goal else "late"
        return f"{self.lane} {in_time}".strip()


def read_ended(lines: Iterable[str]) -> Iterator[Ended]:
    """Requests that ended, from lines of events, whatever stands before the event.

    Lines that hold no event are passed over: logs of several programs come together.
    """
    for line in lines:
        begin = line.find("{")
        if begin < 0 or ENDED not in line:
            continue
        try:
            event = orjson.loads(line[begin:])
        except orjson.JSONDecodeError:
            continue
        if event.get("message_type") == ENDED:
            yield _ended(event)


def _ended(event: dict) -> Ended:
    lanes = {Urgency.FRESH: AHEAD, Urgency.LATE: BEHIND}
    outcome = event["outcome"]
    if outcome != "answered":
        outcome = event.get("reason") or outcome
    return Ended(
        event["timestamp"] - event["seconds"],
        event.get("first"),
        outcome,
        lanes.get(event.get("urgency"), ""),
    )


def tabulate(
    ended: Iterable[Ended], goal: float, window: float
) -> list[tuple[float, Counter[str]]]:
    """What became of the requests that came in each window, by seconds from the first.

    Parameters
    ----------
    goal : float
        Seconds within which a first event is in time.
    window : float
        Length of a window, seconds.
    """
    rows: dict[int, Counter[str]] = {}
    found = sorted(ended, key=lambda request: request.arrived)
    for request in found:
        place = int((request.arrived - found[0].arrived) / window)
        rows.setdefault(place, Counter())[request.loss(goal)] += 1
    return [(place * window, rows[place]) for place in sorted(rows)]


def losses(*files: str, goal: float = 0.4, window: float = 1.0) -> None:
    """Tell what became of requests, window by window, from entries' logs.

    Parameters
    ----------
    files : str
        Files with the lines that entries write.
    goal : float
        Seconds within which a first event is in time.
    window : float
        Length of a window, seconds.
    """
    ended = (e for name in files for e in read_ended(_lines(Path(name))))
    for second, counts in tabulate(ended, goal, window):
        told = ", ".join(f"{loss} {n}" for loss, n in sorted(counts.items()))
        print(f"{second:7.1f} s  {told}")


def _lines(path: Path) -> Iterator[str]:
    with path.open(encoding="utf-8", errors="replace") as file:
        yield from file
