"""Limits the connections of each organisation at this entry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from types import SimpleNamespace

from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["ConnectionLimiter", "TooManyConnections"]


class TooManyConnections(WasabideckError):
    """The organisation has as many connections to this entry as it is allowed."""

    status = 429
    retry_after = 1.0

    def __init__(self, organisation: str, limit: int):
        super().__init__(
            f"{organisation} holds {limit} connections, the maximum allowed"
        )
        self.organisation = organisation


@define
class ConnectionLimiter:
    """Counts open connections by the organisation of their latest request.

    A connection carries one request at a time, so the limit also bounds the requests
    in progress. An organisation that opens ever more connections cannot use up the
    memory and the file descriptors that other organisations need.

    Attributes
    ----------
    limits : mapping of str to int
        Maximum number of connections by organisation.
    open_connections : Counter
        Number of open connections by organisation.
    """

    limits: Mapping[str, int]
    open_connections: Counter = field(factory=Counter)

    def acquire(self, connection: SimpleNamespace, organisation: str) -> None:
        """Count a connection for an organisation; raises ``TooManyConnections``."""
        self.release(connection)
        limit = self.limits.get(organisation)
        if limit is None:
            return
        if self.open_connections[organisation] >= limit:
            raise TooManyConnections(organisation, limit)
        self.open_connections[organisation] += 1
        connection.organisation = organisation

    def release(self, connection: SimpleNamespace) -> None:
        """Stop counting a connection; safe to repeat."""
        if organisation := getattr(connection, "organisation", None):
            self.open_connections[organisation] -= 1
            connection.organisation = None
