"""Tickets in the platform's table, accepted by one conditional transaction each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from attrs import asdict, evolve, frozen
from eliot import log_message
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    Key,
    Ticket,
    TicketConflict,
    TicketSuperseded,
    ticket_digest,
)

from .http_responses import PlatformNonsense, PlatformUnavailable, parse_response
from .table import Check, Table, Write

__all__ = [
    "AcceptedTicket",
    "Head",
    "TicketRaced",
    "TicketUnknown",
    "accept_ticket",
    "assignments_from_ticket",
    "list_tickets",
    "read_changes",
    "read_head",
    "read_ticket",
    "resolve_acceptance",
]

T = TypeVar("T")

HEAD = "head"
TICKETS_TABLE = "tickets"
STATE_TABLE = "state"
MAX_RACES = 50
MAX_CONCURRENT_READS = 32


class TicketUnknown(WasabideckError):
    """It is not known whether the ticket was accepted; submit it again."""

    status = 503
    retry_after = 2.0

    def __init__(self, number: int, why: str):
        super().__init__(f"ticket {number}: acceptance unknown: {why}")
        self.number = number


class TicketRaced(WasabideckError):
    """The ticket lost all races to others and was not accepted; submit it again."""

    status = 503
    retry_after = 1.0

    def __init__(self, number: int):
        super().__init__(f"ticket {number}: lost {MAX_RACES} races to other tickets")
        self.number = number


@frozen
class AcceptedTicket:
    """An accepted ticket, as the table holds it.

    Attributes
    ----------
    sequence : int
        Its position in the order of acceptance.
    already_accepted : bool
        Whether it was accepted by an earlier submission.
    """

    ticket: Ticket
    sequence: int
    already_accepted: bool = False


@frozen
class Head:
    """The head row, which every acceptance updates.

    Attributes
    ----------
    sequence : int
        Increases with every acceptance and every fencing write.
    newest : int
        Sequence of the newest accepted ticket; 0 before the first.
    """

    sequence: int = 0
    newest: int = 0


async def accept_ticket(
    table: Table, ticket: Ticket, operator: str, now: float
) -> AcceptedTicket:
    """Accept a ticket, or return it as accepted earlier.

    Raises
    ------
    TicketConflict
        A ticket with this number and other content is accepted already.
    TicketSuperseded
        A later ticket already changed something that this one changes.
    TicketUnknown
        The table's response was lost, and the result could not be read back.
    TicketRaced, PlatformUnavailable
        The ticket lost every race against others, or the table is down. In both
        cases it was certainly not accepted.
    """
    ticket = evolve(ticket, operator=operator, accepted_at=now)
    lost_write: PlatformUnavailable | None = None
    for _ in range(MAX_RACES):
        found = await _read_decision_state(table, ticket, lost_write)
        if isinstance(found, AcceptedTicket):
            return found
        head, holders = found
        try:
            failed = await table.transact(
                *_acceptance_transaction(ticket, head, holders)
            )
        except PlatformUnavailable as exc:
            if not exc.maybe_applied:
                raise
            # The response was lost: the write may have taken effect, or may still
            # take effect later. Once the head has been advanced, the write's check
            # of the head fails for ever, so what the next iteration reads is final.
            lost_write = None if await _fence(table, head, ticket, exc) else exc
            continue
        if failed is None:
            return AcceptedTicket(ticket, head.sequence + 1)
        if failed.check.table == TICKETS_TABLE and failed.found:
            return _accepted_from_row(failed.found, ticket)
        lost_write = None
    if lost_write:
        raise TicketUnknown(ticket.number, str(lost_write)) from lost_write
    raise TicketRaced(ticket.number)


async def _read_decision_state(
    table: Table, ticket: Ticket, lost_write: PlatformUnavailable | None
) -> AcceptedTicket | tuple[Head, dict[Key, int]]:
    """Return the ticket if it is accepted, else the rows its acceptance depends on.

    ``lost_write`` is the failure of an earlier write whose result is still unknown.
    """
    try:
        head = await read_head(table)
        if accepted := await _find_accepted(table, ticket):
            return evolve(accepted, already_accepted=lost_write is None)
        return head, await _read_holders(table, ticket)
    except PlatformUnavailable as exc:
        if lost_write:
            raise TicketUnknown(ticket.number, str(exc)) from lost_write
        # Only reads failed, so the ticket was certainly not accepted.
        raise PlatformUnavailable(exc.url, str(exc), maybe_applied=False) from exc


async def resolve_acceptance(table: Table, number: int) -> AcceptedTicket | None:
    """Return an accepted ticket, or None if it is certain that it isn't accepted.

    An absent row alone proves nothing: a write whose response was lost may still
    take effect. Advancing the head first makes any such write fail.

    Raises
    ------
    TicketUnknown
        The table is down, or others changed the head before each attempt to
        advance it.
    """
    for _ in range(MAX_RACES):
        try:
            head = await read_head(table)
            if found := await read_ticket(table, number):
                return found
            if await _advance_head(table, head):
                return None
        except PlatformUnavailable as exc:
            raise TicketUnknown(number, str(exc)) from exc
    raise TicketUnknown(number, "lost too many races to other tickets")


async def _fence(
    table: Table, head: Head, ticket: Ticket, lost_write: PlatformUnavailable
) -> bool:
    """Advance the head and return True; the lost write can then no longer succeed.

    False if the head has changed already.
    """
    try:
        return await _advance_head(table, head)
    except PlatformUnavailable as exc:
        raise TicketUnknown(ticket.number, str(exc)) from lost_write


async def _advance_head(table: Table, head: Head) -> bool:
    """Advance the head without accepting a ticket; False if it has changed already."""
    advanced = evolve(head, sequence=head.sequence + 1)
    return (
        await table.transact([_head_unchanged(head)], [_head_write(advanced)]) is None
    )


async def _find_accepted(table: Table, ticket: Ticket) -> AcceptedTicket | None:
    row = await table.get(TICKETS_TABLE, _row_key(ticket.number))
    return _accepted_from_row(row, ticket) if row else None


def _accepted_from_row(row: dict, ticket: Ticket) -> AcceptedTicket:
    """Return a row's accepted ticket; raises ``TicketConflict`` if contents differ."""
    accepted = parse_response(TICKETS_TABLE, row, _listed_ticket)
    if row.get("digest") != ticket_digest(ticket):
        raise TicketConflict(ticket.number)
    return evolve(accepted, already_accepted=True)


async def _read_holders(table: Table, ticket: Ticket) -> dict[Key, int]:
    """Return by key which ticket last changed what a ticket changes; 0 for none."""
    keys = [change.key for change in ticket.changes]
    holders: dict[Key, int] = {}
    for start in range(0, len(keys), MAX_CONCURRENT_READS):
        batch = keys[start : start + MAX_CONCURRENT_READS]
        rows = await asyncio.gather(
            *(table.get(STATE_TABLE, str(key)) for key in batch)
        )
        for key, row in zip(batch, rows, strict=True):
            holders[key] = row["ticket"] if row else 0
    for key, holder in holders.items():
        if holder > ticket.number:
            raise TicketSuperseded(ticket.number, key, holder)
    return holders


def _acceptance_transaction(
    ticket: Ticket, head: Head, holders: dict[Key, int]
) -> tuple[list[Check], list[Write]]:
    """Return the checks and writes of the one transaction that accepts a ticket.

    Every row that the decision depends on is a condition. After a stale read, or if
    another operator's ticket is accepted in between, the transaction fails, and no
    ticket is accepted in part.
    """
    checks = [
        _head_unchanged(head),
        Check(TICKETS_TABLE, _row_key(ticket.number), None),
    ]
    for key, holder in holders.items():
        checks.append(
            Check(STATE_TABLE, str(key), {"ticket": holder} if holder else None)
        )
    return checks, _acceptance_writes(ticket, head.sequence + 1)


def _head_unchanged(head: Head) -> Check:
    return Check(HEAD, HEAD, asdict(head) if head.sequence else None)


def _head_write(head: Head) -> Write:
    return Write(HEAD, HEAD, asdict(head))


def _acceptance_writes(ticket: Ticket, sequence: int) -> list[Write]:
    row = {
        "sequence": sequence,
        "digest": ticket_digest(ticket),
        "number": ticket.number,
        "note": ticket.note,
        "operator": ticket.operator,
        "accepted_at": ticket.accepted_at,
        "changes": [asdict(change) for change in ticket.changes],
    }
    writes = [
        _head_write(Head(sequence, sequence)),
        Write(TICKETS_TABLE, _row_key(ticket.number), row),
    ]
    for change in ticket.changes:
        state = {
            "sequence": sequence,
            "ticket": ticket.number,
            "change": asdict(change),
        }
        writes.append(Write(STATE_TABLE, str(change.key), state))
    return writes


async def read_head(table: Table) -> Head:
    """Return the head row; zeros before the first acceptance."""
    row = await table.get(HEAD, HEAD)
    return Head(**row) if row else Head()


def assignments_from_ticket(accepted: AcceptedTicket) -> list[Assignment]:
    """Return an assignment for each change of an accepted ticket."""
    ticket = accepted.ticket
    return [
        Assignment(ticket.number, change, accepted.sequence)
        for change in ticket.changes
    ]


async def read_changes(table: Table, above: int) -> list[Assignment]:
    """Return the newest change of each key that changed after a sequence."""
    rows = await table.scan(STATE_TABLE, above=above)
    return list(_well_formed(STATE_TABLE, _assignment_from_row, rows))


async def read_ticket(table: Table, number: int) -> AcceptedTicket | None:
    """Return an accepted ticket, or None."""
    row = await table.get(TICKETS_TABLE, _row_key(number))
    return parse_response(TICKETS_TABLE, row, _listed_ticket) if row else None


async def list_tickets(table: Table) -> list[AcceptedTicket]:
    """Return all accepted tickets, ordered by number."""
    rows = await table.scan(TICKETS_TABLE)
    return list(_well_formed(TICKETS_TABLE, _listed_ticket, rows))


def _well_formed(
    table: str, parse: Callable[[dict], T], rows: Iterable[tuple[str, dict]]
) -> Iterator[T]:
    """Return what well-formed rows hold; another writer's row is logged and skipped."""
    for key, row in rows:
        try:
            yield parse_response(f"{table}/{key}", row, parse)
        except PlatformNonsense as exc:
            log_message(message_type="row.unreadable", why=str(exc))


def _assignment_from_row(row: dict) -> Assignment:
    return Assignment(row["ticket"], Change(**row["change"]), row["sequence"])


def _listed_ticket(row: dict) -> AcceptedTicket:
    return AcceptedTicket(_ticket_from_row(row), row["sequence"])


def _row_key(number: int) -> str:
    return f"{number:020d}"


def _ticket_from_row(row: dict) -> Ticket:
    return Ticket(
        row["number"],
        tuple(Change(**change) for change in row["changes"]),
        row["note"],
        operator=row["operator"],
        accepted_at=row["accepted_at"],
    )
