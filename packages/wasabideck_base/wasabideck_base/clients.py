"""Creates all platform clients from the settings of a process."""

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
    """Return clients for the configured addresses without sending a request."""

    def new_client(base: str) -> HttpClient:
        return HttpClient(base, cfg.timeout_seconds, session)

    return Platform(
        Table(new_client(cfg.table)),
        Members(new_client(cfg.members)),
        Origin(new_client(cfg.weights)),
    )
