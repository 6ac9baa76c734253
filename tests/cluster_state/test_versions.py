"""From which time requests may no longer start on older weights."""

import pytest
from wasabideck_policy.cluster_state import ClusterState

ALLOWED_SECONDS = 8.0


def test_any_version_is_accepted_before_the_deadline():
    cluster_state = ClusterState(0.0)
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 0.0) == 0
    cluster_state.declare_version("m", 2, 10.0)
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 17.9) == 0
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 18.0) == 2


def test_a_newer_version_does_not_extend_the_deadline_of_an_older_one():
    # Guards against counting only from the newest declaration: shortly before version
    # 2 is due, version 3 is declared, and requests could start on version 1 for
    # another eight seconds.
    cluster_state = ClusterState(0.0)
    cluster_state.declare_version("m", 2, 10.0)
    cluster_state.declare_version("m", 3, 17.0)
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 18.0) == 2
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 24.9) == 2
    assert cluster_state.min_version("m", ALLOWED_SECONDS, 25.0) == 3


def test_an_older_version_received_late_changes_nothing():
    cluster_state = ClusterState(0.0)
    assert cluster_state.declare_version("m", 3, 10.0)
    assert not cluster_state.declare_version("m", 2, 11.0)
    assert cluster_state.newest_version("m") == 3


@pytest.mark.parametrize(
    ("report", "interval"),
    [
        ((10.0, 12.0), (10.0, 12.0)),
        ((7.0, 15.0), (10.0, 12.0)),
        ((10.5, 11.0), (10.5, 11.0)),
        ((9.0, 11.0), (10.0, 11.0)),
        ((11.0, 14.0), (11.0, 12.0)),
        ((12.5, 13.0), (10.0, 12.0)),
        ((8.0, 9.0), (8.0, 9.0)),
    ],
)
def test_reports_are_intersected_and_of_contradicting_ones_the_earlier_wins(
    report, interval
):
    # Guards against ages that grow when told on, and against those told too young.
    cluster_state = ClusterState(0.0)
    cluster_state.declare_version("m", 2, 10.0, declared_by=12.0)
    changed = cluster_state.record_declaration_time("m", 2, *report)
    version = cluster_state.newest("m")
    assert (version.allowed_from, version.declared_by) == interval
    assert changed == (interval[0] != 10.0)


@pytest.mark.parametrize(
    ("report", "interval"),
    [
        ((7.0, 15.0), (10.0, 12.0)),
        ((10.5, 11.0), (10.0, 11.0)),
        ((12.5, 13.0), (10.0, 12.0)),
        ((8.0, 9.0), (8.0, 9.0)),
    ],
)
def test_estimate_only_replaces_a_bound_that_it_contradicts(report, interval):
    # Guards against a version made younger by a message of unknown transit.
    cluster_state = ClusterState(0.0)
    cluster_state.declare_version("m", 2, 10.0, declared_by=12.0)
    cluster_state.record_declaration_time("m", 2, *report, is_estimate=True)
    version = cluster_state.newest("m")
    assert (version.allowed_from, version.declared_by) == interval


@pytest.mark.parametrize(
    ("report", "is_estimate", "allowed_from"),
    [
        ((10.5, 11.5), True, 10.0),
        ((9.0, 11.5), True, 9.0),
        ((9.0, 11.5), False, 9.0),
        ((10.5, 11.5), False, 10.5),
        ((12.5, 13.0), False, 10.0),
    ],
)
def test_estimate_gives_way_to_earlier_ones_and_to_real_bounds(
    report, is_estimate, allowed_from
):
    # Guards against an estimate that is too young and that nothing corrects.
    cluster_state = ClusterState(0.0)
    cluster_state.record_declaration_time("m", 2, 10.0, 12.0, is_estimate=True)
    cluster_state.record_declaration_time("m", 2, *report, is_estimate)
    assert cluster_state.newest("m").allowed_from == allowed_from


def test_report_of_a_time_after_a_version_was_received_is_ignored():
    # Guards against a version that takes effect late, by a peer that learned of it
    # later.
    cluster_state = ClusterState(0.0)
    cluster_state.declare_version("m", 2, 2.0, False, 10.0)
    assert not cluster_state.record_declaration_time("m", 2, 10.5, 11.0)
    assert cluster_state.declaration_time_unknown("m")
    assert cluster_state.record_declaration_time("m", 2, 9.0, 11.0)
    version = cluster_state.newest("m")
    assert (version.allowed_from, version.declared_by) == (9.0, 10.0)
