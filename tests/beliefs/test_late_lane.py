"""Late requests of one entry, how many engines have to begin, and how many wait."""

from wasabideck_policy.late_lane import RATE_WINDOW_SECONDS, LateLane


def test_one_at_a_time_where_there_are_as_many_entries_as_engines():
    lane = LateLane()
    assert lane.has_room(12, 10)
    lane.sent("a", 0.0)
    assert not lane.has_room(12, 10)
    lane.begun("a")
    assert lane.has_room(12, 10)


def test_more_where_an_entry_has_more_engines():
    lane = LateLane()
    lane.sent("a", 0.0)
    assert lane.has_room(40, 10)
    for name in "bcd":
        lane.sent(name, 0.0)
    assert not lane.has_room(40, 10)


def test_there_is_always_room_for_one():
    assert LateLane().has_room(0, 410)


def test_what_ends_twice_or_was_never_sent_counts_once():
    lane = LateLane()
    lane.ended("never")
    lane.sent("a", 0.0)
    lane.begun("a")
    lane.ended("a")
    assert lane.has_room(1, 1)


def waiting(lane, now, most=50):
    """How many new requests the line takes that could wait for two seconds."""
    return sum(lane.may_wait(f"new-{now}-{n}", 2.0, now) for n in range(most))


def test_no_more_wait_than_are_likely_to_get_a_turn():
    # All engines are full for seconds. Requests waited for a turn that nobody got, and
    # were refused two seconds later: told at once, they would have come back by then.
    lane = LateLane()
    for n in range(10):
        lane.sent(n, 10.0 + n * 0.2)
        lane.begun(n)
    busy = waiting(lane, 12.0)
    assert 4 <= busy <= 12
    idle = LateLane()
    assert waiting(idle, 12.0) == 1


def test_the_line_shortens_when_turns_become_rare():
    lane = LateLane()
    for n in range(10):
        lane.sent(n, 10.0 + n * 0.2)
        lane.begun(n)
    assert waiting(lane, 12.0 + 4 * RATE_WINDOW_SECONDS) == 1


def test_who_stands_in_the_line_stays_until_it_ends():
    lane = LateLane()
    assert lane.may_wait("a", 2.0, 1.0)
    assert lane.may_wait("a", 0.1, 3.0)
    assert not lane.may_wait("b", 2.0, 3.0)
    lane.ended("a")
    assert lane.may_wait("b", 2.0, 3.0)
