"""Admission and the order of waiting requests, decided with a given time."""

import pytest
from wasabideck_policy.admission import RESERVE_SECONDS, Gate, admit
from wasabideck_policy.concurrency import AdaptiveLimit
from wasabideck_policy.fair_queue import AGING_SECONDS, FairQueue, Waiting


def waiting(organisation="org-1", priority=1, since=0.0, deadline=1e9):
    return Waiting(organisation, priority, since, deadline)


def order_of(queue, now=0.0):
    taken = []
    while first := queue.first(now):
        queue.dequeue(first, now)
        taken.append(first)
    return taken


@pytest.fixture
def gate():
    return Gate(capacity=8, service_time=1.0, open=True)


def fill(gate, count, **fields):
    for _ in range(count):
        gate.queue.add(waiting(**fields))
        gate.next(0.0)


def test_a_dispute_goes_before_greetings_that_came_earlier():
    queue = FairQueue()
    for _ in range(5):
        queue.add(waiting(priority=2))
    dispute = waiting(priority=0, since=1.0)
    queue.add(dispute)
    assert order_of(queue, now=1.0)[0] is dispute


def test_a_large_organisation_cannot_crowd_out_a_small_one():
    # A large organisation sends 50 drafts at once, then a small one sends 3. First
    # come, first served would answer the small one after all the 50.
    queue = FairQueue()
    for _ in range(50):
        queue.add(waiting("large"))
    for _ in range(3):
        queue.add(waiting("small", since=0.1))
    order = [w.organisation for w in order_of(queue, now=0.1)]
    assert order[:6].count("small") == 3


def test_an_organisation_that_paused_saves_no_turns_up():
    queue = FairQueue()
    for _ in range(20):
        queue.add(waiting("busy"))
    order_of(queue)
    for _ in range(10):
        queue.add(waiting("busy"))
        queue.add(waiting("back", since=0.1))
    order = [w.organisation for w in order_of(queue)]
    assert 4 <= order[:10].count("back") <= 6


def test_an_old_greeting_is_served_though_urgent_ones_keep_coming():
    # Strict classes alone would starve the greeting for as long as the burst lasts.
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


def test_no_age_lifts_a_greeting_into_the_class_of_disputes():
    assert waiting(priority=2).current_class(1e6) == 1


def test_slots_stay_free_for_the_next_dispute(gate):
    # Greetings fill every slot, and the next dispute waits a whole answer for one.
    assert admit(gate, waiting(priority=0), 0.0) is None
    fill(gate, 20, priority=2)
    assert gate.running == 6
    gate.queue.add(waiting(priority=0))
    assert gate.next(0.0).priority == 0


def test_no_slot_is_kept_free_where_nothing_urgent_comes(gate):
    gate.urgent_until = RESERVE_SECONDS
    fill(gate, 20, priority=2)
    assert gate.running == 6
    while gate.next(RESERVE_SECONDS):
        pass
    assert gate.running == 8


def test_a_request_that_cannot_be_in_time_is_refused_at_once(gate):
    # Its caller would wait for its whole deadline, and be refused after all.
    fill(gate, 8 + 40)
    refusal = admit(gate, waiting(deadline=4.0), 0.0)
    assert refusal.failure.kind == "ShareUsed"
    assert refusal.retry_after > 0


def test_a_refusal_says_whether_another_server_is_worth_a_retry(gate):
    # All entries' retries come from one small budget. Spent on a large organisation
    # that has queues everywhere, nothing is left for those who would find room.
    fill(gate, 8 + 60, organisation="large")
    assert admit(gate, waiting("large", deadline=2.0), 0.0).failure.kind == "ShareUsed"
    assert admit(gate, waiting("small", deadline=1.1), 0.0).failure.kind == "Overloaded"


def test_the_small_organisation_is_let_in_where_the_large_one_is_refused(gate):
    # With one queue for all, whoever sends most also gets most of the refusals'
    # other side: all organisations are refused alike, so the large one gets it all.
    fill(gate, 8 + 60, organisation="large")
    assert admit(gate, waiting("large", deadline=5.0), 0.0)
    assert admit(gate, waiting("small", deadline=5.0), 0.0) is None


def test_an_idle_server_refuses_nobody_for_being_slow(gate):
    # One stalled answer makes the smoothed time longer than any deadline; refusing
    # on its account alone would leave nothing that could correct it.
    gate.service_time = 60.0
    assert admit(gate, waiting(deadline=5.0), 0.0) is None


def test_a_wait_counts_the_more_urgent_that_will_overtake(gate):
    fill(gate, 8 + 8, priority=2)
    before = gate.expected_wait(waiting(priority=2), 0.0)
    for _ in range(20):
        gate.running -= 1
        gate.queue.add(waiting(priority=1))
        gate.next(0.0)
    assert gate.expected_wait(waiting(priority=2), 0.0) > 2 * before


@pytest.mark.parametrize("slots", [2, 4, 8])
def test_the_limit_finds_the_slots_of_a_server_that_reports_no_load(slots):
    # The settings allow 32 at once; the server works on a few, and lets the others
    # queue inside it, where neither classes nor organisations count.
    limit = AdaptiveLimit(limit=32, most=32)
    for _ in range(1990):
        running = limit.slots
        limit.observe(0.02 * max(1.0, running / slots), running)
    assert slots <= limit.slots <= slots + 2


def test_the_limit_grows_again_when_the_server_got_faster():
    limit = AdaptiveLimit(limit=2, most=16, min_seconds=0.02, seconds=0.02)
    for _ in range(500):
        limit.observe(0.02, limit.slots)
    assert limit.slots == 16


def test_the_limit_falls_soon_when_requests_begin_to_queue_inside():
    limit = AdaptiveLimit(limit=16, most=16, min_seconds=0.02, seconds=0.02)
    for _ in range(100):
        running = limit.slots
        limit.observe(0.02 * max(1.0, running / 4), running)
    assert 4 <= limit.slots <= 6
