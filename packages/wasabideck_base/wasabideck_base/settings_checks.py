"""What several values of settings must keep together."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from urllib.parse import urlsplit

from attrs import frozen

from .addresses import split_address
from .settings import (
    PLAIN,
    AccessSettings,
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    ServiceSettings,
)

__all__ = ["CHECKS", "Wrong"]

Path = tuple[str | int, ...]


@frozen
class Wrong:
    """An impossible combination, by the path of the key that has to change."""

    path: Path
    why: str


def _tls_or_plain(cfg: EntrySettings | AgentSettings) -> Wrong | None:
    # A forgotten [tls] section must not open a fleet to whoever reaches its ports.
    if cfg.tls is None and not cfg.plain_text:
        return Wrong(("tls",), "keys needed, or plain_text = true")
    if cfg.tls is not None and cfg.plain_text:
        return Wrong(("plain_text",), "the tls section names keys")
    return None


def _own_ports(cfg: EntrySettings | AgentSettings) -> Wrong | None:
    process = cfg.process
    taken = split_address(process.inner)[1]
    if taken and process.inner == process.http:
        return Wrong(("process", "http"), "is the inner address as well")
    return None


def _some_service(cfg: EntrySettings) -> Wrong | None:
    return None if cfg.services else Wrong(("services",), "one or more needed")


def _distinct(cfg: EntrySettings) -> Wrong | None:
    credentials = [(("operators", i, "token"), o) for i, o in _each(cfg.operators)]
    credentials += [(("callers", i, "token"), c) for i, c in _each(cfg.callers)]
    names = (
        [(("services", i, "name"), s.name) for i, s in _each(cfg.services)],
        [(("operators", i, "name"), o.name) for i, o in _each(cfg.operators)],
        [(path, who.token) for path, who in credentials],
    )
    found = (_second(values) for values in names)
    return next((Wrong(path, "is taken already") for path in found if path), None)


def _services(cfg: EntrySettings) -> Wrong | None:
    found = (_service(("services", i), s) for i, s in _each(cfg.services))
    return next((wrong for wrong in found if wrong), None)


def _service(path: Path, service: ServiceSettings) -> Wrong | None:
    if service.repeatable and service.repeatable_routes:
        why = "all routes are repeatable as the service is"
        return Wrong((*path, "repeatable_routes"), why)
    if not service.routes:
        return None
    for name in ("repeatable_routes", "priorities"):
        if unknown := set(getattr(service, name)) - set(service.routes):
            return Wrong((*path, name), f"{min(unknown)} is none of the routes")
    return None


def _not_itself(cfg: AgentSettings) -> Wrong | None:
    """A server at the agent's own address would be asked by itself for ever."""
    parts = urlsplit(cfg.server.url)
    if f"{parts.hostname}:{parts.port}" in _listens(cfg.process):
        return Wrong(("server", "url"), "is the agent's own address")
    return None


def _only_engines(cfg: AgentSettings) -> Wrong | None:
    server = cfg.server
    if server.kind == PLAIN and server.checks_fencing:
        why = "only model engines are given orders"
        return Wrong(("server", "checks_fencing"), why)
    return None


def _access(cfg: AccessSettings) -> Wrong | None:
    secure = cfg.entry.startswith("https://")
    if not secure and not cfg.plain_text:
        return Wrong(("entry",), "must be https://, or plain_text = true")
    if secure and cfg.plain_text:
        return Wrong(("plain_text",), "the entry's address is https")
    if not secure and cfg.authority:
        return Wrong(("authority",), "the entry's address is not https")
    return None


def _listens(process: ProcessSettings) -> set[str]:
    return {a for a in (process.inner, process.http) if split_address(a)[1]}


def _each(items: Iterable) -> list[tuple[int, object]]:
    return list(enumerate(items))


def _second(values: Iterable[tuple[Path, str]]) -> Path | None:
    seen: set[str] = set()
    for path, value in values:
        if value in seen:
            return path
        seen.add(value)
    return None


CHECKS: dict[type, tuple[Callable[..., Wrong | None], ...]] = {
    EntrySettings: (_tls_or_plain, _own_ports, _some_service, _distinct, _services),
    AgentSettings: (_tls_or_plain, _own_ports, _not_itself, _only_engines),
    AccessSettings: (_access,),
}
