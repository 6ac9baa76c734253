"""How rows and words of peers become beliefs."""

import asyncio
import random
from types import SimpleNamespace

import orjson
import pytest
from wasabideck_adapter.deployment import DEPLOYMENT
from wasabideck_base.believer import (
    MEMBER_BYTES,
    MEMBERS_BYTES_PER_SECOND,
    Believer,
    members_interval,
)
from wasabideck_base.channels import Channels
from wasabideck_base.events import Clock, Events
from wasabideck_base.member_rows import MEMBERS, member_row
from wasabideck_base.node import NodeSettings, StoreSettings
from wasabideck_base.rows import Changes, Row
from wasabideck_policy.beliefs import Beliefs
from wasabideck_policy.declarations import CONFIGURATION, Declaration, weights_key
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_wire import inner_pb2 as pb

MARGIN = 0.7


@pytest.fixture
def clock():
    return [1000.0]


def new_believer(kind, clock):
    cfg = NodeSettings("vm", "127.0.0.1", "dc", "r", 1, StoreSettings(""))
    return Believer(
        cfg,
        Member("vm", kind, "127.0.0.1:1", "r"),
        DEPLOYMENT,
        SimpleNamespace(),
        Channels(Clock()),
        Events("vm", Clock(), lambda: 0.0),
        lambda: clock[0],
        random.Random(1),
    )


@pytest.fixture
def believer(clock):
    return new_believer(ENTRY, clock)


@pytest.fixture
def agents_believer(clock):
    return new_believer(AGENT, clock)


def name_version(believer, number):
    row = Row("op", "version/m", b'{"model":"m","version":%d}' % number, number)

    async def run():
        believer._apply_operator_rows([row])

    asyncio.run(run())


def due(believer, clock):
    within = believer.cfg.bounds.version - MARGIN
    return believer.beliefs.least_version("m", within, clock[0])


def test_a_version_named_while_the_process_runs_has_its_whole_time(believer, clock):
    believer._note_operators_read([])
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


def test_what_a_late_first_read_brings_is_due_at_once(believer, clock):
    # All entries are killed, and each reads a large configuration over a link that all
    # of them fill: five seconds. They took the versions in it for just named, and sent
    # drafts to weights that had been over since before the kill.
    clock[0] += 5.0
    name_version(believer, 2)
    assert due(believer, clock) == 2


def test_what_a_peer_tells_before_the_store_was_read_is_due_at_once(believer, clock):
    # One of them heard it from another that had started with it, and knew no more.
    clock[0] += 6.0
    believer.hearsay.merge([Declaration(weights_key("m"), 2, b"{}")], "10.0.0.9:1")
    assert due(believer, clock) == 2


def test_a_version_without_a_date_is_due_at_once(believer, clock):
    # Guards against drafts on weights that are over, from an entry that has just begun.
    clock[0] += 0.2
    name_version(believer, 3)
    assert due(believer, clock) == 3


def test_a_version_that_an_agent_hears_of_late_without_a_date_is_due(
    agents_believer, clock
):
    # Guards against overtaken weights in an engine whose agent was long cut off.
    clock[0] += 60.0
    name_version(agents_believer, 3)
    assert due(agents_believer, clock) == 3


def test_a_version_named_after_a_restart_has_its_whole_time(believer, clock):
    # Entries are stopped and started in turn while a version is named. Each that had
    # started less than three seconds before refused all drafts for seven seconds, as it
    # took the version for one that had been named long ago.
    believer._note_operators_read([])
    clock[0] += 1.0
    name_version(believer, 2)
    clock[0] += 7.0
    assert due(believer, clock) == 0
    clock[0] += 0.5
    assert due(believer, clock) == 2


def told(*named):
    """What a peer tells of versions: numbers, and ages in seconds."""
    key = weights_key("m")
    return [
        pb.Entry(scope=key, slot="named", ticket=number, age_ms=int(age * 1000))
        for number, age in named
    ]


def tells(believer):
    """DeclarationAges in seconds that a peer would be told, by number."""
    key = weights_key("m")
    entries = believer.hearsay._declaration_entries([Declaration(key, 9, b"{}")])
    return {e.ticket: e.age_ms / 1000 for e in entries if e.slot == "named"}


def test_a_peer_tells_a_restarted_process_when_a_version_was_named(believer, clock):
    # An entry starts again two seconds after a version was named. The store tells no
    # times, and the entry refused all drafts until the version was in force.
    clock[0] += 0.2
    name_version(believer, 2)
    asked = believer.hearsay._sync_request().entries
    assert [entry.ticket for entry in asked if entry.slot == "declared"] == [1]
    believer.hearsay._apply_entries(told((2, 2.2)), "peer")
    clock[0] += 5.0
    assert due(believer, clock) == 0
    clock[0] += 0.2
    assert due(believer, clock) == 2


def test_a_guess_is_told_to_nobody(believer, clock):
    # All entries start again together. Were one's guess another's knowledge, nobody
    # would know any more that it was a guess.
    clock[0] += 0.2
    name_version(believer, 2)
    assert tells(believer) == {}
    believer.hearsay._apply_entries(told((2, 2.2)), "peer")
    assert tells(believer) == {2: pytest.approx(2.2)}


def test_a_restarted_process_hears_of_a_version_that_was_overtaken(believer, clock):
    # Version 3 is named two seconds after version 2, and an entry starts again. The
    # store tells of the newest only: the entry knew when version 3 was named, and sent
    # drafts to version 1 two seconds after the time of version 2 was over.
    clock[0] += 0.2
    name_version(believer, 3)
    believer.hearsay._apply_entries(told((2, 4.0), (3, 2.0)), "peer")
    assert due(believer, clock) == 0
    assert tells(believer) == {2: pytest.approx(4.0), 3: pytest.approx(2.0)}
    clock[0] += 3.4
    assert due(believer, clock) == 2
    clock[0] += 2.0
    assert due(believer, clock) == 3


def test_who_lacks_an_overtaken_version_tells_no_ages(believer, clock):
    # An entry guesses at version 2, and sees version 3 named. Told of version 3 alone,
    # another one would take itself to know of all that is due.
    clock[0] += 0.2
    name_version(believer, 2)
    believer._note_operators_read([])
    name_version(believer, 3)
    assert tells(believer) == {}
    assert due(believer, clock) == 2
    clock[0] += 1.0
    assert due(believer, clock) == 2


def test_who_hears_late_of_a_version_takes_the_age_of_who_heard_in_time(
    believer, clock
):
    # Two entries hear of version 2 from the store, one of them 0.9 s later: its process
    # stood still, or its watch had gone silent. Each took the time at which it heard
    # for certain, and the later one sent drafts to version 1 for 0.9 s too long.
    clock[0] += 60.0
    believer._note_operators_read([])
    name_version(believer, 2)
    believer.hearsay._apply_entries(told((2, 0.9)), "peer")
    clock[0] += 6.35
    assert due(believer, clock) == 0
    clock[0] += 0.1
    assert due(believer, clock) == 2
    believer.hearsay._apply_entries(told((2, 1.0)), "who heard later still")
    assert due(believer, clock) == 2


def test_ages_are_told_to_peers_that_lack_nothing(believer, clock):
    # Both know version 2; without the age in questions and answers, nothing would ever
    # put the later one right.
    key = weights_key("m")
    clock[0] += 60.0
    believer._note_operators_read([])
    name_version(believer, 2)
    clock[0] += 1.0
    asked = pb.SyncRequest(entries=[pb.Entry(scope=key, slot="declared", ticket=2)])
    for entries in (
        believer.hearsay._sync_request().entries,
        believer.hearsay.handle_sync(asked).entries,
    ):
        ages = [(e.ticket, e.age_ms) for e in entries if e.slot == "named"]
        assert ages == [(2, 1000)]
    clock[0] += believer.cfg.bounds.version
    over = [e for e in believer.hearsay._sync_request().entries if e.slot == "named"]
    assert over == []


def answers_in_turn(believer, clock, *answers):
    """Have the store asked, and answer, each at its time: a whole read, then calls."""

    async def run():
        for asked_at, answered_at, changes in answers:

            async def answer(*call, at=answered_at, changes=changes):
                clock[0] = at
                return changes

            clock[0] = asked_at
            believer.store.read = believer.store.follow = answer
            believer.store.received = lambda table: 0
            await believer.operator_watch.step()

    asyncio.run(run())


def operators_row(key, version, number):
    return Row("op", key, b'{"model":"m","version":%d}' % number, version)


def test_a_version_is_as_old_as_it_can_be(believer, clock):
    # Seen: entries of one region sent drafts to version 1 up to 0.44 s longer than they
    # meant to. After a change an entry waits 0.4 s before it asks the store for more;
    # the time of a version that was named meanwhile was counted from the answer. Proof:
    # the times of confirmation, and of `declaration.seen` in each region.
    began = clock[0]
    answers_in_turn(
        believer,
        clock,
        (began + 5.0, began + 5.0, Changes((), 1)),
        (began + 5.0, began + 20.0, Changes((operators_row("other", 2, 1),), 2)),
        (began + 20.4, began + 20.45, Changes((operators_row("version/m", 3, 2),), 3)),
    )
    assert tells(believer) == {2: pytest.approx(0.45, abs=0.002)}


def test_a_version_that_the_store_tells_at_once_is_new(believer, clock):
    # The call hung for 15 s while nothing changed: the version is as old as the answer
    # takes, and not as old as the last answer.
    began = clock[0]
    answers_in_turn(
        believer,
        clock,
        (began + 5.0, began + 5.0, Changes((), 1)),
        (began + 5.0, began + 20.0, Changes((operators_row("version/m", 3, 2),), 3)),
    )
    assert tells(believer)[2] < 0.2


def test_what_a_peer_told_first_is_dated_by_the_stores_own_answer(believer, clock):
    # An entry in its pause hears of version 2 from a peer that cannot say how old it
    # is, and from the store a moment later. The store's answer was nothing new, and its
    # bound on the age was thrown away: drafts went to version 1 for 0.5 s too long.
    began = clock[0]
    key = weights_key("m")
    answers_in_turn(
        believer,
        clock,
        (began + 5.0, began + 5.0, Changes((), 1)),
        (began + 5.0, began + 20.0, Changes((operators_row("other", 2, 1),), 2)),
    )
    clock[0] = began + 20.5
    declared = Declaration(key, 2, b'{"model":"m","version":2}')
    believer.hearsay.merge([declared], "peer")
    answers_in_turn(
        believer,
        clock,
        (began + 20.51, began + 20.52, Changes((operators_row("version/m", 3, 2),), 3)),
    )
    assert tells(believer) == {2: pytest.approx(0.52, abs=0.002)}


def test_a_guess_whose_time_is_over_silences_nobody(believer, clock):
    # All entries start again after version 2 was named. For as long as they ran none
    # told ages any more, also of versions that each had seen named itself: those that
    # heard late stayed late.
    clock[0] += 0.2
    name_version(believer, 2)
    believer._note_operators_read([])
    clock[0] += believer.cfg.bounds.version - 0.1
    name_version(believer, 3)
    assert tells(believer) == {}
    clock[0] += 0.5
    assert tells(believer)[3] == pytest.approx(0.5)


def test_a_restarted_process_hears_of_the_version_that_is_over(believer, clock):
    # Version 2 is over its time, version 3 was named 2.6 s ago, and an entry starts
    # again. Told of version 3 alone it took version 1 as good until 3 was due, and sent
    # drafts to it up to 4 s after it was over.
    clock[0] += 60.0
    believer._note_operators_read([])
    for number, pause in ((1, 30.0), (2, 9.0), (3, 2.6)):
        name_version(believer, number)
        clock[0] += pause
    ages = tells(believer)
    assert ages == {2: pytest.approx(11.6, abs=0.01), 3: pytest.approx(2.6, abs=0.01)}
    again = Beliefs(clock[0])
    again.name_version("m", 3, clock[0], certain=False)
    for number, age in ages.items():
        again.date_version("m", number, clock[0] - age)
    assert again.least_version("m", 8.0, clock[0]) == 2


def test_no_question_tells_of_the_newest_version_alone(believer, clock):
    # Version 2 is over, version 3 runs, and an entry starts again. A peer's question
    # reached it before any answer to its own, and told the age of version 3 alone: that
    # was taken for all there is to know, and drafts went to version 1.
    clock[0] += 60.0
    believer._note_operators_read([])
    for number, pause in ((2, 9.0), (3, 2.6)):
        name_version(believer, number)
        clock[0] += pause
    asked = believer.hearsay._sync_request().entries
    assert {e.ticket for e in asked if e.slot == "named"} == {2, 3}


def test_a_version_known_by_its_age_alone_is_acted_on(believer, clock):
    # DeclarationAges come with every question, and may tell of a version before its declaration
    # does: an agent that was not woken by it began to fetch half a second later.
    news = []
    believer.on_version = lambda model, number: news.append((model, number))
    clock[0] += 60.0
    believer.hearsay._apply_entries(told((2, 0.5)), "peer")
    believer.hearsay._apply_entries(told((2, 0.7)), "peer")
    assert news == [("m", 2)]


def test_nobody_is_asked_for_times_for_ever(believer, clock):
    clock[0] += 0.2
    name_version(believer, 2)
    assert believer._is_uncertain(weights_key("m"))
    clock[0] += believer.cfg.bounds.stable
    assert not believer._is_uncertain(weights_key("m"))


def server_row(key, version, state="ready", **more):
    value = orjson.dumps({"service": "s", "addr": f"{key}:1", "state": state, **more})
    return Row("servers", key, value, version)


@pytest.mark.parametrize("before", ["ready", "draining"])
def test_a_server_that_is_told_of_and_gone_in_one_answer_is_gone(
    believer, clock, before
):
    # Seen: requests reached a server 2.0 to 2.4 s after it had left the list, and went
    # on doing so. One answer told of a change of its entry and then of its removal:
    # removals were taken in first, and the older row put it back for good.
    backends = believer.beliefs.backends
    believer._apply_server_rows([server_row("i-1", 5), server_row("i-2", 6)])
    gone = Row("servers", "i-1", b"", 9, removed=True)
    believer._apply_server_rows([server_row("i-1", 8, before), gone])
    assert [b.server for b in backends.of_service("s", clock[0])] == ["i-2"]
    assert backends.names() == {"i-2"}


def test_a_server_that_is_gone_and_listed_again_in_one_answer_is_there(believer, clock):
    believer._apply_server_rows([server_row("i-1", 5)])
    gone = Row("servers", "i-1", b"", 8, removed=True)
    believer._apply_server_rows([gone, server_row("i-1", 9)])
    found = believer.beliefs.backends.of_service("s", clock[0])
    assert [b.server for b in found] == ["i-1"]


def test_rows_of_other_writers_change_nothing(believer):
    rows = [Row("servers", "i-1", b"\xff", 5), Row("servers", "i-2", b"{}", 6)]
    believer._apply_server_rows(rows)
    assert len(believer.beliefs.backends) == 0


def test_an_agent_wants_a_configuration_until_one_near_by_was_asked(believer, clock):
    # Its one ask in ten seconds may go far, and bring none: three times in ten it went
    # on with the former engines and origin for ten seconds more.
    hearsay = believer.hearsay
    believer.beliefs.configuration = object()
    hearsay.last_local_reply_at = clock[0] - 0.5
    wanted = []
    for near_heard in (False, False, True, False):
        if near_heard:
            hearsay.last_local_reply_at = clock[0]
        believer._schedule_configuration(clock[0])
        wanted.append(CONFIGURATION not in hearsay.unwanted)
        clock[0] += 1.0
    assert wanted == [True, True, False, False]
    clock[0] += 10.0
    believer._schedule_configuration(clock[0])
    clock[0] += 3.1
    believer._schedule_configuration(clock[0])
    assert CONFIGURATION in hearsay.unwanted


def test_an_entry_that_lags_asks_far_for_configurations(believer, clock):
    # Calls of its whole region are silent, and those near by answer.
    answers_in_turn(believer, clock, (clock[0], clock[0], Changes((), 1)))
    assert not believer._region_may_lag()
    believer.operator_watch.note_newer_row(7)
    clock[0] += 1.0
    assert believer._region_may_lag()
    believer.operator_watch._failures = 1
    assert believer._region_may_lag()


@pytest.mark.parametrize("members", [10, 172, 1810, 20_000])
def test_reads_of_the_members_take_few_bytes_whatever_their_number(members):
    # Guards against a table of members that fills links at the target size.
    assert (
        members * MEMBER_BYTES / members_interval(members) <= MEMBERS_BYTES_PER_SECOND
    )


def test_entries_near_by_are_counted_apart(believer):
    # Guards against a herd that is reckoned from entries that send elsewhere.
    places = ["dc", "dc", "else", "else", "else"]
    members = [
        Member(f"e-{n}", ENTRY, f"127.0.0.{n}:1", place, place)
        for n, place in enumerate(places)
    ]
    rows = [Row(MEMBERS, m.vm, member_row(m).value, n) for n, m in enumerate(members)]

    async def read(table):
        return Changes(tuple(rows), 9)

    believer.store = SimpleNamespace(read=read)
    believer.me = Member("vm", ENTRY, "127.0.0.1:1", "dc", "dc")
    asyncio.run(believer.read_members())
    assert (believer.beliefs.entries, believer.beliefs.near_entries) == (5, 2)


def test_changes_of_the_servers_come_together_for_a_part_of_the_drain_time(believer):
    # Guards against entries that ask the store for each of a hundred servers that are
    # added one after the other, and against word of one that leaves coming too late.
    drain = believer.cfg.bounds.drain
    assert 0.4 <= believer.server_watch.settle_seconds <= drain / 4
    assert (
        believer.beliefs.backends.mass_seconds
        < drain - believer.server_watch.settle_seconds
    )
