"""The membership list is read within a budget, however long it is."""

import asyncio

import aiohttp
from wasabideck_base.http import HttpClient
from wasabideck_base.members import Members
from wasabideck_lab.faults import Faults
from wasabideck_lab.launcher import serve_standin
from wasabideck_lab.standin_platform import MembersStandin
from wasabideck_policy.membership import Member


def test_an_unchanged_or_large_list_is_not_sent_again(rng):
    """Every process reads the list each second. With 1,800 VMs on it that was
    250 KB/s a process, of which almost nothing had changed: the list was sent
    whole each time. Now an unchanged one costs a tag, and a changed one delays the
    next read by its size."""

    async def session():
        standin = MembersStandin(Faults(rng))
        for index in range(300):
            standin.put(Member(f"vm-{index}", "agent", f"10.0.0.{index}:1"))
        address, runner = await serve_standin(standin)
        async with aiohttp.ClientSession() as http:
            members = Members(HttpClient(address, 2.0, http), bytes_per_second=100.0)
            counts = [len(await members.read(now)) for now in (0.0, 1.0)]
            reads_within_budget = standin.reads
            standin.remove("vm-7")
            counts.append(len(await members.read(10_000.0)))
            await members.read(20_000.0)
            unchanged = await members.http.get_if_changed("/v1/members", members._tag)
        await runner.cleanup()
        return counts, reads_within_budget, unchanged

    counts, reads_within_budget, unchanged = asyncio.run(session())
    assert counts == [300, 300, 299]
    assert reads_within_budget == 1
    assert unchanged is None
