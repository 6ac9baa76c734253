"""How many connections each organisation holds at this entry."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from types import SimpleNamespace

from attrs import define, field
from wasabideck_policy.outcomes import WasabideckError

__all__ = ["HeldConnections", "TooManyConnections"]


class TooManyConnections(WasabideckError):
    """The organisation holds as many connections here as it may."""

    status = 429
    retry_after = 1.0

    def __init__(self, organisation: str, most: int):
        super().__init__(f"{organisation} holds {most} connections, its most")
        self.organisation = organisation


@define
class HeldConnections:
    """Open connections by the organisation of their newest request.

    A connection carries one request at a time, so that this bounds the requests in
    progress as well: an organisation that opens ever more cannot take the memory
    and the descriptors that the others need.
    """

    most: Mapping[str, int]
    held: Counter = field(factory=Counter)

    def enter(self, connection: SimpleNamespace, who: str) -> None:
        """Count a connection as its request's; raises ``TooManyConnections``."""
        self.leave(connection)
        most = self.most.get(who)
        if most is None:
            return
        if self.held[who] >= most:
            raise TooManyConnections(who, most)
        self.held[who] += 1
        connection.organisation = who

    def leave(self, connection: SimpleNamespace) -> None:
        """Count a connection no longer; safe to repeat."""
        if who := getattr(connection, "organisation", None):
            self.held[who] -= 1
            connection.organisation = None
