"""Settings classes; each value is validated when it is set.

``settings_file`` reads settings from files, and ``settings_checks`` validates
combinations of values.
"""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import deep_mapping, instance_of

from .connection_budget import BYTES_PER_MB, ProcessLimits
from .settings_validators import (
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
    "MODEL_KIND",
    "PLAIN_KIND",
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

MODEL_KIND = "model"
PLAIN_KIND = "plain"
SERVICE_KINDS = (MODEL_KIND, PLAIN_KIND)


@frozen
class ProcessSettings:
    """Location and listening addresses of a process.

    Attributes
    ----------
    inner : str
        ``host:port`` of the inner protocol; port 0 selects a free port.
    http : str
        ``host:port`` for callers, operators and metrics.
    events : str
        File to which events are appended; empty for standard error.
    memory_mb : int
        Resident memory that the process may use, in megabytes.
    max_descriptors : int
        Descriptors that the process may open; 0 for the operating system's limit.
    """

    vm: str = field(validator=is_name)
    region: str = field(validator=is_name)
    data_centre: str = field(validator=is_name)
    inner: str = field(default="127.0.0.1:0", validator=is_address)
    http: str = field(default="127.0.0.1:0", validator=is_address)
    events: str = ""
    memory_mb: int = field(default=256, validator=at_least(1))
    max_descriptors: int = field(default=0, validator=at_least(0))

    @property
    def limits(self) -> ProcessLimits:
        """Return the limits on what the connections of the process may use."""
        return ProcessLimits(self.memory_mb * BYTES_PER_MB, self.max_descriptors)


@frozen
class PlatformSettings:
    """Addresses of the platform's services, and how often they are polled.

    Attributes
    ----------
    poll_seconds : float
        Interval between reads of the membership list.
    timeout_seconds : float
        Timeout of one call to the platform.
    """

    table: str = field(validator=is_url)
    members: str = field(validator=is_url)
    weights: str = field(validator=is_url)
    poll_seconds: float = field(default=1.0, validator=is_seconds)
    timeout_seconds: float = field(default=2.0, validator=is_seconds)


@frozen
class TlsSettings:
    """TLS key files (PEM) of a process.

    Attributes
    ----------
    authority : str
        Certificates of the fleet's own authority. A peer that presents a certificate
        of this authority is trusted as one of the system's processes.
    """

    certificate: str = field(validator=is_present)
    key: str = field(validator=is_present, repr=False)
    authority: str = field(validator=is_present)


@frozen
class OperatorSettings:
    """Credential of an operator, who may submit tickets."""

    name: str = field(validator=is_name)
    token: str = field(validator=is_secret, repr=False)


@frozen
class CallerSettings:
    """Credential of a caller, and the organisation that it belongs to.

    Attributes
    ----------
    most_connections : int
        Maximum open connections of the organisation per entry; each carries one
        request at a time.
    """

    organisation: str = field(validator=is_name)
    token: str = field(validator=is_secret, repr=False)
    most_connections: int = field(default=256, validator=at_least(1))


@frozen
class ServiceSettings:
    """How calls of a service are handled.

    Attributes
    ----------
    repeatable : bool
        Whether calls of the service may run more than once.
    repeatable_routes : list of str
        Routes whose calls may run more than once although other routes' may not.
    priorities : dict of str to int
        Priority of each route that differs from ``priority``; 0 is the most urgent.
    routes : list of str
        All routes that callers may request; empty to allow any.
    """

    name: str = field(validator=is_name)
    kind: str = field(default=MODEL_KIND, validator=choice(SERVICE_KINDS))
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
    """The backend server beside which an agent runs.

    Attributes
    ----------
    capacity : int
        Maximum number of concurrent requests.
    checks_fencing : bool
        Whether the server rejects orders with an outdated fencing token.
    """

    service: str = field(validator=is_name)
    url: str = field(validator=is_url)
    kind: str = field(default=MODEL_KIND, validator=choice(SERVICE_KINDS))
    capacity: int = field(default=8, validator=at_least(1))
    checks_fencing: bool = False
    reports_load: bool = True


@frozen
class EntrySettings:
    """All settings of an entry process.

    Attributes
    ----------
    plain_text : bool
        Communicate without TLS; if false, ``tls`` is required.
    body_bytes : int
        Maximum size of a request body.
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
        Communicate without TLS; if false, ``tls`` is required.
    weights : WeightsSettings
        Includes the maximum numbers of chunks that are fetched and uploaded at once.
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
        Base address of any entry, or of the load balancer in front of them.
    authority : str
        Certificates (PEM) of the authority that issues the entry's certificate.
    plain_text : bool
        Communicate without TLS.
    """

    entry: str = field(validator=is_url)
    token: str = field(validator=is_secret, repr=False)
    authority: str = ""
    plain_text: bool = False
