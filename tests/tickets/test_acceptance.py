"""A submitted ticket ends accepted, refused by type, or honestly unknown."""

import asyncio

import pytest
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_base.ticket_store import (
    TicketRaced,
    TicketUnknown,
    read_changes,
    read_ticket,
    settle_ticket,
)
from wasabideck_policy.tickets import TicketConflict, TicketSuperseded


def settle(table, number):
    return asyncio.run(settle_ticket(table, number))


def test_the_same_ticket_twice_is_accepted_once(accept, make_ticket):
    first = accept(make_ticket(5, "a"))
    again = accept(make_ticket(5, "a"), "operator-2")
    assert (first.sequence, first.again) == (1, False)
    assert (again.sequence, again.again) == (1, True)
    assert again.ticket.operator == "operator-1"


def test_a_number_used_twice_is_a_conflict(accept, make_ticket):
    accept(make_ticket(5, "a"))
    with pytest.raises(TicketConflict):
        accept(make_ticket(5, "a", version="v2"))


def test_a_lower_number_is_refused_on_touched_things_only(accept, make_ticket):
    accept(make_ticket(5, "a"))
    with pytest.raises(TicketSuperseded) as caught:
        accept(make_ticket(4, "a", "b"))
    assert caught.value.holder == 5
    assert accept(make_ticket(4, "b")).sequence == 2


def test_an_answer_lost_after_the_write_is_accepted(table, accept, make_ticket):
    """The operator sees a time-out, sends again and fears a second ticket. The
    table wrote the ticket and its answer got lost; reading back finds it."""
    table.faults.append("lose")
    accepted = accept(make_ticket(1, "a"))
    assert (accepted.sequence, accepted.again) == (1, False)


def test_a_write_applied_late_cannot_undo_a_newer_ticket(table, accept, make_ticket):
    """Ticket 1's answer is lost; the operator is told accepted, and ticket 2 comes.
    Then the table carries ticket 1's first write out after all, and the fleet goes
    back to ticket 1. Cause: a write is delayed behind its broken connection."""
    table.faults.append("late")
    accept(make_ticket(1, "a"))
    accept(make_ticket(2, "a", version="v2"))
    assert all(table.apply_late())
    assert table.rows["state", "a#model"]["ticket"] == 2


def test_status_of_an_absent_ticket_is_final(table, accept, make_ticket):
    """A submission ends unknown; `ticket status` says that it is not accepted, the
    operator withdraws it, and a minute later the fleet loads it. Cause: the write
    was still on its way when the status was read."""
    table.faults.extend(["late", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    assert settle(table, 1) is None
    assert all(table.apply_late())
    assert asyncio.run(read_ticket(table, 1)) is None


def test_status_finds_a_write_that_came_late(table, accept, make_ticket):
    table.faults.extend(["late", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    table.apply_late()
    assert settle(table, 1).ticket.number == 1


def test_status_with_the_table_down_stays_unknown(table, accept, make_ticket):
    accept(make_ticket(1, "a"))
    table.reads_down = True
    with pytest.raises(TicketUnknown):
        settle(table, 1)


@pytest.mark.parametrize("fault", ["down", "reads"])
def test_a_table_that_is_down_accepts_nothing(table, accept, make_ticket, fault):
    """A read that timed out leaves no doubt: nothing was written yet."""
    table.reads_down = fault == "reads"
    table.faults.append("down")
    with pytest.raises(PlatformUnavailable) as caught:
        accept(make_ticket(1, "a"))
    assert not caught.value.maybe_applied
    assert not table.rows


def test_a_ticket_that_stands_but_cannot_be_read_back_is_unknown(
    table, accept, make_ticket
):
    """The write took effect, its answer and then the table were lost: neither
    accepted nor refused may be said. The same file again finds it accepted."""
    table.faults.extend(["lose", "down"])
    with pytest.raises(TicketUnknown):
        accept(make_ticket(1, "a"))
    assert accept(make_ticket(1, "a")).again


def test_stale_reads_accept_nothing_against_a_newer_ticket(table, accept, make_ticket):
    """Reads come from a replica that lags: the submission sees neither its own
    number taken nor the later holder. The conditions of the write see them."""
    accept(make_ticket(1, "a"))
    before = table.snapshot()
    accept(make_ticket(7, "b"))
    table.stale = before
    with pytest.raises(TicketRaced):
        accept(make_ticket(6, "b"))
    assert table.rows["state", "b#model"]["ticket"] == 7


def test_a_fresh_head_beside_stale_rows_accepts_nothing_wrong(
    table, accept, make_ticket
):
    """The head is read from the table and the rows from a replica that lags: a
    lower number passes its holder, and the fleet goes back to it."""
    accept(make_ticket(1, "a"))
    before = table.snapshot()
    accept(make_ticket(7, "b"))
    table.stale = before | {("head", "head"): table.rows["head", "head"]}
    with pytest.raises(TicketRaced):
        accept(make_ticket(6, "b"))
    assert table.rows["state", "b#model"]["ticket"] == 7


def test_a_ticket_that_always_loses_the_race_is_certainly_not_accepted(
    table, accept, make_ticket, monkeypatch
):
    """Somebody moves the head before each try. No write of this ticket can stand,
    so its operator is told that, and not that it is unknown."""
    write = type(table).transact

    async def transact(self, checks, writes):
        sequence = self.rows.get(("head", "head"), {"sequence": 0})["sequence"]
        self.rows["head", "head"] = {"sequence": sequence + 1, "newest": 0}
        return await write(self, checks, writes)

    monkeypatch.setattr(type(table), "transact", transact)
    with pytest.raises(TicketRaced):
        accept(make_ticket(1, "a"))
    assert ("tickets", f"{1:020d}") not in table.rows


def test_changes_are_read_above_a_place(table, accept, make_ticket):
    accept(make_ticket(1, "a", "b"))
    accept(make_ticket(2, "a", version="v2"))
    newest = asyncio.run(read_changes(table, 1))
    assert [(a.ticket, a.change.scope) for a in newest] == [(2, "a")]
