"""Clients of the product's own agent, ``wasabideck-agent serve``."""

import asyncio

import aiohttp
import inner_crowd
import pytest
from crowd import Crowd
from limit_processes import HANG_SECONDS, Process
from test_product_entry import FEW_DESCRIPTORS, LIMITS, SERVICES, LimitedLab, _split
from test_product_entry import call as call_entry


async def scrape(address):
    """Return the status of a request for metrics."""
    async with (
        asyncio.timeout(HANG_SECONDS),
        aiohttp.ClientSession() as session,
        session.get("http://{}:{}/metrics".format(*address)) as response,
    ):
        return response.status


@pytest.fixture
def run(tmp_path):
    """Run a crowd at one of the agent's listeners, and check the agent."""

    def play(listener, limits, count, payload):
        async def body():
            lab = LimitedLab(tmp_path)
            lab.descriptors = {"wasabideck-agent": limits["max-fds"]}
            await lab.start_platform()
            try:
                entry = await lab.start_entry("entry-1", SERVICES)
                agent = await lab.start_plain_service_vm("order-1", "orders")
                addresses = {
                    "http": _split(agent.http_address),
                    "inner": _split(agent.inner_address),
                }
                process = Process(agent.subprocess, limits, **addresses)
                with Crowd() as crowd:
                    await crowd.send(addresses[listener], count, payload)
                    process.check()
                    status = await scrape(process.http)
                    async with asyncio.timeout(HANG_SECONDS):
                        while (await call_entry(_split(entry.http_address)))[0] != 200:
                            await asyncio.sleep(0.05)
                    process.check()
            finally:
                await lab.close()
            return status

        assert asyncio.run(body()) == 200

    return play


@pytest.mark.parametrize("listener", ["http", "inner"])
def test_connections_beyond_the_descriptors(run, listener):
    # Guards against idle connections that leave no descriptor to an entry or a scrape.
    run(listener, FEW_DESCRIPTORS, 500, b"")


def test_peers_that_open_streams(run):
    # Guards against a client of the inner protocol that fills the memory.
    run("inner", LIMITS, 100, inner_crowd.open_streams(400, 400))


def test_scrapes_sent_ahead_whose_answers_are_not_read(run):
    # Guards against requests and answers that wait for a client that does not read.
    payload = b"GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n" * 60_000
    run("http", LIMITS, 700, payload)
