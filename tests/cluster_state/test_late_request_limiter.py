"""Limits on the late requests that one entry sends to engines and queues."""

from wasabideck_policy.late_requests import RATE_WINDOW_SECONDS, LateRequestLimiter


def test_one_request_at_a_time_if_entries_and_engines_are_equally_many():
    limiter = LateRequestLimiter()
    assert limiter.may_send(12, 10)
    limiter.record_sent("a", 0.0)
    assert not limiter.may_send(12, 10)
    limiter.record_started("a")
    assert limiter.may_send(12, 10)


def test_more_requests_at_a_time_with_more_engines_per_entry():
    limiter = LateRequestLimiter()
    limiter.record_sent("a", 0.0)
    assert limiter.may_send(40, 10)
    for name in "bcd":
        limiter.record_sent(name, 0.0)
    assert not limiter.may_send(40, 10)


def test_one_request_may_always_be_sent():
    assert LateRequestLimiter().may_send(0, 410)


def test_a_request_that_ends_twice_or_was_never_sent_is_counted_once():
    limiter = LateRequestLimiter()
    limiter.record_ended("never")
    limiter.record_sent("a", 0.0)
    limiter.record_started("a")
    limiter.record_ended("a")
    assert limiter.may_send(1, 1)


def count_queued(limiter, now, count=50):
    """Return how many new requests that can wait for two seconds are queued."""
    return sum(limiter.try_enqueue(f"new-{now}-{n}", 2.0, now) for n in range(count))


def test_the_queue_holds_only_requests_that_can_expect_to_be_sent():
    # All engines are full for seconds. Late requests were queued, never sent, and
    # refused two seconds later: refused immediately, their callers would have retried
    # by then.
    limiter = LateRequestLimiter()
    for n in range(10):
        limiter.record_sent(n, 10.0 + n * 0.2)
        limiter.record_started(n)
    busy = count_queued(limiter, 12.0)
    assert 4 <= busy <= 12
    idle = LateRequestLimiter()
    assert count_queued(idle, 12.0) == 1


def test_the_queue_shrinks_when_requests_are_rarely_sent():
    limiter = LateRequestLimiter()
    for n in range(10):
        limiter.record_sent(n, 10.0 + n * 0.2)
        limiter.record_started(n)
    assert count_queued(limiter, 12.0 + 4 * RATE_WINDOW_SECONDS) == 1


def test_a_queued_request_stays_queued_until_it_ends():
    limiter = LateRequestLimiter()
    assert limiter.try_enqueue("a", 2.0, 1.0)
    assert limiter.try_enqueue("a", 0.1, 3.0)
    assert not limiter.try_enqueue("b", 2.0, 3.0)
    limiter.record_ended("a")
    assert limiter.try_enqueue("b", 2.0, 3.0)
