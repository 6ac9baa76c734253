"""Which server gets a request, by load, urgency and weights."""

import random

import pytest
from wasabideck_policy.backends import Backend, Listed
from wasabideck_policy.engine_news import EngineNews
from wasabideck_policy.placement import FULL_PART, Demand, Urgency, choose

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
    demand = Demand("dc", "m", 16, soon_version=2)
    assert place([engine("a", 15)], demand).backend is None
    assert place([engine("a", 5)], demand).backend.server == "a"


def test_a_server_whose_weights_are_soon_over_is_not_waited_for_as_if_it_were_back():
    # The only server that serves has a queue, and weights that are soon over: nothing
    # more may wait there. It counted as back in no time, and each entry looked again
    # without a pause for up to 1.2 s, until all sent to the first one that seemed idle.
    demand = Demand("dc", "m", 16, soon_version=2)
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
