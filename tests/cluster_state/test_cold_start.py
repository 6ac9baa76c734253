"""How old a process that has just started assumes a version to be.

Version 2 is confirmed at 17.9 s, version 3 at 21.0 s. All processes are killed at 34 s
and start at 35.0 s: version 3 expired at 29.0 s, whatever they receive, and when.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.channels import Channels
from wasabideck_base.events import Events, HybridClock
from wasabideck_base.rows import HistoryLost, Row, RowChanges
from wasabideck_base.state_sync import StateSync
from wasabideck_base.vm_settings import StoreSettings, VMSettings
from wasabideck_policy.declarations import Declaration, weights_key
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb

KEY = weights_key("m")
MARGIN = 0.45
STARTED = 35.0


@pytest.fixture
def clock():
    return [STARTED]


def new_process(kind, clock):
    return StateSync(
        VMSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings("")),
        Member("vm", kind, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        SimpleNamespace(received_bytes=lambda table: 0),
        Channels(HybridClock()),
        Events("vm", HybridClock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )


def row(version, number):
    return Row("op", "version/m", b'{"model":"m","version":%d}' % number, version)


def declaration(number):
    return Declaration(KEY, number, b'{"model":"m","version":%d}' % number)


def store_answers(state_sync, clock, *answers):
    """Have the store answer calls: (requested at, answered at, changes or failure)."""

    async def run():
        for requested_at, answered_at, outcome in answers:

            async def answer(*call, at=answered_at, outcome=outcome):
                clock[0] = at
                if isinstance(outcome, Exception):
                    raise outcome
                return outcome

            clock[0] = requested_at
            state_sync.store.read = state_sync.store.wait_for_changes = answer
            try:
                await state_sync.operator_watch.step()
            except HistoryLost:
                state_sync.operator_watch._needs_full_read = True

    asyncio.run(run())


def receive_gossip(state_sync, *declarations, ages=()):
    entries = [
        pb.Entry(scope=KEY, slot="declared", ticket=d.number, change=d.content)
        for d in declarations
    ]
    entries += [
        pb.Entry(scope=KEY, slot="named", ticket=number, age_ms=int(age * 1000))
        for number, age in ages
    ]

    async def run():
        state_sync.gossip._apply_entries(entries, "10.0.0.9:1")

    asyncio.run(run())


def min_version(state_sync, clock, at):
    clock[0] = at
    within = state_sync.cfg.limits.version_deadline_seconds - MARGIN
    return state_sync.cluster_state.min_version("m", within, at)


def test_version_after_stale_first_read_is_not_new(clock):
    # Guards against taking the first answer as proof of what was not yet declared.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 35.15, RowChanges((row(9, 3),), 9)),
    )
    assert min_version(entry, clock, 37.9) == 3


def test_version_read_after_lost_history_is_not_new(clock):
    # Guards against the same where the store loses its history between two reads.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(5, 2),), 5)),
        (35.1, 35.15, HistoryLost("op", 5)),
        (35.3, 35.35, RowChanges((row(9, 3),), 9)),
    )
    assert min_version(entry, clock, 37.9) == 3


def test_version_missing_in_stale_read_is_not_reported_as_new(clock):
    # Guards against a process with a stale read that misleads peers with correct ages.
    stale, sound = new_process(ENTRY, clock), new_process(ENTRY, clock)
    store_answers(
        stale,
        clock,
        (35.05, 35.1, RowChanges((), 3)),
        (35.1, 35.15, RowChanges((row(9, 3),), 9)),
    )
    store_answers(sound, clock, (35.05, 35.2, RowChanges((row(9, 3),), 9)))
    assert min_version(sound, clock, 37.9) == 3
    clock[0] = 35.4
    reply = stale.gossip.handle_sync(sound.gossip._sync_request())
    sound.gossip._apply_entries(reply.entries, "stale")
    assert min_version(sound, clock, 37.9) == 3


def test_rewritten_row_does_not_make_its_version_new(clock):
    # Guards against a repeated write that resets the declaration time of an old
    # version.
    entry = new_process(ENTRY, clock)
    store_answers(
        entry,
        clock,
        (35.05, 35.1, RowChanges((row(9, 3),), 9)),
        (35.1, 36.0, RowChanges((row(12, 3),), 12)),
    )
    assert min_version(entry, clock, 37.9) == 3


def test_version_in_late_first_answer_of_agent_is_in_effect(clock):
    # Guards against an agent whose first answer arrives late, over a full link.
    agent = new_process(AGENT, clock)
    clock[0] = STARTED + agent.cfg.limits.disturbance_hold_seconds + 0.1

    async def read():
        agent._apply_operator_rows([row(9, 3)])

    asyncio.run(read())
    assert min_version(agent, clock, clock[0]) == 3


@pytest.mark.parametrize("kind", [ENTRY, AGENT])
def test_version_without_age_does_not_extend_the_previous_one(clock, kind):
    # Guards against version 2 counting as new when version 3 arrives without an age.
    process = new_process(kind, clock)
    if kind == ENTRY:
        store_answers(process, clock, (35.05, 35.1, RowChanges((row(5, 2),), 5)))
    else:
        receive_gossip(process, declaration(2))
    clock[0] = 38.1
    receive_gossip(process, declaration(3))
    expires_at = process.cluster_state.expires_at(
        "m", 2, process.cfg.limits.version_deadline_seconds
    )
    assert expires_at <= 38.1
