"""Declarations merge the same whatever the order, and never revert."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from wasabideck_policy.declarations import Declaration, Declarations

DECLARATIONS = st.builds(
    Declaration,
    key=st.sampled_from(["configuration", "weights/a", "weights/b"]),
    number=st.integers(0, 5),
    content=st.just(b"x"),
)


@given(st.lists(DECLARATIONS, max_size=8), st.randoms(use_true_random=False))
@settings(derandomize=True, max_examples=200)
def test_any_order_and_any_repeats_end_alike(found, rng):
    again = [*found, *found]
    rng.shuffle(again)
    one, other = Declarations(), Declarations()
    one.merge(found)
    for declaration in again:
        other.merge([declaration])
    assert one.numbers() == other.numbers()


@given(st.lists(DECLARATIONS, max_size=8))
@settings(derandomize=True, max_examples=200)
def test_numbers_only_grow(found):
    state = Declarations()
    for before, declaration in itertools.pairwise([None, *found]):
        numbers = state.numbers()
        state.merge([declaration])
        assert all(state.numbers()[key] >= n for key, n in numbers.items()), before


def test_a_stale_answer_replaces_nothing():
    # An operator revokes a key with number 7. A store that answers from before then
    # gives number 6 again: callers with the old key must not get in once more.
    state = Declarations()
    state.merge([Declaration("configuration", 7, b"new")])
    assert state.merge([Declaration("configuration", 6, b"old")]) == []
    assert state.newer_than({"configuration": 6})[0].content == b"new"


def test_a_peer_is_told_only_what_it_lacks():
    state = Declarations()
    state.merge([Declaration("a", 1, b""), Declaration("b", 2, b"")])
    assert [d.key for d in state.newer_than({"a": 1})] == ["b"]
    assert state.newer_than({"a": 1, "b": 3}) == []
