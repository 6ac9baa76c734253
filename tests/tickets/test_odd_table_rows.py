"""Rows of another writer in the product's own table: none keeps the others from use."""

import asyncio

import pytest
from fake_table import FakeTable
from wasabideck_base.claim_rows import CLAIMS_TABLE, read_claim
from wasabideck_base.http_responses import PlatformNonsense
from wasabideck_base.ticket_store import (
    STATE_TABLE,
    TICKETS_TABLE,
    accept_ticket,
    list_tickets,
    read_changes,
    read_ticket,
)
from wasabideck_policy.claims import claim_key
from wasabideck_policy.tickets import Change, Ticket

NESTED = {}
for _ in range(200):
    NESTED = {"a": NESTED}
ODD_ROWS = [
    {"x": 1},
    {"number": 1},
    {"number": [], "changes": 5, "note": "", "operator": "", "accepted_at": 0},
    {"ticket": 1, "change": [], "sequence": 9},
    {"ticket": 1, "change": {"x": 1}, "sequence": 9},
    {"sequence": 9, "changes": NESTED},
]


@pytest.fixture
def table():
    """Return a table with one accepted ticket."""
    table = FakeTable()
    ticket = Ticket(1, (Change("drafting", "model", "m", "v1", "d" * 64),), "first")
    asyncio.run(accept_ticket(table, ticket, "o", 0.0))
    return table


@pytest.mark.parametrize("row", ODD_ROWS)
def test_odd_row_among_tickets_does_not_hide_the_others(table, row):
    # Guards against a list of tickets, or an agent that learns of no ticket, because of
    # one row of another writer.
    table.rows[TICKETS_TABLE, "odd"] = row
    table.rows[STATE_TABLE, "odd"] = {**row, "sequence": 9}
    assert [a.ticket.number for a in asyncio.run(list_tickets(table))] == [1]
    assert [a.ticket for a in asyncio.run(read_changes(table, -1))] == [1]


@pytest.mark.parametrize("row", ODD_ROWS)
def test_odd_ticket_or_claim_is_a_typed_failure(table, row):
    # Guards against a command, or an agent, that ends at a row it cannot read.
    table.rows[TICKETS_TABLE, f"{2:020d}"] = row
    with pytest.raises(PlatformNonsense):
        asyncio.run(read_ticket(table, 2))
    table.rows[CLAIMS_TABLE, claim_key("o", "k")] = row
    with pytest.raises(PlatformNonsense):
        asyncio.run(read_claim(table, "o", "k"))
