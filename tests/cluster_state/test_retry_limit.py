"""The retry limit holds for all entries together, in any window."""

from hypothesis import given, settings
from hypothesis import strategies as st
from wasabideck_policy.retry_limit import RetryLimit

RATIO, SLACK, WINDOW, ENTRIES = 0.2, 20.0, 10.0, 4

STEPS = st.lists(
    st.tuples(st.integers(0, ENTRIES - 1), st.booleans(), st.floats(0.0, 0.3)),
    max_size=400,
)


@given(STEPS)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_all_entries_together_stay_within_the_limit(steps):
    # A service fails, and every entry would retry each request once: the retries of all
    # entries together must not become a retry storm that prevents the recovery.
    shares = [RetryLimit(RATIO, SLACK, WINDOW) for _ in range(ENTRIES)]
    now, requests, retries = 0.0, [], []
    for entry, is_retry, interval in steps:
        now += interval
        if not is_retry:
            shares[entry].record_request(now)
            requests.append(now)
        elif shares[entry].try_spend(now, ENTRIES):
            retries.append(now)
            start = now - WINDOW
            counted = sum(t >= start - WINDOW for t in requests)
            made = sum(t > start for t in retries)
            assert made <= RATIO * counted + SLACK


def test_a_single_entry_may_use_the_whole_allowance():
    share = RetryLimit(RATIO, SLACK, WINDOW)
    assert sum(share.try_spend(0.0, 1) for _ in range(100)) == 14


def test_the_allowance_is_renewed_after_the_window():
    share = RetryLimit(RATIO, SLACK, WINDOW)
    while share.try_spend(0.0, 1):
        pass
    assert share.try_spend(WINDOW + 1.0, 1)


def test_a_check_of_the_limit_spends_nothing():
    share = RetryLimit(0.2, 10.0, 10.0)
    for _ in range(50):
        assert share.allows_retry(0.0, 1)
    spent = 0
    while share.try_spend(0.0, 1):
        spent += 1
    assert spent > 0
    assert not share.allows_retry(0.0, 1)
