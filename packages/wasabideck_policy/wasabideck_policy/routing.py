"""Choice of the backend server for a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from .affinity import home

__all__ = [
    "POLICIES",
    "Ask",
    "Choice",
    "Server",
    "expected_wait",
    "least_loaded",
    "priced",
    "two_choices",
]

Choice = Callable[[Sequence["Server"], "Ask", float, random.Random], "Server"]

DRAWN = 2
# What a prompt costs whose prefix is not cached, in seconds of waiting.
MISS_SECONDS = 0.2
# What a region's thin link to the others is worth, in seconds of waiting.
REGION_SECONDS = 0.1
# A report older than this says nothing about the present.
STALE_SECONDS = 10.0


@frozen
class Ask:
    """What of a request matters for the choice.

    Attributes
    ----------
    prefix : str
        Name of the prompt's prefix; empty where there is none.
    """

    prefix: str = ""
    region: str = ""


@define(eq=False)
class Server:
    """What an entry knows of one backend server.

    Attributes
    ----------
    in_progress : int
        Requests that this entry has on it now.
    reported : int
        Requests of all entries on it, running or waiting, when it last told.
    own_reported : int
        Requests of this entry on it at that time.
    heard_at : float
        When it last told, seconds; 0 when it never did.
    load : float
        The engine's lagging report, 0 idle to 1 full.
    load_at : float
        When the report was made, seconds.
    incarnation : str
        The agent process, as it named itself.
    clock_ahead : float
        At most so far is the agent's clock ahead of this process's, seconds.
    service_time : float
        Seconds that it takes for one request.
    prefixes : list of str
        Prompt prefixes that it is said to hold.
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

    def pressed_by(self, now: float) -> float:
        """Requests on it now, as far as this entry can tell.

        What other entries sent since the report is unknown; what this one sent and
        got back since is not, and keeps a burst between two reports from going to
        the one server that looked idle.
        """
        if now - self.heard_at > STALE_SECONDS:
            return self.in_progress
        since = self.in_progress - self.own_reported
        return max(self.in_progress, self.reported + since)


def expected_wait(server: Server, now: float) -> float:
    """Seconds that one more request adds to and meets on a server."""
    pressed = server.pressed_by(now) + 1
    return pressed * server.service_time / max(server.capacity, 1)


def priced(
    servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
) -> Server:
    """The cheapest of a few: two drawn from each side, and whoever has the prefix.

    The price is in seconds: the wait expected there, reading the whole prompt where
    its prefix is not cached, and the link to another region. So the load that a hot
    prefix brings to its server is bounded: as soon as waiting there costs more than
    reading the prompt elsewhere, requests go elsewhere.
    """
    near = [s for s in servers if s.region == ask.region]
    far = [s for s in servers if s.region != ask.region]
    drawn = _draw(near, rng) + _draw(far, rng)
    place = home(ask.prefix, servers) if ask.prefix else None
    if ask.prefix:
        drawn += [s for s in servers if ask.prefix in s.prefixes or s is place]

    def price(server: Server) -> float:
        cost = expected_wait(server, now)
        if ask.prefix and ask.prefix not in server.prefixes:
            # Its home is the one place where the prefix comes to be cached.
            miss = MISS_SECONDS / 2 if server is place else MISS_SECONDS
            # Reading a prompt also holds up everyone who waits there already.
            cost += miss * (1 + max(0, server.pressed_by(now) - server.capacity))
        return cost + (REGION_SECONDS if server.region != ask.region else 0.0)

    return min(drawn, key=price)


def two_choices(
    servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
) -> Server:
    """The one of two servers drawn at random on which the wait is shorter."""
    return min(_draw(servers, rng), key=lambda s: expected_wait(s, now))


def round_robin() -> Choice:
    """Each server in turn."""
    turn = 0

    def choose(
        servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
    ) -> Server:
        nonlocal turn
        turn += 1
        return servers[turn % len(servers)]

    return choose


def uniform(
    servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
) -> Server:
    """Any server, all alike."""
    return rng.choice(servers)


def least_loaded(
    servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
) -> Server:
    """The server with the fewest own requests in progress."""
    return min(servers, key=lambda server: (server.in_progress, rng.random()))


def reported_two_choices(
    servers: Sequence[Server], ask: Ask, now: float, rng: random.Random
) -> Server:
    """Two choices by the engine's own lagging report, with nothing corrected."""

    def pressure(server: Server) -> float:
        return server.in_progress / max(server.capacity, 1) + server.load

    return min(_draw(servers, rng), key=pressure)


def _draw(servers: Sequence[Server], rng: random.Random) -> list[Server]:
    return rng.sample(servers, min(DRAWN, len(servers)))


POLICIES: dict[str, Callable[[], Choice]] = {
    "priced": lambda: priced,
    "two-choices": lambda: two_choices,
    "reported-two-choices": lambda: reported_two_choices,
    "round-robin": round_robin,
    "random": lambda: uniform,
    "least-in-progress": lambda: least_loaded,
}
