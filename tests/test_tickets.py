"""Merging changes into the ticket state never reverts it, whatever their order."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    TicketError,
    TicketState,
    desired_assignment,
    parse_ticket,
)

assignments = st.lists(
    st.builds(
        Assignment,
        ticket=st.integers(1, 6),
        change=st.builds(
            Change, scope=st.sampled_from(["a", "a/vm-1"]), slot=st.just("model")
        ),
    ),
    max_size=12,
)


@given(assignments, st.integers(0, 1000))
def test_any_order_and_duplicates_give_the_same_state(items, seed):
    shuffled = [*items, *items]
    random.Random(seed).shuffle(shuffled)
    one, other = TicketState(), TicketState()
    one.merge(items)
    for item in shuffled:
        other.merge([item])
    assert one.state_hash() == other.state_hash()


def test_the_newer_change_of_service_and_server_applies():
    state = TicketState()
    state.merge([Assignment(2, Change("a/vm-1", "model", version="own"))])
    state.merge([Assignment(1, Change("a", "model", version="all"))])
    assert desired_assignment(state, "a", "vm-1", "model").ticket == 2
    assert desired_assignment(state, "a", "vm-2", "model").ticket == 1


@pytest.mark.parametrize(
    ("table", "field"),
    [
        ({"number": 0, "change": [{"scope": "a"}]}, "number"),
        ({"number": 1, "change": []}, "change"),
        ({"number": 1, "change": [{"scope": "a"}], "extra": 1}, "extra"),
        ({"number": 1, "change": [{"scope": "a"}, {"scope": "a"}]}, "change[1]"),
        ({"number": 1, "change": [{"scope": "a", "model": "m"}]}, "change[0].manifest"),
    ],
)
def test_the_error_of_a_malformed_ticket_contains_its_field(table, field):
    with pytest.raises(TicketError) as caught:
        parse_ticket(table, "t.toml")
    assert caught.value.field == field
    assert "t.toml" in str(caught.value)
