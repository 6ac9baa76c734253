"""Requests of an entry of the product that is shutting down."""

import asyncio

import pytest
from wasabideck_entry import entry as entry_module

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
