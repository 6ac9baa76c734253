"""From when on a request may no longer begin on older weights."""

from wasabideck_policy.beliefs import Beliefs

WITHIN = 8.0


def test_nothing_is_asked_for_before_the_time_is_over():
    beliefs = Beliefs(0.0)
    assert beliefs.least_version("m", WITHIN, 0.0) == 0
    beliefs.name_version("m", 2, 10.0)
    assert beliefs.least_version("m", WITHIN, 17.9) == 0
    assert beliefs.least_version("m", WITHIN, 18.0) == 2


def test_a_newer_version_gives_an_older_one_no_more_time():
    # Version 2 is due when version 3 is named. A process that counted from the
    # newest name alone let requests begin on version 1 again, for eight seconds.
    beliefs = Beliefs(0.0)
    beliefs.name_version("m", 2, 10.0)
    beliefs.name_version("m", 3, 17.0)
    assert beliefs.least_version("m", WITHIN, 18.0) == 2
    assert beliefs.least_version("m", WITHIN, 24.9) == 2
    assert beliefs.least_version("m", WITHIN, 25.0) == 3


def test_an_older_name_heard_late_changes_nothing():
    beliefs = Beliefs(0.0)
    assert beliefs.name_version("m", 3, 10.0)
    assert not beliefs.name_version("m", 2, 11.0)
    assert beliefs.newest_version("m") == 3
