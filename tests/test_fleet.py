"""What an entry makes of the list and of agents' answers, with fakes for both."""

import asyncio

import pytest
from wasabideck_entry import fleet as fleet_module
from wasabideck_entry.fleet import Fleet
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import Answered, Failure, NotRun
from wasabideck_wire import inner_pb2 as pb

SERVICE = "drafting"


class Agents:
    """Agents by address: their answers, and those that answer nothing."""

    def __init__(self):
        self.replies = {}
        self.silent = set()
        self.asked = 0

    def get(self, address):
        return address

    def drop(self, address, failed=None):
        pass

    def stub(self, address):
        self.address = address
        return _Stub(self, address)


class _Stub:
    def __init__(self, agents, address):
        self.agents, self.address = agents, address

    async def Status(self, req, timeout):
        self.agents.asked += 1
        if self.address in self.agents.silent:
            raise TimeoutError
        return self.agents.replies[self.address]


@pytest.fixture
def agents(monkeypatch):
    agents = Agents()
    monkeypatch.setattr(fleet_module, "PeersStub", agents.stub)
    for name in ("a", "b", "c"):
        agents.replies[name] = pb.StatusReply(
            vm=name, service=SERVICE, serving=True, capacity=8
        )
    return agents


@pytest.fixture
def now():
    return [100.0]


@pytest.fixture
def fleet(agents, now):
    fleet = Fleet("entry-1", agents, clock=lambda: now[0])
    fleet.take_members(listed("a", "b", "c"))
    return fleet


def listed(*vms):
    agents = [Member(vm, AGENT, vm, service=SERVICE) for vm in vms]
    return [Member("entry-1", ENTRY, "e"), *agents]


def usable(fleet):
    asyncio.run(fleet.ask_all())
    return {server.vm for server in fleet.candidates(SERVICE, set())}


def test_one_round_of_questions_makes_a_restarted_entry_useful(fleet):
    assert not fleet.candidates(SERVICE, set())
    assert usable(fleet) == {"a", "b", "c"}


def test_a_frozen_agent_is_left_out_and_returns(fleet, agents):
    agents.silent.add("a")
    assert usable(fleet) == {"b", "c"}
    agents.silent.clear()
    assert usable(fleet) == {"a", "b", "c"}


def test_an_agent_that_said_it_leaves_stays_left_though_the_list_calls_it_live(
    fleet, agents
):
    agents.replies["a"].leaving = True
    assert usable(fleet) == {"b", "c"}
    fleet.take_members(listed("a", "b", "c"))
    assert usable(fleet) == {"b", "c"}


def test_a_list_that_comes_back_short_takes_no_working_server_away(fleet, now):
    assert usable(fleet) == {"a", "b", "c"}
    now[0] += 1.0
    fleet.take_members(listed("a"))
    assert usable(fleet) == {"a", "b", "c"}


def test_a_server_that_fails_its_requests_is_left_out_though_it_answers(fleet, now):
    # Its engine is broken and the agent beside it is well, so that its status is
    # good; each request it is given fails at once, and it looks the least loaded.
    assert usable(fleet) == {"a", "b", "c"}
    refused = NotRun(Failure("ServerRefused", "503"))
    for _ in range(3):
        fleet.observe(fleet.servers["a"], refused)
    assert usable(fleet) == {"b", "c"}
    now[0] += 10.0
    assert usable(fleet) == {"a", "b", "c"}
    fleet.observe(fleet.servers["a"], Answered())


def test_overload_is_no_fault_of_a_server(fleet):
    assert usable(fleet) == {"a", "b", "c"}
    for _ in range(10):
        fleet.observe(fleet.servers["a"], NotRun(Failure("Overloaded"), 1.0))
    assert usable(fleet) == {"a", "b", "c"}
