"""Requests of an entry of the product that is shutting down."""

import asyncio

import pytest
from wasabideck_entry import entry as entry_module
from wasabideck_entry.call_runner import CallRunner, StreamEvent

CALLER = "sample-caller-token"

READINESS_DELAY_SECONDS = 0.6


def request(route):
    lines = (
        f"POST /v1/services/drafting/{route} HTTP/1.1",
        "host: h.example",
        f"authorization: Bearer {CALLER}",
        f"idempotency-key: {route}",
        "content-length: 0",
    )
    return "\r\n".join((*lines, "", "")).encode()


@pytest.fixture
def sent_while_stopping(entry_settings, run_entry, monkeypatch):
    """Return what a caller reads that sends data 0.2 s after the stop signal."""
    monkeypatch.setattr(
        entry_module, "READINESS_DELAY_SECONDS", READINESS_DELAY_SECONDS
    )

    async def send(reader, writer, data):
        await asyncio.sleep(0.2)
        writer.write(data)
        async with asyncio.timeout(3):
            return await reader.read()

    async def exchange(data):
        async with run_entry(entry_settings()) as entry:
            host, port = entry.http.split(":")
            streams = await asyncio.open_connection(host, int(port))
            sending = asyncio.create_task(send(*streams, data))
        return await sending

    return lambda data: asyncio.run(exchange(data))


def test_pipelined_requests_of_a_stopping_entry_are_answered(sent_while_stopping):
    # Guards against requests that were read, and dropped after the first response.
    received = sent_while_stopping(request("first") + request("second"))
    assert received.count(b"HTTP/1.1 ") == 2


def test_the_response_of_a_stopping_entry_announces_the_close(sent_while_stopping):
    # Guards against callers that send their next request on a connection that closes.
    received = sent_while_stopping(request("only"))
    assert b"\r\nconnection: close\r\n" in received.partition(b"\r\n\r\n")[0] + b"\r\n"


def test_a_late_call_that_outlasts_the_drain_is_answered(
    sent_while_stopping, monkeypatch
):
    # Guards against calls that are taken after the stop signal and end without an
    # answer, as their deadlines are later than the end of the drain.
    async def run(self, call):
        await asyncio.Event().wait()
        yield

    monkeypatch.setattr(CallRunner, "run", run)
    monkeypatch.setattr(entry_module, "DRAIN_TIMEOUT_SECONDS", 0.5)
    assert sent_while_stopping(request("brief")).startswith(b"HTTP/1.1 50")


def test_a_stream_that_outlasts_the_drain_ends_with_its_outcome(
    sent_while_stopping, monkeypatch
):
    # Guards against streams that are cut off without a word at the end of the drain.
    async def run(self, call):
        yield StreamEvent(b"part")
        await asyncio.Event().wait()

    monkeypatch.setattr(CallRunner, "run", run)
    monkeypatch.setattr(entry_module, "DRAIN_TIMEOUT_SECONDS", 0.5)
    received = sent_while_stopping(request("brief"))
    assert b"part" in received
    assert b'"outcome":"unknown","reason":"EntryStopped"' in received
    assert received.endswith(b"0\r\n\r\n")
