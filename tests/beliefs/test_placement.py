"""Which server gets a request, by load, urgency and weights."""

import random

import pytest
from wasabideck_policy.backends import Backend, Listed
from wasabideck_policy.engine_news import EngineNews
from wasabideck_policy.placement import (
    FULL_PART,
    LOCAL_PROBES,
    Demand,
    Urgency,
    choose,
    choose_near,
)

NOW = 100.0
DEMAND = Demand("dc", "m", 16)


def engine(name, pressed, version=1, serving=True, ready_in=0.0, slots=16):
    backend = Backend(Listed(name, "s", f"{name}:1", "dc", slots))
    news = EngineNews(f"{name}:1", version, serving, pressed, 0, ready_in, 2)
    backend.hear(news, NOW)
    return backend


def place(backends, demand=DEMAND, seed=1):
    return choose(backends, demand, NOW, random.Random(seed))


def test_the_less_pressed_of_the_drawn_is_taken():
    found = place([engine("a", 12), engine("b", 3)])
    assert found.backend.server == "b"
    assert found.urgency == Urgency.FRESH


def test_a_server_that_swaps_gets_nothing_and_its_return_is_known():
    found = place([engine("a", 0, serving=False, ready_in=0.9)])
    assert found.backend is None
    assert found.back_in == pytest.approx(0.9)


def test_weights_that_are_over_serve_nothing():
    demand = Demand("dc", "m", 16, least_version=2)
    found = place([engine("a", 0), engine("b", 15, version=2)], demand)
    assert found.backend.server == "b"


def test_nothing_waits_in_the_queue_of_weights_that_are_soon_over():
    # A draft that is sent to a full server with the former version begins two seconds
    # later, when that version is over: it would be written by weights that no ticket
    # names any more.
    demand = Demand("dc", "m", 16, min_queued_version=2)
    assert place([engine("a", 15)], demand).backend is None
    assert place([engine("a", 5)], demand).backend.server == "a"


def test_a_server_whose_weights_are_soon_over_is_not_waited_for_as_if_it_were_back():
    # The only server that serves has a queue, and weights that are soon over: nothing
    # more may wait there. It counted as back in no time, and each entry looked again
    # without a pause for up to 1.2 s, until all sent to the first one that seemed idle.
    demand = Demand("dc", "m", 16, min_queued_version=2)
    found = place([engine("a", 15, ready_in=0.8)], demand)
    assert found.backend is None
    assert found.back_in == pytest.approx(0.8)


def test_one_that_is_not_sent_ahead_waits_behind_the_others():
    behind = Demand("dc", "m", 16, ahead=False)
    assert place([engine("a", 17)], behind).urgency == Urgency.LATE
    assert place([engine("a", 5)], behind).urgency == Urgency.FRESH


def test_when_all_are_too_full_it_is_said_at_once():
    found = place([engine("a", 30), engine("b", 40)])
    assert found.backend is None
    assert found.full


def test_an_answer_does_not_make_old_news_of_an_agent_fresh():
    # An agent dies while its engine swaps. The engine loads and serves; what the agent
    # said last, "no requests now", must not count as said just now with each answer.
    backend = engine("a", 3, serving=False, ready_in=0.5)
    backend.versions["m"] = 1
    backend.news_at = NOW - 5.0
    backend.told_at = NOW
    assert place([backend]).backend is backend


def waited_on(name, pressed, since):
    """An engine that was sent a request and has told its weights before."""
    backend = engine(name, pressed)
    backend.versions["m"] = 1
    backend.begin(since)
    return backend


def test_a_server_that_tells_nothing_is_passed_over_while_others_tell():
    # A VM stands still with its engine for four seconds. What was known of its load
    # faded and it looked the least pressed: each entry went on sending it drafts, and
    # each of them waited there in vain for half of its caller's patience.
    still, others = waited_on("a", 8, NOW), [engine("b", 14), engine("c", 14)]
    later = NOW + 2.0
    for backend in others:
        backend.hear(backend.news, later)
    for seed in range(20):
        found = choose([still, *others], DEMAND, later, random.Random(seed))
        assert found.backend is not still


def test_a_server_that_was_given_up_gets_one_request_at_a_time():
    # Each time an entry had given up all that it had sent to a VM that stood still, it
    # counted that VM's silence anew and sent it ten more drafts before it had passed.
    still, other = waited_on("a", 8, NOW), engine("b", 14)
    later = NOW + 2.0
    other.hear(other.news, later)
    still.in_progress = 0
    assert choose([still, other], DEMAND, later, random.Random(1)).backend is still
    still.begin(later)
    assert choose([still, other], DEMAND, later, random.Random(1)).backend is other


@pytest.mark.parametrize("sign", ["byte", "news", "none-due"])
def test_a_server_that_tells_anything_is_not_passed_over(sign):
    # An agent is killed, and its engine serves on; another engine's answers to one
    # entry all wait in its queue, and only the agent tells; to a third server nothing
    # was sent for a while, so that it had nothing to tell. None of them stands still.
    later = NOW + 2.0
    lively = waited_on("a", 3, later - 0.05 if sign == "none-due" else NOW)
    other = engine("b", 14)
    other.hear(other.news, later)
    if sign == "byte":
        lively.heard_at = later - 0.1
    elif sign == "news":
        lively.hear(lively.news, later - 0.1)
    found = choose([lively, other], DEMAND, later, random.Random(1))
    assert found.backend is lively


def test_servers_that_are_all_silent_are_used_as_before():
    # An entry's own link stalls for a second: no server is heard, and none is at fault.
    servers = [waited_on(name, 8, NOW) for name in "abc"]
    found = choose(servers, DEMAND, NOW + 2.0, random.Random(1))
    assert found.backend in servers


def test_entries_that_heard_the_same_word_do_not_all_send_to_one_server():
    # All servers but one were full. Its agent's word reached twenty entries at once,
    # and each sent it draft after draft until the next word: half of them were refused
    # there, and the others waited behind one another for seconds.
    entries, free_places = 20, 12
    open_one = Listed("open", "s", "open:1", "dc", 16)
    sent = 0
    for seed in range(entries):
        mine = [Backend(open_one), *(engine(f"full-{n}", 40) for n in range(4))]
        mine[0].hear(EngineNews("open:1", 1, True, 16 - free_places, 0), NOW)
        demand = Demand("dc", "m", 16, entries=entries)
        rng = random.Random(seed)
        while (place := choose(mine, demand, NOW + 0.1, rng)).backend is not None:
            place.backend.begin(NOW + 0.1)
            sent += 1
    # What an engine of 16 slots may have waiting comes on top.
    room = free_places + 16 * FULL_PART
    assert sent <= 4 * room


def test_an_agents_word_counts_what_others_sent():
    # What an entry took others to have sent must not be added to what the agent says
    # is there: a server with free places would look full for ever.
    backend = engine("a", 3)
    for _ in range(6):
        backend.begin(NOW)
    demand = Demand("dc", "m", 16, entries=20)
    assert choose([backend], demand, NOW, random.Random(1)).backend is None
    backend.hear(EngineNews("a:1", 1, True, 8, 0), NOW + 0.25)
    assert choose([backend], demand, NOW + 0.25, random.Random(1)).backend is backend


def test_a_servers_own_word_counts_what_others_sent_when_its_agent_is_gone():
    # An agent is killed and its engine serves on. Each request that an entry sent there
    # stood for those of the others for ever, and the engine got no more.
    backend = engine("a", 3)
    backend.versions["m"] = 1
    later = NOW + 5.0
    for n in range(12):
        backend.begin(later + n)
        backend.in_progress -= 1
        backend.hear_load(4, later + n)
    demand = Demand("dc", "m", 16, entries=20)
    assert choose([backend], demand, later + 12, random.Random(1)).backend is backend


def test_a_server_with_prompts_to_read_is_as_if_fuller():
    # The first engine to be back after an outage was empty, and all sent to it: it read
    # 17 prompts one after the other, 50 ms each, before any of them was answered.
    reading, writing = engine("reading", 4), engine("writing", 7)
    reading.unread = {"a", "b", "c"}
    place = choose([reading, writing], Demand("dc", "m", 16), NOW, random.Random(1))
    assert place.backend is writing


def test_what_would_wait_for_two_slots_is_not_sent_ahead():
    # Sent ahead to a server with seven waiting, each of them was late.
    server = engine("full", 20)
    place = choose([server], Demand("dc", "m", 16, ahead=True), NOW, random.Random(1))
    assert place.urgency == Urgency.LATE
    assert not place.free


def test_the_rest_of_a_begun_stream_goes_ahead_in_any_case():
    server = engine("full", 20)
    demand = Demand("dc", "m", 16, late=True, begun=True)
    assert choose([server], demand, NOW, random.Random(1)).urgency == Urgency.FRESH


def far_engine(name, pressed):
    backend = Backend(Listed(name, "s", f"{name}:1", "elsewhere", 16))
    backend.hear(EngineNews(f"{name}:1", 1, True, pressed, 0, 0.0, 2), NOW)
    return backend


def test_a_server_far_off_that_never_told_is_not_taken_for_idle():
    # An agent tells a part of the entries far off. To the others its server showed
    # their own requests only: it looked idle while its engine was full.
    untold = Backend(Listed("untold", "s", "untold:1", "elsewhere", 16))
    untold.versions["m"] = 1
    for seed in range(20):
        assert place([engine("a", 14), untold], seed=seed).backend is not untold
    # It is better than none.
    assert place([untold]).backend is untold


def test_with_many_open_servers_one_request_fills_none():
    # Thirty-six entries and 136 servers: one request that had been sent to a server
    # stood for eleven of the other entries, and made it full for this one.
    servers = [engine(f"s-{n}", 2, slots=8) for n in range(136)]
    for server in servers:
        server.begin(NOW)
    found = place(servers, Demand("dc", "m", 16, entries=36))
    assert found.free
    assert found.urgency == Urgency.FRESH


def test_with_one_open_server_each_entry_sends_it_little():
    # All other servers are full, and 36 entries hear at once that one has a place.
    full = [engine(f"s-{n}", 12, slots=8) for n in range(9)]
    servers = [engine("open", 4, slots=8), *full]
    demand, sent = Demand("dc", "m", 16, entries=36), 0
    while (found := place(servers, demand)).backend is not None and sent < 50:
        found.backend.begin(NOW)
        sent += 1
    assert sent == 1


NEAR = Demand("dc", "m", 16, entries=36, near_entries=7)


def near_place(near, kept=(), demand=NEAR, seed=1):
    return choose_near(near, kept, demand, NOW, random.Random(seed))


def test_a_server_with_an_open_connection_is_taken_where_it_has_a_place():
    # Each entry met each of 136 servers every seven seconds: three in four requests
    # needed a new connection, and servers reset what was over their number.
    near = [engine(f"n-{n}", 3, slots=8) for n in range(27)]
    kept = near[4:7]
    for seed in range(20):
        assert near_place(near, kept, seed=seed).backend in kept


def test_a_full_server_is_not_taken_for_its_open_connection():
    near = [engine(f"n-{n}", 3, slots=8) for n in range(27)]
    kept = [engine("kept", 7, slots=8)]
    assert near_place([*near, *kept], kept).backend is not kept[0]


def test_where_nothing_near_has_a_place_all_are_looked_at():
    assert near_place([engine(f"n-{n}", 8, slots=8) for n in range(27)]) is None
    assert near_place([]) is None


def test_a_silent_or_swapping_server_near_by_is_passed_over():
    swapping = engine("swapping", 0, serving=False)
    refused = engine("refused", 0)
    refused.full_until = NOW + 1.0
    old = engine("old", 0)
    assert near_place([swapping, refused]) is None
    assert near_place([old], demand=Demand("dc", "m", 16, least_version=2)) is None


def test_a_choice_near_by_looks_at_a_few_servers_whatever_their_number():
    # Guards against a walk over all servers for each request.
    class Counting(list):
        looks = 0

        def __getitem__(self, index):
            self.looks += 1
            return super().__getitem__(index)

    near = Counting(engine(f"n-{n}", 3, slots=8) for n in range(1400))
    assert near_place(near) is not None
    assert near.looks <= LOCAL_PROBES
