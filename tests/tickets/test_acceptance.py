"""A submission ends as accepted, as refused with a type, or as unknown."""

import asyncio

import pytest
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_base.ticket_store import (
    TicketRaced,
    TicketUnknown,
    read_changes,
    read_ticket,
    resolve_acceptance,
)
from wasabideck_policy.tickets import TicketConflict, TicketSuperseded


def settle(table, number):
    return asyncio.run(resolve_acceptance(table, number))


def test_ticket_submitted_twice_is_accepted_once(accept, make_ticket):
    first = accept(make_ticket(5, "a"))
    again = accept(make_ticket(5, "a"), "operator-2")
    assert (first.sequence, first.already_accepted) == (1, False)
    assert (again.sequence, again.already_accepted) == (1, True)
    assert again.ticket.operator == "operator-1"


def test_number_reused_with_other_content_is_a_conflict(accept, make_ticket):
    accept(make_ticket(5, "a"))
    with pytest.raises(TicketConflict):
        accept(make_ticket(5, "a", version="v2"))


def test_lower_number_is_refused_only_for_keys_of_later_tickets(accept, make_ticket):
    accept(make_ticket(5, "a"))
    with pytest.raises(TicketSuperseded) as caught:
        accept(make_ticket(4, "a", "b"))
    assert caught.value.holder == 5
    assert accept(make_ticket(4, "b")).sequence == 2


def test_write_with_lost_response_is_read_back_as_accepted(table, accept, make_ticket):
    """The table executes the write and its response is lost. Reading the ticket back
    must find it, so that the operator need not submit it again."""
    table.faults.append("lose")
    accepted = accept(make_ticket(1, "a"))
    assert (accepted.sequence, accepted.already_accepted) == (1, False)


def test_delayed_write_cannot_revert_a_newer_ticket(table, accept, make_ticket):
    """The response to ticket 1's first write is lost, a second write is accepted, and
    ticket 2 follows. The table then executes the first write, which was delayed
    behind a broken connection; the fleet must not revert to ticket 1."""
    table.faults.append("late")
    accept(make_ticket(1, "a"))
    accept(make_ticket(2, "a", version="v2"))
    assert all(table.apply_late())
    assert table.rows["state", "a#model"]["ticket"] == 2


def test_not_accepted_status_is_final(table, accept, make_ticket):
    """A submission ends as unknown, and `ticket status` reports that it is not
    accepted. The write was still in flight when the status was read; it must not
    take effect a minute later, after the operator has withdrawn the ticket."""
    table.faults.extend(["late", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    assert settle(table, 1) is None
    assert all(table.apply_late())
    assert asyncio.run(read_ticket(table, 1)) is None


def test_status_finds_a_delayed_write(table, accept, make_ticket):
    table.faults.extend(["late", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    table.apply_late()
    assert settle(table, 1).ticket.number == 1


def test_status_is_unknown_while_the_table_is_down(table, accept, make_ticket):
    accept(make_ticket(1, "a"))
    table.reads_down = True
    with pytest.raises(TicketUnknown):
        settle(table, 1)


@pytest.mark.parametrize("fault", ["down", "reads"])
def test_unavailable_table_accepts_nothing(table, accept, make_ticket, fault):
    """A failed read is no unknown result: nothing was written before it."""
    table.reads_down = fault == "reads"
    table.faults.append("down")
    with pytest.raises(PlatformUnavailable) as caught:
        accept(make_ticket(1, "a"))
    assert not caught.value.maybe_applied
    assert not table.rows


def test_written_ticket_that_cannot_be_read_back_is_unknown(table, accept, make_ticket):
    """The write takes effect, its response is lost, and then the table is down: the
    ticket must be reported neither as accepted nor as refused. Submitting the same
    ticket again finds it accepted."""
    table.faults.extend(["lose", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    assert accept(make_ticket(1, "a")).already_accepted


def test_stale_reads_do_not_override_a_newer_ticket(table, accept, make_ticket):
    """Reads come from a replica that lags behind, so the submission sees neither a
    ticket with its own number nor the later ticket that changed the same key. The
    checks of the write must fail."""
    accept(make_ticket(1, "a"))
    before = table.snapshot()
    accept(make_ticket(7, "b"))
    table.stale = before
    with pytest.raises(TicketRaced):
        accept(make_ticket(6, "b"))
    assert table.rows["state", "b#model"]["ticket"] == 7


def test_current_head_with_stale_rows_does_not_override_a_newer_ticket(
    table, accept, make_ticket
):
    """The head is read from the table, but the rows from a replica that lags behind.
    A lower number must not override the later ticket that changed the same key, or
    the fleet would revert to it."""
    accept(make_ticket(1, "a"))
    before = table.snapshot()
    accept(make_ticket(7, "b"))
    table.stale = before | {("head", "head"): table.rows["head", "head"]}
    with pytest.raises(TicketRaced):
        accept(make_ticket(6, "b"))
    assert table.rows["state", "b#model"]["ticket"] == 7


def test_ticket_that_loses_every_race_is_certainly_not_accepted(
    table, accept, make_ticket, monkeypatch
):
    """Another ticket advances the head before each attempt. No write of this ticket
    can take effect, so the result must be "not accepted" instead of unknown."""
    original_transact = type(table).transact

    async def transact(self, checks, writes):
        sequence = self.rows.get(("head", "head"), {"sequence": 0})["sequence"]
        self.rows["head", "head"] = {"sequence": sequence + 1, "newest": 0}
        return await original_transact(self, checks, writes)

    monkeypatch.setattr(type(table), "transact", transact)
    with pytest.raises(TicketRaced):
        accept(make_ticket(1, "a"))
    assert ("tickets", f"{1:020d}") not in table.rows


def test_changes_are_read_after_a_sequence(table, accept, make_ticket):
    accept(make_ticket(1, "a", "b"))
    accept(make_ticket(2, "a", version="v2"))
    newest = asyncio.run(read_changes(table, 1))
    assert [(a.ticket, a.change.scope) for a in newest] == [(2, "a")]
