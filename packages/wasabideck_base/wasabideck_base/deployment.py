"""What an adapter gives the product to run on a deployment."""

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
        This process's settings as they are now; raises a typed error.
    operators, servers : str
        Tables of the operators' declarations and of the servers' entries.
    declaration_of, listed_of, read_configuration : callable
        Decode rows; each raises a typed error for what it cannot read.
    open_store : callable
        Client of the store of rows.
    wire : object
        How heads of requests and answers are read and written.
    open_engine, open_origin : callable
        Clients of the engine beside an agent, and of the origin of weights.
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
