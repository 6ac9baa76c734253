"""What settings hold; each value is checked when it is set.

Files are read by ``settings_file``; what several values must keep together is
checked by ``settings_checks``.
"""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import deep_mapping, instance_of

from .settings_values import (
    at_least,
    choice,
    is_address,
    is_name,
    is_names,
    is_present,
    is_seconds,
    is_secret,
    is_url,
)
from .weights_settings import WeightsSettings

__all__ = [
    "MODEL",
    "PLAIN",
    "AccessSettings",
    "AgentSettings",
    "CallerSettings",
    "EntrySettings",
    "OperatorSettings",
    "PlatformSettings",
    "ProcessSettings",
    "ServerSettings",
    "ServiceSettings",
    "TlsSettings",
    "WeightsSettings",
]

MODEL = "model"
PLAIN = "plain"
KINDS = (MODEL, PLAIN)


@frozen
class ProcessSettings:
    """Where a process runs and listens.

    Attributes
    ----------
    inner : str
        ``host:port`` of the inner protocol; port 0 takes any free one.
    http : str
        ``host:port`` towards callers, operators and metrics.
    events : str
        File that events are appended to; empty for standard error.
    """

    vm: str = field(validator=is_name)
    region: str = field(validator=is_name)
    data_centre: str = field(validator=is_name)
    inner: str = field(default="127.0.0.1:0", validator=is_address)
    http: str = field(default="127.0.0.1:0", validator=is_address)
    events: str = ""


@frozen
class PlatformSettings:
    """Addresses of the platform's services, and how often they are asked.

    Attributes
    ----------
    poll_seconds : float
        Time between reads of the membership list.
    timeout_seconds : float
        Longest wait for one answer of the platform.
    """

    table: str = field(validator=is_url)
    members: str = field(validator=is_url)
    weights: str = field(validator=is_url)
    poll_seconds: float = field(default=1.0, validator=is_seconds)
    timeout_seconds: float = field(default=2.0, validator=is_seconds)


@frozen
class TlsSettings:
    """Key files (PEM) of a process.

    Attributes
    ----------
    authority : str
        Certificates of the fleet's own authority: whoever shows a certificate of
        it is taken for one of the system's processes.
    """

    certificate: str = field(validator=is_present)
    key: str = field(validator=is_present, repr=False)
    authority: str = field(validator=is_present)


@frozen
class OperatorSettings:
    """Someone who may submit tickets."""

    name: str = field(validator=is_name)
    token: str = field(validator=is_secret, repr=False)


@frozen
class CallerSettings:
    """A caller's credential and the organisation that it stands for.

    Attributes
    ----------
    most_connections : int
        Open connections of the organisation at one entry; each carries one request
        at a time.
    """

    organisation: str = field(validator=is_name)
    token: str = field(validator=is_secret, repr=False)
    most_connections: int = field(default=256, validator=at_least(1))


@frozen
class ServiceSettings:
    """How calls of a service are treated.

    Attributes
    ----------
    repeatable : bool
        Whether its calls may run more than once.
    repeatable_routes : list of str
        Routes whose calls may run more than once although the others may not.
    priorities : dict of str to int
        Class of each route that has one of its own; 0 is the most urgent.
    routes : list of str
        All routes that callers may ask for; empty for any.
    """

    name: str = field(validator=is_name)
    kind: str = field(default=MODEL, validator=choice(KINDS))
    repeatable: bool = True
    repeatable_routes: list[str] = field(factory=list, validator=is_names)
    priority: int = field(default=1, validator=at_least(0))
    priorities: dict[str, int] = field(
        factory=dict, validator=deep_mapping(is_name, at_least(0))
    )
    deadline_seconds: float = field(default=30.0, validator=is_seconds)
    routes: list[str] = field(factory=list, validator=is_names)


@frozen
class ServerSettings:
    """The backend server that an agent stands beside.

    Attributes
    ----------
    capacity : int
        Requests that it runs at once.
    checks_fencing : bool
        Whether it refuses orders that carry an old fencing number.
    """

    service: str = field(validator=is_name)
    url: str = field(validator=is_url)
    kind: str = field(default=MODEL, validator=choice(KINDS))
    capacity: int = field(default=8, validator=at_least(1))
    checks_fencing: bool = False
    reports_load: bool = True


@frozen
class EntrySettings:
    """All settings of an entry process.

    Attributes
    ----------
    plain_text : bool
        Talk without TLS; without this there must be keys.
    body_bytes : int
        Most bytes of one request's body.
    """

    process: ProcessSettings
    platform: PlatformSettings
    services: list[ServiceSettings]
    operators: list[OperatorSettings] = field(factory=list)
    callers: list[CallerSettings] = field(factory=list)
    tls: TlsSettings | None = None
    plain_text: bool = False
    routing: str = "priced"
    body_bytes: int = field(default=1 << 20, validator=at_least(1))
    seed: int = field(default=0, validator=instance_of(int))


@frozen
class AgentSettings:
    """All settings of an agent process.

    Attributes
    ----------
    plain_text : bool
        Talk without TLS; without this there must be keys.
    fetches, uploads : int
        Most chunks that are received, and sent, at once.
    """

    process: ProcessSettings
    platform: PlatformSettings
    server: ServerSettings
    tls: TlsSettings | None = None
    plain_text: bool = False
    weights: WeightsSettings = field(factory=WeightsSettings)
    seed: int = field(default=0, validator=instance_of(int))


@frozen
class AccessSettings:
    """How an operator reaches an entry.

    Attributes
    ----------
    entry : str
        Base address of any entry, or of the balancer before them.
    authority : str
        Certificates (PEM) that the entry's certificate must come from.
    plain_text : bool
        Talk without TLS.
    """

    entry: str = field(validator=is_url)
    token: str = field(validator=is_secret, repr=False)
    authority: str = ""
    plain_text: bool = False
