"""Orders to an engine that ignores fencing numbers, and the gate behind them."""

import asyncio

import pytest
from attrs import define, field
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from wasabideck_agent.orders import Orders, OrderWithheld
from wasabideck_base.http_answers import PlatformUnavailable
from wasabideck_policy import orders as policy
from wasabideck_policy.orders import OrderBook, Serving, gate_open, order_due
from wasabideck_policy.tickets import Assignment, Change
from wasabideck_policy.wants import Wanted

NEWEST = "d5"


def wanted(ticket=5, manifest=NEWEST, cutover="keep"):
    change = Change("a", "model", "m", f"v{ticket}", manifest, cutover=cutover)
    return Wanted(ticket, change, (Assignment(ticket, change),))


def serving(fence, manifest=None):
    return Serving(fence, "m", f"v{fence}", manifest or f"d{fence}")


@pytest.mark.parametrize(
    ("engine", "ticket", "highest", "is_open"),
    [
        (serving(5), wanted(), 5, True),
        (serving(4), wanted(), 4, True),
        (serving(4), wanted(cutover="refuse"), 4, False),
        (serving(4), wanted(), 5, False),
        (serving(5, "other"), wanted(), 5, False),
        (serving(6), wanted(), 6, False),
        (serving(5), wanted(manifest=""), 5, False),
        (serving(5), None, 5, False),
        (Serving(), wanted(), 0, False),
        (serving(0), wanted(), 0, False),
    ],
    ids=[
        "as-named",
        "former-kept",
        "former-refused",
        "fell-back",
        "same-number-other-weights",
        "newer-than-known",
        "role-none",
        "no-ticket",
        "engine-empty",
        "loaded-by-no-ticket",
    ],
)
def test_the_gate(engine, ticket, highest, is_open):
    assert gate_open(engine, ticket, highest) is is_open


def test_an_engine_is_never_ordered_less_than_it_has():
    assert not order_due(serving(6), wanted(5))
    assert order_due(serving(4), wanted(5))
    assert not order_due(serving(5), wanted(5))


class OrdersMachine(RuleBasedStateMachine):
    """An engine without fencing, answers that get lost, agents that restart."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.wanted = 1
        self.engine = 1
        self.late = []
        self.history = [1]
        self.start_agent()

    @rule()
    def start_agent(self):
        self.book = OrderBook()
        self.book.begin(serving(self.engine), self.now)

    @rule()
    def new_ticket(self):
        self.wanted += 1

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for at, fence in sorted(self.late):
            if at <= self.now:
                self.late.remove((at, fence))
                self.load(fence)

    @rule(delay=st.sampled_from([None, 0.0, 2.0, 9.0]), lost=st.booleans())
    def agent_acts(self, delay, lost):
        self.book.see(serving(self.engine))
        due = order_due(serving(self.engine), wanted(self.wanted, f"d{self.wanted}"))
        if not due or not self.book.settled(self.now):
            return
        if not lost:
            self.load(self.wanted)
        elif delay is not None:
            self.late.append((self.now + delay, self.wanted))
        if lost:
            self.book.lose(self.wanted, self.now)

    def load(self, fence):
        self.engine = fence
        self.history.append(fence)

    @invariant()
    def the_engine_never_reverts(self):
        assert self.history == sorted(self.history)


def test_no_order_overtakes_another():
    run_machine(OrdersMachine, settings=settings(max_examples=100))


def _settle_on_any_look(self, engine):
    self._lost, self._settled_at = None, 0.0


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (OrderBook, "settled", lambda self, now: True),
        (OrderBook, "begin", lambda self, engine, now: None),
        (OrderBook, "see", _settle_on_any_look),
        (policy, "SETTLE_SECONDS", 1.0),
    ],
    ids=["never-waits", "restart-forgets", "any-look-settles", "waits-too-short"],
)
def test_a_broken_copy_of_a_rule_is_caught(monkeypatch, owner, name, broken):
    monkeypatch.setattr(owner, name, broken)
    many = settings(
        max_examples=1000,
        print_blob=False,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_machine(OrdersMachine, settings=many)


@define
class FakeEngine:
    """Carries orders out as told: "ok", "lose" the answer, or "late" by seconds."""

    session: "Session"
    faults: list = field(factory=list)
    loaded_now: Serving = field(factory=Serving)
    late: list = field(factory=list)
    held: asyncio.Event | None = None
    waiting: bool = False

    async def loaded(self):
        self.session.pass_time(0.0)
        return self.loaded_now

    async def order(self, order, chunks):
        if self.held:
            self.waiting = True
            await self.held.wait()
        fault = self.faults.pop(0) if self.faults else "ok"
        self.session.note(f"engine: order {order.fence} comes, {fault}")
        if fault.startswith("late"):
            self.late.append((self.session.now + float(fault.split()[1]), order))
        else:
            await self.session.pause(0.5)
            self.carry_out(order)
        if fault != "ok":
            raise PlatformUnavailable("engine", "hung up", maybe_applied=True)
        return self.loaded_now

    def carry_out(self, order):
        self.loaded_now = order
        self.session.note(f"engine: serves {order.fence}")


@define
class Gate:
    open: bool = False


@define
class FakeRunner:
    gate: Gate = field(factory=Gate)
    in_force: Serving = field(factory=Serving)


@define
class Session:
    """One agent and one engine on a clock that moves only when somebody waits."""

    now: float = 100.0
    log: list = field(factory=list)
    wanted: Wanted | None = None
    engine: FakeEngine = field(init=False)
    runner: FakeRunner = field(factory=FakeRunner)

    def __attrs_post_init__(self):
        self.engine = FakeEngine(self)

    def orders(self):
        return Orders(
            self.engine,
            self.runner,
            self,
            OrderBook(),
            lambda: self.wanted,
            clock=lambda: self.now,
            pause=self.pause,
        )

    def emit(self, kind, /, **fields):
        self.note(f"agent: {kind} {fields.get('ticket', fields.get('fence', ''))}")

    def note(self, line):
        gate = "open" if self.runner.gate.open else "closed"
        self.log.append(f"{self.now:7.1f} {line} [gate {gate}]")

    async def pause(self, seconds):
        self.pass_time(seconds)

    def pass_time(self, seconds):
        self.now += seconds
        for item in list(self.engine.late):
            if item[0] <= self.now:
                self.engine.late.remove(item)
                self.engine.carry_out(item[1])

    async def bring(self, orders, ticket):
        self.wanted = wanted(ticket, f"d{ticket}")
        self.note(f"ticket {ticket}")

        async def turn():
            return None

        try:
            await orders.bring(self.wanted, 1, turn)
            self.note(f"ticket {ticket} in force")
        except Exception as exc:
            self.note(f"{type(exc).__name__}: {exc}")


def test_session_of_an_order_whose_answer_is_lost(data_regression):
    """Ticket 2's order is answered by a hang-up and takes effect three seconds
    later, after ticket 3 has come. Sent at once, ticket 3's order would be undone
    by it, on an engine that does not look at fencing numbers."""
    session = Session()
    session.engine.faults = ["ok", "late 3.0", "ok"]

    async def run():
        orders = session.orders()
        for ticket in (1, 2, 3):
            await session.bring(orders, ticket)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 3
    data_regression.check({"session": session.log})


def test_session_of_a_restarted_agent(data_regression):
    """The agent dies with ticket 2's order on its way, and its successor orders
    ticket 3 at once; then the engine carries ticket 2 out, and serves it for good."""
    session = Session()
    session.engine.faults = ["ok", "late 3.0", "ok"]

    async def run():
        first = session.orders()
        await session.bring(first, 1)
        await session.bring(first, 2)
        session.note("agent restarts")
        await session.bring(session.orders(), 3)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 3
    data_regression.check({"session": session.log})


def test_a_newer_ticket_does_not_cancel_an_order_in_flight():
    """Two tickets come fast; the second one's order is sent while the first is
    still on its way, and the engine ends at the first. Cause: the first one's task
    was cancelled, and nobody knew of its order any more."""
    session = Session()

    async def run():
        session.engine.held = asyncio.Event()
        orders = session.orders()
        first = asyncio.create_task(session.bring(orders, 1))
        while not session.engine.waiting:
            await asyncio.sleep(0)
        first.cancel()
        second = asyncio.create_task(session.bring(orders, 2))
        await asyncio.sleep(0)
        session.engine.held.set()
        await second

    asyncio.run(run())
    comes = [line.split("order ")[1][0] for line in session.log if "comes" in line]
    assert comes == ["1", "2"]
    assert session.engine.loaded_now.fence == 2


def test_old_state_orders_nothing(make_ticket):
    """A new agent starts from a peer that was frozen, and orders the engine beside
    it back to the ticket of a minute ago."""
    session = Session()
    session.engine.loaded_now = serving(5)

    async def run():
        session.wanted = wanted(4, "d4")
        with pytest.raises(OrderWithheld):
            await session.orders().bring(session.wanted, 1, None)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 5
    assert not session.runner.gate.open
