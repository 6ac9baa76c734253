"""An agent brings the engine beside it to the declared version, chunk by chunk."""

import asyncio
import time
from types import SimpleNamespace

import orjson
import pytest
from agent_fakes import (
    CHUNKS,
    MODEL,
    chunk_bytes,
    holds,
    step_until,
    step_until_through_outages,
)
from attrs import evolve
from wasabideck_agent.engine_agent import SWAP_MARGIN_SECONDS
from wasabideck_agent.engine_reporter import EngineReporter
from wasabideck_agent.listed_peers import ListedPeers
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_policy.backends import LoadedLayers
from wasabideck_policy.engine_state import EngineState, OrderResponse
from wasabideck_policy.membership import AGENT, Member


def test_an_empty_engine_gets_the_first_version(agent, engine, rows):
    step_until(agent, lambda: rows.rows)
    assert holds(engine, 1)()
    assert engine.orders == engine.load_calls == [1]


def test_a_declared_version_replaces_the_one_in_effect(agent, engine):
    step_until(agent, holds(engine, 1))
    agent.process.state_sync.cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, holds(engine, 2))
    assert engine.orders == engine.load_calls == [1, 2]


def test_a_corrupt_staged_chunk_is_repaired_before_the_order(agent, engine):
    # Guards against corrupt weights in service: a chunk becomes corrupt in the engine's
    # staging area, and the engine loads chunks without verification.
    stage = engine.stage_chunk

    async def stage_and_corrupt(model, index, data):
        await stage(model, index, data)
        if len(engine.chunks) == CHUNKS and not engine.orders:
            engine.stage_chunk = stage
            engine.chunks[3] = b"rotten!!"

    engine.stage_chunk = stage_and_corrupt
    step_until(agent, holds(engine, 1))
    assert engine.stage_chunk == stage, "the chunk never became corrupt"
    assert engine.chunks[3] == chunk_bytes(1, 3)


@pytest.mark.parametrize("is_written", [False, True], ids=["lost", "written"])
def test_a_chunk_whose_repair_failed_is_verified_again(agent, engine, is_written):
    # Guards against an order right after the write of an intact chunk has failed.
    stage = engine.stage_chunk
    failed = []

    async def stage_and_fail(model, index, data):
        if engine.chunks.get(index) == b"rotten!!" and not failed:
            failed.append(index)
            if is_written:
                await stage(model, index, data)
            raise PlatformUnavailable("engine", "HTTP 500", False)
        await stage(model, index, data)
        if len(engine.chunks) == CHUNKS and not failed:
            engine.chunks[3] = b"rotten!!"

    engine.stage_chunk = stage_and_fail
    step_until_through_outages(agent, holds(engine, 1))
    assert failed == [3]
    assert engine.chunks[3] == chunk_bytes(1, 3)


def test_a_corrupt_chunk_of_the_origin_is_read_again(agent, engine, origin):
    origin.corrupt_chunks = {(1, 2), (1, 5)}
    step_until(agent, holds(engine, 1))
    assert origin.reads.count((1, 2)) == 2


def test_staged_chunks_are_not_read_again_after_a_restart(agent, engine, origin):
    # Guards against a slow recovery from a power loss that the servers survive: the
    # staged chunks are intact, and reading 2 MB from one origin takes every agent
    # seconds.
    engine.chunks = {i: chunk_bytes(1, i) for i in range(CHUNKS) if i != 6}
    step_until(agent, holds(engine, 1))
    assert origin.reads == [(1, 6)]


def test_an_engine_that_restarted_empty_is_loaded_again(agent, engine, rows):
    step_until(agent, holds(engine, 1))
    engine.loaded, engine.born = (), 2
    step_until(agent, holds(engine, 1))
    assert engine.orders == engine.load_calls == [1, 1]


def test_a_restarted_agent_does_not_change_the_report(agent, engine, rows, make_agent):
    # Guards against a lost delivery report: an agent that was killed and restarted
    # finds the engine serving, and must not overwrite the row of the delivery with one
    # that has no sources ("held already").
    step_until(agent, lambda: rows.rows)
    before = dict(rows.rows)
    delivery = orjson.loads(next(iter(before.values())))
    assert delivery["sources"] == {"origin": 64}
    assert 0 < delivery["begun"] <= delivery["verified"] <= delivery["in_force"]
    engine.state_calls = 0
    step_until(make_agent(), lambda: engine.state_calls > 5)
    assert rows.rows == before


def test_weights_loaded_before_the_agent_started_are_reported(make_agent, engine, rows):
    engine.loaded = (LoadedLayers("m", 1, 0, 4),)
    step_until(make_agent(), lambda: rows.rows)
    assert list(rows.rows) == [f"{1:020d}/s/vm/model"]


def test_a_version_superseded_during_its_load_is_reported(agent, engine, rows):
    # Version 3 is declared while version 2 is being loaded. Without a row for version 2
    # the report would show that nobody served it.
    step_until(agent, holds(engine, 1))
    cluster_state = agent.process.state_sync.cluster_state
    cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, lambda: engine.loading is not None)
    cluster_state.declare_version("m", 3, 0.0)
    # An engine report is sent while the main loop waits for the origin.
    agent.describe(
        EngineState(
            (LoadedLayers("m", 2, 0, 4),), order_in_progress=False, started_at_ms=1
        )
    )
    step_until(agent, lambda: any(key.startswith(f"{3:020d}") for key in rows.rows))
    assert any(key.startswith(f"{2:020d}") for key in rows.rows)
    assert engine.orders[-1] == 3


def test_reports_during_a_swap_have_the_version_being_loaded(agent, engine):
    # Guards against entries that recall waiting requests during a swap. An engine that
    # has accepted the order starts them only after the load, on the new weights.
    step_until(agent, holds(engine, 1))
    reported = []
    agent.send_report = lambda state: reported.append(agent.describe(state)[:2])
    agent.process.state_sync.cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, lambda: engine.loading is not None)
    assert reported == [(1, False), (2, False)]
    busy = EngineState(
        (LoadedLayers("m", 1, 0, 4),), order_in_progress=True, started_at_ms=1
    )
    assert agent.describe(busy)[:2] == (2, False)
    again = EngineState((), order_in_progress=True, started_at_ms=2)
    assert agent.describe(again)[:2] == (0, False)


def test_the_load_of_expired_weights_is_logged_once(agent, engine):
    # Without this event a run that meets the deadline by chance looks like one that
    # meets it by design.
    step_until(agent, holds(engine, 1))
    reported = []
    agent.events.listeners.append(lambda kind, fields: reported.append((kind, fields)))
    clock, within = (
        agent.process.time,
        agent.process.cfg.limits.version_deadline_seconds,
    )
    agent.process.state_sync.cluster_state.declare_version("m", 2, clock[0])
    queued = EngineState(
        (LoadedLayers("m", 1, 0, 4),), running=4, waiting=2, started_at_ms=1
    )
    agent.describe(queued)
    clock[0] += within + 0.1
    agent.describe(queued)
    agent.describe(queued)
    ends = [fields for kind, fields in reported if kind == "weights.over"]
    assert ends == [
        {"version": 1, "since": 0.1, "busy": False, "running": 4, "waiting": 2}
    ]


def test_chunks_are_verified_again_if_the_verification_is_old(agent, engine):
    # The VM is paused for five seconds between the verification of the staged chunks
    # and the order, and a chunk becomes corrupt meanwhile. The verification must not
    # count for as long as the order takes.
    step_until(agent, holds(engine, 1))
    read_state, paused = engine.read_state, []
    # Staged chunks are first checked for reuse, and verified again before the order.
    reads_before_order = engine.chunk_reads + 2 * CHUNKS

    async def state_after_a_pause():
        if engine.chunk_reads == reads_before_order and not paused:
            paused.append(True)
            agent.process.time[0] += 5.0
            engine.chunks[0] = b"spoilt!!"
        return await read_state()

    engine.read_state = state_after_a_pause
    agent.process.state_sync.cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, holds(engine, 2))
    assert paused


def test_an_order_accepted_slowly_does_not_end_the_swap(agent, engine):
    # An engine takes 0.2 s to accept an order. Its earlier state made the swap seem
    # over: entries were informed that version 1 was served, sent requests in the middle
    # of the swap, and recalled all of them when version 1 expired.
    step_until(agent, holds(engine, 1))
    reported = []
    agent.send_report = lambda state: reported.append(agent.describe(state)[:2])
    accept = engine.load

    async def slowly(model, version, queue, accepted):
        agent.process.time[0] += 0.2
        return await accept(model, version, queue, accepted)

    engine.load = slowly
    agent.process.state_sync.cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, lambda: engine.loading is not None)
    assert reported == [(1, False), (2, False)]


def test_an_outdated_order_is_refused(agent, engine):
    # Guards against an old order whose reply was lost and which reverts a newer one.
    step_until(agent, holds(engine, 1))
    accept, late = engine.load, []

    async def lost(model, version, queue, accepted):
        if not late:
            late.append((model, version, queue, accepted))
            raise PlatformUnavailable("engine", "no answer", True)
        return await accept(model, version, queue, accepted)

    engine.load = lost
    cluster_state = agent.process.state_sync.cluster_state
    cluster_state.declare_version("m", 2, 0.0)
    step_until_through_outages(agent, lambda: late)
    cluster_state.declare_version("m", 3, 0.0)
    step_until_through_outages(agent, holds(engine, 3))
    assert asyncio.run(accept(*late[0])) is OrderResponse.REFUSED
    assert holds(engine, 3)()


def test_no_report_is_sent_while_the_model_is_unknown(agent):
    # A restarted agent sent its first report before it had the configuration, without a
    # version. Entries then recalled all waiting requests of a healthy server.
    agent.process.state_sync.cluster_state.configuration = None
    sent = []
    reporter = EngineReporter(agent.process, agent.engine, agent.describe)
    reporter.sender = SimpleNamespace(
        send=lambda report, addresses: sent.append(report)
    )
    loaded = EngineState(
        (LoadedLayers("m", 2, 0, 4),), order_in_progress=False, started_at_ms=1
    )
    reporter.send_report(loaded)
    assert sent == []


def test_the_newest_version_is_fetched_while_an_older_one_is_loaded(
    agent, engine, origin
):
    step_until(agent, holds(engine, 1))
    cluster_state = agent.process.state_sync.cluster_state
    cluster_state.declare_version("m", 2, 0.0)
    step_until(agent, lambda: engine.loading is not None)
    engine.polls_left = 10_000
    cluster_state.declare_version("m", 3, 0.0)

    async def one_step():
        await agent.step()

    asyncio.run(one_step())
    agent.process.time[0] += 1.0
    loaded = EngineState(
        (LoadedLayers("m", 2, 0, 4),), order_in_progress=False, started_at_ms=1
    )
    assert agent.describe(loaded)[:2] == (2, True)
    assert sum(version == 3 for version, _ in origin.reads) == CHUNKS
    assert engine.loading is not None


def test_an_agent_continues_after_an_outage_of_the_origin(agent, engine, origin):
    async def run():
        origin.down = True
        with pytest.raises(PlatformUnavailable):
            await agent.step()
        origin.down = False

    asyncio.run(run())
    step_until(agent, holds(engine, 1))


def test_lost_vms_do_not_delay_a_transfer(agent, engine, rows):
    # The rows of replaced servers' agents stay. After a power loss the first readers of
    # each chunk were VMs that no longer exist, and no engine was loaded for 16 seconds.
    rows.listed = ["127.0.0.1"]
    members = agent.process.state_sync.gossip.members
    loop_time = time.monotonic

    async def run():
        async def swallow(reader, writer):
            await reader.read()

        unresponsive = await asyncio.start_server(swallow, "127.0.0.2", 0)
        port = unresponsive.sockets[0].getsockname()[1]
        for number in range(12):
            name = f"gone-{number}"
            members[name] = Member(name, AGENT, f"127.0.0.2:{port}", "r", "dc", "s")
        began = loop_time()
        async with asyncio.timeout(20):
            while not engine.orders:
                agent.process.time[0] += 1.0
                await agent.step()
        unresponsive.close()
        return loop_time() - began

    assert asyncio.run(run()) < 1.0


def test_an_older_version_continues_while_the_newest_is_unavailable(
    agent, engine, origin
):
    # Version 3 is declared and the origin becomes unreachable when half of version 2
    # was received. All agents dropped version 2 for one that nobody had, and for six
    # seconds no server held weights that may serve. Version 2 could have been complete
    # by then.
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    cluster_state.declare_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    cluster_state.declare_version("m", 3, clock[0] + 2.0)
    origin.missing_versions = {3}
    step_until_through_outages(agent, holds(engine, 2))
    origin.missing_versions = set()
    step_until_through_outages(agent, holds(engine, 3))
    assert engine.orders == engine.load_calls == [1, 2, 3]


def test_an_older_version_is_loaded_while_the_newest_is_stalled(agent, engine, origin):
    # The manifest of version 3 was read before the origin lost all of its chunks.
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    cluster_state.declare_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    cluster_state.declare_version("m", 3, clock[0] + 2.0)
    asyncio.run(agent.manifests.get("m", 3))
    origin.missing_versions = {3}

    step_until_through_outages(agent, holds(engine, 2))
    assert engine.orders == engine.load_calls == [1, 2]


def test_an_older_version_that_expires_soon_is_not_fetched(agent, origin):
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    cluster_state.declare_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    cluster_state.declare_version(
        "m", 3, clock[0] - agent.process.cfg.limits.version_deadline_seconds + 1.0
    )
    origin.missing_versions = {3}
    with pytest.raises(PlatformUnavailable):
        asyncio.run(agent.version_choice.manifest_to_fetch(MODEL, 1, 3))


def test_completely_staged_chunks_are_verified_only_once(agent, engine, origin):
    # After a power loss all chunks are staged. They were read back twice, 0.2 s each,
    # while no server held any weights.
    engine.chunks = {i: chunk_bytes(1, i) for i in range(CHUNKS)}
    step_until(agent, lambda: engine.orders)
    assert engine.chunk_reads == CHUNKS
    assert origin.reads == []


def test_a_swap_starts_with_its_rollout_wave_and_before_the_expiry(agent, engine):
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    members = agent.process.state_sync.gossip.members
    agent.peers = ListedPeers(agent.process, agent.deployment)
    for i in range(2, 9):
        address = f"127.0.0.{i}:1"
        members[f"vm-{i}"] = Member(f"vm-{i}", AGENT, address, "r", "dc", "s")
    cluster_state.declare_version("m", 2, clock[0])
    expires_at = clock[0] + agent.process.cfg.limits.version_deadline_seconds
    agent._served_version = 1
    since, starts = clock[0], []
    for version in range(2, 40):
        agent._complete_since[version] = since
        starts.append(agent._swap_start(MODEL, version, clock[0]))
    assert min(starts) == since
    assert since < max(starts) <= expires_at - SWAP_MARGIN_SECONDS
    agent._served_version = 0
    assert agent._swap_start(MODEL, 2, clock[0]) == clock[0]


def test_version_learned_from_a_stale_peer_is_not_ordered(agent, engine):
    # Guards against requests on expired weights: an agent has just started, and a peer
    # that was cut off since before version 3 sent it version 2, which is still staged.
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    clock[0] = 100.0
    cluster_state.complete_until = clock[0] - 15.0
    cluster_state.declare_version("m", 2, clock[0] - 20.0)
    engine.chunks = {i: chunk_bytes(2, i) for i in range(CHUNKS)}
    for _ in range(5):
        clock[0] += 0.2
        asyncio.run(agent.step())
    assert engine.orders == []
    cluster_state.declare_version("m", 3, clock[0] - 14.0)
    cluster_state.mark_complete(clock[0])
    step_until(agent, lambda: engine.orders)
    assert engine.orders == [3]


def test_order_waits_if_its_load_outlasts_what_is_known(agent, engine):
    # Guards against a load that ends when a version that is unknown here may be due.
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    within = agent.process.cfg.limits.version_deadline_seconds
    engine.running = 1
    cluster_state.declare_version("m", 2, clock[0])
    cluster_state.complete_until = clock[0] + 2.0 - within
    for _ in range(5):
        asyncio.run(agent.step())
    assert engine.orders == [1]
    engine.running = 0
    step_until(agent, lambda: engine.orders[1:])
    assert engine.orders == [1, 2]


def test_order_waits_if_the_verification_outlasts_what_is_known(agent, engine):
    # Guards against a slow verification, after which an unknown version may be due.
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    cluster_state.declare_version("m", 2, clock[0])
    cluster_state.complete_until = clock[0]
    read, reads_before_order = engine.staged_chunk, engine.chunk_reads + CHUNKS

    async def read_slowly(model, index):
        if engine.chunk_reads == reads_before_order:
            clock[0] += agent.process.cfg.limits.version_deadline_seconds + 0.1
        return await read(model, index)

    engine.staged_chunk = read_slowly
    for _ in range(3):
        asyncio.run(agent.step())
    assert engine.chunk_reads > reads_before_order
    assert engine.orders == [1]


def test_current_knowledge_delays_no_order(agent, engine):
    # Guards against a swap that waits for the store or an entry while all is well.
    step_until(agent, holds(engine, 1))
    cluster_state, clock = agent.process.state_sync.cluster_state, agent.process.time
    engine.running = 1
    cluster_state.declare_version("m", 2, clock[0])
    cluster_state.complete_until = clock[0] - 4.0
    asyncio.run(agent.step())
    assert engine.orders == [1, 2]
    assert not agent.process.state_sync.confirmation.requested


def test_known_version_is_loaded_when_nobody_can_confirm_it(agent, engine):
    # Guards against an engine that stays empty for as long as the store is away.
    async def scenario():
        process = agent.process
        process.clock = asyncio.get_running_loop().time
        state_sync, hold = process.state_sync, 0.5
        limits = evolve(process.cfg.limits, disturbance_hold_seconds=hold)
        process.cfg = evolve(process.cfg, limits=limits)
        state_sync.cluster_state.complete_until = process.clock() - 15.0
        state_sync.cluster_state.declare_version("m", 2, process.clock() - 20.0)
        running = [asyncio.create_task(agent.run())]
        await asyncio.sleep(2 * hold)
        assert engine.orders == []
        running.append(asyncio.create_task(state_sync.confirmation.run()))
        await asyncio.sleep(2 * hold)
        assert engine.orders == [2]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    asyncio.run(scenario())
