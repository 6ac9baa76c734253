"""How the cluster state follows from rows of the store and from gossip."""

import asyncio
import random
from types import SimpleNamespace

import orjson
import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.member_rows import MEMBERS_TABLE, member_row
from wasabideck_base.rows import Row, RowChanges
from wasabideck_base.state_sync import (
    MEMBER_BYTES,
    MEMBERS_BYTES_PER_SECOND,
    StateSync,
    members_interval,
)
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.declarations import CONFIGURATION, Declaration, weights_key
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb

MARGIN = 0.7


@pytest.fixture
def clock():
    return [1000.0]


def new_state_sync(kind, clock):
    cfg = VMSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    return StateSync(
        cfg,
        Member("vm", kind, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        SimpleNamespace(),
        Channels(HybridClock()),
        Events("vm", HybridClock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )


@pytest.fixture
def state_sync(clock):
    return new_state_sync(ENTRY, clock)


@pytest.fixture
def agent_state_sync(clock):
    return new_state_sync(AGENT, clock)


def declare_version(state_sync, number):
    row = Row("op", "version/m", b'{"model":"m","version":%d}' % number, number)

    async def run():
        state_sync._apply_operator_rows([row])

    asyncio.run(run())


def min_version(state_sync, clock):
    within = state_sync.cfg.limits.version_deadline_seconds - MARGIN
    return state_sync.cluster_state.min_version("m", within, clock[0])


def test_version_declared_while_running_takes_effect_after_full_time(state_sync, clock):
    state_sync._note_operators_read([])
    clock[0] += 60.0
    declare_version(state_sync, 2)
    clock[0] += 7.0
    assert min_version(state_sync, clock) == 0
    clock[0] += 0.5
    assert min_version(state_sync, clock) == 2


def test_version_declared_before_start_is_in_effect_at_once(state_sync, clock):
    # All entries are killed and restarted eight seconds after a version was
    # declared. They counted its age from their own start, and sent draft requests
    # that started_at long after the restart to the previous weights.
    clock[0] += 0.2
    declare_version(state_sync, 2)
    clock[0] += 1.5
    assert min_version(state_sync, clock) == 2


def test_version_of_late_first_read_is_in_effect_at_once(state_sync, clock):
    # All entries are killed, and each then reads a large configuration over a link that
    # they fill together, which takes five seconds. They took the versions in it for
    # just declared, and sent draft requests to weights that had expired before the
    # kill.
    clock[0] += 5.0
    declare_version(state_sync, 2)
    assert min_version(state_sync, clock) == 2


def test_version_received_before_store_read_is_in_effect_at_once(state_sync, clock):
    # An entry received the version from a peer that started with it and knew no more.
    clock[0] += 6.0
    state_sync.gossip.merge([Declaration(weights_key("m"), 2, b"{}")], "10.0.0.9:1")
    assert min_version(state_sync, clock) == 2


def test_version_of_unknown_age_is_in_effect_at_once(state_sync, clock):
    # Guards against draft requests to expired weights by an entry that just started.
    clock[0] += 0.2
    declare_version(state_sync, 3)
    assert min_version(state_sync, clock) == 3


def test_agent_applies_late_version_of_unknown_age_at_once(agent_state_sync, clock):
    # Guards against expired weights in an engine whose agent was cut off for long.
    clock[0] += 60.0
    declare_version(agent_state_sync, 3)
    assert min_version(agent_state_sync, clock) == 3


def test_version_declared_after_restart_takes_effect_after_full_time(state_sync, clock):
    # Entries are restarted one after the other while a version is declared. An entry
    # that had started less than three seconds before assumed that the version was old,
    # and refused all draft requests for seven seconds.
    state_sync._note_operators_read([])
    clock[0] += 1.0
    declare_version(state_sync, 2)
    clock[0] += 7.0
    assert min_version(state_sync, clock) == 0
    clock[0] += 0.5
    assert min_version(state_sync, clock) == 2


def age_report(*ages):
    """Return a peer's entries for versions, given numbers and ages in seconds."""
    key = weights_key("m")
    return [
        pb.Entry(scope=key, slot="named", ticket=number, age_ms=int(age * 1000))
        for number, age in ages
    ]


def reported_ages(state_sync):
    """Return the ages in seconds that a peer would receive, by number."""
    key = weights_key("m")
    entries = state_sync.gossip._declaration_entries([Declaration(key, 9, b"{}")])
    return {e.ticket: e.age_ms / 1000 for e in entries if e.slot == "named"}


def test_peer_reports_version_age_to_restarted_process(state_sync, clock):
    # An entry restarts two seconds after a version was declared. The store returns no
    # times, and the entry refused all draft requests until the version was in effect.
    clock[0] += 0.2
    declare_version(state_sync, 2)
    requested = state_sync.gossip._sync_request().entries
    assert [entry.ticket for entry in requested if entry.slot == "declared"] == [1]
    state_sync.gossip._apply_entries(age_report((2, 2.2)), "peer")
    clock[0] += 5.0
    assert min_version(state_sync, clock) == 0
    clock[0] += 0.2
    assert min_version(state_sync, clock) == 2


def test_estimated_age_is_not_reported(state_sync, clock):
    # All entries restart together. If one entry reported its estimate to another,
    # nobody would know any more that it was an estimate.
    clock[0] += 0.2
    declare_version(state_sync, 2)
    assert reported_ages(state_sync) == {}
    state_sync.gossip._apply_entries(age_report((2, 2.2)), "peer")
    assert reported_ages(state_sync) == {2: pytest.approx(2.2)}


def test_restarted_process_learns_of_superseded_version(state_sync, clock):
    # Version 3 is declared two seconds after version 2, and an entry restarts. The
    # store returns only the newest version: the entry knew the time of version 3, and
    # sent draft requests to version 1 for two seconds after version 2 should have
    # replaced it.
    clock[0] += 0.2
    declare_version(state_sync, 3)
    state_sync.gossip._apply_entries(age_report((2, 4.0), (3, 2.0)), "peer")
    assert min_version(state_sync, clock) == 0
    assert reported_ages(state_sync) == {2: pytest.approx(4.0), 3: pytest.approx(2.0)}
    clock[0] += 3.4
    assert min_version(state_sync, clock) == 2
    clock[0] += 2.0
    assert min_version(state_sync, clock) == 3


def test_process_lacking_a_superseded_version_reports_no_ages(state_sync, clock):
    # An entry estimates the age of version 2, and sees version 3 declared. A peer that
    # received only the age of version 3 would assume that it knew all relevant
    # versions.
    clock[0] += 0.2
    declare_version(state_sync, 2)
    state_sync._note_operators_read([])
    declare_version(state_sync, 3)
    assert reported_ages(state_sync) == {}
    assert min_version(state_sync, clock) == 2
    clock[0] += 1.0
    assert min_version(state_sync, clock) == 2


def test_late_receiver_adopts_older_age_of_peer(state_sync, clock):
    # Two entries receive version 2 from the store, one of them 0.9 s later because its
    # process was suspended or its watch unresponsive. Each took its time of receipt as
    # certain, and the later one sent draft requests to version 1 for 0.9 s too long.
    clock[0] += 60.0
    state_sync._note_operators_read([])
    declare_version(state_sync, 2)
    state_sync.gossip._apply_entries(age_report((2, 0.9)), "peer")
    clock[0] += 6.35
    assert min_version(state_sync, clock) == 0
    clock[0] += 0.1
    assert min_version(state_sync, clock) == 2
    state_sync.gossip._apply_entries(age_report((2, 1.0)), "later peer")
    assert min_version(state_sync, clock) == 2


def test_ages_are_sent_to_peers_that_lack_nothing(state_sync, clock):
    # Both entries know version 2. Unless requests and replies contain its age, nothing
    # corrects the entry that received it later.
    key = weights_key("m")
    clock[0] += 60.0
    state_sync._note_operators_read([])
    declare_version(state_sync, 2)
    clock[0] += 1.0
    req = pb.SyncRequest(entries=[pb.Entry(scope=key, slot="declared", ticket=2)])
    for entries in (
        state_sync.gossip._sync_request().entries,
        state_sync.gossip.handle_sync(req).entries,
    ):
        ages = [(e.ticket, e.age_ms) for e in entries if e.slot == "named"]
        assert ages == [(2, 1000)]
    clock[0] += state_sync.cfg.limits.version_deadline_seconds
    expired = [
        e for e in state_sync.gossip._sync_request().entries if e.slot == "named"
    ]
    assert expired == []


def store_answers(state_sync, clock, *answers):
    """Have the store answer calls at given times: a full read, then follow calls."""

    async def run():
        for requested_at, answered_at, changes in answers:

            async def answer(*call, at=answered_at, changes=changes):
                clock[0] = at
                return changes

            clock[0] = requested_at
            state_sync.store.read = state_sync.store.wait_for_changes = answer
            state_sync.store.received_bytes = lambda table: 0
            await state_sync.operator_watch.step()

    asyncio.run(run())


def operators_row(key, version, number):
    return Row("op", key, b'{"model":"m","version":%d}' % number, version)


def test_version_age_counts_from_earliest_possible_write(state_sync, clock):
    # Entries of one region sent draft requests to version 1 up to 0.44 s too long.
    # After a change an entry waits 0.4 s before its next call to the store; the age of
    # a version declared in that delay was counted from the answer. Compare the times of
    # confirmation and of `declaration.seen` in each region.
    started_at = clock[0]
    store_answers(
        state_sync,
        clock,
        (started_at + 5.0, started_at + 5.0, RowChanges((), 1)),
        (
            started_at + 5.0,
            started_at + 20.0,
            RowChanges((operators_row("other", 2, 1),), 2),
        ),
        (
            started_at + 20.4,
            started_at + 20.45,
            RowChanges((operators_row("version/m", 3, 2),), 3),
        ),
    )
    assert reported_ages(state_sync) == {2: pytest.approx(0.45, abs=0.002)}


def test_version_in_held_answer_is_new(state_sync, clock):
    # The call was pending for 15 s while nothing changed: the version is as old as the
    # transit of the answer, and not as old as the previous answer.
    started_at = clock[0]
    store_answers(
        state_sync,
        clock,
        (started_at + 5.0, started_at + 5.0, RowChanges((), 1)),
        (
            started_at + 5.0,
            started_at + 20.0,
            RowChanges((operators_row("version/m", 3, 2),), 3),
        ),
    )
    assert reported_ages(state_sync)[2] < 0.2


def test_store_answer_bounds_age_of_version_first_sent_by_peer(state_sync, clock):
    # In its delay after a change, an entry receives version 2 from a peer without an
    # age, and a moment later from the store. The store's bound on the age was dropped
    # because the version was known: draft requests went to version 1 for 0.5 s too
    # long.
    started_at = clock[0]
    key = weights_key("m")
    store_answers(
        state_sync,
        clock,
        (started_at + 5.0, started_at + 5.0, RowChanges((), 1)),
        (
            started_at + 5.0,
            started_at + 20.0,
            RowChanges((operators_row("other", 2, 1),), 2),
        ),
    )
    clock[0] = started_at + 20.5
    declared = Declaration(key, 2, b'{"model":"m","version":2}')
    state_sync.gossip.merge([declared], "peer")
    store_answers(
        state_sync,
        clock,
        (
            started_at + 20.51,
            started_at + 20.52,
            RowChanges((operators_row("version/m", 3, 2),), 3),
        ),
    )
    assert reported_ages(state_sync) == {2: pytest.approx(0.52, abs=0.002)}


def test_expired_estimate_does_not_stop_age_reports(state_sync, clock):
    # All entries restart after version 2 was declared. None of them reported ages any
    # more, not even of versions that it had seen declared itself, so that entries that
    # received a version late never corrected its age.
    clock[0] += 0.2
    declare_version(state_sync, 2)
    state_sync._note_operators_read([])
    clock[0] += state_sync.cfg.limits.version_deadline_seconds - 0.1
    declare_version(state_sync, 3)
    assert reported_ages(state_sync) == {}
    clock[0] += 0.5
    assert reported_ages(state_sync)[3] == pytest.approx(0.5)


def test_restarted_process_learns_of_expired_version(state_sync, clock):
    # Version 2 has expired, version 3 was declared 2.6 s ago, and an entry restarts. It
    # received only the age of version 3, considered version 1 valid until version 3
    # came into effect, and sent draft requests to it for up to 4 s too long.
    clock[0] += 60.0
    state_sync._note_operators_read([])
    for number, seconds in ((1, 30.0), (2, 9.0), (3, 2.6)):
        declare_version(state_sync, number)
        clock[0] += seconds
    ages = reported_ages(state_sync)
    assert ages == {2: pytest.approx(11.6, abs=0.01), 3: pytest.approx(2.6, abs=0.01)}
    restarted = ClusterState(clock[0])
    restarted.declare_version("m", 3, clock[0], declaration_time_known=False)
    for number, age in ages.items():
        restarted.record_declaration_time("m", number, clock[0] - age)
    assert restarted.min_version("m", 8.0, clock[0]) == 2


def test_request_never_reports_only_the_newest_age(state_sync, clock):
    # Version 2 has expired, version 3 has not, and an entry restarts. Before any reply,
    # it received a peer's request with the age of version 3 only. It assumed that it
    # knew all versions, and sent draft requests to version 1.
    clock[0] += 60.0
    state_sync._note_operators_read([])
    for number, seconds in ((2, 9.0), (3, 2.6)):
        declare_version(state_sync, number)
        clock[0] += seconds
    requested = state_sync.gossip._sync_request().entries
    assert {e.ticket for e in requested if e.slot == "named"} == {2, 3}


def test_version_known_only_by_its_age_triggers_callback(state_sync, clock):
    # Ages are part of every request and may arrive before the declaration of a version:
    # an agent that was not notified started its transfer half a second later.
    notified = []
    state_sync.on_version = lambda model, number: notified.append((model, number))
    clock[0] += 60.0
    state_sync.gossip._apply_entries(age_report((2, 0.5)), "peer")
    state_sync.gossip._apply_entries(age_report((2, 0.7)), "peer")
    assert notified == [("m", 2)]


def test_peers_are_not_queried_for_ages_forever(state_sync, clock):
    clock[0] += 0.2
    declare_version(state_sync, 2)
    assert state_sync._is_uncertain(weights_key("m"))
    clock[0] += state_sync.cfg.limits.disturbance_hold_seconds
    assert not state_sync._is_uncertain(weights_key("m"))


def server_row(key, version, state="ready", **more):
    value = orjson.dumps({"service": "s", "addr": "10.0.0.9:1", "state": state, **more})
    return Row("servers", key, value, version)


@pytest.mark.parametrize("before", ["ready", "draining"])
def test_server_changed_and_removed_in_one_answer_is_removed(state_sync, clock, before):
    # Requests reached a server 2.0 to 2.4 s after it had left the list, and continued
    # to do so. One answer contained a change of its row and then its removal: removals
    # were applied first, and the older row added the server again for good.
    backends = state_sync.cluster_state.backends
    state_sync._apply_server_rows([server_row("i-1", 5), server_row("i-2", 6)])
    removed = Row("servers", "i-1", b"", 9, removed=True)
    state_sync._apply_server_rows([server_row("i-1", 8, before), removed])
    assert [b.server for b in backends.in_service("s", clock[0])] == ["i-2"]
    assert backends.names() == {"i-2"}


def test_server_removed_and_added_in_one_answer_is_listed(state_sync, clock):
    state_sync._apply_server_rows([server_row("i-1", 5)])
    removed = Row("servers", "i-1", b"", 8, removed=True)
    state_sync._apply_server_rows([removed, server_row("i-1", 9)])
    listed = state_sync.cluster_state.backends.in_service("s", clock[0])
    assert [b.server for b in listed] == ["i-1"]


def test_unreadable_server_rows_are_ignored(state_sync):
    rows = [Row("servers", "i-1", b"\xff", 5), Row("servers", "i-2", b"{}", 6)]
    state_sync._apply_server_rows(rows)
    assert len(state_sync.cluster_state.backends) == 0


def test_agent_accepts_configuration_until_nearby_peer_replied(state_sync, clock):
    # An agent's only request in ten seconds may go to a remote peer, which sends no
    # configuration: in three of ten cases the agent kept the previous engines and
    # origin for ten more seconds.
    gossip = state_sync.gossip
    state_sync.cluster_state.configuration = object()
    gossip.last_local_reply_at = clock[0] - 0.5
    accepted = []
    for nearby_replied in (False, False, True, False):
        if nearby_replied:
            gossip.last_local_reply_at = clock[0]
        state_sync._schedule_configuration(clock[0])
        accepted.append(CONFIGURATION not in gossip.unwanted)
        clock[0] += 1.0
    assert accepted == [True, True, False, False]
    clock[0] += 10.0
    state_sync._schedule_configuration(clock[0])
    clock[0] += 3.1
    state_sync._schedule_configuration(clock[0])
    assert CONFIGURATION in gossip.unwanted


def test_lagging_entry_requests_configurations_from_remote_peers(state_sync, clock):
    # The calls of the whole region are unresponsive, and nearby peers still reply.
    store_answers(state_sync, clock, (clock[0], clock[0], RowChanges((), 1)))
    assert not state_sync._region_may_lag()
    state_sync.operator_watch.note_newer_row(7)
    clock[0] += 1.0
    assert state_sync._region_may_lag()
    state_sync.operator_watch._failures = 1
    assert state_sync._region_may_lag()


@pytest.mark.parametrize("members", [10, 172, 1810, 20_000])
def test_member_reads_stay_within_bandwidth(members):
    # Guards against a members table that fills links at the target size.
    assert (
        members * MEMBER_BYTES / members_interval(members) <= MEMBERS_BYTES_PER_SECOND
    )


def test_nearby_entries_are_counted_separately(state_sync):
    # Guards against load estimates that count entries which send requests elsewhere.
    data_centres = ["dc", "dc", "else", "else", "else"]
    members = [
        Member(f"e-{n}", ENTRY, f"127.0.0.{n}:1", data_centre, data_centre)
        for n, data_centre in enumerate(data_centres)
    ]
    rows = [
        Row(MEMBERS_TABLE, m.vm, member_row(m).value, n) for n, m in enumerate(members)
    ]

    async def read(table):
        return RowChanges(tuple(rows), 9)

    state_sync.store = SimpleNamespace(read=read)
    state_sync.me = Member("vm", ENTRY, "127.0.0.1:1", "dc", "dc")
    asyncio.run(state_sync.read_members())
    assert (
        state_sync.cluster_state.entries,
        state_sync.cluster_state.local_entries,
    ) == (5, 2)


def test_server_changes_are_collected_for_a_fraction_of_drain_time(state_sync):
    # Guards against entries that query the store for each of a hundred servers added
    # one after the other, and against late notice of a server that is shutting down.
    drain = state_sync.cfg.limits.drain_seconds
    assert 0.4 <= state_sync.server_watch.settle_seconds <= drain / 4
    assert (
        state_sync.cluster_state.backends.mass_removal_hold_seconds
        < drain - state_sync.server_watch.settle_seconds
    )
