"""The operators' configuration: which request may go where, and for whom."""

from __future__ import annotations

import random
from collections.abc import Mapping
from enum import Enum

from attrs import field, frozen

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineModel",
    "Kind",
    "Organisation",
    "OriginPlace",
    "Route",
    "Service",
]


class Kind(Enum):
    """What a route's requests are like, and so what may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Route:
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    timeout, goal, pause : float
        Seconds: the longest that a caller is kept waiting, the time within which an
        answer (a stream's first event) is worth most, and the longest pause between
        two events that a caller accepts.
    shares : tuple of (str, float)
        Services and their shares of the traffic.
    attempts : int
        Most servers that one request may be sent to.
    resumable : bool
        Whether another server can go on with a broken stream.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    goal: float
    shares: tuple[tuple[str, float], ...]
    attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    pause: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.SAFE or (self.kind is Kind.STREAM and self.resumable)

    def draw_service(self, rng: random.Random) -> str:
        """One of the services, each as often as its share says."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        names, weights = zip(*self.shares, strict=True)
        return rng.choices(names, weights)[0] if sum(weights) > 0 else names[0]


@frozen
class EngineModel:
    """Published cost model of a service's engines.

    Attributes
    ----------
    slots : int
        Requests that an engine runs at once.
    step, step_per_request : float
        Seconds of one token step, and what each running request adds to it.
    read_rate : float
        Prompt tokens read in a second.
    stride : int
        Token steps of one pass.
    kv_capacity : int
        Tokens that an engine's memory holds.
    layers, chunks, chunk_bytes : int
        Layers of the model, and the pieces that its weights consist of.
    load_seconds : float
        How long an engine takes to load whole weights.
    """

    model: str
    slots: int
    step: float
    step_per_request: float
    read_rate: float
    stride: int = 1
    kv_capacity: int = 0
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0
    load_seconds: float = 0.0


@frozen
class OriginPlace:
    """Where the origin of weights listens, and how fast it is (bytes a second)."""

    address: str
    data_centre: str
    rate: float


@frozen
class Service:
    """A service that requests are routed to, or the origin of weights."""

    name: str
    max_connections: int = 0
    engine: EngineModel | None = None
    origin: OriginPlace | None = None


@frozen
class CallerLimits:
    """What a caller may send, and how long it may take (bytes, seconds)."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@frozen
class Organisation:
    """Who a request is from; a lower priority number is more urgent."""

    name: str
    priority: int | None = None


@frozen
class Configuration:
    """One numbered configuration in full; a larger number replaces a smaller one.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        Routes by host, the longest prefix first.
    keys : dict of str to Organisation, or None
        Who holds which key; None when no key is asked for.
    """

    number: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits = field(factory=CallerLimits)
    keys: Mapping[str, Organisation] | None = None

    def route(self, host: str, path: str) -> Route | None:
        """The host's route with the longest prefix of the path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def origin(self) -> OriginPlace | None:
        """Where the origin of weights is, or None when there is none."""
        places = (service.origin for service in self.services.values())
        return next((place for place in places if place), None)
