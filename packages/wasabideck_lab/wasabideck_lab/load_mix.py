"""Whose requests come when: the deployments' services, organisations and arrivals."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import field, frozen

from .standin_batch import PREFIX_BYTES, Costs

__all__ = ["DEPLOYMENTS", "Arrival", "Deployment", "Kind", "arrivals"]

TOKENS = 12
CAPACITY = 8
SLOW_SPEED = 0.5
# Half the prompts are taken to find their prefix cached, so that the rate does not
# depend on the routing policy.
MEAN_CHUNKS = 2.5
TEMPLATES = 4
# A few large organisations among ten.
SHARES = (0.28, 0.22, 0.18, 0.07, 0.06, 0.05, 0.04, 0.04, 0.03, 0.03)


@frozen
class Kind:
    """One kind of request: its route, urgency, and share of the arrivals."""

    service: str
    route: str
    priority: int
    share: float
    repeatable: bool = True
    deadline: float = 6.0

    @property
    def label(self) -> str:
        """Name in the results."""
        return f"{self.service}/{self.route}"


@frozen
class Deployment:
    """Services and their servers, as the users gave them."""

    name: str
    regions: tuple[str, ...]
    drafting: int
    plain: dict[str, int]
    kinds: tuple[Kind, ...]
    costs: Costs = field(factory=Costs)

    def speeds(self) -> list[float]:
        """Speed of each drafting server: every fourth is a slow one."""
        return [SLOW_SPEED if i % 4 == 3 else 1.0 for i in range(self.drafting)]

    def capacity(self) -> float:
        """Drafting requests a second that the servers can end."""
        return sum(self.speeds()) * self.costs.rate(CAPACITY, TOKENS, MEAN_CHUNKS)

    def rate(self) -> float:
        """Requests of all kinds a second, when drafting comes at its capacity."""
        drafts = sum(k.share for k in self.kinds if k.service == "drafting")
        return self.capacity() / drafts

    def services(self) -> list[dict]:
        """Settings of the services."""
        found = [{"name": "drafting", "kind": "model"}]
        found += [{"name": name, "kind": "plain"} for name in self.plain]
        for service in found:
            kinds = [k for k in self.kinds if k.service == service["name"]]
            service["priorities"] = {k.route: k.priority for k in kinds}
            service["repeatable"] = all(k.repeatable for k in kinds)
            if not service["repeatable"]:
                service["repeatable_routes"] = [k.route for k in kinds if k.repeatable]
        return found


PRINTING = Deployment(
    "printing",
    ("Muscat", "Sohar", "Salalah"),
    8,
    {"orders": 3, "shop-floor": 1},
    (
        Kind("drafting", "proof", 0, 0.04),
        Kind("drafting", "reply", 1, 0.36),
        Kind("drafting", "brief", 2, 0.40),
        Kind("orders", "print", 0, 0.06, repeatable=False),
        Kind("orders", "status", 1, 0.10),
        Kind("shop-floor", "jobs", 1, 0.04),
    ),
)
RENT = Deployment(
    "rent",
    ("Bangkok", "Chiang-Mai", "Khon-Kaen"),
    6,
    {"ledger": 3, "portal": 1},
    (
        Kind("drafting", "dispute", 0, 0.04),
        Kind("drafting", "arrears", 1, 0.36),
        Kind("drafting", "greeting", 2, 0.40),
        Kind("ledger", "post", 0, 0.06, repeatable=False),
        Kind("ledger", "balance", 1, 0.10),
        Kind("portal", "page", 1, 0.04),
    ),
)
DEPLOYMENTS = {d.name: d for d in (PRINTING, RENT)}


@frozen
class Arrival:
    """One request that is due, whatever became of those before it.

    Attributes
    ----------
    due : float
        Seconds after the begin.
    """

    due: float
    kind: Kind
    organisation: str
    body: str
    key: str
    region: int


def arrivals(
    deployment: Deployment, burst: float, seconds: float, rng: random.Random
) -> Iterator[Arrival]:
    """Poisson arrivals at ``burst`` times the capacity."""
    due = 0.0
    weights = [kind.share for kind in deployment.kinds]
    while (due := due + rng.expovariate(burst * deployment.rate())) < seconds:
        kind = rng.choices(deployment.kinds, weights)[0]
        organisation = rng.choices(range(len(SHARES)), SHARES)[0]
        prefix = f"org-{organisation} {kind.route} {rng.randrange(TEMPLATES)}"
        key = f"{rng.getrandbits(64):016x}"
        body = f"{prefix:<{PREFIX_BYTES}}{key}"
        region = rng.randrange(len(deployment.regions))
        yield Arrival(due, kind, f"org-{organisation}", body, key, region)
