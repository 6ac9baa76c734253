"""Golden file of one session with responses, refusals and crashes, on small fakes."""

import asyncio
import random

from agent_entry_fakes import (
    FakeAgent,
    FakeEngine,
    FakeEvents,
    FakePlain,
    FakeTable,
    Now,
)
from wasabideck_base.channels import Channels
from wasabideck_base.events import HybridClock
from wasabideck_base.server_clients import ServerFailed
from wasabideck_entry.attempt_resolver import AttemptResolver
from wasabideck_entry.call_runner import (
    Call,
    CallRunner,
    Completed,
    Started,
    StreamEvent,
)
from wasabideck_entry.crash_suspects import CrashSuspects
from wasabideck_policy.load_balancing import ServerState
from wasabideck_policy.quarantine import Quarantine


class Fleet:
    """Offers the agents' servers whose VM name starts with the service's name."""

    region = "region-1"

    def record_outcome(self, server, outcome):
        pass

    def __init__(self, agents):
        self.agents = agents

    def eligible_servers(self, service, excluded):
        return [
            ServerState(
                a.vm, service, a.address, manifest="m1", incarnation=a.incarnation
            )
            for a in self.agents
            if a.vm.startswith(service) and a.vm not in excluded
        ]


def test_answers_refusals_and_a_crash(data_regression, rng):
    data_regression.check(asyncio.run(_session(rng)))


async def _session(rng):
    now, table = Now(), FakeTable()
    draft_agents = [
        FakeAgent(f"drafting-{i}", table, now, engine=FakeEngine()) for i in "12"
    ]
    order_agents = [
        FakeAgent(f"orders-{i}", table, now, plain=FakePlain()) for i in "12"
    ]
    agents = [await agent.serve() for agent in draft_agents + order_agents]
    events = FakeEvents()
    caller = CallRunner(
        Fleet(agents),
        Channels(HybridClock()),
        events,
        lambda servers, request, now, rng: servers[0],
        random.Random(rng.random()),
        CrashSuspects(Quarantine(), wall_clock=events.wall),
        AttemptResolver(table),
        clock=now,
    )
    steps = {}

    async def step(name, *args, **kw):
        now.at += 10
        steps[name] = await _shown(caller, *args, **kw)

    await step("a draft", "drafting", b"banner for the fair")
    draft_agents[0].engine.dies_at = 2
    await step("its server dies midway", "drafting", b"proof note")
    draft_agents[0].engine.dies_at = None
    await step("an order", "orders", b"20 banners", "k1")
    while any(a.runner.at_most_once.pending_records for a in order_agents):
        await asyncio.sleep(0)
    await step("the same order again", "orders", b"20 banners", "k1")
    await step("its key with another body", "orders", b"30 banners", "k1")
    table.plan = ["down", "down"]
    await step("the store is down", "orders", b"5 flags", "k2")
    await step("the same key, the store back", "orders", b"5 flags", "k2")
    order_agents[0].plain.ends = [ServerFailed("fake", "status 500")]
    await step("it ran and answered 500", "orders", b"1 sign", "k3")
    await step("its key again", "orders", b"1 sign", "k3", again=True)
    for agent in draft_agents:
        agent.engine.dies_at = 0
    await step("it crashes its servers", "drafting", b"boom")
    await step("and is sent again", "drafting", b"boom")
    for agent in agents:
        agent.close()
    caller.channels.close()
    return {
        "steps": steps,
        "entry": [_event(e) for e in events.kept],
        "agents": {a.vm: [_event(e) for e in a.events.kept] for a in agents},
        "runs": {a.vm: a.plain.runs for a in order_agents},
        "claims": {k: [r["vm"], r["state"]] for k, r in sorted(table.rows.items())},
    }


async def _shown(caller, service, body, key="", again=False):
    route = "brief" if service == "drafting" else "print"
    call = Call(
        "r",
        "org-1",
        service,
        route,
        body,
        key,
        body.hex(),
        service == "drafting",
        1,
        deadline=caller.clock() + 50,
        is_retry=again,
    )
    shown = {"text": ""}
    async for item in caller.run(call):
        if isinstance(item, Started):
            shown["from"] = [item.ticket, item.version]
        if isinstance(item, StreamEvent):
            shown["text"] += item.data.decode()
        if isinstance(item, Completed):
            shown["outcome"] = type(item.outcome).__name__
            failure = getattr(item.outcome, "failure", None)
            shown["reason"] = failure.kind if failure else ""
            shown["retry_after"] = getattr(item.outcome, "retry_after", 0.0)
    return shown


def _event(event):
    kind, fields = event
    kept = ("server", "outcome", "action", "crash")
    return " ".join([kind, *(str(fields[k]) for k in kept if k in fields)])
