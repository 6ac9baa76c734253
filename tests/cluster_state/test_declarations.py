"""Declarations merge to the same state in any order, and never revert."""

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
def test_any_order_and_duplicates_give_the_same_state(received, rng):
    shuffled = [*received, *received]
    rng.shuffle(shuffled)
    one, other = Declarations(), Declarations()
    one.merge(received)
    for declaration in shuffled:
        other.merge([declaration])
    assert one.numbers() == other.numbers()


@given(st.lists(DECLARATIONS, max_size=8))
@settings(derandomize=True, max_examples=200)
def test_numbers_never_decrease(received):
    state = Declarations()
    for before, declaration in itertools.pairwise([None, *received]):
        numbers = state.numbers()
        state.merge([declaration])
        assert all(state.numbers()[key] >= n for key, n in numbers.items()), before


def test_a_stale_read_replaces_nothing():
    # Configuration 7 revokes an API key. A stale read of the store returns
    # configuration 6 again, which must not make the revoked key valid.
    state = Declarations()
    state.merge([Declaration("configuration", 7, b"new")])
    assert state.merge([Declaration("configuration", 6, b"old")]) == []
    assert state.newer_than({"configuration": 6})[0].content == b"new"


def test_a_peer_is_sent_only_newer_declarations():
    state = Declarations()
    state.merge([Declaration("a", 1, b""), Declaration("b", 2, b"")])
    assert [d.key for d in state.newer_than({"a": 1})] == ["b"]
    assert state.newer_than({"a": 1, "b": 3}) == []
