"""The backend servers that an entry uses and the status that each last reported."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.channels import CALL_FAILURES, Channels
from wasabideck_policy.load_balancing import ServerState
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.outcomes import Answered, Outcome, Unknown
from wasabideck_policy.outliers import OutlierEjection
from wasabideck_policy.subsets import OTHER_REGION, OWN_REGION, subset
from wasabideck_policy.vm_state import VMState, merge_list
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["Fleet"]

STATUS_TIMEOUT_SECONDS = 1.0
STATUS_RETRY_TIMEOUT_SECONDS = 0.3
# Kinds of failures caused by the server itself, and not by the request or by load.
SERVER_FAULT_KINDS = {
    "ServerDied",
    "ServerDown",
    "ServerRefused",
    "ServerSilent",
    "Unreachable",
}


@define
class Fleet:
    """The platform's list of processes, merged with the status reported by the agents.

    Attributes
    ----------
    members : list of Member
        The list last read from the platform.
    servers : dict of str to ServerState
        The servers that this entry uses, by VM.
    servers_changed : asyncio.Event
        Set when the servers may have changed; its waiter clears it.
    """

    vm: str
    channels: Channels
    region: str = ""
    members: list[Member] = field(factory=list)
    servers: dict[str, ServerState] = field(factory=dict)
    status_replies: dict[str, pb.StatusReply] = field(factory=dict)
    outliers: OutlierEjection = field(factory=OutlierEjection)
    servers_changed: asyncio.Event = field(factory=asyncio.Event)
    clock: Callable[[], float] = time.monotonic
    _vm_states: dict[str, VMState] = field(factory=dict)
    _cache_changes_seen: dict[str, int] = field(factory=dict)

    def update_members(self, members: list[Member]) -> None:
        """Apply a new list; the state of servers that remain listed is kept."""
        self.members = members
        agents = [m for m in members if m.kind == AGENT]
        self._vm_states = merge_list(self._vm_states, agents, self.clock())
        selected = self._select_servers()
        self.servers = {vm: self._server_of(vm) for vm in sorted(selected)}
        self.servers_changed.set()
        for known in (self.status_replies, self._cache_changes_seen):
            for vm in known.keys() - self.servers.keys():
                del known[vm]

    def other_entries(self) -> list[Member]:
        """Return the listed entries without this one."""
        return [m for m in self.members if m.kind == ENTRY and m.vm != self.vm]

    def eligible_servers(self, service: str, excluded: set[str]) -> list[ServerState]:
        """Return the servers of a service that may be sent new requests."""
        usable = {
            s.vm: s
            for s in self.servers.values()
            if s.service == service and s.serving and not s.leaving
            if s.vm not in excluded
        }
        healthy = self.outliers.healthy(usable, self.clock())
        return [server for vm, server in usable.items() if vm in healthy]

    def record_outcome(self, server: ServerState, outcome: Outcome) -> None:
        """Record the outcome of an attempt on a server."""
        if isinstance(outcome, Answered):
            self.outliers.record_success(server.vm)
        elif outcome.failure.kind in SERVER_FAULT_KINDS:
            self.outliers.record_failure(server.vm, self.clock())
        elif isinstance(outcome, Unknown) and outcome.crash:
            self.outliers.record_failure(server.vm, self.clock())

    async def query_all(self) -> None:
        """Query the status of all servers concurrently."""
        await asyncio.gather(*(self.query(s) for s in self.servers.values()))

    async def query(self, server: ServerState) -> bool:
        """Query a server's status; return whether it responded."""
        reply = await self._request_status(server, STATUS_TIMEOUT_SECONDS)
        if reply is None:
            # An unresponsive connection does not show that its server has failed: if
            # such servers were removed at once, a short interruption of all links
            # would leave no server at all. So the query is repeated on a new
            # connection. A suspended agent accepts that one too but sends no response;
            # its server is not used until it responds to a query.
            reply = await self._request_status(server, STATUS_RETRY_TIMEOUT_SECONDS)
        if reply is None:
            server.serving = False
            return False
        self.apply_status(server, reply)
        return True

    def status_request(
        self, server: ServerState, interval: float = 0.0
    ) -> pb.StatusRequest:
        """Return a status query; ``interval`` is in seconds, for a watch."""
        cache_changes = self._cache_changes_seen.get(server.vm, 0)
        return pb.StatusRequest(
            vm=self.vm, cache_changes=cache_changes, pause_ms=int(interval * 1000)
        )

    def apply_status(self, server: ServerState, reply: pb.StatusReply) -> None:
        """Apply the status that a server reports."""
        now = self.clock()
        state = self._vm_states.get(server.vm)
        if state is None or reply.vm != server.vm:
            return
        state.record_response(reply.leaving, now)
        self.status_replies[server.vm] = reply
        server.serving = reply.serving
        server.leaving = state.leaving
        server.load, server.load_at = reply.load, reply.load_at
        server.capacity = reply.capacity
        server.manifest = reply.manifest
        _update_clock_offset(server, reply, now)
        server.reported = reply.in_progress + reply.waiting
        server.own_reported = server.in_progress
        server.heard_at = now
        server.service_time = reply.service_time or server.service_time
        if reply.cache_changes != self._cache_changes_seen.get(server.vm, 0):
            self._cache_changes_seen[server.vm] = reply.cache_changes
            server.prefixes = list(reply.cached_prefixes)

    async def _request_status(
        self, server: ServerState, timeout: float
    ) -> pb.StatusReply | None:
        """Return a server's status; None if its connection failed and was dropped."""
        channel = self.channels.get(server.address)
        try:
            req = self.status_request(server)
            return await PeersStub(channel).Status(req, timeout=timeout)
        except CALL_FAILURES:
            self.channels.close_channel(server.address, channel)
            return None

    def _select_servers(self) -> set[str]:
        entries = [m for m in self.members if m.kind == ENTRY and not m.leaving]
        local_entries = [m.vm for m in entries if m.region == self.region]
        groups: dict[tuple[str, str], list[str]] = defaultdict(list)
        for vm, state in self._vm_states.items():
            groups[state.member.service, state.member.region].append(vm)
        selected: set[str] = set()
        for (_, region), servers in groups.items():
            # Servers of this region are divided among the entries of this region only.
            if region == self.region:
                selected |= subset(self.vm, local_entries, servers, OWN_REGION)
            else:
                all_entries = [m.vm for m in entries]
                selected |= subset(self.vm, all_entries, servers, OTHER_REGION)
        return selected

    def _server_of(self, vm: str) -> ServerState:
        state = self._vm_states[vm]
        member = state.member
        server = self.servers.get(vm)
        if server is None or server.address != member.address:
            server = ServerState(
                vm,
                member.service,
                member.address,
                member.region,
                member.data_centre,
                serving=False,
            )
        server.leaving = state.leaving
        return server


def _update_clock_offset(
    server: ServerState, reply: pb.StatusReply, now: float
) -> None:
    """Estimate how far the agent's clock is ahead of this one.

    A report that was delayed on its way makes the offset look smaller than it is, and
    the latest arrival time computed from it would be too early. So the largest
    estimate is used.
    """
    ahead = reply.clock_ms / 1000 - now
    if reply.incarnation == server.incarnation:
        ahead = max(ahead, server.clock_ahead)
    server.incarnation = reply.incarnation
    server.clock_ahead = ahead
