"""Which connections are turned away when all of them hold too much."""

import pytest
from attrs import define, field
from wasabideck_base.connection_budget import (
    ACCEPTED_CONNECTION_BYTES,
    BYTES_PER_MB,
    ConnectionBudget,
    ProcessLimits,
)

# Leaves the connections 8 MB and 40 sockets.
LIMITS = ProcessLimits(80 * BYTES_PER_MB, 240)


@define
class Connections:
    """Connections of a budget by name, and the names of those turned away."""

    budget: ConnectionBudget
    turned_away: list = field(factory=list)
    usages: dict = field(factory=dict)

    def open(self, name, now, listener="callers"):
        def turn_away(lingers):
            self.turned_away.append(name)
            self.budget.abort(self.usages[name])

        self.usages[name] = self.budget.open(listener, turn_away, now)

    def hold(self, name, size, now):
        self.usages[name].progress_at = now
        self.budget.report(self.usages[name], size, now)


@pytest.fixture
def connections():
    shares = {"callers": 0.5, "inner": 0.25}
    return Connections(ConnectionBudget(LIMITS, shares))


def test_the_largest_stalled_connections_are_turned_away_first(connections):
    # Guards against refusing whoever comes next, or whoever sends just now.
    for name in ("stalled-large", "stalled-small", "active"):
        connections.open(name, 0.0)
    connections.hold("stalled-large", 4 * BYTES_PER_MB, 0.0)
    connections.hold("stalled-small", 10_000, 0.0)
    connections.hold("active", 3 * BYTES_PER_MB, 9.9)
    connections.open("newcomer", 10.0)
    connections.hold("newcomer", 2 * BYTES_PER_MB, 10.0)
    assert connections.turned_away == ["stalled-large"]


def test_what_waits_for_the_process_itself_counts_less(connections):
    # Guards against turning away requests that a server works on before a caller that
    # has stopped sending.
    connections.open("served", 0.0)
    connections.open("stalled", 0.0)
    connections.hold("served", 4 * BYTES_PER_MB, 0.0)
    connections.usages["served"].waits_for_peer = False
    connections.hold("stalled", 3 * BYTES_PER_MB, 0.0)
    connections.open("newcomer", 10.0)
    connections.hold("newcomer", 2 * BYTES_PER_MB, 10.0)
    assert connections.turned_away == ["stalled"]


def test_the_longest_idle_connection_makes_room_for_a_new_one(connections):
    # Guards against idle connections that keep all sockets, and against the newest one
    # being closed in their place.
    limit = connections.budget.max_sockets("callers")
    for number in range(limit + 1):
        connections.open(number, float(number))
    assert connections.turned_away == [0, 1]
    assert limit not in connections.turned_away


def test_connections_that_were_never_answered_make_room_first(connections):
    # Guards against a crowd that only connects and displaces callers' kept connections.
    connections.open("kept", 0.0)
    connections.budget.record_answered(connections.usages["kept"])
    for number in range(200):
        connections.open(number, 1.0 + number)
    assert "kept" not in connections.turned_away


def test_new_connections_are_not_displaced_by_kept_ones(connections):
    # Guards against a crowd that is answered once, keeps its connections, and leaves
    # newcomers no time to send a request.
    for number in range(100):
        connections.open(number, float(number))
        connections.budget.record_answered(connections.usages[number])
    connections.open("newcomer", 200.0)
    for number in range(5):
        connections.open(f"next-{number}", 201.0)
    assert "newcomer" not in connections.turned_away


def test_a_listener_takes_no_sockets_from_another_one(connections):
    # Guards against a crowd of callers that closes the connections of peers.
    connections.open("peer", 0.0, listener="inner")
    for number in range(200):
        connections.open(number, float(number))
    assert "peer" not in connections.turned_away


def test_sockets_to_servers_count_as_the_callers(connections):
    # Guards against requests that leave no socket to connect to a server.
    connections.open("served", 0.0)
    for number in range(connections.budget.max_sockets("callers") - 1):
        connections.open(number, 1.0 + number)
    assert connections.turned_away == []
    connections.budget.use_sockets(connections.usages["served"], 2, 50.0)
    assert connections.turned_away != []


def test_reading_waits_until_aborted_connections_are_released(connections):
    # Guards against a crowd that sends faster than the memory of those that were turned
    # away is released.
    connections.open("large", 0.0)
    connections.hold("large", 7 * BYTES_PER_MB, 0.0)
    connections.open("next", 1.0)
    connections.hold("next", 5 * BYTES_PER_MB, 1.0)
    assert connections.turned_away == ["large"]
    assert connections.budget.is_exhausted
    connections.budget.release(connections.usages["large"])
    assert not connections.budget.is_exhausted
    connections.budget.close(connections.usages["next"])
    assert connections.budget.held_bytes == 0


def test_what_has_become_less_is_reported_before_any_is_turned_away(connections):
    # Guards against turning connections away for what they held some time ago.
    usage = connections.budget.open(
        "callers",
        lambda lingers: connections.turned_away.append("old"),
        0.0,
        lambda: connections.budget.report(usage, ACCEPTED_CONNECTION_BYTES, 1.0),
    )
    connections.budget.report(usage, 7 * BYTES_PER_MB, 0.0)
    connections.open("next", 1.0)
    connections.hold("next", 5 * BYTES_PER_MB, 1.0)
    assert connections.turned_away == []
