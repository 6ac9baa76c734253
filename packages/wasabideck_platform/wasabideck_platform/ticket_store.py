"""Tickets in the platform's table: acceptance in one conditional transaction."""

from __future__ import annotations

from attrs import asdict, evolve, frozen
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    Ticket,
    TicketConflict,
    TicketSuperseded,
    digest_of,
)

from .http import PlatformUnavailable
from .table import Check, Table, Write

__all__ = [
    "Accepted",
    "TicketUnknown",
    "accept_ticket",
    "list_tickets",
    "read_changes",
    "read_head",
    "read_ticket",
]

MOST_RACES = 20


class TicketUnknown(WasabideckError):
    """Nobody can say yet whether the ticket was accepted; submit it again."""

    status = 503
    retry_after = 2.0

    def __init__(self, number: int, why: str):
        super().__init__(f"ticket {number}: acceptance unknown: {why}")
        self.number = number


@frozen
class Accepted:
    """A ticket stands in the table.

    Attributes
    ----------
    sequence : int
        Its place in the order of acceptance.
    again : bool
        Whether it had been accepted before this submission.
    """

    ticket: Ticket
    sequence: int
    again: bool = False


async def accept_ticket(
    table: Table, ticket: Ticket, operator: str, now: float
) -> Accepted:
    """Accept a ticket, or find it accepted already.

    Raises
    ------
    TicketConflict
        The number is taken by other content.
    TicketSuperseded
        A later ticket holds something that this one touches.
    TicketUnknown
        The table's answer was lost and could not be read back.
    PlatformUnavailable
        The table is down; certainly nothing was accepted.
    """
    ticket = evolve(ticket, operator=operator, accepted_at=now)
    for _ in range(MOST_RACES):
        sequence = await read_head(table)
        if done := await _already(table, ticket):
            return done
        await _refuse_superseded(table, ticket)
        if await _commit(table, ticket, sequence):
            return Accepted(ticket, sequence + 1)
    raise PlatformUnavailable("table", "too many races with other tickets", False)


async def _commit(table: Table, ticket: Ticket, sequence: int) -> bool:
    """Whether the ticket was written; False when another ticket came between.

    Every acceptance moves the head row, so an unmoved head proves that all rows
    read since are still as they were.
    """
    head = {"sequence": sequence} if sequence else None
    checks = [Check("head", "head", head)]
    try:
        return await table.transact(checks, _writes(ticket, sequence + 1)) is None
    except PlatformUnavailable as exc:
        if not exc.maybe_applied:
            raise
        return await _resolve(table, ticket, exc)


async def _resolve(table: Table, ticket: Ticket, lost: PlatformUnavailable) -> bool:
    """Read back a write whose answer was lost."""
    try:
        found = await _already(table, ticket)
    except PlatformUnavailable as exc:
        raise TicketUnknown(ticket.number, str(exc)) from lost
    if found is None:
        raise TicketUnknown(ticket.number, "the write may be applied late") from lost
    return True


async def _already(table: Table, ticket: Ticket) -> Accepted | None:
    row = await table.get("tickets", _row_key(ticket.number))
    if row is None:
        return None
    if row["digest"] != digest_of(ticket):
        raise TicketConflict(ticket.number)
    return Accepted(_ticket(row), row["sequence"], again=True)


async def _refuse_superseded(table: Table, ticket: Ticket) -> None:
    for change in ticket.changes:
        row = await table.get("state", str(change.key))
        if row and row["ticket"] > ticket.number:
            raise TicketSuperseded(ticket.number, change.key, row["ticket"])


def _writes(ticket: Ticket, sequence: int) -> list[Write]:
    row = {
        "sequence": sequence,
        "digest": digest_of(ticket),
        "number": ticket.number,
        "note": ticket.note,
        "operator": ticket.operator,
        "accepted_at": ticket.accepted_at,
        "changes": [asdict(change) for change in ticket.changes],
    }
    writes = [
        Write("head", "head", {"sequence": sequence}),
        Write("tickets", _row_key(ticket.number), row),
    ]
    for change in ticket.changes:
        state = {
            "sequence": sequence,
            "ticket": ticket.number,
            "change": asdict(change),
        }
        writes.append(Write("state", str(change.key), state))
    return writes


async def read_head(table: Table) -> int:
    """Sequence of the newest acceptance; 0 before the first."""
    row = await table.get("head", "head")
    return row["sequence"] if row else 0


async def read_changes(table: Table, above: int) -> list[Assignment]:
    """Newest change of everything touched after an acceptance."""
    rows = await table.scan("state", above=above)
    return [
        Assignment(row["ticket"], Change(**row["change"]), row["sequence"])
        for _, row in rows
    ]


async def read_ticket(table: Table, number: int) -> Accepted | None:
    """An accepted ticket, or None."""
    row = await table.get("tickets", _row_key(number))
    return Accepted(_ticket(row), row["sequence"]) if row else None


async def list_tickets(table: Table) -> list[Accepted]:
    """All accepted tickets, by number."""
    rows = await table.scan("tickets")
    return [Accepted(_ticket(row), row["sequence"]) for _, row in rows]


def _row_key(number: int) -> str:
    return f"{number:020d}"


def _ticket(row: dict) -> Ticket:
    return Ticket(
        row["number"],
        tuple(Change(**change) for change in row["changes"]),
        row["note"],
        operator=row["operator"],
        accepted_at=row["accepted_at"],
    )
