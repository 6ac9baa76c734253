"""A picture of replicas over time, written as plain SVG."""

from __future__ import annotations

__all__ = ["draw"]

WIDTH, HEIGHT, MARGIN = 720, 420, 56
COLOURS = {
    "swarm": "#0b6e4f",
    "random": "#c46a00",
    "tree": "#5b4bb5",
    "origin": "#b3243b",
}
TICKS = 8


def draw(rows: list[dict]) -> str:
    """SVG of runs given as the experiment's rows, with the lower bound."""
    replicas = rows[0]["replicas"]
    bound = rows[0]["lower_bound_s"]
    # Runs that take far longer than the bound would flatten all the others.
    last = max(max(row["curve"], default=0.0) for row in rows)
    end = min(max(last, bound), 4 * bound) * 1.05

    def place(seconds: float, count: float) -> str:
        x = MARGIN + seconds / end * (WIDTH - 2 * MARGIN)
        y = HEIGHT - MARGIN - count / replicas * (HEIGHT - 2 * MARGIN)
        return f"{x:.1f},{y:.1f}"

    parts = [_axes(replicas, end), _line(place(bound, 0), place(bound, replicas))]
    for index, row in enumerate(rows):
        points = [place(0, 0)]
        for count, at in enumerate(row["curve"]):
            if at <= end:
                points += [place(at, count), place(at, count + 1)]
        colour = COLOURS.get(row["policy"], "#333333")
        parts.append(
            f'<polyline fill="none" stroke="{colour}" stroke-width="2" '
            f'points="{" ".join(points)}"/>'
        )
        text = f"{row['policy']}: {_result(row)}"
        parts.append(_text(MARGIN + 10, MARGIN + 16 + 18 * index, text, colour))
    parts.append(
        _text(MARGIN + 10, MARGIN + 16 + 18 * len(rows), f"lower bound: {bound} s")
    )
    head = (
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" '
        'font-family="sans-serif" font-size="13">'
    )
    back = f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>'
    return "\n".join([head, back, *parts, "</svg>"]) + "\n"


def _result(row: dict) -> str:
    if row["ratio"] is None:
        return f"{row['verified']} of {row['replicas']} when given up"
    return f"{row['time_to_n_s']} s, ratio {row['ratio']}"


def _axes(replicas: int, end: float) -> str:
    bottom, left = HEIGHT - MARGIN, MARGIN
    lines = [
        f'<path d="M{left} {MARGIN}V{bottom}H{WIDTH - MARGIN}" '
        'fill="none" stroke="#333333"/>'
    ]
    for tick in range(TICKS + 1):
        x = left + tick / TICKS * (WIDTH - 2 * MARGIN)
        lines.append(_text(x - 8, bottom + 18, f"{end * tick / TICKS:.0f}"))
    lines.append(_text(WIDTH / 2 - 60, HEIGHT - 14, "seconds since the begin"))
    lines.append(_text(8, MARGIN - 14, f"replicas whole and verified, of {replicas}"))
    lines.append(_text(left - 34, MARGIN + 4, str(replicas)))
    lines.append(_text(left - 20, bottom + 4, "0"))
    return "\n".join(lines)


def _line(begin: str, end: str) -> str:
    (x1, y1), (x2, y2) = begin.split(","), end.split(",")
    return (
        f'<line x1="{x1}" y1="{y1}" x2="{x2}" y2="{y2}" stroke="#333333" '
        'stroke-dasharray="5 4"/>'
    )


def _text(x: float, y: float, text: str, colour: str = "#333333") -> str:
    return f'<text x="{x:.0f}" y="{y:.0f}" fill="{colour}">{text}</text>'
