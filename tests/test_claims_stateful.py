"""A key runs at most once, whichever of the table's responses are lost or late."""

import asyncio

import pytest
from agent_entry_fakes import FakeEvents, FakeTable
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from wasabideck_agent import claim_store
from wasabideck_agent.claim_store import ClaimStore
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_policy.claims import DONE, Claim, Decision, decide

WORDS = st.lists(st.sampled_from(["ok", "lost", "late", "late", "down"]), max_size=5)


def takes_running_claims(wanted, found):
    """Broken: takes a running claim from its holder, as if it had expired."""
    decision = decide(wanted, found)
    return Decision("run", found) if decision.action == "ask-holder" else decision


def reruns_done_calls(wanted, found):
    """Broken: runs a call again that is done."""
    return Decision("run", found) if found.state == DONE else decide(wanted, found)


class ClaimsMachine(RuleBasedStateMachine):
    """Attempts with the same key, some of whose agents die at any point."""

    decide = staticmethod(decide)

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.store = ClaimStore(self.table, FakeEvents(), retry_seconds=0.0)
        self.attempts = 0
        self.runs = 0
        self.running = None
        claim_store.decide = self.decide

    def teardown(self):
        claim_store.decide = decide
        self.loop.close()

    @rule(words=WORDS, dies=st.booleans(), refused=st.booleans())
    def attempt(self, words, dies, refused):
        self.loop.run_until_complete(self._attempt(words, dies, refused))

    async def _attempt(self, words, dies, refused):
        self.attempts += 1
        claim = Claim("org-1", "k1", "digest", f"a{self.attempts}", "vm")
        self.table.plan = list(words)
        try:
            decision = await self.store.acquire(claim)
        except PlatformUnavailable as exc:
            self.table.plan = []
            if exc.maybe_applied and not dies:
                await self._release(claim)
            return
        self.table.plan = []
        if decision.action != "run" or dies:
            self.stuck = dies
            return
        if refused:
            await self._release(claim)
            return
        self.runs += 1
        assert self.runs <= 1
        await self.store.store_answer(claim, b"receipt")

    async def _release(self, claim):
        self.store.release_in_background(claim)
        while self.store.pending_releases:
            await asyncio.sleep(0)
        self.table.apply_late()
        row = self.table.rows["5:org-1/k1"]
        # Nothing runs under the claim, so the key must be free for the next attempt.
        assert (row["attempt"], row["state"]) != (claim.attempt, "running")

    @rule()
    def late_writes_are_applied(self):
        self.table.apply_late()


class IgnoresDraw(FakeTable):
    """Broken: does not compare ``draw``, so a late write can pass its check."""

    def _apply(self, checks, writes):
        for check in checks:
            if check.expected:
                check.expected.pop("draw", None)
        return super()._apply(checks, writes)


LIMITS = settings(
    max_examples=400,
    stateful_step_count=8,
    report_multiple_bugs=False,
    phases=[Phase.generate],
)
# Hypothesis draws examples from the constants of all imported modules. Most runs catch
# a broken copy within the first hundreds of examples, but one run did not.
BROKEN = settings(LIMITS, max_examples=5000)


def test_claims():
    run_state_machine_as_test(ClaimsMachine, settings=LIMITS)


@pytest.mark.parametrize("broken", [takes_running_claims, reruns_done_calls])
def test_the_machine_catches_a_broken_decision(broken):
    machine = type("Broken", (ClaimsMachine,), {"decide": staticmethod(broken)})
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=BROKEN)


@pytest.mark.parametrize("kind", [FakeTable, IgnoresDraw])
def test_a_late_retake_fails_its_check(kind):
    """An insert and the retake after it hang, and the table becomes unavailable.

    Both writes are applied after the claim was released. Without the check of
    ``draw`` the second would succeed, and the key would stay "unknown" forever.
    """
    machine = ClaimsMachine()
    machine.table = kind()
    machine.store = ClaimStore(machine.table, FakeEvents(), retry_seconds=0.0)
    words = ["late", "ok", "late", "down"]
    if kind is FakeTable:
        machine.attempt(words=words, dies=False, refused=False)
    else:
        with pytest.raises(AssertionError):
            machine.attempt(words=words, dies=False, refused=False)
    machine.teardown()
