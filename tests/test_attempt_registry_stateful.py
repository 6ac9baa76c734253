"""An attempt that was certainly cancelled never runs, and no attempt runs twice."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from wasabideck_policy.attempt_registry import (
    KEEP_SECONDS,
    MAX_REQUEST_AGE_SECONDS,
    AttemptRegistry,
)

NAMES = st.integers(0, 1)


class AcceptsLateArrivals(AttemptRegistry):
    """Broken: accepts a request however late it arrives."""

    def record_arrival(self, name, incarnation, not_after, now):
        return super().record_arrival(name, incarnation, now, now)


class AcceptsAnyProcess(AttemptRegistry):
    """Broken: does not check which agent process a request is meant for."""

    def record_arrival(self, name, incarnation, not_after, now):
        return super().record_arrival(name, self.incarnation, not_after, now)

    def cancel(self, name, incarnation, not_after, now):
        return super().cancel(name, self.incarnation, not_after, now)


class ForgetsTooSoon(AttemptRegistry):
    """Broken: forgets tombstones while the request may still arrive."""

    def remove_expired(self, now):
        return super().remove_expired(now + KEEP_SECONDS)


class AlwaysCertain(AttemptRegistry):
    """Broken: treats a forgotten attempt as one that never arrived."""

    def cancel(self, name, incarnation, not_after, now):
        return super().cancel(name, incarnation, now + MAX_REQUEST_AGE_SECONDS, now)


class ArrivalsMachine(RuleBasedStateMachine):
    """One address; requests arrive late, twice or never, and processes die."""

    kind = AttemptRegistry

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.processes = 0
        self.sent = {}
        self.runs = {}
        self.certain = set()
        self.start()

    def start(self):
        self.processes += 1
        self.arrivals = self.kind(f"inc-{self.processes}")

    @rule(name=NAMES)
    def send(self, name):
        self.sent.setdefault(name, (f"inc-{self.processes}", self.now))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def arrive(self, data):
        name = data.draw(st.sampled_from(sorted(self.sent)))
        incarnation, sent_at = self.sent[name]
        known = name in self.arrivals._arrived
        refusal = self.arrivals.record_arrival(
            name, incarnation, sent_at + MAX_REQUEST_AGE_SECONDS, self.now
        )
        if not known and not refusal:
            self.runs[name] = self.runs.get(name, 0) + 1
            self.arrivals.record_end(name, self.now)
        assert self.runs.get(name, 0) <= 1
        assert name not in self.certain or name not in self.runs

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def give_up(self, data):
        name = data.draw(st.sampled_from(sorted(self.sent)))
        incarnation, sent_at = self.sent[name]
        if self.arrivals.cancel(
            name, incarnation, sent_at + MAX_REQUEST_AGE_SECONDS, self.now
        ):
            self.certain.add(name)
        assert name not in self.certain or name not in self.runs

    @rule(seconds=st.sampled_from([1.0, MAX_REQUEST_AGE_SECONDS, KEEP_SECONDS]))
    def wait(self, seconds):
        self.now += seconds
        self.arrivals.remove_expired(self.now)

    @rule()
    def restart(self):
        self.start()


LIMITS = settings(
    max_examples=400,
    stateful_step_count=20,
    report_multiple_bugs=False,
    phases=[Phase.generate],
)
# The generated examples depend on the constants of all imported modules. A broken class
# that most runs detect within the first few hundred examples was once not detected.
BROKEN_LIMITS = settings(LIMITS, max_examples=5000)


def test_arrivals_rules_hold():
    run_state_machine_as_test(ArrivalsMachine, settings=LIMITS)


@pytest.mark.parametrize(
    "kind", [AcceptsLateArrivals, AcceptsAnyProcess, ForgetsTooSoon, AlwaysCertain]
)
def test_the_state_machine_detects_a_broken_rule(kind):
    machine = type("Broken", (ArrivalsMachine,), {"kind": kind})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=BROKEN_LIMITS)
