"""What entries keep of crashes is bounded, and ends by itself."""

from attrs import has
from cluster_state.region_of_entries import wait_until
from wasabideck_base.events import Events

from .crashing_cluster import FIRST_PART, run_cluster

BAD = "bad1"
BAD_PROMPT = (FIRST_PART, BAD, "d")
HOUR_SECONDS = 3600.0
CRASHES, REQUESTS_PER_CRASH, PARTS_PER_REQUEST = 40, 60, 4
# Largest message between two entries, on links that all their regions share.
MAX_MESSAGE_BYTES = 32 * 1024
MAX_KEPT_PARTS = 2000


def _kept_ids(root):
    """Return all texts and numbers reachable from an object, without the log."""
    found, seen, pending = set(), set(), [root]
    while pending:
        value = pending.pop()
        if id(value) in seen or isinstance(value, Events | type):
            continue
        seen.add(id(value))
        if isinstance(value, str):
            found.add(value)
        elif isinstance(value, bytes):
            found.add(value.decode("latin-1"))
        elif isinstance(value, int):
            found.add(f"{value:x}")
        elif isinstance(value, dict):
            pending += [*value.keys(), *value.values()]
        elif isinstance(value, list | tuple | set | frozenset) or hasattr(
            value, "popleft"
        ):
            pending += value
        elif has(type(value)):
            names = (field.name for field in type(value).__attrs_attrs__)
            pending += [getattr(value, name, None) for name in names]
    return found


async def _crash_under_many_parts(cluster, crash):
    """Crash a server that runs many requests with parts of their own; return these."""
    prompts = [
        (FIRST_PART, *(f"a{crash:04x}{n:04x}{i:x}" for i in range(PARTS_PER_REQUEST)))
        for n in range(REQUESTS_PER_CRASH)
    ]
    server, arrived = cluster.servers[0], len(cluster.reached)
    answered = len(cluster.answers)
    for number, prompt in enumerate(prompts):
        entry = cluster.entries[number % len(cluster.entries)]
        cluster.spawn(cluster.call(entry, prompt, events=100))
    await wait_until(lambda: len(cluster.reached) - arrived >= REQUESTS_PER_CRASH / 2)
    server.crash()
    await wait_until(
        lambda: len(cluster.answers) - answered == REQUESTS_PER_CRASH, 10.0
    )
    await cluster.wait_for_servers()
    await cluster.send_sound()
    return {part for prompt in prompts for part in prompt[1:]}


def test_evidence_of_many_crashes_is_bounded():
    # Thousands of parts were in use at crashes. Each entry kept all of them, and sent
    # them in each message to each peer.
    async def scenario(cluster):
        parts = set()
        for crash in range(CRASHES):
            parts |= await _crash_under_many_parts(cluster, crash)
        assert len(cluster.crashes) == CRASHES
        assert len(parts) == CRASHES * REQUESTS_PER_CRASH * PARTS_PER_REQUEST
        for entry in cluster.entries:
            assert max(entry.message_bytes) <= MAX_MESSAGE_BYTES
            detector = entry.entry.forwarder.dispatcher.crash_detector
            assert len(parts & _kept_ids(detector)) <= MAX_KEPT_PARTS

    run_cluster(
        scenario, entries=2, servers=1, slots=400, down_seconds=0.02, max_attempts=1
    )


def test_a_quarantined_part_is_served_again_later():
    # A part that no longer crashes servers is refused for ever.
    async def scenario(cluster):
        cluster.bad_parts.add(BAD)
        await cluster.crash_with(BAD)
        await cluster.pass_stable_time()
        answers = await cluster.call_all(BAD_PROMPT)
        assert sum(answer.quarantined for answer in answers) >= len(answers) - 3
        cluster.bad_parts.clear()
        cluster.wall_offset += HOUR_SECONDS
        await cluster.wait_for_servers(4)
        answers = await cluster.call_all(BAD_PROMPT)
        assert [answer.status for answer in answers] == [200] * len(answers)

    run_cluster(scenario)
