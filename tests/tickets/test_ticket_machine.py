"""Random sessions of submissions, faults and gossip keep every ticket promise.

Each rule that the promises rest on is broken on purpose, and the same machine has
to catch the broken copy.
"""

import asyncio

import pytest
from fake_table import FakeTable
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from wasabideck_base import ticket_store
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    Ticket,
    TicketState,
    digest_of,
)

PROCESSES = 2
PROCESS = st.integers(0, PROCESSES - 1)
NUMBERS = st.integers(1, 6)
FAULTS = st.sampled_from(
    [(), ("down",), ("lose",), ("lose", "down"), ("late",), ("late", "down")]
)
CONTENTS = [
    tuple(Change(scope, "model", "m", version, "d") for scope in scopes)
    for scopes in ("a", "ab")
    for version in ("v1", "v2")
]


def run(coroutine):
    """The result of a coroutine that never waits for anything outside."""
    return LOOP.run_until_complete(coroutine)


class AcceptanceMachine(RuleBasedStateMachine):
    """Operators submit, and ask for status, through every fault of the table."""

    def __init__(self):
        super().__init__()
        self.table = FakeTable()
        self.accepted = {}
        self.absent = set()
        self.last = 0

    @rule(number=NUMBERS, changes=st.sampled_from(CONTENTS), faults=FAULTS)
    def submit(self, number, changes, faults):
        ticket = Ticket(number, changes)
        self.last = number
        digest = digest_of(ticket)
        # Sent again, a ticket may be accepted after all.
        self.absent.discard(digest)
        self.table.faults.extend(faults)
        try:
            run(ticket_store.accept_ticket(self.table, ticket, "o", 0.0))
            self.accepted[number] = digest
        except ticket_store.TicketUnknown:
            pass
        except PlatformUnavailable as exc:
            assert not exc.maybe_applied
            self.absent.add(digest)
        except WasabideckError:
            self.absent.add(digest)
        self.table.faults.clear()

    @precondition(lambda self: self.last)
    @rule()
    def ask_status_of_the_last(self):
        number = self.last
        if run(ticket_store.settle_ticket(self.table, number)) is None:
            assert number not in self.accepted
            self.absent |= {digest_of(Ticket(number, c)) for c in CONTENTS}

    @rule()
    def late_writes_come(self):
        self.table.apply_late()

    @invariant()
    def what_was_said_of_tickets_is_true(self):
        rows = {k: r for (t, k), r in self.table.rows.items() if t == "tickets"}
        for number, digest in self.accepted.items():
            assert rows[f"{number:020d}"]["digest"] == digest
        assert not self.absent & {row["digest"] for row in rows.values()}

    @invariant()
    def the_table_holds_the_newest_of_each_thing(self):
        newest = {}
        for (name, _), row in self.table.rows.items():
            for change in row["changes"] if name == "tickets" else ():
                key = f"{change['scope']}#model"
                newest[key] = max(newest.get(key, 0), row["number"])
        state = {
            k: r["ticket"] for (t, k), r in self.table.rows.items() if t == "state"
        }
        assert state == newest


class SpreadMachine(RuleBasedStateMachine):
    """Processes poll a table that may be stale, compare and push, in any order."""

    def __init__(self):
        super().__init__()
        self.tables = [{}]
        self.states = [TicketState() for _ in range(PROCESSES)]
        self.highest = [{} for _ in range(PROCESSES)]

    @rule(changes=st.sampled_from(CONTENTS))
    def accept(self, changes):
        place = len(self.tables)
        rows = {c.key: Assignment(place, c, place) for c in changes}
        self.tables.append(self.tables[-1] | rows)

    @rule(process=PROCESS, behind=st.integers(0, 3))
    def poll(self, process, behind):
        state = self.states[process]
        rows = self.tables[max(0, len(self.tables) - 1 - behind)].values()
        found = [a for a in rows if a.sequence > state.sequence]
        state.merge(found, max((a.sequence for a in found), default=0))

    @rule(giver=PROCESS, taker=PROCESS)
    def compare(self, giver, taker):
        one, other = self.states[giver], self.states[taker]
        other.merge(one.above(other.sequence), one.sequence)

    @rule(giver=PROCESS, taker=PROCESS)
    def push(self, giver, taker):
        self.states[taker].merge(self.states[giver].assignments()[-1:])

    @rule(place=st.integers(1, 5), taker=PROCESS)
    def old_push_comes_late(self, place, taker):
        if place < len(self.tables):
            rows = self.tables[place].values()
            self.states[taker].merge([a for a in rows if a.sequence == place])

    @invariant()
    def no_process_reverts(self):
        for state, highest in zip(self.states, self.highest, strict=True):
            for held in state.assignments():
                assert held.ticket >= highest.get(held.change.key, 0)
                highest[held.change.key] = held.ticket

    @invariant()
    def what_is_above_a_place_is_complete(self):
        for state in self.states:
            for place in range(len(self.tables)):
                held = [a for a in state.assignments() if a.sequence > place]
                assert state.above(place) == held

    @invariant()
    def equal_states_and_no_others_have_equal_hashes(self):
        one, other = self.states
        same = one.assignments() == other.assignments()
        assert (one.state_hash() == other.state_hash()) is same

    @invariant()
    def a_process_at_a_place_holds_all_before_it(self):
        for state in self.states:
            for key, row in self.tables[-1].items():
                held = state.newest(key)
                if row.sequence <= state.sequence:
                    assert held is not None and held.ticket == row.ticket


LOOP = asyncio.new_event_loop()
FEW = settings(max_examples=60, stateful_step_count=15)
# A broken copy has only to be caught: shrinking its example would take minutes.
MANY = settings(
    max_examples=1000,
    stateful_step_count=15,
    print_blob=False,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


@pytest.mark.parametrize("machine", [AcceptanceMachine, SpreadMachine])
def test_every_session_keeps_the_promises(machine):
    run_machine(machine, settings=FEW)


def _merge_whatever_comes(self, assignments, sequence=0):
    for assignment in assignments:
        self._replace(self.newest(assignment.change.key), assignment)
    self.sequence = max(self.sequence, sequence)


def _take_a_push_for_a_place(self, assignments, sequence=0):
    assignments = list(assignments)
    places = [sequence, *(a.sequence for a in assignments)]
    return MERGE(self, assignments, max(places))


async def _believe_an_absent_row(table, number):
    return await ticket_store.read_ticket(table, number)


async def _do_not_fence(table, head, ticket, lost):
    return True


def _unchecked(*tables):
    """The acceptance without its conditions on some tables."""

    def acceptance(ticket, head, holders):
        checks, writes = ACCEPTANCE(ticket, head, holders)
        return [check for check in checks if check.table not in tables], writes

    return acceptance


MERGE = TicketState.merge
ACCEPTANCE = ticket_store._acceptance
BROKEN = {
    "merge-not-monotone": (SpreadMachine, "merge", _merge_whatever_comes),
    "push-taken-for-a-place": (SpreadMachine, "merge", _take_a_push_for_a_place),
    "absent-row-believed": (
        AcceptanceMachine,
        "settle_ticket",
        _believe_an_absent_row,
    ),
    "lost-write-not-fenced": (AcceptanceMachine, "_fence", _do_not_fence),
    "head-unchecked": (AcceptanceMachine, "_acceptance", _unchecked("head")),
    "nothing-checked": (
        AcceptanceMachine,
        "_acceptance",
        _unchecked("head", "tickets", "state"),
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_copy_of_a_rule_is_caught(monkeypatch, name):
    machine, rule_name, broken = BROKEN[name]
    owner = TicketState if machine is SpreadMachine else ticket_store
    monkeypatch.setattr(owner, rule_name, broken)
    with pytest.raises(AssertionError):
        run_machine(machine, settings=MANY)
