"""Interface that an adapter implements to run the product on a deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen
from wasabideck_policy.backends import ListedServer
from wasabideck_policy.configuration import Configuration
from wasabideck_policy.declarations import Declaration

from .http_pool import HttpPool
from .rows import Row, RowStore
from .vm_settings import VMSettings

__all__ = ["DeploymentAdapter"]


@frozen
class DeploymentAdapter:
    """Functions that translate between the product and one kind of deployment.

    Attributes
    ----------
    read_settings : callable
        Reads the current settings of this process; raises a ``WasabideckError``.
    declarations_table, servers_table : str
        Names of the tables of the operators' declarations and of the servers.
    version_key_prefix : str
        Start of the keys of declared versions in the former table.
    parse_declaration, parse_listed_server, parse_configuration : callable
        Decode rows; each raises a ``WasabideckError`` for a row that it cannot decode.
    open_store : callable
        Returns a client of the store of rows.
    head_codec : object
        Parses and formats the heads of requests and responses.
    open_engine, open_origin : callable
        Return clients of an agent's engine and of the origin of weights.
    """

    read_settings: Callable[[], VMSettings]
    declarations_table: str
    servers_table: str
    version_key_prefix: str
    parse_declaration: Callable[[Row], Declaration | None]
    parse_listed_server: Callable[[Row], ListedServer]
    parse_configuration: Callable[[bytes], Configuration]
    open_store: Callable[[HttpPool, VMSettings], RowStore]
    head_codec: Any
    open_engine: Callable[[HttpPool, str], Any]
    open_origin: Callable[[HttpPool, str], Any]
