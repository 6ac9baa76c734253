"""Choice of the backend server for a request."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from attrs import define

__all__ = ["POLICIES", "Choice", "Server", "least_loaded", "two_choices"]

Choice = Callable[[Sequence["Server"], float, random.Random], "Server"]


@define
class Server:
    """What an entry knows of one backend server.

    Attributes
    ----------
    in_progress : int
        Requests that this entry has on it now.
    load : float
        The engine's lagging report, 0 idle to 1 full.
    load_at : float
        When the report was made, seconds.
    incarnation : str
        The agent process, as it named itself.
    clock_ahead : float
        At most so far is the agent's clock ahead of this process's, seconds.
    """

    vm: str
    service: str
    address: str
    region: str = ""
    data_centre: str = ""
    in_progress: int = 0
    load: float = 0.0
    load_at: float = 0.0
    capacity: int = 8
    leaving: bool = False
    serving: bool = True
    manifest: str = ""
    incarnation: str = ""
    clock_ahead: float = 0.0


def pressure(server: Server) -> float:
    """Expected relative load: own requests in progress plus the report."""
    return server.in_progress / max(server.capacity, 1) + server.load


def two_choices(servers: Sequence[Server], now: float, rng: random.Random) -> Server:
    """The less pressed of two servers drawn at random."""
    if len(servers) == 1:
        return servers[0]
    return min(rng.sample(list(servers), 2), key=pressure)


def round_robin() -> Choice:
    """Each server in turn."""
    turn = 0

    def choose(servers: Sequence[Server], now: float, rng: random.Random) -> Server:
        nonlocal turn
        turn += 1
        return servers[turn % len(servers)]

    return choose


def uniform(servers: Sequence[Server], now: float, rng: random.Random) -> Server:
    """Any server, all alike."""
    return rng.choice(list(servers))


def least_loaded(servers: Sequence[Server], now: float, rng: random.Random) -> Server:
    """The server with the fewest own requests in progress."""
    return min(servers, key=lambda server: (server.in_progress, rng.random()))


POLICIES: dict[str, Callable[[], Choice]] = {
    "two-choices": lambda: two_choices,
    "round-robin": round_robin,
    "random": lambda: uniform,
    "least-in-progress": lambda: least_loaded,
}
