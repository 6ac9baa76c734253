"""Choice of servers, with a fixed time and seed."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wasabideck_policy.cache_affinity import (
    GAP_EXPIRY_SECONDS,
    PrefixCacheView,
    home_server,
)
from wasabideck_policy.load_balancing import (
    RoutingRequest,
    ServerState,
    choose_by_cost,
    two_choices,
)
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.outliers import OutlierEjection
from wasabideck_policy.subsets import (
    OWN_REGION,
    POLLS_PER_SECOND,
    poll_interval,
    subset,
)
from wasabideck_policy.vm_state import KEEP_SECONDS, merge_list

NOW = 100.0


def servers(count, region="here", **fields):
    return [
        ServerState(f"{region}-{i}", "drafting", "", region, heard_at=NOW, **fields)
        for i in range(count)
    ]


def count_requests(choose, deployed, request, rng, requests):
    """Return requests by VM, while none of them ends and no report arrives."""
    counts = Counter()
    for _ in range(requests):
        server = choose(deployed, request, NOW, rng)
        server.in_progress += 1
        counts[server.vm] += 1
    return counts


def test_a_burst_between_two_reports_is_distributed(rng):
    # One server was idle and the others busy at their last reports. Until the next
    # report the idle one seems to be the best, and if the entry didn't add its own
    # requests to the report, that server would get the whole burst.
    deployed = servers(4, reported=6)
    deployed[0].reported = 0
    counts = count_requests(two_choices, deployed, RoutingRequest(), rng, 200)
    assert max(counts.values()) < 200 / 4 * 1.3


def test_a_slow_server_gets_fewer_requests(rng):
    deployed = servers(4, service_time=1.0)
    deployed[0].service_time = 2.0
    counts = count_requests(two_choices, deployed, RoutingRequest(), rng, 400)
    assert 0.4 < counts["here-0"] / counts["here-1"] < 0.65


def test_a_prefix_stays_at_its_home_server_until_that_is_full(rng):
    deployed = servers(6, service_time=0.6)
    request = RoutingRequest("prefix", "here")
    prefix_home = home_server("prefix", deployed)
    assert choose_by_cost(deployed, request, NOW, rng) is prefix_home
    prefix_home.prefixes = ["prefix"]
    counts = count_requests(choose_by_cost, deployed, request, rng, 120)
    # More than an even share, but far fewer than all requests.
    assert 20 < counts[prefix_home.vm] < 60


def test_a_request_goes_to_the_server_that_caches_its_prefix(rng):
    deployed = servers(6)
    holder = next(s for s in deployed if s is not home_server("prefix", deployed))
    holder.prefixes = ["prefix"]
    assert (
        choose_by_cost(deployed, RoutingRequest("prefix", "here"), NOW, rng) is holder
    )


def test_the_own_region_is_preferred_until_it_is_loaded(rng):
    local, remote = servers(2), servers(2, "there")
    for server in local + remote:
        server.service_time = 0.6
    for server in local:
        server.reported = 1
    request = RoutingRequest(region="here")
    assert all(
        choose_by_cost(local + remote, request, NOW, rng) in local for _ in range(30)
    )
    for server in local:
        server.reported = 8
    assert all(
        choose_by_cost(local + remote, request, NOW, rng) in remote for _ in range(30)
    )


def test_known_prefixes_expire_after_a_gap_in_the_cache_events():
    # The event that reports the removal of a prefix is lost. The entry would continue
    # to send its requests to a server that reads the whole prompt each time.
    view = PrefixCacheView()
    view.apply([(1, "a", True), (2, "b", True)], NOW)
    view.apply([(4, "c", True)], NOW + 1)
    assert view.cached_prefixes(NOW + 1) == ["a", "b", "c"]
    assert view.cached_prefixes(NOW + 2 + GAP_EXPIRY_SECONDS) == ["c"]


def test_late_cache_events_do_not_restore_a_prefix():
    view = PrefixCacheView()
    view.apply([(1, "a", True), (2, "a", False)], NOW)
    view.apply([(1, "a", True)], NOW)
    assert view.cached_prefixes(NOW) == []


@given(st.integers(1, 40), st.integers(0, 300))
def test_every_server_is_used_by_as_many_entries_as_any_other(entries, count):
    names = [f"entry-{i}" for i in range(entries)]
    deployed = [f"server-{i}" for i in range(count)]
    subsets = [subset(name, names, deployed, OWN_REGION) for name in names]
    used = Counter(vm for one in subsets for vm in one)
    assert len(used) == count
    assert not count or max(used.values()) - min(used.values()) <= 2


def test_an_added_server_changes_few_subsets():
    names = [f"entry-{i}" for i in range(410)]
    deployed = [f"server-{i}" for i in range(1400)]
    moved = 0
    for name in names[::20]:
        before = subset(name, names, deployed, OWN_REGION)
        after = subset(name, names, [*deployed, "server-new"], OWN_REGION)
        moved += len(after - before)
    assert moved / len(names[::20]) <= 1.0
    assert len(subset("entry-7", names, deployed, OWN_REGION)) == OWN_REGION.min_servers


def test_the_poll_rate_does_not_grow_with_the_number_of_servers():
    for count in (1, 12, 60, 1400):
        assert count / poll_interval(count) <= max(POLLS_PER_SECOND, count / 0.25)
    assert 1400 / poll_interval(1400) == pytest.approx(POLLS_PER_SECOND)


def test_a_failing_server_is_ejected_and_used_again_later():
    outliers = OutlierEjection()
    vms = ["a", "b", "c"]
    for _ in range(3):
        outliers.record_failure("a", NOW)
    assert outliers.healthy(vms, NOW) == {"b", "c"}
    assert outliers.healthy(vms, NOW + 2) == {"a", "b", "c"}
    outliers.record_failure("a", NOW + 2)
    assert outliers.is_ejected("a", NOW + 3.5)
    outliers.record_success("a")
    assert not outliers.is_ejected("a", NOW + 3.5)


def test_a_fault_of_all_servers_ejects_none_of_them():
    # The store of a service fails, and all servers with it. If they were ejected one by
    # one, the last server would get the whole load, and crash.
    outliers = OutlierEjection()
    for vm in ("a", "b", "c"):
        for _ in range(3):
            outliers.record_failure(vm, NOW)
    assert outliers.healthy(["a", "b", "c"], NOW) == {"a", "b", "c"}


def member(vm="a", address="1", leaving=False):
    return Member(vm, AGENT, address, leaving=leaving)


def test_a_reported_shutdown_stays_known_while_the_list_is_delayed():
    known = merge_list({}, [member()], NOW)
    known["a"].record_response(True, NOW)
    known["a"].record_response(False, NOW + 1)
    known = merge_list(known, [member()], NOW + 2)
    assert known["a"].leaving
    assert not merge_list(known, [member(address="2")], NOW + 3)["a"].leaving


def test_a_server_missing_from_the_list_is_kept_while_it_responds():
    # After an outage the list is incomplete, and lacks servers that work.
    known = merge_list({}, [member("a"), member("b")], NOW)
    known["a"].record_response(False, NOW)
    assert merge_list(known, [], NOW + 1).keys() == {"a"}
    assert not merge_list(known, [], NOW + KEEP_SECONDS + 1)
