"""Who reads the table, who tells whom, and when a starting process knows enough."""

import random

import pytest
from wasabideck_policy.membership import (
    AGENT,
    ENTRY,
    FRESH_SECONDS,
    POLLERS,
    Heard,
    Member,
    Watch,
    polls,
    tell,
    watched,
)

ENTRIES = [
    Member(f"entry-{i}", ENTRY, f"h:{i}", data_centre=f"dc-{i % 7}") for i in range(410)
]


def test_few_entries_of_each_data_centre_read_the_table():
    """At the target size every entry read the head twice a second, 820 reads, and
    the store slowed down for claims. Three of a data centre are enough."""
    readers = {m.vm for dc in range(7) for m in polls("x", f"dc-{dc}", ENTRIES)}
    assert len(readers - {"x"}) <= 7 * POLLERS
    agreed = [polls(m.vm, "dc-0", ENTRIES) for m in ENTRIES if m.data_centre == "dc-0"]
    assert all(ranked == agreed[0] for ranked in agreed)


def test_an_entry_that_the_list_lacks_may_read_itself():
    assert [m.vm for m in polls("new", "dc-9", ENTRIES)] == ["new"]


def test_a_leaving_entry_is_neither_reader_nor_told(rng):
    leaving = [Member("entry-x", ENTRY, "h:1", data_centre="dc", leaving=True)]
    assert [m.vm for m in polls("me", "dc", leaving)] == ["me"]
    assert tell("me", "dc", leaving, rng) == []


def test_a_change_is_told_near_and_far():
    told = tell("entry-0", "dc-0", ENTRIES, random.Random(1))
    assert sorted(m.data_centre == "dc-0" for m in told) == [False, True, True, True]
    assert "entry-0" not in {m.vm for m in told}


def test_pushes_reach_nearly_all_entries(rng):
    """A ticket pushed with this fanout has reached nearly every entry before the
    next comparison; comparisons each second bring the rest."""
    knows, fresh = {"entry-0"}, ["entry-0"]
    by_name = {m.vm: m for m in ENTRIES}
    while fresh:
        vm = fresh.pop()
        told = {m.vm for m in tell(vm, by_name[vm].data_centre, ENTRIES, rng)}
        fresh += sorted(told - knows)
        knows |= told
    assert len(knows) / len(ENTRIES) > 0.95


def test_an_agent_asks_others_in_place_of_entries_that_fail():
    """All three entries that an agent watches die at once, and the platform's list
    lags; the agent hears of no ticket. It asks the next ones by rank."""
    watch = Watch()
    first = watched("vm", ENTRIES, watch, 100.0)
    for member in first:
        watch.failed(member.vm, 100.0)
    second = watched("vm", ENTRIES, watch, 101.0)
    assert not {m.vm for m in first} & {m.vm for m in second}
    assert watched("vm", ENTRIES, watch, 106.0) == first


@pytest.mark.parametrize(
    ("answers", "known"),
    [
        ([("a", FRESH_SECONDS)], True),
        ([("a", 60.0)], False),
        ([("a", 60.0), ("a", 60.0)], False),
        ([("a", 60.0), ("b", 60.0)], True),
    ],
    ids=["one-fresh", "one-old", "the-same-twice", "two-old"],
)
def test_a_starting_process_knows_enough(answers, known):
    """A VM starts with the table down, and the one entry that it asks was frozen
    for a minute: it loads the version of a minute ago. Two entries are needed."""
    heard = Heard()
    for vm, age in answers:
        heard.hear(vm, age, listed=3)
    assert heard.done is known


def test_the_only_entry_there_is_counts_alone():
    assert Heard().hear("a", 60.0, listed=1)


def test_agents_are_not_asked_for_state():
    agents = [Member("draft-1", AGENT, "h:1")]
    assert watched("vm", agents, Watch(), 0.0) == []
