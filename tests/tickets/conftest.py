"""Fixtures for the tests of tickets."""

import asyncio

import pytest
from fake_table import FakeTable
from wasabideck_base.ticket_store import accept_ticket
from wasabideck_policy.tickets import Change, Ticket

NOW = 1_000.0


@pytest.fixture
def table():
    return FakeTable()


@pytest.fixture
def make_ticket():
    def make_one(number, *scopes, version="v1"):
        changes = [Change(s, "model", "m", version, "d" * 64) for s in scopes]
        return Ticket(number, tuple(changes))

    return make_one


@pytest.fixture
def accept(table):
    def accept_now(ticket, operator="operator-1"):
        return asyncio.run(accept_ticket(table, ticket, operator, NOW))

    return accept_now
