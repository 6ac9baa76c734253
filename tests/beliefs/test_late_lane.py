"""Late requests of one entry, and how many of them engines have to begin."""

from wasabideck_policy.late_lane import LateLane


def test_one_at_a_time_where_there_are_as_many_entries_as_engines():
    lane = LateLane()
    assert lane.has_room(12, 10)
    lane.sent("a")
    assert not lane.has_room(12, 10)
    lane.begun("a")
    assert lane.has_room(12, 10)


def test_more_where_an_entry_has_more_engines():
    lane = LateLane()
    lane.sent("a")
    assert lane.has_room(40, 10)
    for name in "bcd":
        lane.sent(name)
    assert not lane.has_room(40, 10)


def test_there_is_always_room_for_one():
    assert LateLane().has_room(0, 410)


def test_what_ends_twice_or_was_never_sent_counts_once():
    lane = LateLane()
    lane.begun("never")
    lane.sent("a")
    lane.begun("a")
    lane.begun("a")
    assert lane.has_room(1, 1)
