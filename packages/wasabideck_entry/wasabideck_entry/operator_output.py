"""Output of the operators' commands, as text tables or JSON."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime

import orjson

__all__ = [
    "print_servers",
    "print_ticket",
    "print_tickets",
    "print_json",
    "print_deliveries",
]

REPORT_HEADINGS = (
    "VM",
    "TICKET",
    "VERSION",
    "BEGUN",
    "VERIFIED",
    "IN FORCE",
    "SOURCES",
)
TICKET_HEADINGS = ("TICKET", "ACCEPTED", "OPERATOR", "CHANGES", "NOTE")
SERVER_HEADINGS = (
    "VM",
    "SERVICE",
    "REGION",
    "SERVING",
    "LEAVING",
    "IN PROGRESS",
    "ADDRESS",
)


def print_json(value: object) -> None:
    """Print one line of JSON."""
    print(orjson.dumps(value).decode())


def print_deliveries(rows: Sequence[dict]) -> None:
    """Print delivery rows: the weights, times and sources of each delivery to a VM."""
    _print_table(REPORT_HEADINGS, (_report_row(row) for row in rows))


def print_tickets(tickets: Sequence[dict]) -> None:
    """Print a table with one line for each ticket."""
    _print_table(TICKET_HEADINGS, (_ticket_row(ticket) for ticket in tickets))


def print_servers(servers: Sequence[Mapping]) -> None:
    """Print a table with one line for each backend server that the entry uses."""
    _print_table(SERVER_HEADINGS, (_server_row(server) for server in servers))


def print_ticket(ticket: Mapping) -> None:
    """Print a ticket with its changes and, if known, the VMs where it is in effect."""
    again = ", accepted before" if ticket.get("again") else ""
    print(f"ticket {ticket['number']}: accepted as number {ticket['sequence']}{again}")
    print(f"  by {ticket['operator']} at {_date_and_time(ticket['accepted_at'])}")
    if ticket.get("note"):
        print(f"  note: {ticket['note']}")
    for change in ticket["changes"]:
        weights = f"{change['model']} {change['version']}".strip() or "emptied"
        print(f"  {change['scope']} {change['slot']}: {weights}")
    if "in_force" in ticket:
        print(f"  in force on: {', '.join(ticket['in_force']) or 'no VM yet'}")


def _print_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> None:
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
        _time_of_day(row["begun"]),
        _time_of_day(row["verified"]),
        _time_of_day(row["in_force"]),
        sources or "held already",
    )


def _ticket_row(ticket: Mapping) -> tuple[str, ...]:
    changes = (f"{change['scope']}#{change['slot']}" for change in ticket["changes"])
    return (
        str(ticket["number"]),
        _date_and_time(ticket["accepted_at"]),
        ticket["operator"],
        ", ".join(changes),
        ticket["note"],
    )


def _server_row(server: Mapping) -> tuple[str, ...]:
    return (
        server["vm"],
        server["service"],
        server["region"],
        "yes" if server["serving"] else "no",
        "yes" if server["leaving"] else "no",
        str(server["in_progress"]),
        server["address"],
    )


def _time_of_day(seconds: float) -> str:
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%H:%M:%S.%f")[:-3]


def _date_and_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")
