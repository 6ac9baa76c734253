"""Weight traffic yields to live requests, and no VM sends far more than its share."""

import asyncio
from types import SimpleNamespace

import pytest
from driver import manifest_of
from wasabideck_agent.chunk_store import ChunkStore
from wasabideck_agent.chunks_service import MAX_SENT_RATIO, ChunksService
from wasabideck_agent.links import Link, Links
from wasabideck_agent.transfer import limits_of
from wasabideck_base.settings import WeightsSettings
from wasabideck_wire import inner_pb2 as pb

TEXTS = [f"chunk {i}" for i in range(4)]
MANIFEST = manifest_of("v1", TEXTS)


def test_uploads_are_sent_first_in_first_out():
    link = Link(rate=100.0)
    assert [link.send_seconds(50, 10.0) for _ in range(3)] == [0.5, 1.0, 1.5]


def test_live_bytes_delay_the_weights():
    # Guards against slow responses during a rollout: weights filled the VM's link ahead
    # of them. Live bytes do not wait for weights, weights wait for live bytes.
    link = Link(rate=100.0)
    link.send_seconds(50, 10.0)
    link.reserve_live(200, 10.0)
    assert link.send_seconds(50, 10.0) == pytest.approx(3.0)


def test_an_idle_link_does_not_delay_received_bytes():
    link = Link(rate=100.0)
    assert link.receive_seconds(50, 10.0) == 0.0
    assert link.receive_seconds(50, 10.0) == pytest.approx(0.5)


def test_a_released_reservation_takes_no_time():
    # The link into a region was idle for a third of a rollout: a gateway reserved its
    # transmission time, the sender refused, and the reservation stayed.
    link = Link(rate=100.0)
    assert link.send_seconds(50, 10.0) == pytest.approx(0.5)
    link.release(50)
    assert link.send_seconds(50, 10.0) == pytest.approx(0.5)
    assert link.transmitted_bytes == 50


def test_a_link_without_a_rate_never_waits():
    link = Link()
    assert link.send_seconds(1 << 30, 1.0) == link.receive_seconds(1 << 30, 1.0) == 0


@pytest.mark.parametrize(("urgent", "refused"), [(False, True), (True, False)])
def test_a_vm_that_sent_its_share_serves_only_urgent_requests(urgent, refused):
    # Guards against one VM's link carrying ten copies while others carry none, which
    # delays live requests there: all agents fetched from the first complete one.
    store = ChunkStore()
    store.add_manifest(MANIFEST)
    for digest, text in zip(MANIFEST.chunks, TEXTS, strict=True):
        store.add_chunk(digest, text.encode(), "")
    service = ChunksService(store, Links(Link(), Link(), Link()), 3)
    service.sent[MANIFEST.digest] = int(MAX_SENT_RATIO * len(TEXTS)) + 1
    req = pb.FetchRequest(manifest=MANIFEST.digest, index=1, vm="a", urgent=urgent)
    sent = []

    async def recv_message():
        return req

    async def send_message(message):
        sent.append(message)

    stream = SimpleNamespace(recv_message=recv_message, send_message=send_message)
    asyncio.run(service.Fetch(stream))
    assert [part.refused for part in sent] == [refused]


def test_the_origin_bytes_profile_waits_longer_before_reading_the_origin_again():
    default = limits_of(WeightsSettings(profile="time"), 1 << 20)
    patient = limits_of(WeightsSettings(profile="origin-bytes"), 1 << 20)
    assert patient.stall_seconds == 4 * default.stall_seconds
