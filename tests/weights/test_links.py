"""Weights are paced below live requests, and nobody sends far more than its share."""

import asyncio
from types import SimpleNamespace

import pytest
from driver import manifest_of
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import SHARE, ChunksService
from wasabideck_agent.links import Link, Links
from wasabideck_agent.transfer import limits_of
from wasabideck_base.settings import WeightsSettings
from wasabideck_wire import inner_pb2 as pb

TEXTS = [f"chunk {i}" for i in range(4)]
MANIFEST = manifest_of("v1", TEXTS)


def test_uploads_pass_the_link_in_turn():
    link = Link(rate=100.0)
    assert [link.send_seconds(50, 10.0) for _ in range(3)] == [0.5, 1.0, 1.5]


def test_live_bytes_push_the_weights_back():
    # A clerk's answer takes seconds while a rollout is under way: weights filled the
    # VM's link ahead of it. Live bytes do not wait for the weights, the weights do.
    link = Link(rate=100.0)
    link.send_seconds(50, 10.0)
    link.give_way(200, 10.0)
    assert link.send_seconds(50, 10.0) == pytest.approx(3.0)


def test_an_idle_link_does_not_hold_up_what_has_just_come():
    link = Link(rate=100.0)
    assert link.receive_seconds(50, 10.0) == 0.0
    assert link.receive_seconds(50, 10.0) == pytest.approx(0.5)


def test_bytes_that_were_not_sent_take_no_time():
    # The link into a region idles for a third of a rollout: a gateway waited for its
    # turn, the sender refused, and the turn was gone.
    link = Link(rate=100.0)
    assert link.send_seconds(50, 10.0) == pytest.approx(0.5)
    link.give_back(50)
    assert link.send_seconds(50, 10.0) == pytest.approx(0.5)
    assert link.passed == 50


def test_a_link_without_a_rate_never_waits():
    link = Link()
    assert link.send_seconds(1 << 30, 1.0) == link.receive_seconds(1 << 30, 1.0) == 0


@pytest.mark.parametrize(("urgent", "refused"), [(False, True), (True, False)])
def test_a_vm_that_sent_its_share_serves_only_those_in_need(urgent, refused):
    # One VM's link carries ten copies while others carry none, and live requests on
    # that VM are late: everyone fetched from the first to be whole.
    store = ChunkStore()
    store.know(MANIFEST)
    for digest, text in zip(MANIFEST.chunks, TEXTS, strict=True):
        store.add(digest, text.encode(), "")
    service = ChunksService(store, Links(Link(), Link(), Link()), 3)
    service.sent[MANIFEST.digest] = int(SHARE * len(TEXTS)) + 1
    req = pb.FetchRequest(manifest=MANIFEST.digest, index=1, vm="a", urgent=urgent)
    sent = []

    async def recv_message():
        return req

    async def send_message(message):
        sent.append(message)

    stream = SimpleNamespace(recv_message=recv_message, send_message=send_message)
    asyncio.run(service.Fetch(stream))
    assert [part.refused for part in sent] == [refused]


def test_the_patient_profile_waits_longer_before_it_reads_the_origin_again():
    swift = limits_of(WeightsSettings(profile="time"), 1 << 20)
    patient = limits_of(WeightsSettings(profile="origin-bytes"), 1 << 20)
    assert patient.patience == 4 * swift.patience
