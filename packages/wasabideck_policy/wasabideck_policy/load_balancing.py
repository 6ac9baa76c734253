"""Load balancing policies: the choice of the backend server for a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from .cache_affinity import home_server

__all__ = [
    "POLICIES",
    "RoutingRequest",
    "LoadBalancingPolicy",
    "ServerState",
    "expected_wait",
    "least_loaded",
    "choose_by_cost",
    "two_choices",
]

LoadBalancingPolicy = Callable[
    [Sequence["ServerState"], "RoutingRequest", float, random.Random], "ServerState"
]

DRAWN_SERVERS = 2
# Cost of a prompt whose prefix is not cached, in seconds of waiting.
CACHE_MISS_SECONDS = 0.2
# Cost of using the narrow link to another region, in seconds of waiting.
REMOTE_REGION_SECONDS = 0.1
# Maximum age of a report; older ones are ignored.
STALE_SECONDS = 10.0


@frozen
class RoutingRequest:
    """Properties of a request that matter for the choice.

    Attributes
    ----------
    prefix : str
        Name of the prompt's prefix; empty if it has none.
    """

    prefix: str = ""
    region: str = ""


@define(eq=False)
class ServerState:
    """State of one backend server, as known to an entry.

    Attributes
    ----------
    in_progress : int
        Requests of this entry on it now.
    reported : int
        Requests of all entries on it, running or waiting, according to its last report.
    own_reported : int
        Requests of this entry on it at the time of that report.
    heard_at : float
        When its last report was received, seconds; 0 if it never reported.
    load : float
        Load that the engine reported, with a delay; 0 idle to 1 full.
    load_at : float
        When the report was made, seconds.
    incarnation : str
        Identifier of the agent process, chosen by that process.
    clock_ahead : float
        Upper bound of how far the agent's clock is ahead of this process's, seconds.
    service_time : float
        Duration of one request, seconds.
    prefixes : list of str
        Prompt prefixes that it probably has in its cache.
    """

    vm: str
    service: str
    address: str
    region: str = ""
    data_centre: str = ""
    in_progress: int = 0
    reported: int = 0
    own_reported: int = 0
    heard_at: float = 0.0
    load: float = 0.0
    load_at: float = 0.0
    capacity: int = 8
    service_time: float = 0.1
    prefixes: list[str] = field(factory=list)
    leaving: bool = False
    serving: bool = True
    manifest: str = ""
    incarnation: str = ""
    clock_ahead: float = 0.0

    def estimated_load(self, now: float) -> float:
        """Return this entry's estimate of the requests on the server now.

        The requests that other entries sent since the report are unknown. Those that
        this entry sent and completed since are known, and are counted so that a burst
        between two reports isn't sent to the one server that reported to be idle.
        """
        if now - self.heard_at > STALE_SECONDS:
            return self.in_progress
        since = self.in_progress - self.own_reported
        return max(self.in_progress, self.reported + since)


def expected_wait(server: ServerState, now: float) -> float:
    """Return the expected wait of one more request on a server, itself included."""
    load_with_request = server.estimated_load(now) + 1
    return load_with_request * server.service_time / max(server.capacity, 1)


def choose_by_cost(
    servers: Sequence[ServerState],
    request: RoutingRequest,
    now: float,
    rng: random.Random,
) -> ServerState:
    """Return the cheapest of a few servers.

    The candidates are two random servers of the entry's own region, two of the other
    regions, and the servers that have the prompt's prefix in their cache or are its
    home. The cost is in seconds: the expected wait at the server, the time to read the
    whole prompt if its prefix is not cached, and the link to another region. This
    bounds the load that a popular prefix brings to its server: once the wait there
    costs more than reading the prompt elsewhere, requests are sent elsewhere.
    """
    local = [s for s in servers if s.region == request.region]
    remote = [s for s in servers if s.region != request.region]
    drawn = _draw(local, rng) + _draw(remote, rng)
    prefix_home = home_server(request.prefix, servers) if request.prefix else None
    if request.prefix:
        drawn += [
            s for s in servers if request.prefix in s.prefixes or s is prefix_home
        ]

    def cost(server: ServerState) -> float:
        seconds = expected_wait(server, now)
        if request.prefix and request.prefix not in server.prefixes:
            # The prefix's home is the server that will cache the prefix.
            miss = (
                CACHE_MISS_SECONDS / 2 if server is prefix_home else CACHE_MISS_SECONDS
            )
            # Reading a prompt also delays all requests that already wait there.
            seconds += miss * (1 + max(0, server.estimated_load(now) - server.capacity))
        return seconds + (
            REMOTE_REGION_SECONDS if server.region != request.region else 0.0
        )

    return min(drawn, key=cost)


def two_choices(
    servers: Sequence[ServerState],
    request: RoutingRequest,
    now: float,
    rng: random.Random,
) -> ServerState:
    """Return the one of two random servers with the shorter expected wait."""
    return min(_draw(servers, rng), key=lambda s: expected_wait(s, now))


def round_robin() -> LoadBalancingPolicy:
    """Return a policy that uses the servers in round-robin order."""
    index = 0

    def choose(
        servers: Sequence[ServerState],
        request: RoutingRequest,
        now: float,
        rng: random.Random,
    ) -> ServerState:
        nonlocal index
        index += 1
        return servers[index % len(servers)]

    return choose


def uniform(
    servers: Sequence[ServerState],
    request: RoutingRequest,
    now: float,
    rng: random.Random,
) -> ServerState:
    """Return a server drawn with uniform probability."""
    return rng.choice(servers)


def least_loaded(
    servers: Sequence[ServerState],
    request: RoutingRequest,
    now: float,
    rng: random.Random,
) -> ServerState:
    """Return the server with the fewest requests of this entry in progress."""
    return min(servers, key=lambda server: (server.in_progress, rng.random()))


def reported_two_choices(
    servers: Sequence[ServerState],
    request: RoutingRequest,
    now: float,
    rng: random.Random,
) -> ServerState:
    """Return the better of two random servers by their own, delayed reports."""

    def load(server: ServerState) -> float:
        return server.in_progress / max(server.capacity, 1) + server.load

    return min(_draw(servers, rng), key=load)


def _draw(servers: Sequence[ServerState], rng: random.Random) -> list[ServerState]:
    return rng.sample(servers, min(DRAWN_SERVERS, len(servers)))


POLICIES: dict[str, Callable[[], LoadBalancingPolicy]] = {
    "priced": lambda: choose_by_cost,
    "two-choices": lambda: two_choices,
    "reported-two-choices": lambda: reported_two_choices,
    "round-robin": round_robin,
    "random": lambda: uniform,
    "least-in-progress": lambda: least_loaded,
}
