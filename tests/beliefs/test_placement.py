"""Which server gets a request, by load, urgency and weights."""

import random

import pytest
from wasabideck_policy.backends import Backend, Listed
from wasabideck_policy.engine_news import EngineNews
from wasabideck_policy.placement import Demand, Urgency, choose

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
