"""Settings in TOML, every value checked at start."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

import attrs
from attrs import field, frozen
from attrs.validators import ge, gt, in_, instance_of, min_len
from cattrs import ClassValidationError, Converter, ForbiddenExtraKeysError
from cattrs.errors import IterableValidationError
from wasabideck_policy.outcomes import WasabideckError

__all__ = [
    "AgentSettings",
    "CallerSettings",
    "EntrySettings",
    "OperatorSettings",
    "PlatformSettings",
    "ProcessSettings",
    "ServerSettings",
    "ServiceSettings",
    "SettingsError",
    "TlsSettings",
    "WeightsSettings",
    "load_settings",
    "split_address",
]

T = TypeVar("T")
MODEL = "model"
PLAIN = "plain"


class SettingsError(WasabideckError):
    """A setting is wrong; names the file, the key and the value."""

    def __init__(self, file: str, key: str, value: object, why: str):
        super().__init__(f"{file}: {key} = {value!r}: {why}")
        self.file = file
        self.key = key
        self.value = value


def _address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("must be HOST:PORT")


def _url(instance: object, attribute: attrs.Attribute, value: str) -> None:
    if not value.startswith(("http://", "https://")):
        raise ValueError("must be an http or https address")


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

    vm: str = field(validator=min_len(1))
    region: str = field(validator=min_len(1))
    data_centre: str = field(validator=min_len(1))
    inner: str = field(default="127.0.0.1:0", validator=_address)
    http: str = field(default="127.0.0.1:0", validator=_address)
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

    table: str = field(validator=_url)
    members: str = field(validator=_url)
    weights: str = field(validator=_url)
    poll_seconds: float = field(default=1.0, validator=gt(0))
    timeout_seconds: float = field(default=2.0, validator=gt(0))


@frozen
class TlsSettings:
    """Key files (PEM); a process without this section talks in plain text."""

    certificate: str
    key: str = field(repr=False)
    authority: str


@frozen
class OperatorSettings:
    """Someone who may submit tickets."""

    name: str = field(validator=min_len(1))
    token: str = field(validator=min_len(8), repr=False)


@frozen
class CallerSettings:
    """A caller's credential and the organisation that it stands for."""

    organisation: str = field(validator=min_len(1))
    token: str = field(validator=min_len(8), repr=False)


@frozen
class ServiceSettings:
    """How calls of a service are treated.

    Attributes
    ----------
    repeatable : bool
        Whether its calls may run more than once.
    priorities : dict of str to int
        Class of each route that has one of its own; 0 is the most urgent.
    """

    name: str = field(validator=min_len(1))
    kind: str = field(default=MODEL, validator=in_((MODEL, PLAIN)))
    repeatable: bool = True
    repeatable_routes: list[str] = field(factory=list)
    priority: int = field(default=1, validator=ge(0))
    priorities: dict[str, int] = field(factory=dict)
    deadline_seconds: float = field(default=30.0, validator=gt(0))


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

    service: str = field(validator=min_len(1))
    url: str = field(validator=_url)
    kind: str = field(default=MODEL, validator=in_((MODEL, PLAIN)))
    capacity: int = field(default=8, validator=gt(0))
    checks_fencing: bool = False
    reports_load: bool = True


@frozen
class WeightsSettings:
    """How an agent takes part in the distribution of weights.

    Attributes
    ----------
    profile : str
        ``time``: a reader of the origin that seems lost is replaced soon;
        ``origin-bytes``: late, so that hardly any chunk is read twice.
    policy : str
        ``swarm``, or a baseline that experiments compare with.
    fetches, uploads : int
        Chunks fetched at once, and uploads taken on at once.
    link_rate : float
        Bytes per second of the VM's link, each way; 0 is no limit.
    region_rate : float
        Bytes per second that weights may take of the link into this region.
    origin_region : str
        Region that the origin stands in; empty when it is near to all.
    """

    profile: str = field(default="time", validator=in_(("time", "origin-bytes")))
    policy: str = field(
        default="swarm", validator=in_(("swarm", "origin", "tree", "random"))
    )
    fetches: int = field(default=3, validator=gt(0))
    uploads: int = field(default=3, validator=gt(0))
    link_rate: float = field(default=0.0, validator=ge(0))
    region_rate: float = field(default=0.0, validator=ge(0))
    origin_region: str = ""


@frozen
class EntrySettings:
    """All settings of an entry process."""

    process: ProcessSettings
    platform: PlatformSettings
    services: list[ServiceSettings]
    operators: list[OperatorSettings] = field(factory=list)
    callers: list[CallerSettings] = field(factory=list)
    tls: TlsSettings | None = None
    routing: str = "two-choices"
    body_bytes: int = field(default=1 << 20, validator=gt(0))
    seed: int = field(default=0, validator=instance_of(int))


@frozen
class AgentSettings:
    """All settings of an agent process."""

    process: ProcessSettings
    platform: PlatformSettings
    server: ServerSettings
    tls: TlsSettings | None = None
    weights: WeightsSettings = field(factory=WeightsSettings)
    seed: int = field(default=0, validator=instance_of(int))


def load_settings(
    path: str | Path,
    cls: type[T],
    checks: tuple[Callable[[T], tuple[str, object, str] | None], ...] = (),
) -> T:
    """Settings of the given class from a TOML file.

    Raises
    ------
    SettingsError
        Names the file, the key and the value that is wrong.
    """
    file = str(path)
    try:
        table = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(file, "", "", f"cannot be read: {exc}") from exc
    except tomllib.TOMLDecodeError as exc:
        raise SettingsError(file, "", "", f"is no TOML: {exc}") from exc
    settings = _structure(table, cls, file)
    for check in checks:
        if wrong := check(settings):
            raise SettingsError(file, *wrong)
    return settings


def split_address(address: str) -> tuple[str, int]:
    """Host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _structure(table: Mapping, cls: type[T], file: str) -> T:
    converter = Converter(forbid_extra_keys=True)
    for exact in (str, int, float, bool):
        converter.register_structure_hook(exact, _exactly)
    try:
        return converter.structure(table, cls)
    except (ClassValidationError, IterableValidationError) as exc:
        raise _first_error(exc, file, table) from exc


def _exactly(value: object, cls: type) -> object:
    allowed = (int, float) if cls is float else (cls,)
    if type(value) not in allowed:
        raise TypeError(f"must be a {cls.__name__}")
    return value


def _first_error(exc: BaseException, file: str, table: object) -> SettingsError:
    """The first leaf of cattrs' tree of errors, as file, key and value."""
    path: list[str | int] = []
    while isinstance(exc, ExceptionGroup):
        exc = exc.exceptions[0]
        for note in getattr(exc, "__notes__", ()):
            place = getattr(note, "name", None) or getattr(note, "index", None)
            if place is not None:
                path.append(place)
    if isinstance(exc, ForbiddenExtraKeysError):
        key = ".".join([*map(str, path), sorted(exc.extra_fields)[0]])
        return SettingsError(file, key, "...", "unknown key")
    if isinstance(exc, KeyError):
        key = ".".join([*map(str, path), str(exc.args[0])])
        return SettingsError(file, key, None, "missing key")
    return SettingsError(file, ".".join(map(str, path)), _value(table, path), str(exc))


def _value(table: object, path: list[str | int]) -> object:
    # Keys and tokens are never printed, also when they are what is wrong.
    if path and path[-1] in ("token", "key"):
        return "..."
    for place in path:
        try:
            table = table[place]  # type: ignore[index]
        except (KeyError, IndexError, TypeError):
            return None
    return table
