"""State of the backend servers, in particular during outages of the list."""

import pytest
from wasabideck_policy.backends import (
    MASS_REMOVAL_HOLD_SECONDS,
    RELISTING_SECONDS,
    BackendRegistry,
    ListedServer,
    LoadedLayers,
)


def listed(server, service="s", leaving=False, **kw):
    return ListedServer(
        server, service, f"10.0.0.1:{len(server)}", "dc", 8, leaving, **kw
    )


@pytest.fixture
def backends():
    found = BackendRegistry()
    for name in ("a", "bb", "ccc", "dddd"):
        found.update(listed(name))
    return found


def names(backends, now):
    return {b.server for b in backends.in_service("s", now)}


def test_a_removed_server_gets_no_more_requests(backends):
    backends.remove(["a"], 100.0)
    assert names(backends, 100.0) == {"bb", "ccc", "dddd"}


def test_a_server_that_shuts_down_gets_no_more_requests(backends):
    backends.update(listed("a", leaving=True))
    assert "a" not in names(backends, 100.0)


def test_entries_that_expired_in_an_outage_are_kept_for_a_while(backends):
    # The store is unavailable for ten seconds and every lease expires. When it is back,
    # it reports all removals before the running servers have written their entries
    # again: if they took effect, no server would be left for two seconds, and all
    # requests would be refused.
    backends.outage_ended_at = 100.0
    backends.remove(["a", "bb"], 100.1)
    backends.update(listed("bb"))
    assert names(backends, 100.2) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 100.0 + RELISTING_SECONDS) == {"bb", "ccc", "dddd"}


def test_a_server_that_was_shutting_down_is_not_kept(backends):
    backends.update(listed("a", leaving=True))
    backends.outage_ended_at = 100.0
    backends.remove(["a"], 100.1)
    assert backends.get("a") is None


def test_a_mass_removal_counts_as_a_fault_of_the_list(backends):
    # The connection to the store stayed open during its outage, which was not noticed;
    # then one response removes three of four servers.
    backends.remove(["a", "bb", "ccc"], 100.0)
    assert names(backends, 100.0) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 100.0 + MASS_REMOVAL_HOLD_SECONDS) == {"dddd"}


def test_servers_that_shut_down_together_get_requests_only_as_long_as_allowed(backends):
    # Three of four servers are replaced at once, and don't report that they shut down:
    # only their entries are removed. Requests may be sent to them for two seconds,
    # which includes the delay of the list.
    backends.mass_removal_hold_seconds = 1.2
    backends.remove(["a", "bb", "ccc"], 100.4)
    assert names(backends, 102.0) == {"dddd"}


def test_a_restart_under_the_same_name_clears_the_state(backends):
    old = backends.update(listed("a", started_at_ms=1))
    old.versions["m"] = 3
    new = backends.update(listed("a", started_at_ms=2))
    assert new.loaded_version("m", 16, 100.0) == 0


def test_listed_layers_count_only_if_complete(backends):
    part = backends.update(listed("a", loaded=(LoadedLayers("m", 2, 0, 8),)))
    assert part.loaded_version("m", 16, 100.0) == 0
    whole = backends.update(listed("a", loaded=(LoadedLayers("m", 2, 0, 16),)))
    assert whole.loaded_version("m", 16, 100.0) == 2


def test_a_mass_removal_received_late_is_not_ignored_for_longer(backends):
    # Guards against removed servers that get requests for longer than allowed.
    backends.mass_removal_hold_seconds = 1.2
    backends.remove(["a", "bb", "ccc"], 101.0, since=100.0)
    assert names(backends, 101.1) == {"a", "bb", "ccc", "dddd"}
    assert names(backends, 101.25) == {"dddd"}


def at(address, server, born, **kw):
    return ListedServer(server, "s", address, "dc", 8, started_at_ms=born, **kw)


def test_a_server_whose_address_was_reused_gets_no_requests():
    # All servers lose power and restart under other names. An entry that starts reads
    # the old entries, which expire later, beside the new ones. It sent requests to the
    # old servers, which were refused at the cost of one attempt each, and assigned the
    # reports of agents to them.
    backends = BackendRegistry()
    backends.update(at("10.0.0.1:1", "old", 1, loaded=(LoadedLayers("m", 2, 0, 16),)))
    backends.update(at("10.0.0.1:1", "new", 2))
    backends.update(at("10.0.0.2:1", "other", 1))
    assert names(backends, 100.0) == {"new", "other"}
    assert backends.find_by_address("10.0.0.1:1").server == "new"


def test_servers_without_a_start_time_are_all_used():
    backends = BackendRegistry()
    for name in ("a", "b"):
        backends.update(at("10.0.0.1:1", name, 0))
    assert names(backends, 100.0) == {"a", "b"}


def servers_with_requests(*seconds_idle, now=100.0):
    """Servers of one data centre with a request each, by seconds since any data."""
    backends = BackendRegistry()
    for n, ago in enumerate(seconds_idle):
        backend = backends.update(at(f"10.0.0.{n}:1", f"i-{n}", 1))
        backend.add_request(now - ago)
        backend.last_received_at = now - ago
    return backends


def test_a_data_centre_is_unresponsive_if_most_of_its_servers_are():
    # A configuration of 300 KB saturates a link between regions for 1.5 seconds. The
    # first stream over that link was cancelled as if its server were at fault, and
    # ended.
    assert servers_with_requests(0.71, 0.6, 0.5).is_network_unresponsive("dc", 100.0)
    assert not servers_with_requests(0.71, 0.05, 0.1).is_network_unresponsive(
        "dc", 100.0
    )
    assert not servers_with_requests(0.71, 0.6, 0.5).is_network_unresponsive(
        "elsewhere", 100.0
    )


def test_one_or_two_unresponsive_servers_are_no_network_fault():
    assert not servers_with_requests(0.71, 0.8).is_network_unresponsive("dc", 100.0)
