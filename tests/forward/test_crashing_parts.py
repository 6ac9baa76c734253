"""Requests with a part that crashes servers are refused; those without it are not."""

import asyncio
import contextlib

from cluster_state.region_of_entries import wait_until

from .crashing_cluster import FIRST_PART, run_cluster

BAD, ALSO_BAD = "bad1", "bad2"
BAD_PROMPT = (FIRST_PART, BAD, "d")
# Requests with the part that may still reach servers once the part is known.
MAX_LATE_REQUESTS = 3


async def _find(cluster, *bad_parts, **options):
    """Have parts crash servers until they should be known to all entries."""
    cluster.bad_parts.update(bad_parts)
    for part in bad_parts:
        await cluster.crash_with(part, **options)
    await cluster.pass_stable_time()


async def _send_without_end(cluster, entry, parts):
    while True:
        with contextlib.suppress(TimeoutError):
            await cluster.call(entry, parts)
        await asyncio.sleep(0.02)


def _wait_for_next_run(cluster):
    """Return an awaitable that ends when a server begins to run a new request."""
    since = len(cluster.reached)
    return wait_until(lambda: any(a.begun for a in cluster.reached[since:]))


def test_few_requests_with_a_crashing_part_reach_servers():
    # A part crashes every server, no two requests with it are alike, and each entry
    # sends them on.
    async def scenario(cluster):
        await _find(cluster, BAD)
        since = len(cluster.reached)
        await cluster.call_all(BAD_PROMPT, each=3)
        assert len(cluster.reached_with(BAD, since)) <= MAX_LATE_REQUESTS

    run_cluster(scenario)


def test_requests_with_a_crashing_part_are_refused_at_once():
    # Their callers wait for servers that crash, and learn only that it may have run.
    async def scenario(cluster):
        await _find(cluster, BAD)
        answers = await cluster.call_all(BAD_PROMPT, each=3)
        reached = {arrival.request_id for arrival in cluster.reached}
        refused = [a for a in answers if a.request_id not in reached]
        assert len(refused) >= len(answers) - MAX_LATE_REQUESTS
        assert all(a.status == 503 and a.complete for a in refused)
        assert all(a.quarantined and a.seconds < 0.5 for a in refused)

    run_cluster(scenario)


def test_sound_requests_are_begun_while_crashing_ones_continue():
    # Requests with a crashing part keep all servers down, and sound requests of the
    # same caller and first part find none.
    async def scenario(cluster):
        before = []
        for _ in range(4):
            before += await cluster.send_sound()
        cluster.bad_parts.add(BAD)
        for entry in cluster.entries:
            cluster.spawn(_send_without_end(cluster, entry, BAD_PROMPT))
        while len(cluster.crashes) < 5 and not any(
            answer.quarantined for answer in cluster.answers
        ):
            await cluster.send_sound()
            await asyncio.sleep(0.02)
        await cluster.pass_stable_time()
        await cluster.pass_stable_time()
        after = []
        for _ in range(8):
            after += await cluster.send_sound()
            await asyncio.sleep(0.1)
        share_before = cluster.begun(before) / len(before)
        assert share_before > 0.9 and len(before) >= 20
        assert cluster.begun(after) / len(after) >= 0.5 * share_before

    run_cluster(scenario)


def test_a_burst_of_crashes_is_not_blamed_on_the_first_part():
    # Several servers crash before any sound request is answered again. All crashes are
    # blamed on the first part too, and without it no answer can show that it is sound.
    async def scenario(cluster):
        before = []
        for _ in range(4):
            before += await cluster.send_sound()
        cluster.bad_parts.add(BAD)
        await cluster.call_all(BAD_PROMPT)
        assert len(cluster.crashes_with(BAD)) >= 5
        await cluster.wait_for_servers(len(cluster.servers))
        after = []
        for _ in range(4):
            await cluster.pass_stable_time(0.2)
            after += await cluster.send_sound()
        assert cluster.begun(before) == len(before) == 24
        assert cluster.begun(after) / len(after) >= 0.5
        since = len(cluster.reached)
        await cluster.call_all(BAD_PROMPT)
        assert len(cluster.reached_with(BAD, since)) <= MAX_LATE_REQUESTS

    run_cluster(scenario)


def test_a_restarted_entry_learns_of_a_crashing_part():
    # An entry that restarts has forgotten which parts crash servers.
    async def scenario(cluster):
        await _find(cluster, BAD)
        await cluster.replace_entry(0)
        restarted = cluster.entries[0]
        await wait_until(lambda: restarted.heard_from_peer)
        since = len(cluster.reached)
        answers = [await cluster.call(restarted, BAD_PROMPT) for _ in range(4)]
        assert cluster.reached_with(BAD, since) == []
        assert all(answer.quarantined for answer in answers)

    run_cluster(scenario)


def test_an_entry_that_was_cut_off_learns_of_a_crashing_part():
    # An entry can reach no peer while a part is found, and its peers no longer send it.
    async def scenario(cluster):
        away = cluster.entries[-1]
        away.cut_off()
        await _find(cluster, BAD, entries=cluster.entries[:-1])
        away.connect()
        await wait_until(lambda: away.heard_from_peer)
        since = len(cluster.reached)
        answers = [await cluster.call(away, BAD_PROMPT) for _ in range(4)]
        assert cluster.reached_with(BAD, since) == []
        assert all(answer.quarantined for answer in answers)

    run_cluster(scenario)


def test_two_crashing_parts_are_both_found():
    # The crashes of one part are taken for the other's, or hide them.
    async def scenario(cluster):
        cluster.bad_parts.update((BAD, ALSO_BAD))
        for crashes in range(1, 6):
            await cluster.crash_with(BAD, crashes)
            await cluster.crash_with(ALSO_BAD, crashes)
        await cluster.pass_stable_time()
        for part in (BAD, ALSO_BAD):
            since = len(cluster.reached)
            await cluster.call_all((FIRST_PART, part, "d"))
            assert len(cluster.reached_with(part, since)) <= MAX_LATE_REQUESTS
        assert all(answer.status == 200 for answer in await cluster.send_sound())

    run_cluster(scenario)


def test_a_crashing_part_is_found_beside_crashes_of_another_cause():
    # Crashes under sound requests are taken for evidence against their parts, or
    # against the evidence on the part that does crash servers.
    async def scenario(cluster):
        cluster.bad_parts.add(BAD)
        for crashes in range(1, 6):
            await cluster.crash_with(BAD, crashes)
            await cluster.crash_below_sound_requests()
            await cluster.wait_for_servers()
        await cluster.pass_stable_time()
        since = len(cluster.reached)
        await cluster.call_all(BAD_PROMPT)
        assert len(cluster.reached_with(BAD, since)) <= MAX_LATE_REQUESTS
        assert all(answer.status == 200 for answer in await cluster.send_sound(each=4))

    run_cluster(scenario)


def test_a_rare_part_is_not_refused_after_crashes_of_another_cause():
    # All requests with a part ran on servers that crashed for another reason. They
    # were completed elsewhere, so the part is sound.
    async def scenario(cluster):
        rare = (FIRST_PART, "c1", "4a4e")
        for _ in range(5):
            await cluster.crash_below_sound_requests(rare)
            await cluster.wait_for_servers(4)
        await cluster.pass_stable_time()
        answers = await cluster.call_all(rare)
        assert [answer.status for answer in answers] == [200] * len(answers)

    run_cluster(scenario, max_attempts=3)


def test_sound_requests_are_never_refused_as_crashing():
    # Sound requests have the first part in common with those that crash servers, and
    # run on the same servers.
    async def scenario(cluster):
        await _find(cluster, BAD)
        await cluster.call_all(BAD_PROMPT)
        await cluster.wait_for_servers(2)
        await cluster.send_sound(each=4)
        assert len(cluster.sound_answers()) > 50
        assert not any(answer.quarantined for answer in cluster.sound_answers())

    run_cluster(scenario)


def test_a_request_whose_crashes_a_part_explains_is_served():
    # A sound request ran on two servers that a bad part crashed. Its caller's next
    # retry is refused, although the part explains both crashes.
    async def scenario(cluster):
        one, two = cluster.entries
        prompt = (FIRST_PART, "51")
        cluster.bad_parts.add(BAD)
        for _ in range(2):
            begun = _wait_for_next_run(cluster)
            victim = cluster.spawn(cluster.call(one, prompt, 200, b"victim"))
            await begun
            await cluster.call(two, BAD_PROMPT)
            assert not (await victim).complete
            await cluster.wait_for_servers()
            await cluster.send_sound()
        await _find(cluster, BAD)
        await cluster.wait_for_servers()
        answer = await cluster.call(one, prompt, body=b"victim")
        assert (answer.status, answer.event_ids) == (200, [1, 2, 3])

    run_cluster(scenario, entries=2, servers=1, max_attempts=1, down_seconds=0.2)


def test_requests_of_a_crashed_server_are_answered_elsewhere():
    # Callers lose the streams that were under way on a server that crashed.
    async def scenario(cluster):
        answers = await cluster.crash_below_sound_requests()
        crashed = set(cluster.crashes[0].running)
        assert crashed.intersection(a.request_id for a in answers)
        assert [a.status for a in answers] == [200] * 12
        assert all(a.complete and a.event_ids == [*range(1, 21)] for a in answers)

    run_cluster(scenario, servers=4)


def test_the_last_part_of_a_prompt_is_not_blamed():
    # All requests that crash servers belong to one session, whose sound requests are
    # refused too.
    async def scenario(cluster):
        cluster.bad_parts.add(BAD)
        entries = cluster.entries
        for number in range(6):
            await cluster.call(
                entries[number], (FIRST_PART, BAD, f"d{number}"), last_part="5e55"
            )
            await cluster.send_sound()
            await cluster.wait_for_servers()
        await cluster.pass_stable_time()
        answers = await cluster.call_all((FIRST_PART, "c1"), last_part="5e55")
        assert [answer.status for answer in answers] == [200] * len(answers)

    run_cluster(scenario)
