"""Two versions declared within the time that the transfer of one takes."""

import pytest
from wasabideck_policy.superseded_transfer import finish_older_first

TRANSFER_SECONDS, ALLOWED_SECONDS = 5.2, 8.0


@pytest.mark.parametrize(
    ("missing", "interval", "finishes"),
    [
        # The newest version can still arrive before the one in effect expires.
        (0.9, 0.5, False),
        # Declared two seconds apart. Dropping the older version leaves one second
        # without servers, finishing it five.
        (0.75, 2.0, False),
        # Declared four seconds apart. Finishing the older version leaves two and a
        # half seconds without servers, dropping it three.
        (0.5, 4.0, True),
        (0.1, 2.0, True),
    ],
)
def test_the_shorter_time_without_servers_is_chosen(missing, interval, finishes):
    assert (
        finish_older_first(missing, interval, TRANSFER_SECONDS, ALLOWED_SECONDS)
        is finishes
    )


def test_the_older_version_is_dropped_when_there_is_enough_time():
    assert not finish_older_first(0.9, 1.0, 1.0, 60.0)
