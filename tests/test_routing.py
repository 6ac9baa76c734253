"""Choice of servers, decided with a given time and seed."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wasabideck_policy.affinity import GAP_EXPIRY_SECONDS, CacheView, home_server
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.observation import KEEP_SECONDS, join
from wasabideck_policy.outliers import Outliers
from wasabideck_policy.routing import Ask, Server, priced, two_choices
from wasabideck_policy.subsets import (
    OWN_REGION,
    POLLS_PER_SECOND,
    poll_pause,
    subset,
)

NOW = 100.0


def servers(count, region="here", **fields):
    return [
        Server(f"{region}-{i}", "drafting", "", region, heard_at=NOW, **fields)
        for i in range(count)
    ]


def spread(choose, fleet, ask, rng, requests):
    """Requests by VM, none of which ends and no report of which comes."""
    counts = Counter()
    for _ in range(requests):
        server = choose(fleet, ask, NOW, rng)
        server.in_progress += 1
        counts[server.vm] += 1
    return counts


def test_a_burst_between_two_reports_is_spread(rng):
    # One server was idle and the others busy when they last told. Until the next
    # report the idle one looks the best, and without the entry's own count on top
    # of the report it would be sent the whole burst.
    fleet = servers(4, reported=6)
    fleet[0].reported = 0
    counts = spread(two_choices, fleet, Ask(), rng, 200)
    assert max(counts.values()) < 200 / 4 * 1.3


def test_a_slow_server_is_given_less(rng):
    fleet = servers(4, service_time=1.0)
    fleet[0].service_time = 2.0
    counts = spread(two_choices, fleet, Ask(), rng, 400)
    assert 0.4 < counts["here-0"] / counts["here-1"] < 0.65


def test_a_prefix_stays_at_its_server_until_that_is_full(rng):
    fleet = servers(6, service_time=0.6)
    ask = Ask("prefix", "here")
    place = home_server("prefix", fleet)
    assert priced(fleet, ask, NOW, rng) is place
    place.prefixes = ["prefix"]
    counts = spread(priced, fleet, ask, rng, 120)
    # Bounded: more than an even share, and far from all of it.
    assert 20 < counts[place.vm] < 60


def test_a_prefix_is_sought_where_events_say_it_is(rng):
    fleet = servers(6)
    holder = next(s for s in fleet if s is not home_server("prefix", fleet))
    holder.prefixes = ["prefix"]
    assert priced(fleet, Ask("prefix", "here"), NOW, rng) is holder


def test_the_own_region_comes_first_and_spills_when_pressed(rng):
    near, far = servers(2), servers(2, "there")
    for server in near + far:
        server.service_time = 0.6
    for server in near:
        server.reported = 1
    ask = Ask(region="here")
    assert all(priced(near + far, ask, NOW, rng) in near for _ in range(30))
    for server in near:
        server.reported = 8
    assert all(priced(near + far, ask, NOW, rng) in far for _ in range(30))


def test_a_gap_in_the_cache_events_makes_what_was_known_end():
    # The event that told of a prefix's end is lost; the entry would go on sending
    # its requests to a server that reads the whole prompt each time.
    view = CacheView()
    view.apply([(1, "a", True), (2, "b", True)], NOW)
    view.apply([(4, "c", True)], NOW + 1)
    assert view.held(NOW + 1) == ["a", "b", "c"]
    assert view.held(NOW + 2 + GAP_EXPIRY_SECONDS) == ["c"]


def test_late_cache_events_do_not_bring_a_prefix_back():
    view = CacheView()
    view.apply([(1, "a", True), (2, "a", False)], NOW)
    view.apply([(1, "a", True)], NOW)
    assert view.held(NOW) == []


@given(st.integers(1, 40), st.integers(0, 300))
def test_every_server_is_used_by_as_many_entries_as_any_other(entries, count):
    names = [f"entry-{i}" for i in range(entries)]
    fleet = [f"server-{i}" for i in range(count)]
    subsets = [subset(name, names, fleet, OWN_REGION) for name in names]
    used = Counter(vm for one in subsets for vm in one)
    assert len(used) == count
    assert not count or max(used.values()) - min(used.values()) <= 2


def test_a_server_more_moves_few_of_the_others():
    names = [f"entry-{i}" for i in range(410)]
    fleet = [f"server-{i}" for i in range(1400)]
    moved = 0
    for name in names[::20]:
        before = subset(name, names, fleet, OWN_REGION)
        after = subset(name, names, [*fleet, "server-new"], OWN_REGION)
        moved += len(after - before)
    assert moved / len(names[::20]) <= 1.0
    assert len(subset("entry-7", names, fleet, OWN_REGION)) == OWN_REGION.min_servers


def test_asking_does_not_grow_with_the_fleet():
    for count in (1, 12, 60, 1400):
        assert count / poll_pause(count) <= max(POLLS_PER_SECOND, count / 0.25)
    assert 1400 / poll_pause(1400) == pytest.approx(POLLS_PER_SECOND)


def test_a_failing_server_is_left_out_and_returns():
    outliers = Outliers()
    vms = ["a", "b", "c"]
    for _ in range(3):
        outliers.failed("a", NOW)
    assert outliers.sound(vms, NOW) == {"b", "c"}
    assert outliers.sound(vms, NOW + 2) == {"a", "b", "c"}
    outliers.failed("a", NOW + 2)
    assert outliers.out("a", NOW + 3.5)
    outliers.succeeded("a")
    assert not outliers.out("a", NOW + 3.5)


def test_no_fault_of_all_servers_leaves_all_of_them_out():
    # The store of a service fails and each server with it. Left out one by one, the
    # last would get the load of all, and die of it.
    outliers = Outliers()
    for vm in ("a", "b", "c"):
        for _ in range(3):
            outliers.failed(vm, NOW)
    assert outliers.sound(["a", "b", "c"], NOW) == {"a", "b", "c"}


def member(vm="a", address="1", leaving=False):
    return Member(vm, AGENT, address, leaving=leaving)


def test_a_server_that_said_it_leaves_stays_left_while_the_list_lags():
    known = join({}, [member()], NOW)
    known["a"].answered(True, NOW)
    known["a"].answered(False, NOW + 1)
    known = join(known, [member()], NOW + 2)
    assert known["a"].leaving
    assert not join(known, [member(address="2")], NOW + 3)["a"].leaving


def test_a_server_that_the_list_lost_is_kept_while_it_answers():
    # The list comes back from an outage short, and drops servers that work.
    known = join({}, [member("a"), member("b")], NOW)
    known["a"].answered(False, NOW)
    assert join(known, [], NOW + 1).keys() == {"a"}
    assert not join(known, [], NOW + KEEP_SECONDS + 1)
