"""The fraction of requests sent ahead, when more arrive than the engines can serve."""

import random

from wasabideck_policy.in_time_share import InTimeShare

RATE = 10.0
GOAL = 0.4
# Phases of a load: end (seconds), arrivals per second, whether the engine works.
OVERLOAD = ((4.0, 0.7 * RATE, True), (10.0, 1.4 * RATE, True), (16.0, 0.8 * RATE, True))
SWAP = ((4.0, 0.8 * RATE, True), (6.0, 0.8 * RATE, False), (14.0, 0.85 * RATE, True))
CALM = ((16.0, 0.7 * RATE, True),)


class AllAhead(InTimeShare):
    """Sends every request ahead, which amounts to first come, first served."""

    def draw_sent_ahead(self, rng):
        return True


def in_time(make, phases, seeds=8):
    """Return the fraction of requests after four seconds that start within the goal.

    One engine completes RATE requests per second, those sent ahead first.
    """
    served = good = 0
    for seed in range(seeds):
        for arrived, waited in simulate(make(), phases, random.Random(seed)):
            served += arrived > 4.0
            good += arrived > 4.0 and waited <= GOAL
    return good / served


def simulate(share, phases, rng):
    ahead, behind, started = [], [], []
    next_arrival = next_end = 0.0
    while (now := min(next_arrival, next_end)) < phases[-1][0]:
        _, arrivals, works = next(p for p in phases if now < p[0])
        if now == next_arrival:
            next_arrival += rng.expovariate(arrivals)
            share.record_arrival(now)
            # A slot is free, or soon will be: the request doesn't wait for others.
            idle = len(ahead) + len(behind) <= 1
            (ahead if idle or share.draw_sent_ahead(rng) else behind).append(now)
        if now == next_end:
            next_end += 1 / RATE
            queue = ahead or behind
            if queue and works:
                arrived = queue.pop(0)
                started.append((arrived, now - arrived))
                share.record_completion(now)
    return started


def test_during_an_overload_most_served_requests_are_in_time():
    # For six seconds the traffic rises to 1.4 times the engines' rate. First come,
    # first served, the queue of those seconds makes all following requests late.
    assert in_time(AllAhead, OVERLOAD) < 0.3
    assert in_time(InTimeShare, OVERLOAD) > 0.6


def test_after_a_swap_new_requests_are_in_time_despite_the_backlog():
    # All servers swap their weights for two seconds; the backlog is late in any case.
    assert in_time(AllAhead, SWAP) < 0.3
    assert in_time(InTimeShare, SWAP) > 0.6


def test_below_the_engines_rate_no_request_is_delayed():
    assert in_time(InTimeShare, CALM) > in_time(AllAhead, CALM) - 0.02
