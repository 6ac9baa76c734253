"""Admission control, the order of waiting requests, and the concurrency limit."""

import pytest
from wasabideck_policy.admission import RESERVE_SECONDS, AdmissionControl, admit
from wasabideck_policy.concurrency_limit import AdaptiveConcurrencyLimit
from wasabideck_policy.fair_queue import AGING_SECONDS, FairQueue, WaitingRequest


def waiting(organisation="org-1", priority=1, since=0.0, deadline=1e9):
    return WaitingRequest(organisation, priority, since, deadline)


def dequeue_all(queue, now=0.0):
    order = []
    while first := queue.first(now):
        queue.dequeue(first, now)
        order.append(first)
    return order


@pytest.fixture
def admission():
    return AdmissionControl(capacity=8, service_seconds=1.0, accepting=True)


def fill(admission, count, **fields):
    for _ in range(count):
        admission.queue.add(waiting(**fields))
        admission.start_next(0.0)


def test_a_dispute_starts_before_greetings_that_arrived_earlier():
    queue = FairQueue()
    for _ in range(5):
        queue.add(waiting(priority=2))
    dispute = waiting(priority=0, since=1.0)
    queue.add(dispute)
    assert dequeue_all(queue, now=1.0)[0] is dispute


def test_a_large_organisation_does_not_starve_a_small_one():
    # A large organisation sends 50 drafts at once, then a small one sends 3. First
    # come, first served, the small one's drafts would start after all 50.
    queue = FairQueue()
    for _ in range(50):
        queue.add(waiting("large"))
    for _ in range(3):
        queue.add(waiting("small", since=0.1))
    order = [w.organisation for w in dequeue_all(queue, now=0.1)]
    assert order[:6].count("small") == 3


def test_an_idle_organisation_saves_up_no_slots():
    queue = FairQueue()
    for _ in range(20):
        queue.add(waiting("busy"))
    dequeue_all(queue)
    for _ in range(10):
        queue.add(waiting("busy"))
        queue.add(waiting("back", since=0.1))
    order = [w.organisation for w in dequeue_all(queue)]
    assert 4 <= order[:10].count("back") <= 6


def test_an_old_greeting_starts_while_urgent_requests_keep_arriving():
    # Strict classes without aging would starve the greeting during the whole burst.
    queue = FairQueue()
    greeting = waiting(priority=2, since=0.0)
    queue.add(greeting)
    for second in range(10):
        now = float(second)
        queue.add(waiting(priority=1, since=now))
        queue.add(waiting(priority=1, since=now))
        first = queue.first(now)
        queue.dequeue(first, now)
        if first is greeting:
            break
    assert first is greeting
    assert now >= AGING_SECONDS


def test_aging_never_raises_a_greeting_into_the_class_of_disputes():
    assert waiting(priority=2).current_class(1e6) == 1


def test_slots_are_reserved_for_the_next_dispute(admission):
    # If greetings use every slot, the next dispute waits until one of them completes.
    assert admit(admission, waiting(priority=0), 0.0) is None
    fill(admission, 20, priority=2)
    assert admission.running == 6
    admission.queue.add(waiting(priority=0))
    assert admission.start_next(0.0).priority == 0


def test_no_slot_is_reserved_if_no_urgent_requests_arrive(admission):
    admission.reserve_until = RESERVE_SECONDS
    fill(admission, 20, priority=2)
    assert admission.running == 6
    while admission.start_next(RESERVE_SECONDS):
        pass
    assert admission.running == 8


def test_a_request_that_cannot_be_in_time_is_refused_immediately(admission):
    # Otherwise its caller would wait until the deadline, and be refused then.
    fill(admission, 8 + 40)
    refusal = admit(admission, waiting(deadline=4.0), 0.0)
    assert refusal.failure.kind == "ShareUsed"
    assert refusal.retry_after > 0


def test_a_refusal_indicates_whether_to_retry_at_another_server(admission):
    # All retries are charged to one small budget. If a large organisation with queues
    # at all servers spends it, nothing is left for organisations that have capacity
    # elsewhere.
    fill(admission, 8 + 60, organisation="large")
    assert (
        admit(admission, waiting("large", deadline=2.0), 0.0).failure.kind
        == "ShareUsed"
    )
    assert (
        admit(admission, waiting("small", deadline=1.1), 0.0).failure.kind
        == "Overloaded"
    )


def test_a_small_organisation_is_admitted_where_a_large_one_is_refused(admission):
    # With one queue for all organisations, all of them would be refused equally often,
    # and the one that sends the most requests would get nearly all slots.
    fill(admission, 8 + 60, organisation="large")
    assert admit(admission, waiting("large", deadline=5.0), 0.0)
    assert admit(admission, waiting("small", deadline=5.0), 0.0) is None


def test_an_idle_server_admits_requests_though_it_was_slow(admission):
    # One stalled response makes the smoothed duration longer than any deadline. If all
    # requests were refused for that, no request could correct the duration.
    admission.service_seconds = 60.0
    assert admit(admission, waiting(deadline=5.0), 0.0) is None


def test_the_expected_wait_includes_more_urgent_requests(admission):
    fill(admission, 8 + 8, priority=2)
    before = admission.expected_wait(waiting(priority=2), 0.0)
    for _ in range(20):
        admission.running -= 1
        admission.queue.add(waiting(priority=1))
        admission.start_next(0.0)
    assert admission.expected_wait(waiting(priority=2), 0.0) > 2 * before


@pytest.mark.parametrize("slots", [2, 4, 8])
def test_the_limit_approaches_the_slots_of_a_server_without_load_reports(slots):
    # The settings allow 32 concurrent requests. The server runs a few of them and
    # queues the others internally, without regard to classes and organisations.
    limit = AdaptiveConcurrencyLimit(limit=32, max_limit=32)
    for _ in range(1990):
        running = limit.slots
        limit.observe(0.02 * max(1.0, running / slots), running)
    assert slots <= limit.slots <= slots + 2


def test_the_limit_increases_when_the_server_becomes_faster():
    limit = AdaptiveConcurrencyLimit(
        limit=2, max_limit=16, min_seconds=0.02, seconds=0.02
    )
    for _ in range(500):
        limit.observe(0.02, limit.slots)
    assert limit.slots == 16


def test_the_limit_decreases_soon_when_requests_queue_in_the_server():
    limit = AdaptiveConcurrencyLimit(
        limit=16, max_limit=16, min_seconds=0.02, seconds=0.02
    )
    for _ in range(100):
        running = limit.slots
        limit.observe(0.02 * max(1.0, running / 4), running)
    assert 4 <= limit.slots <= 6
