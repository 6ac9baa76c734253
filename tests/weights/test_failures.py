"""Failures of a transfer: nothing is read twice, nothing waits for ever."""

import pytest
from driver import ALL, SLOT, TEXTS, FakePeer, manifest_of
from wasabideck_policy.distribution import next_fetch
from wasabideck_policy.membership import AGENT, Member
from wasabideck_policy.views import Fetch, View, begin, bits, got_corrupt, set_members


def fetches(run, source):
    return [line for line in run.log if line.endswith(f" {source}")]


def test_a_vm_that_joins_late_reads_nothing_from_the_origin(session):
    # The rent division's origin link is full whenever a VM is replaced: a new VM came
    # first in rank for chunks that all others had, and read them again before it
    # had asked anyone.
    run = session(
        FakePeer("b", holds={0.0: ALL}), FakePeer("c", holds={0.0: ALL}), vm="late"
    )
    run.run(9.0)
    assert run.log[-1].endswith("whole")
    assert fetches(run, "origin") == []


def test_a_leaving_vm_owns_no_chunk():
    # A planned stop in the midst of a rollout holds the others up by their patience:
    # the chunks that the leaving VM was to read were nobody else's.
    digests = manifest_of("v1", TEXTS).chunks
    stays = Member("b", AGENT, "")
    view = View("a", digests, 0.0)
    set_members(view, "item", [stays, Member("c", AGENT, "", leaving=True)])
    assert {vm for ranks in view.owners.ranks for vm in ranks} == {"a", "b"}


def test_an_origin_that_is_down_is_read_when_it_is_back(session):
    # A rollout begins while the origin is down and never goes on after it is back.
    run = session(FakePeer("b"), origin_down=(0.0, 3.0))
    run.run(30.0)
    assert any("origin down" in line for line in run.log)
    assert run.log[-1].endswith("whole")


def test_with_the_origin_down_peers_give_what_they_have(session):
    # One replaced VM serves nothing during an outage of the origin, though all its
    # neighbours hold the weights.
    run = session(FakePeer("b", holds={0.0: ALL}), origin_down=(0.0, 99.0))
    run.run(9.0)
    assert run.log[-1].endswith("whole")


def test_a_vm_that_came_back_empty_holds_nothing(session):
    # A rollout never ends: the one VM that held a chunk was replaced under its name
    # within seconds. Its agent answers, so it is not lost, and everyone went on
    # taking it for the chunk's holder; nobody read the origin again.
    run = session(FakePeer("b", holds={0.0: ALL}, restarts=0.15))
    run.run(60.0)
    assert run.log[-1].endswith("whole")


def test_a_stalled_link_is_left_for_another_peer(session):
    # One VM stays behind all others: the link to the peer that it fetches from went
    # silent, and it went on waiting for that one peer.
    run = session(
        FakePeer("b", holds={0.0: ALL}, cut=(0.3, 99.0)),
        FakePeer("c", holds={0.0: ALL}),
    )
    run.run(9.0)
    assert fetches(run, "b") and fetches(run, "c")
    assert run.log[-1].endswith("whole")


def test_chunks_of_an_adapters_base_are_not_fetched_again(session):
    base = session(FakePeer("b", holds={0.0: ALL}))
    base.run(9.0)
    adapter = session(
        FakePeer("b", holds={0.0: 1 << len(TEXTS)}),
        texts=[*TEXTS, "the adapter"],
        version="adapter",
        store=base.store,
    )
    adapter.run(9.0)
    assert adapter.store.whole(adapter.manifest)
    assert [line.split()[1:] for line in adapter.log if "fetch" in line] == [
        ["fetch", str(len(TEXTS)), "b"]
    ]


@pytest.mark.parametrize("times", [1, 2, 5])
def test_a_sender_of_corrupt_chunks_is_left_alone_longer_each_time(times, rng):
    view = View("a", manifest_of("v1", TEXTS).chunks, 0.0)
    set_members(view, "item", [Member("b", AGENT, "")])
    for _ in range(times):
        got_corrupt(view, Fetch(0, "b"), 1.0)
    assert view.peers["b"].busy_until >= 1.0 + 2**times * view.limits.slot


def test_a_chunk_that_is_under_way_is_not_fetched_twice(session, rng):
    run = session(FakePeer("b", holds={0.0: ALL}), FakePeer("c", holds={0.0: ALL}))
    run._ask(0.0)
    first = next_fetch(run.view, SLOT, rng)
    begin(run.view, first)
    second = next_fetch(run.view, SLOT, rng)
    assert second.index != first.index
    assert list(bits(run.view.active)) == [first.index]


def test_each_gateway_has_an_equal_share_of_the_chunks():
    # The link into a region is half idle at the end of each rollout: one gateway had
    # drawn far more chunks than the others, and they waited for it.
    digests = manifest_of("v1", [str(i) for i in range(128)]).chunks
    members = [Member(f"vm-{i}", AGENT, "", "r2") for i in range(40)]
    shares = []
    for me in members:
        view = View(me.vm, digests, 0.0, "r2", origin_region="r1")
        set_members(view, "item", members)
        shares.append(view.bringers.first.bit_count())
    assert sorted(shares)[-4:] == [32, 32, 32, 32]
    assert sum(shares) == 128
