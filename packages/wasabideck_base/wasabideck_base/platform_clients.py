"""Creates all platform clients from the settings of a process."""

from __future__ import annotations

import aiohttp
from attrs import define

from .http_client import HttpClient
from .members import MemberListClient
from .settings import PlatformSettings
from .table import Table
from .weight_origin import WeightOriginClient

__all__ = ["PlatformClients", "create_platform_clients"]


@define
class PlatformClients:
    """Clients of the table service, the membership list and the weight origin."""

    table: Table
    members: MemberListClient
    origin: WeightOriginClient


def create_platform_clients(
    cfg: PlatformSettings, session: aiohttp.ClientSession
) -> PlatformClients:
    """Return clients for the configured addresses without sending a request."""

    def new_client(base: str) -> HttpClient:
        return HttpClient(base, cfg.timeout_seconds, session)

    return PlatformClients(
        Table(new_client(cfg.table)),
        MemberListClient(new_client(cfg.members)),
        WeightOriginClient(new_client(cfg.weights)),
    )
