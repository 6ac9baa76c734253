"""What an entry knows of the backend servers, and keeps asking them."""

from __future__ import annotations

import asyncio
import time

from attrs import define, field
from wasabideck_platform.channels import LINK_FAILURES, Channels
from wasabideck_policy.membership import AGENT, ENTRY, Member
from wasabideck_policy.routing import Server
from wasabideck_wire import inner_pb2 as pb
from wasabideck_wire.inner_grpc import PeersStub

__all__ = ["Fleet"]

STATUS_TIMEOUT = 1.0


@define
class Fleet:
    """The platform's list, joined with what the agents themselves say."""

    vm: str
    channels: Channels
    members: list[Member] = field(factory=list)
    servers: dict[str, Server] = field(factory=dict)
    statuses: dict[str, pb.StatusReply] = field(factory=dict)

    def take_members(self, members: list[Member]) -> None:
        """Take a new list in; what is known of a server that stays is kept."""
        self.members = members
        agents = {m.vm: m for m in members if m.kind == AGENT}
        self.servers = {
            vm: self.servers.get(vm) or _server(m) for vm, m in agents.items()
        }
        for vm, member in agents.items():
            self.servers[vm].address = member.address
            # A server that said itself that it leaves stays left, however far the
            # platform's list lags behind.
            self.servers[vm].leaving |= member.leaving

    def entries(self) -> list[Member]:
        """The other entries."""
        return [m for m in self.members if m.kind == ENTRY and m.vm != self.vm]

    def candidates(self, service: str, without: set[str]) -> list[Server]:
        """Servers of a service that may be given new work."""
        return [
            s
            for s in self.servers.values()
            if s.service == service and s.serving and not s.leaving
            if s.vm not in without
        ]

    async def ask_all(self) -> None:
        """Ask every agent for its status."""
        await asyncio.gather(*(self._ask(s) for s in self.servers.values()))

    async def _ask(self, server: Server) -> None:
        asked_at = time.monotonic()
        reply = await self._status(server)
        if reply is None:
            # A connection that went silent says nothing of the server: were it out
            # at once, one such moment on all links would leave no server at all.
            asked_at = time.monotonic()
            reply = await self._status(server)
        if reply is None:
            server.serving = False
            return
        self.statuses[server.vm] = reply
        server.serving = reply.serving
        server.leaving = reply.leaving
        server.load, server.load_at = reply.load, reply.load_at
        server.capacity = reply.capacity
        server.manifest = reply.manifest
        server.incarnation = reply.incarnation
        server.clock_ahead = reply.clock_ms / 1000 - asked_at

    async def _status(self, server: Server) -> pb.StatusReply | None:
        """A server's status; None when its connection failed and was dropped."""
        channel = self.channels.get(server.address)
        req = pb.StatusRequest(vm=self.vm)
        try:
            return await PeersStub(channel).Status(req, timeout=STATUS_TIMEOUT)
        except LINK_FAILURES:
            self.channels.drop(server.address, channel)
            return None


def _server(member: Member) -> Server:
    return Server(
        member.vm,
        member.service,
        member.address,
        member.region,
        member.data_centre,
        serving=False,
    )
