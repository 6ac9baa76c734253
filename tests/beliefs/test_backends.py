"""What is believed of servers through outages of the list."""

import pytest
from wasabideck_policy.backends import (
    MASS_SECONDS,
    RETURN_SECONDS,
    Backends,
    Listed,
    Loaded,
)


def listed(server, service="s", leaving=False, **kw):
    return Listed(server, service, f"10.0.0.1:{len(server)}", "dc", 8, leaving, **kw)


@pytest.fixture
def backends():
    found = Backends()
    for name in ("a", "bb", "ccc", "dddd"):
        found.take(listed(name))
    return found


def names(backends, now):
    return {b.server for b in backends.of_service("s", now)}


def test_a_removed_server_gets_nothing_more(backends):
    backends.remove(["a"], 100.0)
    assert names(backends, 100.0) == {"bb", "ccc", "dddd"}


def test_a_leaving_server_gets_nothing_more(backends):
    backends.take(listed("a", leaving=True))
    assert "a" not in names(backends, 100.0)


def test_entries_that_lapsed_in_an_outage_are_held_until_servers_return(backends):
    # The store is away for ten seconds and every lease runs out. It returns, and
    # tells of all removals before the living servers have written again: without
    # the hold no server would be left for two seconds, and all would be refused.
    backends.outage_ended = 100.0
    backends.remove(["a", "bb"], 100.1)
    backends.take(listed("bb"))
    assert names(backends, 100.2) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 100.0 + RETURN_SECONDS) == {"bb", "ccc", "dddd"}


def test_a_server_that_was_leaving_is_not_held(backends):
    backends.take(listed("a", leaving=True))
    backends.outage_ended = 100.0
    backends.remove(["a"], 100.1)
    assert backends.get("a") is None


def test_most_of_a_service_vanishing_at_once_is_the_lists_fault(backends):
    # The connection to the store stayed open through its outage, so nobody noticed
    # it; then one answer takes three of four servers away.
    backends.remove(["a", "bb", "ccc"], 100.0)
    assert names(backends, 100.0) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 100.0 + MASS_SECONDS) == {"dddd"}


def test_a_mass_of_leaving_servers_gets_nothing_for_longer_than_allowed(backends):
    # Three of four servers are replaced at once, and never say that they leave: only
    # their entries vanish. Requests may reach them for two seconds, word included.
    backends.mass_seconds = 1.2
    backends.remove(["a", "bb", "ccc"], 100.4)
    assert names(backends, 102.0) == {"dddd"}


def test_a_restart_under_the_same_name_holds_nothing_of_before(backends):
    old = backends.take(listed("a", born=1))
    old.versions["m"] = 3
    new = backends.take(listed("a", born=2))
    assert new.holds("m", 16, 100.0) == 0


def test_layers_of_the_list_count_only_when_whole(backends):
    part = backends.take(listed("a", loaded=(Loaded("m", 2, 0, 8),)))
    assert part.holds("m", 16, 100.0) == 0
    whole = backends.take(listed("a", loaded=(Loaded("m", 2, 0, 16),)))
    assert whole.holds("m", 16, 100.0) == 2


def test_a_mass_that_was_heard_of_late_is_held_no_longer_for_it(backends):
    # Guards against removed servers that get requests longer than they may.
    backends.mass_seconds = 1.2
    backends.remove(["a", "bb", "ccc"], 101.0, since=100.0)
    assert names(backends, 101.1) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 101.25) == {"dddd"}


def at(address, server, born, **kw):
    return Listed(server, "s", address, "dc", 8, born=born, **kw)


def test_a_server_whose_address_a_younger_one_has_gets_nothing():
    # All servers lose power and are back under other names. An entry that starts reads
    # the old entries, which lapse later, beside the new ones, and sent to them: each
    # request came back refused with one try spent, and agents' words went to the old.
    backends = Backends()
    backends.take(at("10.0.0.1:1", "old", 1, loaded=(Loaded("m", 2, 0, 16),)))
    backends.take(at("10.0.0.1:1", "new", 2))
    backends.take(at("10.0.0.2:1", "other", 1))
    assert names(backends, 100.0) == {"new", "other"}
    assert backends.at("10.0.0.1:1").server == "new"


def test_servers_that_do_not_tell_when_they_started_are_all_used():
    backends = Backends()
    for name in ("a", "b"):
        backends.take(at("10.0.0.1:1", name, 0))
    assert names(backends, 100.0) == {"a", "b"}


def busy(*heard, now=100.0):
    """Servers of one data centre with requests on them, heard so long ago."""
    backends = Backends()
    for n, ago in enumerate(heard):
        backend = backends.take(at(f"10.0.0.{n}:1", f"i-{n}", 1))
        backend.begin(now - ago)
        backend.heard_at = now - ago
    return backends


def test_a_data_centre_is_silent_when_most_of_its_servers_are():
    # A configuration of 300 KB fills a link between regions for a second and a half.
    # The first stream from behind it was given up as its server's fault, and ended.
    assert busy(0.71, 0.6, 0.5).way_silent("dc", 100.0)
    assert not busy(0.71, 0.05, 0.1).way_silent("dc", 100.0)
    assert not busy(0.71, 0.6, 0.5).way_silent("elsewhere", 100.0)


def test_one_or_two_servers_tell_nothing_of_the_way():
    assert not busy(0.71, 0.8).way_silent("dc", 100.0)
