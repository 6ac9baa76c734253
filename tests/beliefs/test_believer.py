"""How rows and words of peers become beliefs."""

import asyncio
import random
from types import SimpleNamespace

import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.believer import Believer
from wasabideck_base.channels import Channels
from wasabideck_base.events import Clock, Events
from wasabideck_base.node import NodeSettings, StoreSettings
from wasabideck_base.rows import Row
from wasabideck_policy.membership import ENTRY, Member

MARGIN = 0.7


@pytest.fixture
def clock():
    return [1000.0]


@pytest.fixture
def believer(clock):
    cfg = NodeSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    return Believer(
        cfg,
        Member("vm", ENTRY, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        SimpleNamespace(),
        Channels(Clock()),
        Events("vm", Clock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )


def name_version(believer, number):
    row = Row("op", "version/m", b'{"model":"m","version":%d}' % number, number)

    async def run():
        believer._took_operators([row])

    asyncio.run(run())


def due(believer, clock):
    within = believer.cfg.bounds.version - MARGIN
    return believer.beliefs.least_version("m", within, clock[0])


def test_a_version_named_while_the_process_runs_has_its_whole_time(believer, clock):
    clock[0] += 60.0
    name_version(believer, 2)
    clock[0] += 7.0
    assert due(believer, clock) == 0
    clock[0] += 0.5
    assert due(believer, clock) == 2


def test_what_was_named_before_the_start_is_due_before_the_process_is_calm(
    believer, clock
):
    # All entries are killed and start again, eight seconds after a version was named.
    # They counted its time from their own start on, and sent drafts to the weights
    # before it that began when the entries had long been calm.
    clock[0] += 0.2
    name_version(believer, 2)
    clock[0] += 1.5
    assert due(believer, clock) == 2


def test_rows_of_other_writers_change_nothing(believer):
    rows = [Row("servers", "i-1", b"\xff", 5), Row("servers", "i-2", b"{}", 6)]
    believer._took_servers(rows)
    assert len(believer.beliefs.backends) == 0
