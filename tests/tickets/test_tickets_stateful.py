"""Stateful tests of ticket acceptance and replication under random faults.

Each rule that the guarantees depend on is also replaced by a broken copy, which the
same state machine must detect.
"""

import asyncio

import pytest
from fake_table import FakeTable
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from wasabideck_base import ticket_store
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_policy.outcomes import WasabideckError
from wasabideck_policy.tickets import (
    Assignment,
    Change,
    Ticket,
    TicketState,
    ticket_digest,
)

PROCESS_COUNT = 2
PROCESS = st.integers(0, PROCESS_COUNT - 1)
TICKET_NUMBERS = st.integers(1, 6)
FAULTS = st.sampled_from(
    [(), ("down",), ("lose",), ("lose", "down"), ("late",), ("late", "down")]
)
CONTENTS = [
    tuple(Change(scope, "model", "m", version, "d") for scope in scopes)
    for scopes in ("a", "ab")
    for version in ("v1", "v2")
]


def run(coroutine):
    """Return the result of a coroutine that waits for no external event."""
    return LOOP.run_until_complete(coroutine)


class AcceptanceMachine(RuleBasedStateMachine):
    """Operators submit tickets and query their status under all faults of the table."""

    def __init__(self):
        super().__init__()
        self.table = FakeTable()
        self.accepted = {}
        self.absent = set()
        self.last_number = 0

    @rule(number=TICKET_NUMBERS, changes=st.sampled_from(CONTENTS), faults=FAULTS)
    def submit(self, number, changes, faults):
        ticket = Ticket(number, changes)
        self.last_number = number
        digest = ticket_digest(ticket)
        # A ticket that was not accepted may be accepted when it is submitted again.
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

    @precondition(lambda self: self.last_number)
    @rule()
    def query_status_of_last_submission(self):
        number = self.last_number
        if run(ticket_store.resolve_acceptance(self.table, number)) is None:
            assert number not in self.accepted
            self.absent |= {ticket_digest(Ticket(number, c)) for c in CONTENTS}

    @rule()
    def execute_late_writes(self):
        self.table.apply_late()

    @invariant()
    def reported_results_are_true(self):
        rows = {k: r for (t, k), r in self.table.rows.items() if t == "tickets"}
        for number, digest in self.accepted.items():
            assert rows[f"{number:020d}"]["digest"] == digest
        assert not self.absent & {row["digest"] for row in rows.values()}

    @invariant()
    def table_holds_newest_ticket_of_each_key(self):
        newest = {}
        for (name, _), row in self.table.rows.items():
            for change in row["changes"] if name == "tickets" else ():
                key = f"{change['scope']}#model"
                newest[key] = max(newest.get(key, 0), row["number"])
        state = {
            k: r["ticket"] for (t, k), r in self.table.rows.items() if t == "state"
        }
        assert state == newest


class ReplicationMachine(RuleBasedStateMachine):
    """Processes poll a table with stale reads, compare and push, in any order."""

    def __init__(self):
        super().__init__()
        self.tables = [{}]
        self.states = [TicketState() for _ in range(PROCESS_COUNT)]
        self.highest = [{} for _ in range(PROCESS_COUNT)]

    @rule(changes=st.sampled_from(CONTENTS))
    def accept(self, changes):
        sequence = len(self.tables)
        rows = {c.key: Assignment(sequence, c, sequence) for c in changes}
        self.tables.append(self.tables[-1] | rows)

    @rule(process=PROCESS, behind=st.integers(0, 3))
    def poll(self, process, behind):
        state = self.states[process]
        rows = self.tables[max(0, len(self.tables) - 1 - behind)].values()
        found = [a for a in rows if a.sequence > state.sequence]
        state.merge(found, max((a.sequence for a in found), default=0))

    @rule(sender=PROCESS, receiver=PROCESS)
    def compare(self, sender, receiver):
        one, other = self.states[sender], self.states[receiver]
        other.merge(one.accepted_after(other.sequence), one.sequence)

    @rule(sender=PROCESS, receiver=PROCESS)
    def push(self, sender, receiver):
        self.states[receiver].merge(self.states[sender].assignments()[-1:])

    @rule(sequence=st.integers(1, 5), receiver=PROCESS)
    def receive_delayed_push(self, sequence, receiver):
        if sequence < len(self.tables):
            rows = self.tables[sequence].values()
            self.states[receiver].merge([a for a in rows if a.sequence == sequence])

    @invariant()
    def no_process_reverts(self):
        for state, highest in zip(self.states, self.highest, strict=True):
            for held in state.assignments():
                assert held.ticket >= highest.get(held.change.key, 0)
                highest[held.change.key] = held.ticket

    @invariant()
    def changes_after_a_sequence_are_complete(self):
        for state in self.states:
            for sequence in range(len(self.tables)):
                held = [a for a in state.assignments() if a.sequence > sequence]
                assert state.accepted_after(sequence) == held

    @invariant()
    def hashes_are_equal_exactly_for_equal_states(self):
        one, other = self.states
        equal = one.assignments() == other.assignments()
        assert (one.state_hash() == other.state_hash()) is equal

    @invariant()
    def process_holds_all_changes_up_to_its_sequence(self):
        for state in self.states:
            for key, row in self.tables[-1].items():
                held = state.newest(key)
                if row.sequence <= state.sequence:
                    assert held is not None and held.ticket == row.ticket


LOOP = asyncio.new_event_loop()
FEW_EXAMPLES = settings(max_examples=60, stateful_step_count=15)
# A broken copy only needs to be detected: shrinking the example would take minutes.
MANY_EXAMPLES = settings(
    max_examples=1000,
    stateful_step_count=15,
    print_blob=False,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


@pytest.mark.parametrize("machine", [AcceptanceMachine, ReplicationMachine])
def test_every_session_keeps_the_guarantees(machine):
    run_machine(machine, settings=FEW_EXAMPLES)


def _merge_older_changes_too(self, assignments, sequence=0):
    for assignment in assignments:
        self._replace(self.newest(assignment.change.key), assignment)
    self.sequence = max(self.sequence, sequence)


def _advance_sequence_on_push(self, assignments, sequence=0):
    assignments = list(assignments)
    sequences = [sequence, *(a.sequence for a in assignments)]
    return MERGE(self, assignments, max(sequences))


async def _trust_an_absent_row(table, number):
    return await ticket_store.read_ticket(table, number)


async def _do_not_fence(table, head, ticket, lost_write):
    return True


def _without_checks(*tables):
    """Return the acceptance transaction without its checks on some tables."""

    def acceptance(ticket, head, holders):
        checks, writes = ACCEPTANCE_TRANSACTION(ticket, head, holders)
        return [check for check in checks if check.table not in tables], writes

    return acceptance


MERGE = TicketState.merge
ACCEPTANCE_TRANSACTION = ticket_store._acceptance_transaction
BROKEN = {
    "merge-not-monotone": (ReplicationMachine, "merge", _merge_older_changes_too),
    "push-taken-for-a-place": (ReplicationMachine, "merge", _advance_sequence_on_push),
    "absent-row-believed": (
        AcceptanceMachine,
        "resolve_acceptance",
        _trust_an_absent_row,
    ),
    "lost-write-not-fenced": (AcceptanceMachine, "_fence", _do_not_fence),
    "head-unchecked": (
        AcceptanceMachine,
        "_acceptance_transaction",
        _without_checks("head"),
    ),
    "nothing-checked": (
        AcceptanceMachine,
        "_acceptance_transaction",
        _without_checks("head", "tickets", "state"),
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_broken_copy_of_a_rule_is_detected(monkeypatch, name):
    machine, rule_name, broken = BROKEN[name]
    owner = TicketState if machine is ReplicationMachine else ticket_store
    monkeypatch.setattr(owner, rule_name, broken)
    with pytest.raises(AssertionError):
        run_machine(machine, settings=MANY_EXAMPLES)
