"""The kernel's buffers of accepted connections, at each listener."""

import asyncio
import re
import shutil
import socket
import subprocess

import pytest
from limit_processes import LIMITS, platform_process
from wasabideck_base.kernel_buffers import KERNEL_BUFFER_BYTES, open_listener


def test_an_accepted_connection_has_limited_buffers():
    # Guards against buffers that grow to megabytes for a peer that does not read.
    with open_listener("127.0.0.1", 0) as listener:
        listener.setblocking(True)
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
            with accepted:
                for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                    # The kernel doubles the value for its own bookkeeping.
                    size = accepted.getsockopt(socket.SOL_SOCKET, option)
                    assert size <= 2 * KERNEL_BUFFER_BYTES


def test_a_small_answer_is_sent_without_delay():
    # Guards against answers that wait up to 40 ms for an acknowledgement.
    with open_listener("127.0.0.1", 0) as listener:
        listener.setblocking(True)
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
            with accepted:
                assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.skipif(not shutil.which("ss"), reason="ss, of iproute2, is not installed")
@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_each_listener_of_a_process_limits_its_buffers(tmp_path, kind):
    # Guards against a listener that is opened without the limit.
    async def body():
        async with platform_process(tmp_path, kind, "127.0.53.1", LIMITS) as process:
            found = subprocess.run(
                ["ss", "-Hltnmp"], capture_output=True, text=True, check=True
            ).stdout
            pid = f"pid={process.child.pid},"
            lines = found.splitlines()
            return [
                tuple(
                    map(int, re.search(r"rb(\d+),t0,tb(\d+)", lines[at + 1]).groups())
                )
                for at, line in enumerate(lines)
                if pid in line
            ]

    sizes = asyncio.run(body())
    assert len(sizes) == {"entry": 4, "agent": 3}[kind]
    # Sizes that are set stay as they are; others are where the kernel begins.
    assert set(sizes) == {(2 * KERNEL_BUFFER_BYTES, 2 * KERNEL_BUFFER_BYTES)}
