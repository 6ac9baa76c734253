"""Fewer fetches at once on a link that has become slow."""

from wasabideck_policy.fetch_window import FetchWindow

SLOT = 0.054


def seconds_behind(window, slower, fetches=30):
    """What waits on a link that is so many times slower, after some fetches."""
    for _ in range(fetches):
        window.took(window.limit * SLOT * slower)
    return window.limit * SLOT * slower


def test_a_link_as_it_should_be_is_kept_full():
    assert seconds_behind(FetchWindow(5, SLOT), 1.0) == 5 * SLOT


def test_on_a_slow_link_live_requests_do_not_wait_a_second():
    # A VM's link narrows to a quarter. With five chunks in flight a request reaches
    # the server 1.1 s late, and so does the end of one whose caller has left.
    assert 5 * SLOT * 4 > 1.0
    assert seconds_behind(FetchWindow(5, SLOT), 4.0) < 0.7


def test_the_window_opens_again():
    window = FetchWindow(5, SLOT)
    seconds_behind(window, 4.0)
    assert seconds_behind(window, 1.0) == 5 * SLOT


def test_one_fetch_always_goes_on():
    window = FetchWindow(5, SLOT)
    for _ in range(20):
        window.took(60.0)
    assert window.limit == 1
