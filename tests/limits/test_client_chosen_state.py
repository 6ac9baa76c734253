"""State that is kept under names, or in sizes, that a client chooses."""

import asyncio
import gc
import os
import random
import weakref

import orjson
import pytest
from wasabideck_adapter.head_codec import HEAD_CODEC
from wasabideck_base.bounded_log import BoundedLog
from wasabideck_base.events import Events, HybridClock
from wasabideck_forward.crash_detector import CrashDetector
from wasabideck_forward.dispatcher import (
    FIRST_TRY_MIN_RATIO,
    Dispatcher,
    DispatchLimits,
)
from wasabideck_forward.exchange import Exchange
from wasabideck_forward.http_heads import CallerRequest
from wasabideck_policy.backends import Backend, ListedServer
from wasabideck_policy.cluster_state import ClusterState
from wasabideck_policy.configuration import Kind, Route
from wasabideck_policy.declarations import Declaration, Declarations
from wasabideck_policy.quarantine import Quarantine

# More names than a deployment has models, or servers crash within ten minutes.
MANY = 50_000
MAX_KEPT = 10_000
LINE_BYTES = 4096
UNWRITTEN_BYTES = 256 * 1024


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    os.set_blocking(reading, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_a_long_request_id_does_not_make_a_long_log_line(pipe):
    # Guards against a client that fills the log with ids of the size of a head.
    reading, writing = pipe
    log = BoundedLog(writing, lambda: 0.0)
    log({"message_type": "request.ended", "request": "x" * 16_000})
    line = os.read(reading, 1 << 20)
    assert len(line) < LINE_BYTES
    assert orjson.loads(line)["message_type"] == "request.ended"


def test_lines_do_not_accumulate_while_their_reader_is_slow(pipe):
    # Guards against a rest of unwritten lines that grows with each partial write.
    reading, writing = pipe
    now = 0.0
    log = BoundedLog(writing, lambda: now)
    for _ in range(2000):
        now += 1.0
        log({"message_type": "a", "text": ["x" * 200] * 50})
        with_room = os.read(reading, 4096)
    assert with_room
    assert len(log._unwritten) < UNWRITTEN_BYTES


def exchange(**head):
    headers = [(name.encode(), value) for name, value in head.items()]
    req = CallerRequest(
        b"POST",
        b"/a",
        headers,
        HEAD_CODEC.parse_request_head(headers),
        arrived_at=0.0,
        body=bytearray(b"x" * 100),
    )
    route = Route("r", "h", "/", Kind.STREAM, 6.0, 0.4, (("s", 1.0),))
    return Exchange(req, route, "s", 6.0, None)


def test_a_probe_of_a_server_does_not_keep_the_requests_that_it_failed():
    # Guards against large bodies that stay in memory while a server is probed.
    async def body():
        events = Events("vm", HybridClock(), lambda: 0.0)
        detector = CrashDetector(Quarantine(), events, lambda: 0.0)
        backend = Backend(ListedServer("i-0", "s", "127.0.0.1:1", "dc", 8))
        failed = exchange()
        kept = weakref.ref(failed.req)
        detector.connection_failed(failed, backend, 1.0)
        del failed
        gc.collect()
        is_kept = kept() is not None
        await asyncio.gather(*detector._tasks)
        return is_kept

    assert not asyncio.run(body())


@pytest.mark.parametrize("deadline", [b"60000", b"999999999999"])
def test_a_far_deadline_does_not_make_later_requests_retries(deadline):
    # Guards against one caller that has all others of its route treated as late.
    events = Events("vm", HybridClock(), lambda: 0.0)
    chosen = Dispatcher(
        ClusterState(0.0),
        DispatchLimits(0.2, 100.0, 10.0, 8.0, 8.0, 7.0, 7.0),
        "dc",
        lambda: 0.0,
        random.Random(3),
        CrashDetector(Quarantine(), events, lambda: 0.0),
    )
    chosen._is_caller_retry(exchange(**{"x-deadline-ms": deadline}))
    assert not chosen._is_caller_retry(exchange(**{"x-deadline-ms": b"6050"}))
    late = b"%d" % (6000 * FIRST_TRY_MIN_RATIO * 0.9)
    assert chosen._is_caller_retry(exchange(**{"x-deadline-ms": late}))


def test_crashes_of_very_many_requests_are_not_all_kept():
    # Guards against a peer that reports crashes of requests without end.
    quarantine = Quarantine()
    for number in range(MANY):
        quarantine.merge_crash(f"name-{number}", "vm/1", 600.0 + number, float(number))
    assert len(quarantine.crashes) <= MAX_KEPT
    newest = f"name-{MANY - 1}"
    assert newest in quarantine.crashes


def test_declarations_of_very_many_names_are_not_all_kept():
    # Guards against a peer that declares versions of models without end.
    declarations = Declarations()
    known = Declaration("configuration", 1, b"{}")
    declarations.merge([known])
    for number in range(MANY):
        declarations.merge([Declaration(f"version/{number}", 1, b"{}")])
    assert len(declarations) <= MAX_KEPT
    newer = Declaration("configuration", 2, b"{}")
    assert declarations.merge([newer]) == [newer]


def test_ages_of_very_many_versions_and_models_are_not_all_kept():
    # Guards against a peer that tells ages of versions and models without end.
    state = ClusterState(0.0)
    state.record_declaration_time("known", 1, 5.0)
    for number in range(20_000):
        state.record_declaration_time(f"model-{number}", 1, 5.0)
    for number in range(2, 5_000):
        state.record_declaration_time("known", number, 5.0)
    assert len(state._versions) <= MAX_KEPT
    assert len(state.versions("known")) <= MAX_KEPT // 10
    assert state.newest_version("known") == 4_999
