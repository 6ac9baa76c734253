"""Orders to an engine that ignores fencing tokens, and the admission that follows."""

import asyncio

import pytest
from attrs import define, field
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine
from wasabideck_agent.engine_orders import Orders, OrderWithheld
from wasabideck_base.http_responses import PlatformUnavailable
from wasabideck_policy import orders as policy
from wasabideck_policy.desired_weights import DesiredWeights
from wasabideck_policy.orders import OrderState, Serving, may_serve, order_due
from wasabideck_policy.tickets import Assignment, Change

NEWEST = "d5"


def desired(ticket=5, manifest=NEWEST, cutover="keep"):
    change = Change("a", "model", "m", f"v{ticket}", manifest, cutover=cutover)
    return DesiredWeights(ticket, change, (Assignment(ticket, change),))


def serving(fence, manifest=None):
    return Serving(fence, "m", f"v{fence}", manifest or f"d{fence}")


@pytest.mark.parametrize(
    ("engine", "ticket", "highest", "is_open"),
    [
        (serving(5), desired(), 5, True),
        (serving(4), desired(), 4, True),
        (serving(4), desired(cutover="refuse"), 4, False),
        (serving(4), desired(), 5, False),
        (serving(5, "other"), desired(), 5, False),
        (serving(6), desired(), 6, False),
        (serving(5), desired(manifest=""), 5, False),
        (serving(5), None, 5, False),
        (Serving(), desired(), 0, False),
        (serving(0), desired(), 0, False),
    ],
    ids=[
        "as-declared",
        "previous-kept",
        "previous-refused",
        "reverted",
        "same-fence-other-weights",
        "newer-than-known",
        "role-none",
        "no-ticket",
        "engine-empty",
        "loaded-by-no-ticket",
    ],
)
def test_gate_open(engine, ticket, highest, is_open):
    assert may_serve(engine, ticket, highest) is is_open


def test_an_engine_is_never_ordered_an_older_ticket():
    assert not order_due(serving(6), desired(5))
    assert order_due(serving(4), desired(5))
    assert not order_due(serving(5), desired(5))


class OrdersMachine(RuleBasedStateMachine):
    """An engine without fencing, lost responses, and agents that restart."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.desired = 1
        self.engine = 1
        self.late = []
        self.history = [1]
        self.start_agent()

    @rule()
    def start_agent(self):
        self.book = OrderState()
        self.book.start(serving(self.engine), self.now)

    @rule()
    def new_ticket(self):
        self.desired += 1

    @rule(seconds=st.sampled_from([0.5, 3.0, 9.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for at, fence in sorted(self.late):
            if at <= self.now:
                self.late.remove((at, fence))
                self.load(fence)

    @rule(delay=st.sampled_from([None, 0.0, 2.0, 9.0]), lost=st.booleans())
    def agent_acts(self, delay, lost):
        self.book.record_serving(serving(self.engine))
        due = order_due(serving(self.engine), desired(self.desired, f"d{self.desired}"))
        if not due or not self.book.may_send(self.now):
            return
        if not lost:
            self.load(self.desired)
        elif delay is not None:
            self.late.append((self.now + delay, self.desired))
        if lost:
            self.book.record_lost(self.desired, self.now)

    def load(self, fence):
        self.engine = fence
        self.history.append(fence)

    @invariant()
    def the_engine_never_reverts(self):
        assert self.history == sorted(self.history)


def test_orders_take_effect_in_the_order_of_their_tickets():
    run_machine(OrdersMachine, settings=settings(max_examples=100))


def _settle_on_any_read_back(self, engine):
    self._lost, self._settled_at = None, 0.0


@pytest.mark.parametrize(
    ("owner", "name", "broken"),
    [
        (OrderState, "may_send", lambda self, now: True),
        (OrderState, "start", lambda self, engine, now: None),
        (OrderState, "record_serving", _settle_on_any_read_back),
        (policy, "LOST_ORDER_SECONDS", 1.0),
    ],
    ids=["never-waits", "restart-forgets", "any-read-back-settles", "waits-too-short"],
)
def test_a_broken_copy_of_a_rule_is_caught(monkeypatch, owner, name, broken):
    monkeypatch.setattr(owner, name, broken)
    many_examples = settings(
        max_examples=1000,
        print_blob=False,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_machine(OrdersMachine, settings=many_examples)


@define
class FakeEngine:
    """Executes orders by ``faults``: "ok", "lose" the response, "late" by seconds."""

    session: "Session"
    faults: list = field(factory=list)
    loaded_now: Serving = field(factory=Serving)
    late: list = field(factory=list)
    held: asyncio.Event | None = None
    waiting: bool = False

    async def read_state(self):
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
            await self.session.sleep(0.5)
            self.execute(order)
        if fault != "ok":
            raise PlatformUnavailable("engine", "hung up", maybe_applied=True)
        return self.loaded_now

    def execute(self, order):
        self.loaded_now = order
        self.session.note(f"engine: serves {order.fence}")


@define
class FakeAdmission:
    accepting: bool = False


@define
class FakeRunner:
    admission: FakeAdmission = field(factory=FakeAdmission)
    serving: Serving = field(factory=Serving)


@define
class Session:
    """One agent and one engine on a clock that advances only when a task sleeps."""

    now: float = 100.0
    log: list = field(factory=list)
    desired: DesiredWeights | None = None
    engine: FakeEngine = field(init=False)
    runner: FakeRunner = field(factory=FakeRunner)

    def __attrs_post_init__(self):
        self.engine = FakeEngine(self)

    def orders(self):
        return Orders(
            self.engine,
            self.runner,
            self,
            OrderState(),
            lambda: self.desired,
            clock=lambda: self.now,
            sleep=self.sleep,
        )

    def emit(self, kind, /, **fields):
        self.note(f"agent: {kind} {fields.get('ticket', fields.get('fence', ''))}")

    def note(self, line):
        admission = "open" if self.runner.admission.accepting else "closed"
        self.log.append(f"{self.now:7.1f} {line} [gate {admission}]")

    async def sleep(self, seconds):
        self.pass_time(seconds)

    def pass_time(self, seconds):
        self.now += seconds
        for item in list(self.engine.late):
            if item[0] <= self.now:
                self.engine.late.remove(item)
                self.engine.execute(item[1])

    async def apply(self, orders, ticket):
        self.desired = desired(ticket, f"d{ticket}")
        self.note(f"ticket {ticket}")

        async def wait_for_turn():
            return None

        try:
            await orders.apply(self.desired, 1, wait_for_turn)
            self.note(f"ticket {ticket} in force")
        except Exception as exc:
            self.note(f"{type(exc).__name__}: {exc}")


def test_session_of_an_order_whose_answer_is_lost(data_regression):
    """The response to ticket 2's order is lost, and the order takes effect three
    seconds later, after ticket 3 has arrived. If ticket 3's order were sent at once,
    ticket 2's order would undo it: the engine ignores fencing tokens."""
    session = Session()
    session.engine.faults = ["ok", "late 3.0", "ok"]

    async def run():
        orders = session.orders()
        for ticket in (1, 2, 3):
            await session.apply(orders, ticket)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 3
    data_regression.check({"session": session.log})


def test_session_of_a_restarted_agent(data_regression):
    """The agent dies while ticket 2's order is in flight. If the next agent ordered
    ticket 3 at once, the engine would execute ticket 2 after it and keep serving it."""
    session = Session()
    session.engine.faults = ["ok", "late 3.0", "ok"]

    async def run():
        first = session.orders()
        await session.apply(first, 1)
        await session.apply(first, 2)
        session.note("agent restarts")
        await session.apply(session.orders(), 3)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 3
    data_regression.check({"session": session.log})


def test_a_newer_ticket_does_not_cancel_an_order_in_flight():
    """Two tickets arrive within a short time. The second order was sent while the first
    was in flight, and the engine ended with the first ticket. Cause: the task of the
    first order was cancelled, and its order was forgotten."""
    session = Session()

    async def run():
        session.engine.held = asyncio.Event()
        orders = session.orders()
        first = asyncio.create_task(session.apply(orders, 1))
        while not session.engine.waiting:
            await asyncio.sleep(0)
        first.cancel()
        second = asyncio.create_task(session.apply(orders, 2))
        await asyncio.sleep(0)
        session.engine.held.set()
        await second

    asyncio.run(run())
    comes = [line.split("order ")[1][0] for line in session.log if "comes" in line]
    assert comes == ["1", "2"]
    assert session.engine.loaded_now.fence == 2


def test_an_agent_with_old_state_sends_no_order(make_ticket):
    """A new agent gets its state from a peer that was frozen. It must not order its
    engine back to the ticket of a minute ago."""
    session = Session()
    session.engine.loaded_now = serving(5)

    async def run():
        session.desired = desired(4, "d4")
        with pytest.raises(OrderWithheld):
            await session.orders().apply(session.desired, 1, None)

    asyncio.run(run())
    assert session.engine.loaded_now.fence == 5
    assert not session.runner.admission.accepting
