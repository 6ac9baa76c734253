"""From which time requests may no longer start on older weights."""

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
