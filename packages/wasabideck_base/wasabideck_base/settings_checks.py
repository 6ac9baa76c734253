"""Checks of combinations of settings."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from urllib.parse import urlsplit

from attrs import frozen

from .addresses import split_address
from .settings import (
    PLAIN_KIND,
    AccessSettings,
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    ServiceSettings,
)

__all__ = ["COMBINATION_CHECKS", "InvalidCombination"]

Path = tuple[str | int, ...]


@frozen
class InvalidCombination:
    """Invalid combination of settings, and the path of the key to change."""

    path: Path
    why: str


def _check_tls(cfg: EntrySettings | AgentSettings) -> InvalidCombination | None:
    # A missing [tls] section must not open the fleet to everyone who can reach a port.
    if cfg.tls is None and not cfg.plain_text:
        return InvalidCombination(
            ("tls",), "TLS keys are required unless plain_text = true"
        )
    if cfg.tls is not None and cfg.plain_text:
        return InvalidCombination(
            ("plain_text",), "must be false if there is a tls section"
        )
    return None


def _check_addresses_differ(
    cfg: EntrySettings | AgentSettings,
) -> InvalidCombination | None:
    process = cfg.process
    inner_port = split_address(process.inner)[1]
    if inner_port and process.inner == process.http:
        return InvalidCombination(
            ("process", "http"), "must differ from the inner address"
        )
    return None


def _check_has_service(cfg: EntrySettings) -> InvalidCombination | None:
    return (
        None if cfg.services else InvalidCombination(("services",), "must not be empty")
    )


def _check_unique(cfg: EntrySettings) -> InvalidCombination | None:
    credentials = [
        (("operators", i, "token"), o) for i, o in _enumerated(cfg.operators)
    ]
    credentials += [(("callers", i, "token"), c) for i, c in _enumerated(cfg.callers)]
    names = (
        [(("services", i, "name"), s.name) for i, s in _enumerated(cfg.services)],
        [(("operators", i, "name"), o.name) for i, o in _enumerated(cfg.operators)],
        [(path, holder.token) for path, holder in credentials],
    )
    problems = (_first_duplicate(values) for values in names)
    return next(
        (InvalidCombination(path, "must be unique") for path in problems if path), None
    )


def _check_services(cfg: EntrySettings) -> InvalidCombination | None:
    problems = (
        _check_service(("services", i), s) for i, s in _enumerated(cfg.services)
    )
    return next((wrong for wrong in problems if wrong), None)


def _check_service(path: Path, service: ServiceSettings) -> InvalidCombination | None:
    if service.repeatable and service.repeatable_routes:
        why = "must be empty because the whole service is repeatable"
        return InvalidCombination((*path, "repeatable_routes"), why)
    if not service.routes:
        return None
    for name in ("repeatable_routes", "priorities"):
        if unknown := set(getattr(service, name)) - set(service.routes):
            return InvalidCombination(
                (*path, name), f"{min(unknown)} is not one of the routes"
            )
    return None


def _check_server_is_not_agent(cfg: AgentSettings) -> InvalidCombination | None:
    """Check that the server is not the agent, which would call itself forever."""
    parts = urlsplit(cfg.server.url)
    if f"{parts.hostname}:{parts.port}" in _listen_addresses(cfg.process):
        return InvalidCombination(
            ("server", "url"), "must differ from the agent's own addresses"
        )
    return None


def _check_fencing_kind(cfg: AgentSettings) -> InvalidCombination | None:
    server = cfg.server
    if server.kind == PLAIN_KIND and server.checks_fencing:
        why = "must be false because only model engines receive orders"
        return InvalidCombination(("server", "checks_fencing"), why)
    return None


def _check_access(cfg: AccessSettings) -> InvalidCombination | None:
    secure = cfg.entry.startswith("https://")
    if not secure and not cfg.plain_text:
        return InvalidCombination(("entry",), "must be https://, or plain_text = true")
    if secure and cfg.plain_text:
        return InvalidCombination(
            ("plain_text",), "must be false if the entry uses https"
        )
    if not secure and cfg.authority:
        return InvalidCombination(
            ("authority",), "must be empty if the entry does not use https"
        )
    return None


def _listen_addresses(process: ProcessSettings) -> set[str]:
    return {a for a in (process.inner, process.http) if split_address(a)[1]}


def _enumerated(items: Iterable) -> list[tuple[int, object]]:
    return list(enumerate(items))


def _first_duplicate(values: Iterable[tuple[Path, str]]) -> Path | None:
    seen: set[str] = set()
    for path, value in values:
        if value in seen:
            return path
        seen.add(value)
    return None


COMBINATION_CHECKS: dict[type, tuple[Callable[..., InvalidCombination | None], ...]] = {
    EntrySettings: (
        _check_tls,
        _check_addresses_differ,
        _check_has_service,
        _check_unique,
        _check_services,
    ),
    AgentSettings: (
        _check_tls,
        _check_addresses_differ,
        _check_server_is_not_agent,
        _check_fencing_kind,
    ),
    AccessSettings: (_check_access,),
}
