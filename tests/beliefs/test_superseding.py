"""Two versions named within the time that one takes to come everywhere."""

import pytest
from wasabideck_policy.superseding import finishes_older

TRANSFER, BOUND = 5.2, 8.0


@pytest.mark.parametrize(
    ("missing", "apart", "finishes"),
    [
        # The newest can still come before the one in force is over.
        (0.9, 0.5, False),
        # Two seconds apart: one second without servers, against five.
        (0.75, 2.0, False),
        # Four seconds apart: two and a half seconds without servers, against three.
        (0.5, 4.0, True),
        (0.1, 2.0, True),
    ],
)
def test_the_shorter_time_without_servers_is_chosen(missing, apart, finishes):
    assert finishes_older(missing, apart, TRANSFER, BOUND) is finishes


def test_with_time_enough_the_older_is_dropped():
    assert not finishes_older(0.9, 1.0, 1.0, 60.0)
