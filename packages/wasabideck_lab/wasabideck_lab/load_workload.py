"""Simulated deployments and the arrivals of their organisations' requests."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import field, frozen

from .standin_batch import PREFIX_BYTES, Costs

__all__ = ["DEPLOYMENTS", "Arrival", "Deployment", "RequestKind", "draw_arrivals"]

TOKENS_PER_RESPONSE = 12
ENGINE_CAPACITY = 8
SLOW_ENGINE_SPEED = 0.5
# Assumes that half of the prompts find their prefix cached, so that the arrival rate
# does not depend on the routing policy.
MEAN_PROMPT_CHUNKS = 2.5
TEMPLATES_PER_ROUTE = 4
# Shares of the arrivals: ten organisations, a few of them large.
ORGANISATION_SHARES = (0.28, 0.22, 0.18, 0.07, 0.06, 0.05, 0.04, 0.04, 0.03, 0.03)


@frozen
class RequestKind:
    """A kind of request: its route, its priority and its share of the arrivals."""

    service: str
    route: str
    priority: int
    share: float
    repeatable: bool = True
    deadline_seconds: float = 6.0

    @property
    def label(self) -> str:
        """Return the name used in the results."""
        return f"{self.service}/{self.route}"


@frozen
class Deployment:
    """A user's services and the number of servers of each service."""

    name: str
    regions: tuple[str, ...]
    drafting: int
    plain: dict[str, int]
    kinds: tuple[RequestKind, ...]
    costs: Costs = field(factory=Costs)

    def engine_speeds(self) -> list[float]:
        """Return the speed of each drafting server; every fourth server is slow."""
        return [SLOW_ENGINE_SPEED if i % 4 == 3 else 1.0 for i in range(self.drafting)]

    def drafting_capacity(self) -> float:
        """Return the drafting requests per second that the servers can complete."""
        return sum(self.engine_speeds()) * self.costs.max_throughput(
            ENGINE_CAPACITY, TOKENS_PER_RESPONSE, MEAN_PROMPT_CHUNKS
        )

    def request_rate(self) -> float:
        """Return the requests of all kinds per second at full drafting capacity."""
        drafting_share = sum(k.share for k in self.kinds if k.service == "drafting")
        return self.drafting_capacity() / drafting_share

    def services(self) -> list[dict]:
        """Return the services as they are written in an entry's settings."""
        services = [{"name": "drafting", "kind": "model"}]
        services += [{"name": name, "kind": "plain"} for name in self.plain]
        for service in services:
            kinds = [k for k in self.kinds if k.service == service["name"]]
            service["priorities"] = {k.route: k.priority for k in kinds}
            service["repeatable"] = all(k.repeatable for k in kinds)
            if not service["repeatable"]:
                service["repeatable_routes"] = [k.route for k in kinds if k.repeatable]
        return services


PRINTING = Deployment(
    "printing",
    ("Muscat", "Sohar", "Salalah"),
    8,
    {"orders": 3, "shop-floor": 1},
    (
        RequestKind("drafting", "proof", 0, 0.04),
        RequestKind("drafting", "reply", 1, 0.36),
        RequestKind("drafting", "brief", 2, 0.40),
        RequestKind("orders", "print", 0, 0.06, repeatable=False),
        RequestKind("orders", "status", 1, 0.10),
        RequestKind("shop-floor", "jobs", 1, 0.04),
    ),
)
RENT = Deployment(
    "rent",
    ("Bangkok", "Chiang-Mai", "Khon-Kaen"),
    6,
    {"ledger": 3, "portal": 1},
    (
        RequestKind("drafting", "dispute", 0, 0.04),
        RequestKind("drafting", "arrears", 1, 0.36),
        RequestKind("drafting", "greeting", 2, 0.40),
        RequestKind("ledger", "post", 0, 0.06, repeatable=False),
        RequestKind("ledger", "balance", 1, 0.10),
        RequestKind("portal", "page", 1, 0.04),
    ),
)
DEPLOYMENTS = {d.name: d for d in (PRINTING, RENT)}


@frozen
class Arrival:
    """One request, which is due whether or not earlier requests have ended.

    Attributes
    ----------
    due_seconds : float
        Seconds after the start of the run.
    """

    due_seconds: float
    kind: RequestKind
    organisation: str
    body: str
    idempotency_key: str
    region: int


def draw_arrivals(
    deployment: Deployment, burst: float, seconds: float, rng: random.Random
) -> Iterator[Arrival]:
    """Yield Poisson arrivals at ``burst`` times the request rate at full capacity."""
    due = 0.0
    weights = [kind.share for kind in deployment.kinds]
    while (due := due + rng.expovariate(burst * deployment.request_rate())) < seconds:
        kind = rng.choices(deployment.kinds, weights)[0]
        organisation = rng.choices(
            range(len(ORGANISATION_SHARES)), ORGANISATION_SHARES
        )[0]
        prefix = f"org-{organisation} {kind.route} {rng.randrange(TEMPLATES_PER_ROUTE)}"
        idempotency_key = f"{rng.getrandbits(64):016x}"
        body = f"{prefix:<{PREFIX_BYTES}}{idempotency_key}"
        region = rng.randrange(len(deployment.regions))
        yield Arrival(due, kind, f"org-{organisation}", body, idempotency_key, region)
