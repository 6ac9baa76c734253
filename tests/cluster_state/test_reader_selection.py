"""Which entries of a region watch a table for the others, and who relies on them."""

import pytest
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.reader_selection import (
    CONFIRMATION_VALID_SECONDS,
    PROBE_INTERVAL_SECONDS,
    RegionReaderView,
)
from wasabideck_policy.rendezvous import rank_vms

NOW = 100.0
RANKED = rank_vms("r", [f"e{n}" for n in range(6)])


@pytest.fixture
def members():
    entries = [Member(vm, ENTRY, "", "r") for vm in sorted(RANKED)]
    return [*entries, Member("a", AGENT, "", "r"), Member("f", ENTRY, "", "far")]


@pytest.fixture
def follower():
    return RegionReaderView(RANKED[4], "r")


def test_the_first_two_in_rank_read_for_the_others(members):
    # Without a reader a region would learn of changes late. Six readers would saturate
    # its link.
    readers = [vm for vm in RANKED if RegionReaderView(vm, "r").is_reader(members)]
    assert readers == RANKED[:2]


@pytest.mark.parametrize("size", [1, 2])
def test_each_entry_of_a_small_region_reads(size):
    # Otherwise one of two entries would rely on a single reader.
    members = [Member(vm, ENTRY, "", "r") for vm in RANKED[:size]]
    assert all(RegionReaderView(vm, "r").is_reader(members) for vm in RANKED[:size])


def test_an_entry_without_known_members_reads():
    # An entry that starts while the list of members cannot be read would otherwise
    # receive no changes.
    assert RegionReaderView("e0", "r").is_reader([])


def test_the_next_in_rank_replaces_an_unresponsive_reader(members, follower):
    # Otherwise a reader that is lost for good would leave its region with only one.
    follower.record_unresponsive(RANKED[0], NOW)
    assert follower.readers(members) == RANKED[1:3]
    assert follower.readers_to_query(members, NOW) == RANKED[1:3]
    later = NOW + PROBE_INTERVAL_SECONDS
    assert sorted(follower.readers_to_query(members, later)) == sorted(RANKED[:3])
    follower.record_not_following(RANKED[0])
    assert follower.readers(members) == RANKED[:2]


def test_a_reader_probes_only_unresponsive_entries_before_it(members):
    # Otherwise an entry that replaced a reader would not notice that the reader
    # responds again, and would continue to read each configuration as a third one.
    third = RegionReaderView(RANKED[2], "r")
    third.record_unresponsive(RANKED[0], NOW)
    assert third.is_reader(members)
    assert third.readers_to_query(members, NOW) == []
    assert third.readers_to_query(members, NOW + PROBE_INTERVAL_SECONDS) == [RANKED[0]]
    third.record_follows(RANKED[0], NOW + PROBE_INTERVAL_SECONDS)
    assert not third.is_reader(members)


def test_a_confirmation_expires_after_a_short_time(follower):
    # Otherwise the followers of suspended readers would not query the store.
    follower.record_follows(RANKED[0], NOW)
    assert follower.has_valid_confirmation(NOW + CONFIRMATION_VALID_SECONDS - 0.01)
    assert not follower.has_valid_confirmation(NOW + CONFIRMATION_VALID_SECONDS + 0.01)
    assert follower.last_confirmed_at == NOW


@pytest.mark.parametrize("lost", ["refuses", "silent"])
def test_one_valid_confirmation_is_enough(follower, lost):
    # Otherwise all followers would read for themselves once the store refuses a single
    # reader.
    follower.record_follows(RANKED[0], NOW)
    follower.record_follows(RANKED[1], NOW)
    lose = {
        "refuses": follower.record_not_following,
        "silent": lambda vm: follower.record_unresponsive(vm, NOW),
    }
    lose[lost](RANKED[0])
    assert follower.has_valid_confirmation(NOW)
    lose[lost](RANKED[1])
    assert not follower.has_valid_confirmation(NOW)


def test_each_follower_is_notified_by_one_reader(members):
    # Notifications by both readers would take twice the bytes on the readers' links.
    notified = [
        vm
        for one in RANKED[:2]
        for vm in RegionReaderView(one, "r").followers_to_notify(members)
    ]
    assert sorted(notified) == sorted(RANKED[2:])
    assert RegionReaderView(RANKED[3], "r").followers_to_notify(members) == []
