"""State that is kept under names, or in sizes, that a client chooses."""

import os

import orjson
import pytest
from wasabideck_base.bounded_log import BoundedLog

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
