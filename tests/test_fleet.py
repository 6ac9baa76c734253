"""Choice of servers from the platform's list and the agents' status, with fakes."""

import asyncio

import pytest
from wasabideck_entry import fleet as fleet_module
from wasabideck_entry.fleet import Fleet
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import Answered, Failure, NotRun
from wasabideck_wire import inner_pb2 as pb

SERVICE = "drafting"


class Agents:
    """Fake agents by address, some of which do not respond."""

    def __init__(self):
        self.replies = {}
        self.unresponsive = set()
        self.query_count = 0

    def get(self, address):
        return address

    def close_channel(self, address, failed=None):
        pass

    def stub(self, address):
        self.address = address
        return _Stub(self, address)


class _Stub:
    def __init__(self, agents, address):
        self.agents, self.address = agents, address

    async def Status(self, req, timeout):
        self.agents.query_count += 1
        if self.address in self.agents.unresponsive:
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
    fleet.update_members(member_list("a", "b", "c"))
    return fleet


def member_list(*vms):
    agents = [Member(vm, AGENT, vm, service=SERVICE) for vm in vms]
    return [Member("entry-1", ENTRY, "e"), *agents]


def query_and_list_eligible(fleet):
    asyncio.run(fleet.query_all())
    return {server.vm for server in fleet.eligible_servers(SERVICE, set())}


def test_one_round_of_queries_finds_the_usable_servers(fleet):
    assert not fleet.eligible_servers(SERVICE, set())
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}


def test_a_suspended_agent_is_not_used_until_it_responds(fleet, agents):
    agents.unresponsive.add("a")
    assert query_and_list_eligible(fleet) == {"b", "c"}
    agents.unresponsive.clear()
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}


def test_an_agent_that_reports_shutdown_is_not_used_again_while_still_listed(
    fleet, agents
):
    agents.replies["a"].leaving = True
    assert query_and_list_eligible(fleet) == {"b", "c"}
    fleet.update_members(member_list("a", "b", "c"))
    assert query_and_list_eligible(fleet) == {"b", "c"}


def test_an_incomplete_list_does_not_remove_a_responding_server(fleet, now):
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}
    now[0] += 1.0
    fleet.update_members(member_list("a"))
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}


def test_a_server_that_fails_its_requests_is_not_used_though_its_status_is_good(
    fleet, now
):
    # The engine is broken while its agent works, so the reported status is good. Each
    # request fails at once, so that the server appears to be the least loaded.
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}
    refused = NotRun(Failure("ServerRefused", "503"))
    for _ in range(3):
        fleet.record_outcome(fleet.servers["a"], refused)
    assert query_and_list_eligible(fleet) == {"b", "c"}
    now[0] += 10.0
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}
    fleet.record_outcome(fleet.servers["a"], Answered())


def test_refusals_by_overload_do_not_exclude_a_server(fleet):
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}
    for _ in range(10):
        fleet.record_outcome(fleet.servers["a"], NotRun(Failure("Overloaded"), 1.0))
    assert query_and_list_eligible(fleet) == {"a", "b", "c"}
