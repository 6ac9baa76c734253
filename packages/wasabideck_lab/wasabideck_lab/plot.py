"""Plots the number of verified replicas over time as SVG."""

from __future__ import annotations

__all__ = ["draw_svg"]

WIDTH_PX, HEIGHT_PX, MARGIN_PX = 720, 420, 56
COLOURS = {
    "swarm": "#0b6e4f",
    "random": "#c46a00",
    "tree": "#5b4bb5",
    "origin": "#b3243b",
}
TICK_COUNT = 8


def draw_svg(rows: list[dict]) -> str:
    """Return an SVG plot of the experiment's result rows, with the lower bound."""
    replicas = rows[0]["replicas"]
    bound = rows[0]["lower_bound_s"]
    # Cuts the time axis at four times the bound: if runs that take far longer set the
    # scale, the curves of the other runs could not be distinguished.
    last_seconds = max(max(row["curve"], default=0.0) for row in rows)
    axis_end = min(max(last_seconds, bound), 4 * bound) * 1.05

    def point(seconds: float, count: float) -> str:
        x = MARGIN_PX + seconds / axis_end * (WIDTH_PX - 2 * MARGIN_PX)
        y = HEIGHT_PX - MARGIN_PX - count / replicas * (HEIGHT_PX - 2 * MARGIN_PX)
        return f"{x:.1f},{y:.1f}"

    elements = [
        _axes(replicas, axis_end),
        _dashed_line(point(bound, 0), point(bound, replicas)),
    ]
    for index, row in enumerate(rows):
        points = [point(0, 0)]
        for count, seconds in enumerate(row["curve"]):
            if seconds <= axis_end:
                points += [point(seconds, count), point(seconds, count + 1)]
        colour = COLOURS.get(row["policy"], "#333333")
        elements.append(
            f'<polyline fill="none" stroke="{colour}" stroke-width="2" '
            f'points="{" ".join(points)}"/>'
        )
        text = f"{row['policy']}: {_result_text(row)}"
        elements.append(
            _label(MARGIN_PX + 10, MARGIN_PX + 16 + 18 * index, text, colour)
        )
    elements.append(
        _label(
            MARGIN_PX + 10, MARGIN_PX + 16 + 18 * len(rows), f"lower bound: {bound} s"
        )
    )
    opening_tag = (
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" '
        'font-family="sans-serif" font-size="13">'
    )
    background = f'<rect width="{WIDTH_PX}" height="{HEIGHT_PX}" fill="white"/>'
    return "\n".join([opening_tag, background, *elements, "</svg>"]) + "\n"


def _result_text(row: dict) -> str:
    if row["ratio"] is None:
        return f"{row['verified']} of {row['replicas']} when given up"
    return f"{row['time_to_n_s']} s, ratio {row['ratio']}"


def _axes(replicas: int, axis_end: float) -> str:
    bottom, left = HEIGHT_PX - MARGIN_PX, MARGIN_PX
    lines = [
        f'<path d="M{left} {MARGIN_PX}V{bottom}H{WIDTH_PX - MARGIN_PX}" '
        'fill="none" stroke="#333333"/>'
    ]
    for tick in range(TICK_COUNT + 1):
        x = left + tick / TICK_COUNT * (WIDTH_PX - 2 * MARGIN_PX)
        lines.append(_label(x - 8, bottom + 18, f"{axis_end * tick / TICK_COUNT:.0f}"))
    lines.append(_label(WIDTH_PX / 2 - 60, HEIGHT_PX - 14, "seconds since the begin"))
    lines.append(
        _label(8, MARGIN_PX - 14, f"replicas whole and verified, of {replicas}")
    )
    lines.append(_label(left - 34, MARGIN_PX + 4, str(replicas)))
    lines.append(_label(left - 20, bottom + 4, "0"))
    return "\n".join(lines)


def _dashed_line(start: str, end: str) -> str:
    (x1, y1), (x2, y2) = start.split(","), end.split(",")
    return (
        f'<line x1="{x1}" y1="{y1}" x2="{x2}" y2="{y2}" stroke="#333333" '
        'stroke-dasharray="5 4"/>'
    )


def _label(x: float, y: float, text: str, colour: str = "#333333") -> str:
    return f'<text x="{x:.0f}" y="{y:.0f}" fill="{colour}">{text}</text>'
