"""The timeline as a self-contained HTML page.

Each VM has a lane. Lines connect events of the same cause.
"""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from pathlib import Path

from attrs import frozen
from wasabideck_base.event_kinds import CAUSE_FIELDS, EVENT_KINDS
from wasabideck_base.events import MICROS_PER_SECOND, Timestamp

from .timeline import EventsUnreadable, format_fields, merge_events

__all__ = ["draw_timeline", "write_timeline_page"]

LEFT_PIXELS = 140
TOP_PIXELS = 30
LANE_PIXELS = 36
MIN_WIDTH_PIXELS = 1400
MIN_DISTANCE_PIXELS = 7
RADIUS_PIXELS = 4

PAGE_TEMPLATE = """<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>wasabideck time line</title>
<style>
body {{ font: 13px sans-serif; margin: 1em }}
line.lane {{ stroke: #ddd }}
line.cause {{ stroke: #8ab; stroke-width: 1 }}
circle {{ fill: #357 }}
circle.alarm {{ fill: #c33 }}
</style>
<p>{count} events of {vms} VMs over {seconds:.3f} s, in the order of cause and effect.
Lines join events of one cause on different VMs; red ones may need an operator.
Point at an event to read it.</p>
<svg width="{width}" height="{height}" xmlns="http://www.w3.org/2000/svg">
{shapes}
</svg></html>
"""


@frozen
class _Point:
    event: dict
    x: float
    y: float


def write_timeline_page(files: Sequence[str], page_file: str) -> None:
    """Write the merged events of some files as a page.

    Raises
    ------
    EventsUnreadable
        A file cannot be read, or the page cannot be written.
    """
    try:
        Path(page_file).write_text(draw_timeline(merge_events(files).events))
    except OSError as exc:
        raise EventsUnreadable(page_file, exc.strerror) from exc


def draw_timeline(events: Sequence[dict]) -> str:
    """Return an HTML page that shows merged events."""
    vms = sorted({event["vm"] for event in events})
    points = _points(events, vms)
    width = max([MIN_WIDTH_PIXELS, *(point.x + LEFT_PIXELS for point in points)])
    shapes = [_lane(vm, i, width) for i, vm in enumerate(vms)]
    shapes += _cause_lines(points)
    shapes += [_circle(point) for point in points]
    micros = [Timestamp.parse(event["hlc"]).micros for event in events] or [0]
    return PAGE_TEMPLATE.format(
        count=len(events),
        vms=len(vms),
        seconds=(micros[-1] - micros[0]) / MICROS_PER_SECOND,
        width=round(width),
        height=TOP_PIXELS + LANE_PIXELS * (len(vms) + 1),
        shapes="\n".join(shapes),
    )


def _points(events: Sequence[dict], vms: Sequence[str]) -> list[_Point]:
    """Return the events' positions: by time, in order, and a minimum distance apart."""
    if not events:
        return []
    micros = [Timestamp.parse(event["hlc"]).micros for event in events]
    scale = (MIN_WIDTH_PIXELS - LEFT_PIXELS) / max(1, micros[-1] - micros[0])
    points: list[_Point] = []
    x = LEFT_PIXELS - MIN_DISTANCE_PIXELS
    for event, event_micros in zip(events, micros, strict=True):
        x = max(
            x + MIN_DISTANCE_PIXELS,
            LEFT_PIXELS + (event_micros - micros[0]) * scale,
        )
        points.append(
            _Point(
                event,
                x,
                TOP_PIXELS + LANE_PIXELS * vms.index(event["vm"]),
            )
        )
    return points


def _lane(vm: str, index: int, width: float) -> str:
    y = TOP_PIXELS + LANE_PIXELS * index
    return (
        f'<text x="4" y="{y + 4}">{escape(vm)}</text>'
        f'<line class="lane" x1="{LEFT_PIXELS}" x2="{width:.0f}" y1="{y}" y2="{y}"/>'
    )


def _cause_lines(points: Sequence[_Point]) -> list[str]:
    """Return lines from an event to the next event of the same cause on another VM."""
    latest: dict[tuple[str, str], _Point] = {}
    lines = []
    for point in points:
        for name in CAUSE_FIELDS:
            if name not in point.event:
                continue
            cause = (name, str(point.event[name]))
            before = latest.get(cause)
            if before and before.y != point.y:
                lines.append(
                    f'<line class="cause" x1="{before.x:.1f}" y1="{before.y}" '
                    f'x2="{point.x:.1f}" y2="{point.y}"/>'
                )
            latest[cause] = point
    return lines


def _circle(point: _Point) -> str:
    kind = point.event["message_type"]
    alarm = kind in EVENT_KINDS and EVENT_KINDS[kind].operator_action
    style = ' class="alarm"' if alarm else ""
    title = escape(f"{point.event['hlc']} {kind} {format_fields(point.event)}")
    return (
        f'<circle{style} cx="{point.x:.1f}" cy="{point.y}" r="{RADIUS_PIXELS}">'
        f"<title>{title}</title></circle>"
    )
