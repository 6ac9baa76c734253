"""Tests of the hybrid logical clock and of event files that cannot be written."""

import asyncio
import os

import eliot
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from wasabideck_base.channels import Channels, exchange_clock
from wasabideck_base.events import (
    MAX_DRIFT_SECONDS,
    EventFile,
    Events,
    EventsUnwritable,
    HybridClock,
    Timestamp,
    open_events,
)
from wasabideck_base.inner_limits import InnerServer
from wasabideck_base.process import periodic_with_events
from wasabideck_base.settings import TlsSettings
from wasabideck_base.ticket_replication import PeersService
from wasabideck_base.tls import KeysUnusable
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub


@given(st.lists(st.tuples(st.integers(0, 2), st.floats(0, 100)), max_size=60))
def test_an_effect_has_a_later_timestamp_than_its_cause(steps):
    # Three processes with arbitrary wall clock jumps send messages to each other.
    clocks = [HybridClock(), HybridClock(), HybridClock()]
    sent = Timestamp(0, 0)
    for process, wall in steps:
        received, clock = sent, clocks[process]
        clock.observe(received, wall)
        sent = clock.tick(wall)
        within_drift = received.micros <= (wall + MAX_DRIFT_SECONDS) * 1e6
        assert sent > received or not within_drift


def test_a_clock_far_ahead_does_not_advance_other_clocks():
    # Guards against a VM whose clock is a year ahead: its timestamps reached every
    # process, and the fleet's timeline stayed a year ahead until all were restarted.
    clock = HybridClock()
    clock.observe(Timestamp(10**15, 0), now=1000.0)
    assert clock.tick(1000.0) == Timestamp(10**9, 0)
    clock.observe(Timestamp(10**9 + 30_000_000, 5), now=1000.0)
    assert clock.tick(1000.0) == Timestamp(10**9 + 30_000_000, 6)


@pytest.mark.parametrize(
    "text", ["", ".", "1", "1.x", "-1.0", "1.-1", "٣.٠", "9" * 40 + ".0", None, b"1.0"]
)
def test_a_malformed_timestamp_is_ignored(text):
    clock = HybridClock(wall_clock=lambda: 1.0)
    clock.observe_text(text)
    assert clock.last == Timestamp(0, 0)


def test_responses_carry_timestamps_as_requests_do():
    # An agent's clock is 20 s ahead. Its response contained no timestamp, so the clock
    # of the entry did not advance past it, and the timeline showed the response after
    # the entry's next event.
    async def body():
        ahead, behind = (
            HybridClock(wall_clock=lambda: 1020.0),
            HybridClock(wall_clock=lambda: 1000.0),
        )

        def status(req):
            ahead.tick(1020.0)
            return pb.StatusReply()

        server = InnerServer([PeersService(None, status)])
        exchange_clock(server, ahead)
        await server.start("127.0.0.1", 0)
        host, port = server._server.sockets[0].getsockname()
        channels = Channels(behind)
        behind.tick(1000.0)
        stub = PeersStub(channels.get(f"{host}:{port}"))
        await stub.Status(pb.StatusRequest(), timeout=5)
        channels.close()
        server.close()
        return ahead.last, behind.tick(1000.0)

    response_time, after = asyncio.run(body())
    assert after > response_time


def test_a_full_disk_loses_only_events(tmp_path):
    # The disk is full when a process shuts down. The write of its last event failed,
    # which aborted the shutdown and the requests in progress.
    full = EventFile(os.open("/dev/full", os.O_WRONLY))
    eliot.add_destinations(full)
    try:
        events = Events("vm", HybridClock(), lambda: 1.0)
        events.emit("process.leaving")
        events.emit("process.stopped")
    finally:
        eliot.remove_destination(full)
    assert full.lost_events == 2


def test_events_with_unserializable_values_are_written(tmp_path):
    path = tmp_path / "events"
    events, file = open_events("vm", str(path), lambda: 1.0)
    try:
        events.emit("transfer.verified", sources={1: 2}, why=ValueError("x"))
    finally:
        eliot.remove_destination(file)
    row = orjson.loads(path.read_bytes())
    assert (row["hlc"], row["sources"], row["why"]) == ("1000000.0", {"1": 2}, "x")


def test_an_unusable_event_file_aborts_startup(tmp_path):
    with pytest.raises(EventsUnwritable):
        open_events("vm", str(tmp_path))


def test_a_typed_failure_does_not_end_a_loop():
    # The platform's gateway returns 404 for a moment. The step that reads the member
    # list raised, its loop ended, and every process of the fleet terminated.
    sent, steps = [], iter([KeysUnusable, None, ZeroDivisionError])

    async def step():
        if kind := next(steps):
            raise kind(TlsSettings("c", "k", "a"), "x")

    class EventRecorder:
        def emit(self, kind, **fields):
            sent.append((kind, fields["why"]))

    with pytest.raises(ZeroDivisionError):
        asyncio.run(periodic_with_events(EventRecorder())(0, step))
    assert sent == [("loop.failed", "KeysUnusable: c, a: x")]
