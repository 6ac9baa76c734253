"""Region readers, gossip targets, and when a new process knows enough tickets."""

import random

import pytest
from wasabideck_policy.membership import (
    AGENT,
    ENTRY,
    POLLERS_PER_DATA_CENTRE,
    RECENT_STATE_SECONDS,
    FailureTracker,
    Member,
    StartupKnowledge,
    entries_to_query,
    head_pollers,
    push_targets,
)

ENTRIES = [
    Member(f"entry-{i}", ENTRY, f"h:{i}", data_centre=f"dc-{i % 7}") for i in range(410)
]


def test_few_entries_of_each_data_centre_read_the_table():
    """At the target size every entry read the head twice a second. These 820 reads
    slowed the store down for claims. Three readers in a data centre are enough."""
    readers = {m.vm for dc in range(7) for m in head_pollers("x", f"dc-{dc}", ENTRIES)}
    assert len(readers - {"x"}) <= 7 * POLLERS_PER_DATA_CENTRE
    agreed = [
        head_pollers(m.vm, "dc-0", ENTRIES) for m in ENTRIES if m.data_centre == "dc-0"
    ]
    assert all(ranked == agreed[0] for ranked in agreed)


def test_an_entry_missing_from_the_list_reads_the_table_itself():
    assert [m.vm for m in head_pollers("new", "dc-9", ENTRIES)] == ["new"]


def test_an_entry_shutting_down_neither_reads_nor_receives_gossip(rng):
    leaving = [Member("entry-x", ENTRY, "h:1", data_centre="dc", leaving=True)]
    assert [m.vm for m in head_pollers("me", "dc", leaving)] == ["me"]
    assert push_targets("me", "dc", leaving, rng) == []


def test_a_change_is_sent_to_local_and_remote_entries():
    targets = push_targets("entry-0", "dc-0", ENTRIES, random.Random(1))
    assert sorted(m.data_centre == "dc-0" for m in targets) == [False, True, True, True]
    assert "entry-0" not in {m.vm for m in targets}


def test_pushes_reach_nearly_all_entries(rng):
    """A ticket pushed with this fanout reaches nearly every entry before the next
    anti-entropy comparison. The comparisons each second reach the rest."""
    informed, pending = {"entry-0"}, ["entry-0"]
    by_name = {m.vm: m for m in ENTRIES}
    while pending:
        vm = pending.pop()
        targets = {
            m.vm for m in push_targets(vm, by_name[vm].data_centre, ENTRIES, rng)
        }
        pending += sorted(targets - informed)
        informed |= targets
    assert len(informed) / len(ENTRIES) > 0.95


def test_an_agent_queries_other_entries_instead_of_failed_ones():
    """All three entries that an agent watches die at once, and the platform's list
    is outdated. The agent must query the next entries by rank to receive tickets."""
    watch = FailureTracker()
    first = entries_to_query("vm", ENTRIES, watch, 100.0)
    for member in first:
        watch.record_failure(member.vm, 100.0)
    second = entries_to_query("vm", ENTRIES, watch, 101.0)
    assert not {m.vm for m in first} & {m.vm for m in second}
    assert entries_to_query("vm", ENTRIES, watch, 106.0) == first


@pytest.mark.parametrize(
    ("answers", "known"),
    [
        ([("a", RECENT_STATE_SECONDS)], True),
        ([("a", 60.0)], False),
        ([("a", 60.0), ("a", 60.0)], False),
        ([("a", 60.0), ("b", 60.0)], True),
    ],
    ids=["one-fresh", "one-old", "the-same-twice", "two-old"],
)
def test_when_a_starting_process_knows_enough(answers, known):
    """A VM starts while the table is unavailable, and queries one entry that was frozen
    for a minute. It would load the version of a minute ago. Two entries are needed."""
    knowledge = StartupKnowledge()
    for vm, age in answers:
        knowledge.record_peer_state(vm, age, listed=3)
    assert knowledge.sufficient is known


def test_a_single_entry_is_enough_if_there_is_no_other():
    assert StartupKnowledge().record_peer_state("a", 60.0, listed=1)


def test_agents_are_not_queried_for_state():
    agents = [Member("draft-1", AGENT, "h:1")]
    assert entries_to_query("vm", agents, FailureTracker(), 0.0) == []
