"""Fewer concurrent fetches on a link that has become slow."""

from wasabideck_policy.fetch_window import FetchWindow

SLOT_SECONDS = 0.054


def queueing_delay(window, slowdown, fetches=30):
    """Return the delay in seconds of a message on a slowed link, after some fetches."""
    for _ in range(fetches):
        window.record_duration(window.limit * SLOT_SECONDS * slowdown)
    return window.limit * SLOT_SECONDS * slowdown


def test_a_link_at_its_nominal_rate_is_fully_used():
    assert queueing_delay(FetchWindow(5, SLOT_SECONDS), 1.0) == 5 * SLOT_SECONDS


def test_on_a_slow_link_live_requests_do_not_wait_a_second():
    # A VM's link is reduced to a quarter of its rate. With five chunks in flight a
    # request reaches the server 1.1 s late, and so does the cancellation of a request
    # whose caller has disconnected.
    assert 5 * SLOT_SECONDS * 4 > 1.0
    assert queueing_delay(FetchWindow(5, SLOT_SECONDS), 4.0) < 0.7


def test_the_window_grows_again_after_a_slow_link_recovers():
    window = FetchWindow(5, SLOT_SECONDS)
    queueing_delay(window, 4.0)
    assert queueing_delay(window, 1.0) == 5 * SLOT_SECONDS


def test_the_window_never_shrinks_below_one_fetch():
    window = FetchWindow(5, SLOT_SECONDS)
    for _ in range(20):
        window.record_duration(60.0)
    assert window.limit == 1
