"""Callers of ``wasabideck serve`` whose requests are refused before they are read."""

import asyncio

import pytest
from limit_processes import HANG_SECONDS
from test_product_entry import BODY_BYTES, SERVICES, LimitedLab, call, head

STALLED_BODY = head(b"content-length: 1000000\r\n\r\n") + b"x" * 999_999
STALLED_CHUNKS = head(b"transfer-encoding: chunked\r\n\r\n") + b"5\r\nxxxxx\r\n4"
STALLED_HEAD = head(b"a: b\r\n")
# Answers of some MB, of which the kernel holds a part only.
UNREAD_ANSWERS = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n" * 2000


async def send(address, payload):
    """Send a payload as far as it is read, and return the connection's streams."""
    reader, writer = await asyncio.open_connection(*address)
    for start in range(0, len(payload), 65536):
        writer.write(payload[start : start + 65536])
        await writer.drain()
    return reader, writer


@pytest.fixture
def run_entry_process(tmp_path):
    """Run a scenario with an entry that serves; the entry is killed at the end."""

    def run(scenario):
        async def body():
            lab = LimitedLab(tmp_path)
            await lab.start_platform()
            try:
                entry = await lab.start_entry("entry-1", SERVICES)
                await lab.start_plain_service_vm("order-1", "orders")
                host, _, port = entry.http_address.rpartition(":")
                address = (host, int(port))
                async with asyncio.timeout(HANG_SECONDS):
                    while (await call(address))[0] != 200:
                        await asyncio.sleep(0.05)
                return await scenario(entry.subprocess, address)
            finally:
                if lab.processes["entry-1"].subprocess.returncode is None:
                    lab.processes["entry-1"].subprocess.kill()
                    await lab.processes.pop("entry-1").subprocess.wait()
                await lab.close()

        return asyncio.run(body())

    return run


@pytest.mark.parametrize(
    "payload",
    [STALLED_BODY, STALLED_CHUNKS, STALLED_HEAD, UNREAD_ANSWERS],
    ids=["body", "chunks", "head", "unread-answers"],
)
def test_stalled_connections_do_not_keep_a_stopping_entry(run_entry_process, payload):
    # Guards against a process that does not end because callers neither go on nor read.
    async def scenario(child, address):
        streams = [await send(address, payload) for _ in range(20)]
        await asyncio.sleep(0.5)
        child.terminate()
        async with asyncio.timeout(HANG_SECONDS):
            code = await child.wait()
        for _, writer in streams:
            writer.close()
        return code

    assert run_entry_process(scenario) == 0


@pytest.mark.parametrize(
    "payload", [STALLED_BODY, STALLED_CHUNKS], ids=["body", "chunks"]
)
def test_a_stopping_entry_refuses_a_request_that_is_not_whole(
    run_entry_process, payload
):
    # Guards against callers that learn nothing, though their request has not run.
    async def scenario(child, address):
        streams = [await send(address, payload) for _ in range(50)]
        await asyncio.sleep(0.5)
        child.terminate()
        async with asyncio.timeout(HANG_SECONDS):
            received = [await reader.read() for reader, _ in streams]
        for _, writer in streams:
            writer.close()
        return received

    for received in run_entry_process(scenario):
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b'"outcome":"not-run"' in received


@pytest.mark.parametrize(
    ("payload", "status"),
    [
        (head(b"content-length: 8000000\r\n\r\n") + b"x" * 8_000_000, 413),
        (
            head(b"transfer-encoding: chunked\r\n\r\n")
            + (b"10000\r\n" + b"x" * 65536 + b"\r\n") * (8 * BODY_BYTES // 65536),
            413,
        ),
        (
            head(b"content-length: 8000000\r\n\r\n", token="wrong") + b"x" * 8_000_000,
            401,
        ),
        (head(b"transfer-encoding: chunked\r\n\r\nzz\r\n") + b"x" * 3_000_000, 400),
        (head(b"a: " + b"x" * 3_000_000), 413),
    ],
    ids=["length", "chunks", "credential", "framing", "head"],
)
def test_a_caller_that_sends_on_reads_the_refusal(run_entry_process, payload, status):
    # Guards against a close with unread bytes, which resets the connection before the
    # caller has read its answer.
    async def scenario(child, address):
        statuses = set()
        for _ in range(5):
            async with asyncio.timeout(HANG_SECONDS):
                reader, writer = await send(address, payload)
                statuses.add(int((await reader.readline()).split()[1]))
            writer.close()
        return statuses

    assert run_entry_process(scenario) == {status}
