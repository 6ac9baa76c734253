"""Interface that an adapter implements to run the product on a deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from attrs import frozen
from wasabideck_policy.backends import Listed
from wasabideck_policy.configuration import Configuration
from wasabideck_policy.declarations import Declaration

from .http_pool import HttpPool
from .node import NodeSettings
from .rows import Row, RowStore

__all__ = ["Deployment"]


@frozen
class Deployment:
    """Functions that translate between the product and one kind of deployment.

    Attributes
    ----------
    read_settings : callable
        Reads the current settings of this process; raises a ``WasabideckError``.
    operators, servers : str
        Names of the tables of the operators' declarations and of the servers.
    declaration_of, listed_of, read_configuration : callable
        Decode rows; each raises a ``WasabideckError`` for a row that it cannot decode.
    open_store : callable
        Returns a client of the store of rows.
    wire : object
        Parses and formats the heads of requests and responses.
    open_engine, open_origin : callable
        Return clients of an agent's engine and of the origin of weights.
    """

    read_settings: Callable[[], NodeSettings]
    operators: str
    servers: str
    declaration_of: Callable[[Row], Declaration | None]
    listed_of: Callable[[Row], Listed]
    read_configuration: Callable[[bytes], Configuration]
    open_store: Callable[[HttpPool, NodeSettings], RowStore]
    wire: Any
    open_engine: Callable[[HttpPool, str], Any]
    open_origin: Callable[[HttpPool, str], Any]
