"""Placement of requests by load, urgency and version of the weights."""

import random

import pytest
from wasabideck_policy.backends import Backend, ListedServer
from wasabideck_policy.engine_report import EngineReport
from wasabideck_policy.placement import (
    LOCAL_PROBES,
    MAX_QUEUE_RATIO,
    Requirements,
    Urgency,
    choose_local_server,
    choose_server,
)

NOW = 100.0
DEMAND = Requirements("dc", "m", 16)


def engine(name, load, version=1, serving=True, ready_in=0.0, slots=16):
    backend = Backend(ListedServer(name, "s", f"{name}:1", "dc", slots))
    report = EngineReport(f"{name}:1", version, serving, load, 0, ready_in, 2)
    backend.apply_report(report, NOW)
    return backend


def choose(backends, demand=DEMAND, seed=1):
    return choose_server(backends, demand, NOW, random.Random(seed))


def test_the_less_loaded_of_the_drawn_servers_is_chosen():
    found = choose([engine("a", 12), engine("b", 3)])
    assert found.backend.server == "b"
    assert found.urgency == Urgency.IN_TIME


def test_a_swapping_server_gets_no_request_and_its_delay_is_returned():
    found = choose([engine("a", 0, serving=False, ready_in=0.9)])
    assert found.backend is None
    assert found.ready_in == pytest.approx(0.9)


def test_expired_weights_serve_no_request():
    demand = Requirements("dc", "m", 16, min_version=2)
    found = choose([engine("a", 0), engine("b", 15, version=2)], demand)
    assert found.backend.server == "b"


def test_no_request_is_queued_for_weights_that_expire_soon():
    # A draft sent to a full server with the previous version starts two seconds later,
    # when that version has expired: it would be written by weights that no ticket
    # declares any more.
    demand = Requirements("dc", "m", 16, min_queued_version=2)
    assert choose([engine("a", 15)], demand).backend is None
    assert choose([engine("a", 5)], demand).backend.server == "a"


def test_a_queued_server_with_expiring_weights_does_not_count_as_ready():
    # The only serving server has a queue, and weights that expire soon: no more
    # requests may wait there. When it counted as ready immediately, each entry polled
    # without a delay for up to 1.2 s, until all sent to the first server that seemed
    # idle.
    demand = Requirements("dc", "m", 16, min_queued_version=2)
    found = choose([engine("a", 15, ready_in=0.8)], demand)
    assert found.backend is None
    assert found.ready_in == pytest.approx(0.8)


def test_a_request_that_is_not_sent_ahead_waits_behind_the_others():
    behind = Requirements("dc", "m", 16, sent_ahead=False)
    assert choose([engine("a", 17)], behind).urgency == Urgency.LATE
    assert choose([engine("a", 5)], behind).urgency == Urgency.IN_TIME


def test_a_choice_reports_that_all_servers_are_full():
    found = choose([engine("a", 30), engine("b", 40)])
    assert found.backend is None
    assert found.all_full


def test_a_response_does_not_renew_an_old_agent_report():
    # An agent dies while its engine swaps, and the engine loads and serves. The agent's
    # last report, "no requests now", must not be renewed by each response of the
    # engine.
    backend = engine("a", 3, serving=False, ready_in=0.5)
    backend.versions["m"] = 1
    backend.reported_at = NOW - 5.0
    backend.load_reported_at = NOW
    assert choose([backend]).backend is backend


def engine_with_request(name, load, since):
    """An engine with one request, whose version was reported earlier."""
    backend = engine(name, load)
    backend.versions["m"] = 1
    backend.add_request(since)
    return backend


def test_an_unresponsive_server_is_avoided_while_others_respond():
    # A VM is suspended with its engine for four seconds. Its last reported load decayed
    # and it seemed to be the least loaded: each entry continued to send it drafts, and
    # each draft waited there in vain for half of its caller's timeout.
    suspended, others = (
        engine_with_request("a", 8, NOW),
        [engine("b", 14), engine("c", 14)],
    )
    later = NOW + 2.0
    for backend in others:
        backend.apply_report(backend.report, later)
    for seed in range(20):
        found = choose_server([suspended, *others], DEMAND, later, random.Random(seed))
        assert found.backend is not suspended


def test_an_unresponsive_server_gets_one_request_at_a_time():
    # Each time an entry had cancelled all its requests on a suspended VM, it measured
    # the time without data from the start, and sent ten more drafts before the VM
    # counted as unresponsive again.
    suspended, other = engine_with_request("a", 8, NOW), engine("b", 14)
    later = NOW + 2.0
    other.apply_report(other.report, later)
    suspended.in_progress = 0
    assert (
        choose_server([suspended, other], DEMAND, later, random.Random(1)).backend
        is suspended
    )
    suspended.add_request(later)
    assert (
        choose_server([suspended, other], DEMAND, later, random.Random(1)).backend
        is other
    )


@pytest.mark.parametrize("sign", ["byte", "news", "none-due"])
def test_a_server_that_sends_any_data_is_not_avoided(sign):
    # An agent is killed, and its engine continues to serve. All requests of an entry
    # wait in another engine's queue, and only the agent reports. A third server got no
    # request for a while, so that it had no data to send. None of them is suspended.
    later = NOW + 2.0
    responsive = engine_with_request(
        "a", 3, later - 0.05 if sign == "none-due" else NOW
    )
    other = engine("b", 14)
    other.apply_report(other.report, later)
    if sign == "byte":
        responsive.last_received_at = later - 0.1
    elif sign == "news":
        responsive.apply_report(responsive.report, later - 0.1)
    found = choose_server([responsive, other], DEMAND, later, random.Random(1))
    assert found.backend is responsive


def test_servers_that_are_all_unresponsive_are_still_used():
    # An entry's own link stalls for a second: no data is received from any server, and
    # no server is at fault.
    servers = [engine_with_request(name, 8, NOW) for name in "abc"]
    found = choose_server(servers, DEMAND, NOW + 2.0, random.Random(1))
    assert found.backend in servers


def test_entries_with_the_same_report_do_not_overload_one_server():
    # All servers but one were full. Its agent's report reached twenty entries at once,
    # and each sent it draft after draft until the next report: half of them were
    # refused there, and the others queued for seconds.
    entries, free_slots = 20, 12
    available = ListedServer("open", "s", "open:1", "dc", 16)
    sent = 0
    for seed in range(entries):
        mine = [Backend(available), *(engine(f"full-{n}", 40) for n in range(4))]
        mine[0].apply_report(EngineReport("open:1", 1, True, 16 - free_slots, 0), NOW)
        demand = Requirements("dc", "m", 16, entries=entries)
        rng = random.Random(seed)
        while (
            placement := choose_server(mine, demand, NOW + 0.1, rng)
        ).backend is not None:
            placement.backend.add_request(NOW + 0.1)
            sent += 1
    # An engine of 16 slots may have a queue in addition.
    max_sent = free_slots + 16 * MAX_QUEUE_RATIO
    assert sent <= 4 * max_sent


def test_an_agent_report_replaces_the_assumed_requests_of_others():
    # The requests that an entry assumes others to have sent must not be added to those
    # that the agent reports: a server with free slots would seem full forever.
    backend = engine("a", 3)
    for _ in range(6):
        backend.add_request(NOW)
    demand = Requirements("dc", "m", 16, entries=20)
    assert choose_server([backend], demand, NOW, random.Random(1)).backend is None
    backend.apply_report(EngineReport("a:1", 1, True, 8, 0), NOW + 0.25)
    assert (
        choose_server([backend], demand, NOW + 0.25, random.Random(1)).backend
        is backend
    )


def test_a_load_in_a_response_replaces_assumed_requests_without_an_agent():
    # An agent is killed and its engine continues to serve. For each request of an
    # entry, the assumed requests of the others were counted forever, and the engine got
    # no more.
    backend = engine("a", 3)
    backend.versions["m"] = 1
    later = NOW + 5.0
    for n in range(12):
        backend.add_request(later + n)
        backend.in_progress -= 1
        backend.apply_load(4, later + n)
    demand = Requirements("dc", "m", 16, entries=20)
    assert (
        choose_server([backend], demand, later + 12, random.Random(1)).backend
        is backend
    )


def test_unread_prompts_count_as_additional_load():
    # The first engine to return after an outage was empty, and all entries sent to it:
    # it read 17 prompts one after the other, 50 ms each, before the first event of any.
    reading, writing = engine("reading", 4), engine("writing", 7)
    reading.unread_prompts = {"a", "b", "c"}
    placement = choose_server(
        [reading, writing], Requirements("dc", "m", 16), NOW, random.Random(1)
    )
    assert placement.backend is writing


def test_a_request_that_would_wait_for_two_slots_is_not_sent_ahead():
    # Requests sent ahead to a server with seven waiting requests were all late.
    server = engine("full", 20)
    placement = choose_server(
        [server], Requirements("dc", "m", 16, sent_ahead=True), NOW, random.Random(1)
    )
    assert placement.urgency == Urgency.LATE
    assert not placement.has_free_slot


def test_the_rest_of_a_started_stream_is_always_sent_ahead():
    server = engine("full", 20)
    demand = Requirements("dc", "m", 16, late=True, started=True)
    assert (
        choose_server([server], demand, NOW, random.Random(1)).urgency
        == Urgency.IN_TIME
    )


def remote_engine(name, load):
    backend = Backend(ListedServer(name, "s", f"{name}:1", "elsewhere", 16))
    backend.apply_report(EngineReport(f"{name}:1", 1, True, load, 0, 0.0, 2), NOW)
    return backend


def test_a_remote_server_without_a_report_does_not_count_as_idle():
    # An agent reports only to some of the remote entries. The others knew only their
    # own requests on its server: it seemed idle while its engine was full.
    unreported = Backend(ListedServer("untold", "s", "untold:1", "elsewhere", 16))
    unreported.versions["m"] = 1
    for seed in range(20):
        assert (
            choose([engine("a", 14), unreported], seed=seed).backend is not unreported
        )
    # It is chosen if there is no other server.
    assert choose([unreported]).backend is unreported


def test_with_many_available_servers_one_request_fills_none():
    # With 36 entries and 136 servers, one request sent to a server was counted as
    # eleven requests of the other entries, and made the server seem full to this one.
    servers = [engine(f"s-{n}", 2, slots=8) for n in range(136)]
    for server in servers:
        server.add_request(NOW)
    found = choose(servers, Requirements("dc", "m", 16, entries=36))
    assert found.has_free_slot
    assert found.urgency == Urgency.IN_TIME


def test_with_one_available_server_each_entry_sends_few_requests():
    # All other servers are full, and 36 entries learn at once that one has free slots.
    full = [engine(f"s-{n}", 12, slots=8) for n in range(9)]
    servers = [engine("open", 4, slots=8), *full]
    demand, sent = Requirements("dc", "m", 16, entries=36), 0
    while (found := choose(servers, demand)).backend is not None and sent < 50:
        found.backend.add_request(NOW)
        sent += 1
    assert sent == 1


LOCAL_DEMAND = Requirements("dc", "m", 16, entries=36, local_entries=7)


def local_place(local, connected=(), demand=LOCAL_DEMAND, seed=1):
    return choose_local_server(local, connected, demand, NOW, random.Random(seed))


def test_a_connected_server_with_free_slots_is_preferred():
    # Each entry used each of 136 servers once in seven seconds: three in four requests
    # needed a new connection, and servers reset connections in excess of their limit.
    local = [engine(f"n-{n}", 3, slots=8) for n in range(27)]
    connected = local[4:7]
    for seed in range(20):
        assert local_place(local, connected, seed=seed).backend in connected


def test_a_connected_server_that_is_full_is_not_chosen():
    local = [engine(f"n-{n}", 3, slots=8) for n in range(27)]
    connected = [engine("kept", 7, slots=8)]
    assert local_place([*local, *connected], connected).backend is not connected[0]


def test_a_local_choice_fails_if_no_local_server_has_a_free_slot():
    assert local_place([engine(f"n-{n}", 8, slots=8) for n in range(27)]) is None
    assert local_place([]) is None


def test_a_local_choice_avoids_swapping_refusing_and_outdated_servers():
    swapping = engine("swapping", 0, serving=False)
    refused = engine("refused", 0)
    refused.full_until = NOW + 1.0
    old = engine("old", 0)
    assert local_place([swapping, refused]) is None
    assert local_place([old], demand=Requirements("dc", "m", 16, min_version=2)) is None


def test_a_local_choice_checks_a_bounded_number_of_servers():
    # Guards against an iteration over all servers for each request.
    class Counting(list):
        reads = 0

        def __getitem__(self, index):
            self.reads += 1
            return super().__getitem__(index)

    local = Counting(engine(f"n-{n}", 3, slots=8) for n in range(1400))
    assert local_place(local) is not None
    assert local.reads <= LOCAL_PROBES
