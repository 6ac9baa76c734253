"""Reads of the membership list stay within a bandwidth budget at any list size."""

import asyncio

import aiohttp
from wasabideck_base.http_client import HttpClient
from wasabideck_base.members import MemberListClient
from wasabideck_lab.faults import FaultInjector
from wasabideck_lab.lab_fleet import serve_standin
from wasabideck_lab.standin_platform import MembersStandin
from wasabideck_policy.membership import Member


def test_unchanged_list_is_not_resent_and_large_list_delays_next_read(rng):
    """Every process reads the list once a second. With 1,800 VMs, sending the whole
    list each time cost 250 KB/s per process, although almost nothing changed. An
    unchanged list must cost only a tag, and a changed one delays the next read
    according to its size."""

    async def session():
        standin = MembersStandin(FaultInjector(rng))
        for index in range(300):
            standin.put_member(Member(f"vm-{index}", "agent", f"10.0.0.{index}:1"))
        address, runner = await serve_standin(standin)
        async with aiohttp.ClientSession() as http:
            members = MemberListClient(
                HttpClient(address, 2.0, http), bytes_per_second=100.0
            )
            counts = [len(await members.read(now)) for now in (0.0, 1.0)]
            reads_within_budget = standin.reads
            standin.remove_member("vm-7")
            counts.append(len(await members.read(10_000.0)))
            await members.read(20_000.0)
            unchanged = await members.http.get_if_changed("/v1/members", members._etag)
        await runner.cleanup()
        return counts, reads_within_budget, unchanged

    counts, reads_within_budget, unchanged = asyncio.run(session())
    assert counts == [300, 300, 299]
    assert reads_within_budget == 1
    assert unchanged is None
