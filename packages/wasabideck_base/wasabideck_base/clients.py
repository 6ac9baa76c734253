"""All clients of the platform, made from a process's settings."""

from __future__ import annotations

import aiohttp
from attrs import define

from .http import HttpClient
from .members import Members
from .settings import PlatformSettings
from .table import Table
from .weights import Origin

__all__ = ["Platform", "connect_platform"]


@define
class Platform:
    """Clients of the table service, the membership list and the weight origin."""

    table: Table
    members: Members
    origin: Origin


def connect_platform(cfg: PlatformSettings, session: aiohttp.ClientSession) -> Platform:
    """Clients under the addresses of the settings; nothing is sent yet."""

    def client(base: str) -> HttpClient:
        return HttpClient(base, cfg.timeout_seconds, session)

    return Platform(
        Table(client(cfg.table)),
        Members(client(cfg.members)),
        Origin(client(cfg.weights)),
    )
