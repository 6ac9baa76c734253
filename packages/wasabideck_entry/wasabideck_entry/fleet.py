"""What an entry knows of the backend servers, and keeps asking them."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable

from attrs import define, field
from wasabideck_base.channels import LINK_FAILURES, Channels
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.observation import Observed, join
from wasabideck_policy.outcomes import Answered, Outcome, Unknown
from wasabideck_policy.outliers import Outliers
from wasabideck_policy.routing import Server
from wasabideck_policy.subsets import OTHER_REGION, OWN_REGION, subset
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["Fleet"]

STATUS_TIMEOUT = 1.0
AGAIN_TIMEOUT = 0.3
# Refusals that tell of the server, and not of the request or of the load.
SERVER_FAILURES = {
    "ServerDied",
    "ServerDown",
    "ServerRefused",
    "ServerSilent",
    "Unreachable",
}


@define
class Fleet:
    """The platform's list, joined with what the agents themselves say.

    Attributes
    ----------
    members : list of Member
        The platform's last list.
    servers : dict of str to Server
        The servers that this entry uses, by VM.
    changed : asyncio.Event
        Set when the servers may have changed; whoever follows them clears it.
    """

    vm: str
    channels: Channels
    region: str = ""
    members: list[Member] = field(factory=list)
    servers: dict[str, Server] = field(factory=dict)
    statuses: dict[str, pb.StatusReply] = field(factory=dict)
    outliers: Outliers = field(factory=Outliers)
    changed: asyncio.Event = field(factory=asyncio.Event)
    clock: Callable[[], float] = time.monotonic
    _observed: dict[str, Observed] = field(factory=dict)
    _cache_seen: dict[str, int] = field(factory=dict)

    def take_members(self, members: list[Member]) -> None:
        """Take a new list in; what is known of a server that stays is kept."""
        self.members = members
        agents = [m for m in members if m.kind == AGENT]
        self._observed = join(self._observed, agents, self.clock())
        used = self._subset()
        self.servers = {vm: self._server(vm) for vm in sorted(used)}
        self.changed.set()
        for known in (self.statuses, self._cache_seen):
            for vm in known.keys() - self.servers.keys():
                del known[vm]

    def entries(self) -> list[Member]:
        """The other entries."""
        return [m for m in self.members if m.kind == ENTRY and m.vm != self.vm]

    def candidates(self, service: str, without: set[str]) -> list[Server]:
        """Servers of a service that may be given new work."""
        usable = {
            s.vm: s
            for s in self.servers.values()
            if s.service == service and s.serving and not s.leaving
            if s.vm not in without
        }
        sound = self.outliers.sound(usable, self.clock())
        return [server for vm, server in usable.items() if vm in sound]

    def observe(self, server: Server, outcome: Outcome) -> None:
        """Learn from how an attempt on a server ended."""
        if isinstance(outcome, Answered):
            self.outliers.succeeded(server.vm)
        elif outcome.failure.kind in SERVER_FAILURES:
            self.outliers.failed(server.vm, self.clock())
        elif isinstance(outcome, Unknown) and outcome.crash:
            self.outliers.failed(server.vm, self.clock())

    async def ask_all(self) -> None:
        """Ask every server for its status, at once."""
        await asyncio.gather(*(self.ask(s) for s in self.servers.values()))

    async def ask(self, server: Server) -> bool:
        """Ask a server for its status; whether it answered."""
        reply = await self._status(server, STATUS_TIMEOUT)
        if reply is None:
            # A connection that went silent says nothing of its server: were it out
            # at once, such a moment on all links would leave no server at all. A
            # frozen agent accepts the new connection as well and answers nothing: it
            # is left alone until the first question that it answers.
            reply = await self._status(server, AGAIN_TIMEOUT)
        if reply is None:
            server.serving = False
            return False
        self.take(server, reply)
        return True

    def question(self, server: Server, pause: float = 0.0) -> pb.StatusRequest:
        """What a server is asked; ``pause`` is the seconds between words of a watch."""
        seen = self._cache_seen.get(server.vm, 0)
        return pb.StatusRequest(
            vm=self.vm, cache_changes=seen, pause_ms=int(pause * 1000)
        )

    def take(self, server: Server, reply: pb.StatusReply) -> None:
        """Take in what a server says of itself."""
        now = self.clock()
        observed = self._observed.get(server.vm)
        if observed is None or reply.vm != server.vm:
            return
        observed.answered(reply.leaving, now)
        self.statuses[server.vm] = reply
        server.serving = reply.serving
        server.leaving = observed.leaving
        server.load, server.load_at = reply.load, reply.load_at
        server.capacity = reply.capacity
        server.manifest = reply.manifest
        _take_clock(server, reply, now)
        server.reported = reply.in_progress + reply.waiting
        server.own_reported = server.in_progress
        server.heard_at = now
        server.service_time = reply.service_time or server.service_time
        if reply.cache_changes != self._cache_seen.get(server.vm, 0):
            self._cache_seen[server.vm] = reply.cache_changes
            server.prefixes = list(reply.cached_prefixes)

    async def _status(self, server: Server, timeout: float) -> pb.StatusReply | None:
        """A server's status; None when its connection failed and was dropped."""
        channel = self.channels.get(server.address)
        try:
            req = self.question(server)
            return await PeersStub(channel).Status(req, timeout=timeout)
        except LINK_FAILURES:
            self.channels.drop(server.address, channel)
            return None

    def _subset(self) -> set[str]:
        entries = [m for m in self.members if m.kind == ENTRY and not m.leaving]
        local = [m.vm for m in entries if m.region == self.region]
        groups: dict[tuple[str, str], list[str]] = defaultdict(list)
        for vm, observed in self._observed.items():
            groups[observed.member.service, observed.member.region].append(vm)
        used: set[str] = set()
        for (_, region), servers in groups.items():
            # Servers of the own region are shared with the entries there alone.
            if region == self.region:
                used |= subset(self.vm, local, servers, OWN_REGION)
            else:
                everyone = [m.vm for m in entries]
                used |= subset(self.vm, everyone, servers, OTHER_REGION)
        return used

    def _server(self, vm: str) -> Server:
        observed = self._observed[vm]
        member = observed.member
        server = self.servers.get(vm)
        if server is None or server.address != member.address:
            server = Server(
                vm,
                member.service,
                member.address,
                member.region,
                member.data_centre,
                serving=False,
            )
        server.leaving = observed.leaving
        return server


def _take_clock(server: Server, reply: pb.StatusReply, now: float) -> None:
    """Estimate how far the agent's clock is ahead of this one.

    A word that was long under way makes it look less far ahead than it is, and a
    request's last moment of arrival too early; so the largest estimate counts.
    """
    ahead = reply.clock_ms / 1000 - now
    if reply.incarnation == server.incarnation:
        ahead = max(ahead, server.clock_ahead)
    server.incarnation = reply.incarnation
    server.clock_ahead = ahead
