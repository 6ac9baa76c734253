"""An agent brings the engine beside it to the named version, piece by piece."""

import asyncio
import time
from types import SimpleNamespace

import orjson
import pytest
from agent_fakes import (
    CHUNKS,
    MODEL,
    holds,
    piece,
    steps,
    steps_on,
)
from wasabideck_agent.listed_peers import ListedPeers
from wasabideck_agent.news_loop import NewsLoop
from wasabideck_agent.node_agent import LAST_SECONDS
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_policy.backends import Loaded
from wasabideck_policy.engine_state import EngineState, OrderAnswer
from wasabideck_policy.membership import AGENT, Member


def test_an_empty_engine_gets_the_first_version(agent, engine, rows):
    steps(agent, lambda: rows.rows)
    assert holds(engine, 1)()
    assert engine.orders == engine.tried == [1]


def test_a_named_version_replaces_the_one_in_force(agent, engine):
    steps(agent, holds(engine, 1))
    agent.process.believer.beliefs.name_version("m", 2, 0.0)
    steps(agent, holds(engine, 2))
    assert engine.orders == engine.tried == [1, 2]


def test_a_piece_that_turned_bad_where_it_lay_is_mended_before_the_order(agent, engine):
    # A piece rots in the engine's staging place after it was put there. The engine
    # takes pieces as they are: it would serve spoilt weights to every caller.
    put = engine.stage

    async def rotting(model, index, data):
        await put(model, index, data)
        if len(engine.lying) == CHUNKS and not engine.orders:
            engine.stage = put
            engine.lying[3] = b"rotten!!"

    engine.stage = rotting
    steps(agent, holds(engine, 1))
    assert engine.stage == put, "the piece never turned bad"
    assert engine.lying[3] == piece(1, 3)


def test_a_spoilt_piece_of_the_origin_is_read_again(agent, engine, origin):
    origin.wrong = {(1, 2), (1, 5)}
    steps(agent, holds(engine, 1))
    assert origin.reads.count((1, 2)) == 2


def test_staged_pieces_are_not_read_again_after_a_restart(agent, engine, origin):
    # Every machine of ours loses power, and the servers live: what lies staged is
    # good, and 2 MB from one origin would take every agent seconds.
    engine.lying = {i: piece(1, i) for i in range(CHUNKS) if i != 6}
    steps(agent, holds(engine, 1))
    assert origin.reads == [(1, 6)]


def test_an_engine_that_restarted_empty_is_loaded_again(agent, engine, rows):
    steps(agent, holds(engine, 1))
    engine.loaded, engine.born = (), 2
    steps(agent, holds(engine, 1))
    assert engine.orders == engine.tried == [1, 1]


def test_an_agent_that_starts_again_leaves_the_report_as_it_was(
    agent, engine, rows, make_agent
):
    # A manager asks from where a VM got its weights, an hour after its agent was
    # killed and started again: the new one found the engine served, wrote a row of its
    # own over the delivery's, and the report says "held already".
    steps(agent, lambda: rows.rows)
    before = dict(rows.rows)
    told = orjson.loads(next(iter(before.values())))
    assert told["sources"] == {"origin": 64}
    assert 0 < told["begun"] <= told["verified"] <= told["in_force"]
    engine.asked = 0
    steps(make_agent(), lambda: engine.asked > 5)
    assert rows.rows == before


def test_weights_that_lie_there_from_the_start_are_reported(make_agent, engine, rows):
    engine.loaded = (Loaded("m", 1, 0, 4),)
    steps(make_agent(), lambda: rows.rows)
    assert list(rows.rows) == [f"{1:020d}/s/vm/model"]


def test_a_version_overtaken_while_it_is_loaded_is_still_reported(agent, engine, rows):
    # Version 3 is named while version 2 is being loaded. A manager asks afterwards
    # who served version 2: without its row the answer would be nobody.
    steps(agent, holds(engine, 1))
    beliefs = agent.process.believer.beliefs
    beliefs.name_version("m", 2, 0.0)
    steps(agent, lambda: engine.loading is not None)
    beliefs.name_version("m", 3, 0.0)
    # The look at the engine that entries are told of; the main loop is at the origin.
    agent.describe(EngineState((Loaded("m", 2, 0, 4),), busy=False, born=1))
    steps(agent, lambda: any(key.startswith(f"{3:020d}") for key in rows.rows))
    assert any(key.startswith(f"{2:020d}") for key in rows.rows)
    assert engine.orders[-1] == 3


def test_entries_are_told_what_waits_during_a_swap_begins_on(agent, engine):
    # Entries take back what would be begun on weights that are over. At an engine that
    # has accepted the order nothing is: what waits there is begun after the load.
    steps(agent, holds(engine, 1))
    told = []
    agent.tell = lambda state: told.append(agent.describe(state)[:2])
    agent.process.believer.beliefs.name_version("m", 2, 0.0)
    steps(agent, lambda: engine.loading is not None)
    assert told == [(1, False), (2, False)]
    busy = EngineState((Loaded("m", 1, 0, 4),), busy=True, born=1)
    assert agent.describe(busy)[:2] == (2, False)
    again = EngineState((), busy=True, born=2)
    assert agent.describe(again)[:2] == (0, False)


def test_a_line_tells_what_waits_at_weights_whose_time_is_over(agent, engine):
    # Guards against a day that keeps the rule by luck looking like one kept by design.
    steps(agent, holds(engine, 1))
    told = []
    agent.events.listeners.append(lambda kind, fields: told.append((kind, fields)))
    clock, within = agent.process.time, agent.process.cfg.bounds.version
    agent.process.believer.beliefs.name_version("m", 2, clock[0])
    queued = EngineState((Loaded("m", 1, 0, 4),), running=4, waiting=2, born=1)
    agent.describe(queued)
    clock[0] += within + 0.1
    agent.describe(queued)
    agent.describe(queued)
    ends = [fields for kind, fields in told if kind == "weights.over"]
    assert ends == [
        {"version": 1, "since": 0.1, "busy": False, "running": 4, "waiting": 2}
    ]


def test_pieces_are_checked_again_when_the_check_is_old_at_the_order(agent, engine):
    # The VM stands still for five seconds between the check of what lies staged and the
    # order. A piece that turned bad in the first of them was loaded: the check was
    # taken to hold for as long as the order takes.
    steps(agent, holds(engine, 1))
    look, stood_still = engine.state, []
    # What lies there is looked at for use first, and checked before the order then.
    last_check = engine.checked + 2 * CHUNKS

    async def look_after_a_pause():
        if engine.checked == last_check and not stood_still:
            stood_still.append(True)
            agent.process.time[0] += 5.0
            engine.lying[0] = b"spoilt!!"
        return await look()

    engine.state = look_after_a_pause
    agent.process.believer.beliefs.name_version("m", 2, 0.0)
    steps(agent, holds(engine, 2))
    assert stood_still


def test_an_order_that_is_slow_to_be_accepted_ends_no_swap(agent, engine):
    # An engine takes 0.2 s to accept an order. The state from before it looked as if
    # the swap were over: entries were told that version 1 was served, in the middle of
    # the swap, sent there, and took all of it back when version 1 was over.
    steps(agent, holds(engine, 1))
    told = []
    agent.tell = lambda state: told.append(agent.describe(state)[:2])
    accept = engine.load

    async def slowly(model, version, queue, accepted):
        agent.process.time[0] += 0.2
        return await accept(model, version, queue, accepted)

    engine.load = slowly
    agent.process.believer.beliefs.name_version("m", 2, 0.0)
    steps(agent, lambda: engine.loading is not None)
    assert told == [(1, False), (2, False)]


def test_an_order_that_the_engine_accepts_late_changes_nothing(agent, engine):
    # Guards against an old order, its answer lost, that undoes a newer one.
    steps(agent, holds(engine, 1))
    accept, late = engine.load, []

    async def lost(model, version, queue, accepted):
        if not late:
            late.append((model, version, queue, accepted))
            raise PlatformUnavailable("engine", "no answer", True)
        return await accept(model, version, queue, accepted)

    engine.load = lost
    beliefs = agent.process.believer.beliefs
    beliefs.name_version("m", 2, 0.0)
    steps_on(agent, lambda: late)
    beliefs.name_version("m", 3, 0.0)
    steps_on(agent, holds(engine, 3))
    assert asyncio.run(accept(*late[0])) is OrderAnswer.REFUSED
    assert holds(engine, 3)()


def test_nothing_is_told_of_an_engine_whose_model_is_not_known_yet(agent):
    # An agent starts again, and its first word came before the configuration did: no
    # version held. Entries took back everything that waited at a sound server.
    agent.process.believer.beliefs.configuration = None
    sent = []
    news = NewsLoop(agent.process, agent.engine, agent.describe)
    news.sender = SimpleNamespace(send=lambda news, addresses: sent.append(news))
    loaded = EngineState((Loaded("m", 2, 0, 4),), busy=False, born=1)
    news.tell(loaded)
    assert sent == []


def test_the_link_is_used_for_the_newest_while_an_older_one_is_loaded(
    agent, engine, origin
):
    steps(agent, holds(engine, 1))
    beliefs = agent.process.believer.beliefs
    beliefs.name_version("m", 2, 0.0)
    steps(agent, lambda: engine.loading is not None)
    engine.looks = 10_000
    beliefs.name_version("m", 3, 0.0)

    async def one_step():
        await agent.step()

    asyncio.run(one_step())
    agent.process.time[0] += 1.0
    loaded = EngineState((Loaded("m", 2, 0, 4),), busy=False, born=1)
    assert agent.describe(loaded)[:2] == (2, True)
    assert sum(version == 3 for version, _ in origin.reads) == CHUNKS
    assert engine.loading is not None


def test_an_origin_that_is_down_is_no_end(agent, engine, origin):
    async def run():
        origin.down = True
        with pytest.raises(PlatformUnavailable):
            await agent.step()
        origin.down = False

    asyncio.run(run())
    steps(agent, holds(engine, 1))


def test_vms_that_are_gone_for_good_hold_up_nothing(agent, engine, rows):
    # Servers were replaced all day, and the rows of their agents stay. Then all power
    # is lost: each chunk's first readers are VMs that no longer exist, and no engine
    # was loaded for 16 seconds.
    rows.listed = ["127.0.0.1"]
    members = agent.process.believer.hearsay.members
    loop_time = time.monotonic

    async def run():
        async def swallow(reader, writer):
            await reader.read()

        silent = await asyncio.start_server(swallow, "127.0.0.2", 0)
        port = silent.sockets[0].getsockname()[1]
        for number in range(12):
            name = f"gone-{number}"
            members[name] = Member(name, AGENT, f"127.0.0.2:{port}", "r", "dc", "s")
        began = loop_time()
        async with asyncio.timeout(20):
            while not engine.orders:
                agent.process.time[0] += 1.0
                await agent.step()
        silent.close()
        return loop_time() - began

    assert asyncio.run(run()) < 1.0


def test_an_older_version_goes_on_while_the_newest_cannot_be_had(agent, engine, origin):
    # Version 2 is half here when version 3 is named and the origin goes away. All
    # agents dropped version 2 for what nobody could have: for six seconds no server
    # held weights that might be begun. It could have been whole by then.
    steps(agent, holds(engine, 1))
    beliefs, clock = agent.process.believer.beliefs, agent.process.time
    beliefs.name_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    beliefs.name_version("m", 3, clock[0] + 2.0)
    origin.lacks = {3}
    steps_on(agent, holds(engine, 2))
    origin.lacks = set()
    steps_on(agent, holds(engine, 3))
    assert engine.orders == engine.tried == [1, 2, 3]


def test_a_newest_version_that_stalls_leaves_an_older_one_its_turn(
    agent, engine, origin
):
    # The manifest of version 3 was read, and then the origin went away with all pieces.
    steps(agent, holds(engine, 1))
    beliefs, clock = agent.process.believer.beliefs, agent.process.time
    beliefs.name_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    beliefs.name_version("m", 3, clock[0] + 2.0)
    asyncio.run(agent.manifests.get("m", 3))
    origin.lacks = {3}

    steps_on(agent, holds(engine, 2))
    assert engine.orders == engine.tried == [1, 2]


def test_an_older_version_that_is_soon_over_is_not_fetched(agent, origin):
    beliefs, clock = agent.process.believer.beliefs, agent.process.time
    beliefs.name_version("m", 2, clock[0])
    asyncio.run(agent.manifests.get("m", 2))
    beliefs.name_version("m", 3, clock[0] - agent.process.cfg.bounds.version + 1.0)
    origin.lacks = {3}
    with pytest.raises(PlatformUnavailable):
        asyncio.run(agent.choice.wanted(MODEL, 1, 3))


def test_what_all_lay_staged_is_ordered_after_one_look_at_it(agent, engine, origin):
    # After a loss of power all pieces lie staged. They were read back twice, 0.2 s
    # each, while no server held any weights.
    engine.lying = {i: piece(1, i) for i in range(CHUNKS)}
    steps(agent, lambda: engine.orders)
    assert engine.checked == CHUNKS
    assert origin.reads == []


def test_an_engine_waits_for_its_wave_and_never_past_its_weights_time(agent, engine):
    steps(agent, holds(engine, 1))
    beliefs, clock = agent.process.believer.beliefs, agent.process.time
    members = agent.process.believer.hearsay.members
    agent.peers = ListedPeers(agent.process, agent.deployment)
    for i in range(2, 9):
        address = f"127.0.0.{i}:1"
        members[f"vm-{i}"] = Member(f"vm-{i}", AGENT, address, "r", "dc", "s")
    beliefs.name_version("m", 2, clock[0])
    over_at = clock[0] + agent.process.cfg.bounds.version
    agent._serves = 1
    since, starts = clock[0], []
    for version in range(2, 40):
        agent._whole_since[version] = since
        starts.append(agent._stops_at(MODEL, version, clock[0]))
    assert min(starts) == since
    assert since < max(starts) <= over_at - LAST_SECONDS
    agent._serves = 0
    assert agent._stops_at(MODEL, 2, clock[0]) == clock[0]
