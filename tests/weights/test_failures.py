"""Failures during a transfer: no chunk is read twice, and no VM waits forever."""

import pytest
from driver import ALL_CHUNKS, SLOT_SECONDS, TEXTS, FakePeer, manifest_of
from wasabideck_policy.fetch_policy import choose_fetch
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.transfer_view import (
    Fetch,
    TransferView,
    bits,
    record_corrupt_chunk,
    record_fetch_start,
    set_members,
)


def fetches(run, source):
    return [line for line in run.log if line.endswith(f" {source}")]


def test_a_vm_that_joins_late_reads_nothing_from_the_origin(session):
    # Guards against a saturated link of the origin whenever a VM is replaced: the new
    # VM is the first in rank for chunks that all others hold, and must not read them
    # again before it has queried any peer.
    run = session(
        FakePeer("b", holds={0.0: ALL_CHUNKS}),
        FakePeer("c", holds={0.0: ALL_CHUNKS}),
        vm="late",
    )
    run.run(9.0)
    assert run.log[-1].endswith("whole")
    assert fetches(run, "origin") == []


def test_a_draining_vm_owns_no_chunk():
    # Guards against a planned stop during a rollout that delays the others by their
    # maximum wait, as nobody else reads the chunks that a draining VM owns.
    digests = manifest_of("v1", TEXTS).chunks
    stays = Member("b", AGENT, "")
    view = TransferView("a", digests, 0.0)
    set_members(view, "item", [stays, Member("c", AGENT, "", leaving=True)])
    assert {vm for ranks in view.owners.ranks for vm in ranks} == {"a", "b"}


def test_an_origin_that_was_down_is_read_again_after_its_recovery(session):
    # Guards against a rollout that starts while the origin is down and does not
    # continue after its recovery.
    run = session(FakePeer("b"), origin_down=(0.0, 3.0))
    run.run(30.0)
    assert any("origin down" in line for line in run.log)
    assert run.log[-1].endswith("whole")


def test_peers_send_their_chunks_while_the_origin_is_down(session):
    # Guards against a replaced VM that serves nothing during an outage of the origin,
    # although all its neighbours hold the weights.
    run = session(FakePeer("b", holds={0.0: ALL_CHUNKS}), origin_down=(0.0, 99.0))
    run.run(9.0)
    assert run.log[-1].endswith("whole")


def test_a_vm_that_restarted_empty_holds_nothing(session):
    # Guards against a rollout that never ends: the only VM that held a chunk is
    # replaced under the same name within seconds. Its agent responds, so it is not
    # lost. If it still counts as the chunk's holder, nobody reads the origin again.
    run = session(FakePeer("b", holds={0.0: ALL_CHUNKS}, restarts_at=0.15))
    run.run(60.0)
    assert run.log[-1].endswith("whole")


def test_a_vm_switches_to_another_peer_when_a_link_stalls(session):
    # Guards against a VM that falls behind all others because it keeps waiting for one
    # peer after the link to that peer has stalled.
    run = session(
        FakePeer("b", holds={0.0: ALL_CHUNKS}, unresponsive_between=(0.3, 99.0)),
        FakePeer("c", holds={0.0: ALL_CHUNKS}),
    )
    run.run(9.0)
    assert fetches(run, "b") and fetches(run, "c")
    assert run.log[-1].endswith("whole")


def test_chunks_of_an_adapters_base_are_not_fetched_again(session):
    base = session(FakePeer("b", holds={0.0: ALL_CHUNKS}))
    base.run(9.0)
    adapter = session(
        FakePeer("b", holds={0.0: 1 << len(TEXTS)}),
        texts=[*TEXTS, "the adapter"],
        version="adapter",
        store=base.store,
    )
    adapter.run(9.0)
    assert adapter.store.is_complete(adapter.manifest)
    assert [line.split()[1:] for line in adapter.log if "fetch" in line] == [
        ["fetch", str(len(TEXTS)), "b"]
    ]


@pytest.mark.parametrize("times", [1, 2, 5])
def test_a_sender_of_corrupt_chunks_gets_an_exponential_backoff(times, rng):
    view = TransferView("a", manifest_of("v1", TEXTS).chunks, 0.0)
    set_members(view, "item", [Member("b", AGENT, "")])
    for _ in range(times):
        record_corrupt_chunk(view, Fetch(0, "b"), 1.0)
    assert view.peers["b"].busy_until >= 1.0 + 2**times * view.limits.slot_seconds


def test_a_chunk_that_is_being_fetched_is_not_fetched_twice(session, rng):
    run = session(
        FakePeer("b", holds={0.0: ALL_CHUNKS}), FakePeer("c", holds={0.0: ALL_CHUNKS})
    )
    run._query_peers(0.0)
    first = choose_fetch(run.view, SLOT_SECONDS, rng)
    record_fetch_start(run.view, first)
    second = choose_fetch(run.view, SLOT_SECONDS, rng)
    assert second.index != first.index
    assert list(bits(run.view.active)) == [first.index]


def test_each_gateway_has_an_equal_share_of_the_chunks():
    # Guards against a region's link that is half idle at the end of each rollout, when
    # all wait for a gateway that was assigned far more chunks than the others.
    digests = manifest_of("v1", [str(i) for i in range(128)]).chunks
    members = [Member(f"vm-{i}", AGENT, "", "r2") for i in range(40)]
    shares = []
    for me in members:
        view = TransferView(me.vm, digests, 0.0, "r2", origin_region="r1")
        set_members(view, "item", members)
        shares.append(view.region_fetchers.first.bit_count())
    assert sorted(shares)[-4:] == [32, 32, 32, 32]
    assert sum(shares) == 128
