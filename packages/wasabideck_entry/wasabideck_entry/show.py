"""Answers to operators, as text for people or JSON for programs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime

import orjson

__all__ = [
    "show_fleet",
    "show_json",
    "show_report",
    "show_ticket",
    "show_tickets",
]

REPORT = ("VM", "TICKET", "VERSION", "BEGUN", "VERIFIED", "IN FORCE", "SOURCES")
TICKETS = ("TICKET", "ACCEPTED", "OPERATOR", "CHANGES", "NOTE")
FLEET = ("VM", "SERVICE", "REGION", "SERVING", "LEAVING", "IN PROGRESS", "ADDRESS")


def show_json(value: object) -> None:
    """Print one line of JSON."""
    print(orjson.dumps(value).decode())


def show_report(rows: Sequence[dict]) -> None:
    """Print delivery rows: who got which weights, when, and from where."""
    _show_table(REPORT, (_report_row(row) for row in rows))


def show_tickets(tickets: Sequence[dict]) -> None:
    """Print one line a ticket."""
    _show_table(TICKETS, (_ticket_row(ticket) for ticket in tickets))


def show_fleet(servers: Sequence[Mapping]) -> None:
    """Print one line a backend server, as the entry knows it."""
    _show_table(FLEET, (_fleet_row(server) for server in servers))


def show_ticket(ticket: Mapping) -> None:
    """Print a ticket with its changes, and where it is in force if that is known."""
    again = ", accepted before" if ticket.get("again") else ""
    print(f"ticket {ticket['number']}: accepted as number {ticket['sequence']}{again}")
    print(f"  by {ticket['operator']} at {_date(ticket['accepted_at'])}")
    if ticket.get("note"):
        print(f"  note: {ticket['note']}")
    for change in ticket["changes"]:
        weights = f"{change['model']} {change['version']}".strip() or "emptied"
        print(f"  {change['scope']} {change['slot']}: {weights}")
    if "in_force" in ticket:
        print(f"  in force on: {', '.join(ticket['in_force']) or 'no VM yet'}")


def _show_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
    table = [headings, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(headings))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def _report_row(row: Mapping) -> tuple[str, ...]:
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


def _ticket_row(ticket: Mapping) -> tuple[str, ...]:
    changes = (f"{change['scope']}#{change['slot']}" for change in ticket["changes"])
    return (
        str(ticket["number"]),
        _date(ticket["accepted_at"]),
        ticket["operator"],
        ", ".join(changes),
        ticket["note"],
    )


def _fleet_row(server: Mapping) -> tuple[str, ...]:
    return (
        server["vm"],
        server["service"],
        server["region"],
        "yes" if server["serving"] else "no",
        "yes" if server["leaving"] else "no",
        str(server["in_progress"]),
        server["address"],
    )


def _time(seconds: float) -> str:
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%H:%M:%S.%f")[:-3]


def _date(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
