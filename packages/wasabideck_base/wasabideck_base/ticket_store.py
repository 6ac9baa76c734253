"""Tickets in the platform's table: acceptance in one conditional transaction."""

from __future__ import annotations

import asyncio

from attrs import asdict, evolve, frozen
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    Key,
    Ticket,
    TicketConflict,
    TicketSuperseded,
    digest_of,
)

from .http_answers import PlatformUnavailable
from .table import Check, Table, Write

__all__ = [
    "Accepted",
    "Head",
    "TicketRaced",
    "TicketUnknown",
    "accept_ticket",
    "assignments_of",
    "list_tickets",
    "read_changes",
    "read_head",
    "read_ticket",
    "settle_ticket",
]

HEAD = "head"
TICKETS = "tickets"
STATE = "state"
MOST_RACES = 50
READS_AT_ONCE = 32


class TicketUnknown(WasabideckError):
    """Nobody can say yet whether the ticket was accepted; submit it again."""

    status = 503
    retry_after = 2.0

    def __init__(self, number: int, why: str):
        super().__init__(f"ticket {number}: acceptance unknown: {why}")
        self.number = number


class TicketRaced(WasabideckError):
    """Others were first each time; certainly not accepted, submit it again."""

    status = 503
    retry_after = 1.0

    def __init__(self, number: int):
        super().__init__(f"ticket {number}: {MOST_RACES} races lost to other tickets")
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


@frozen
class Head:
    """The row that every acceptance moves.

    Attributes
    ----------
    sequence : int
        Grows with every acceptance and with every fence.
    newest : int
        Place of the newest accepted ticket; 0 before the first.
    """

    sequence: int = 0
    newest: int = 0


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
    TicketRaced, PlatformUnavailable
        Others were always first, or the table is down; certainly nothing was
        accepted.
    """
    ticket = evolve(ticket, operator=operator, accepted_at=now)
    doubt: PlatformUnavailable | None = None
    for _ in range(MOST_RACES):
        found = await _look(table, ticket, doubt)
        if isinstance(found, Accepted):
            return found
        head, holders = found
        try:
            failed = await table.transact(*_acceptance(ticket, head, holders))
        except PlatformUnavailable as exc:
            if not exc.maybe_applied:
                raise
            # The answer was lost after the write may have taken effect, or it may
            # take effect later. Once the head has moved, its check on the head
            # fails for ever, so what the next round reads is final.
            doubt = None if await _fence(table, head, ticket, exc) else exc
            continue
        if failed is None:
            return Accepted(ticket, head.sequence + 1)
        if failed.check.table == TICKETS and failed.found:
            return _judge(failed.found, ticket)
        doubt = None
    if doubt:
        raise TicketUnknown(ticket.number, str(doubt)) from doubt
    raise TicketRaced(ticket.number)


async def _look(
    table: Table, ticket: Ticket, doubt: PlatformUnavailable | None
) -> Accepted | tuple[Head, dict[Key, int]]:
    """The ticket if it stands already, else the rows that its acceptance rests on.

    ``doubt`` is the loss of an earlier answer that is not resolved yet.
    """
    try:
        head = await read_head(table)
        if done := await _already(table, ticket):
            return evolve(done, again=doubt is None)
        return head, await _holders(table, ticket)
    except PlatformUnavailable as exc:
        if doubt:
            raise TicketUnknown(ticket.number, str(exc)) from doubt
        # Only reads failed: certainly nothing was accepted.
        raise PlatformUnavailable(exc.url, str(exc), maybe_applied=False) from exc


async def settle_ticket(table: Table, number: int) -> Accepted | None:
    """An accepted ticket, or None when it is certain that it is not accepted.

    An absent row alone proves nothing: a write whose answer was lost may still be
    on its way. Moving the head first makes any such write fail.

    Raises
    ------
    TicketUnknown
        The table is down, or does not let the head be moved.
    """
    for _ in range(MOST_RACES):
        try:
            head = await read_head(table)
            if found := await read_ticket(table, number):
                return found
            if await _move(table, head):
                return None
        except PlatformUnavailable as exc:
            raise TicketUnknown(number, str(exc)) from exc
    raise TicketUnknown(number, "too many races with other tickets")


async def _fence(
    table: Table, head: Head, ticket: Ticket, lost: PlatformUnavailable
) -> bool:
    """Whether this moved the head: then the lost write never takes effect."""
    try:
        return await _move(table, head)
    except PlatformUnavailable as exc:
        raise TicketUnknown(ticket.number, str(exc)) from lost


async def _move(table: Table, head: Head) -> bool:
    """Move the head without accepting anything; False when it had moved already."""
    moved = evolve(head, sequence=head.sequence + 1)
    return await table.transact([_unmoved(head)], [_head_write(moved)]) is None


async def _already(table: Table, ticket: Ticket) -> Accepted | None:
    row = await table.get(TICKETS, _row_key(ticket.number))
    return _judge(row, ticket) if row else None


def _judge(row: dict, ticket: Ticket) -> Accepted:
    """The ticket of that number that stands, unless its content is another."""
    if row["digest"] != digest_of(ticket):
        raise TicketConflict(ticket.number)
    return Accepted(_ticket(row), row["sequence"], again=True)


async def _holders(table: Table, ticket: Ticket) -> dict[Key, int]:
    """Numbers of the tickets that hold what a ticket touches; 0 for none."""
    keys = [change.key for change in ticket.changes]
    holders: dict[Key, int] = {}
    for begin in range(0, len(keys), READS_AT_ONCE):
        part = keys[begin : begin + READS_AT_ONCE]
        rows = await asyncio.gather(*(table.get(STATE, str(key)) for key in part))
        for key, row in zip(part, rows, strict=True):
            holders[key] = row["ticket"] if row else 0
    for key, holder in holders.items():
        if holder > ticket.number:
            raise TicketSuperseded(ticket.number, key, holder)
    return holders


def _acceptance(
    ticket: Ticket, head: Head, holders: dict[Key, int]
) -> tuple[list[Check], list[Write]]:
    """The one transaction that accepts a ticket.

    Every row that the decision rests on is a condition, so a stale read or another
    operator's ticket in between fails it, and nothing is half accepted.
    """
    checks = [_unmoved(head), Check(TICKETS, _row_key(ticket.number), None)]
    for key, holder in holders.items():
        checks.append(Check(STATE, str(key), {"ticket": holder} if holder else None))
    return checks, _writes(ticket, head.sequence + 1)


def _unmoved(head: Head) -> Check:
    return Check(HEAD, HEAD, asdict(head) if head.sequence else None)


def _head_write(head: Head) -> Write:
    return Write(HEAD, HEAD, asdict(head))


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
        _head_write(Head(sequence, sequence)),
        Write(TICKETS, _row_key(ticket.number), row),
    ]
    for change in ticket.changes:
        state = {
            "sequence": sequence,
            "ticket": ticket.number,
            "change": asdict(change),
        }
        writes.append(Write(STATE, str(change.key), state))
    return writes


async def read_head(table: Table) -> Head:
    """The head row; zeros before the first acceptance."""
    row = await table.get(HEAD, HEAD)
    return Head(**row) if row else Head()


def assignments_of(accepted: Accepted) -> list[Assignment]:
    """What an accepted ticket assigns to each thing that it touches."""
    ticket = accepted.ticket
    return [
        Assignment(ticket.number, change, accepted.sequence)
        for change in ticket.changes
    ]


async def read_changes(table: Table, above: int) -> list[Assignment]:
    """Newest change of everything touched after an acceptance."""
    rows = await table.scan(STATE, above=above)
    return [
        Assignment(row["ticket"], Change(**row["change"]), row["sequence"])
        for _, row in rows
    ]


async def read_ticket(table: Table, number: int) -> Accepted | None:
    """An accepted ticket, or None."""
    row = await table.get(TICKETS, _row_key(number))
    return Accepted(_ticket(row), row["sequence"]) if row else None


async def list_tickets(table: Table) -> list[Accepted]:
    """All accepted tickets, by number."""
    rows = await table.scan(TICKETS)
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
