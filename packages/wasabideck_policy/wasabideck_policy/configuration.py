"""The operators' configuration: routes, services, caller limits and API keys."""

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
    "OriginServer",
    "Route",
    "Service",
]


class Kind(Enum):
    """Kind of a route's requests, which decides whether they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Route:
    """The services to which requests for one host and path prefix are routed.

    Attributes
    ----------
    timeout_seconds, target_seconds, max_event_interval_seconds : float
        Seconds: the maximum time that a caller waits, the target time for a response
        (for a stream: its first event), and the maximum interval between two events
        that a caller accepts.
    shares : tuple of (str, float)
        Services and their shares of the traffic.
    max_attempts : int
        Maximum number of servers that one request may be sent to.
    resumable : bool
        Whether another server can continue an interrupted stream.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_seconds: float
    target_seconds: float
    shares: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    max_event_interval_seconds: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.SAFE or (self.kind is Kind.STREAM and self.resumable)

    def draw_service(self, rng: random.Random) -> str:
        """Return one of the services, drawn at random in proportion to the shares."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        names, weights = zip(*self.shares, strict=True)
        return rng.choices(names, weights)[0] if sum(weights) > 0 else names[0]


@frozen
class EngineModel:
    """Published cost model of a service's engines.

    Attributes
    ----------
    max_running_requests : int
        Maximum number of requests that an engine runs at once.
    step_seconds, step_seconds_per_request : float
        Seconds per token step, and the seconds that each running request adds to it.
    prompt_tokens_per_second : float
        Prompt tokens processed per second.
    steps_per_pass : int
        Token steps per pass.
    kv_cache_tokens : int
        Number of tokens that fit into an engine's key-value cache.
    layers, chunks, chunk_bytes : int
        Number of layers of the model, number of chunks of its weights, and size of a
        chunk.
    load_seconds : float
        Time that an engine takes to load complete weights.
    """

    model: str
    max_running_requests: int
    step_seconds: float
    step_seconds_per_request: float
    prompt_tokens_per_second: float
    steps_per_pass: int = 1
    kv_cache_tokens: int = 0
    layers: int = 0
    chunks: int = 0
    chunk_bytes: int = 0
    load_seconds: float = 0.0


@frozen
class OriginServer:
    """Address of the origin of weights, its data centre, and its bytes per second."""

    address: str
    data_centre: str
    bytes_per_second: float


@frozen
class Service:
    """A service to which requests are routed, or the origin of weights."""

    name: str
    max_connections: int = 0
    engine: EngineModel | None = None
    origin: OriginServer | None = None


@frozen
class CallerLimits:
    """Maximum sizes (bytes) and times (seconds) of what a caller sends."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@frozen
class Organisation:
    """The organisation that sent a request; a lower priority number is more urgent."""

    name: str
    priority: int | None = None


@frozen
class Configuration:
    """One complete, numbered configuration; a larger number replaces a smaller one.

    Attributes
    ----------
    routes : dict of str to tuple of Route
        Routes by host, the longest prefix first.
    keys : dict of str to Organisation, or None
        The organisation that owns each API key; None when no key is required.
    """

    number: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: CallerLimits = field(factory=CallerLimits)
    keys: Mapping[str, Organisation] | None = None

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def origin(self) -> OriginServer | None:
        """Return the origin of weights, or None when there is none."""
        origins = (service.origin for service in self.services.values())
        return next((origin for origin in origins if origin), None)
