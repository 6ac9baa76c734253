"""Answers to operators, as text for people or JSON for programs."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime

import orjson

__all__ = ["show_report", "show_rows"]

HEADINGS = ("VM", "TICKET", "VERSION", "BEGUN", "VERIFIED", "IN FORCE", "SOURCES")


def show_rows(rows: Sequence[dict], json: bool) -> None:
    """Print rows: one JSON array, or one line a row."""
    if json:
        print(orjson.dumps(rows).decode())
        return
    for row in rows:
        print("  ".join(f"{name}={value}" for name, value in row.items()))


def show_report(rows: Sequence[dict], json: bool) -> None:
    """Print delivery rows: who got which weights, when, and from where."""
    if json:
        show_rows(rows, json)
        return
    table = [HEADINGS, *(_report_row(row) for row in rows)]
    widths = [max(len(row[i]) for row in table) for i in range(len(HEADINGS))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def _report_row(row: dict) -> tuple[str, ...]:
    sources = ", ".join(f"{vm} {size}" for vm, size in sorted(row["sources"].items()))
    return (
        row["vm"],
        str(row["ticket"]),
        f"{row['model']} {row['version']}",
        _time(row["begun"]),
        _time(row["verified"]),
        _time(row["in_force"]),
        sources or "held already",
    )


def _time(seconds: float) -> str:
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%H:%M:%S.%f")[:-3]
