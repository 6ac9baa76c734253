"""Client of the platform's lagging list of live and leaving VMs."""

from __future__ import annotations

from attrs import define
from wasabideck_policy.membership import Member

from .http import HttpClient

__all__ = ["Members"]


@define
class Members:
    """Reads the list; it may be many seconds old."""

    http: HttpClient

    async def read(self) -> list[Member]:
        """All VMs that the platform takes for live."""
        rows = await self.http.json("GET", "/v1/members")
        return [Member(**row) for row in rows]
